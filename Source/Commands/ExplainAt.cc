#include "Commands/ExplainAt.h"

#include <csignal>
#include <iostream>
#include <optional>

#include "Base/Endpoint.h"
#include "Base/ExitCode.h"
#include "Base/InputError.h"
#include "Shell/ExplainAnswer.h"
#include "Shell/ExplainText.h"
#include "Shell/HttpGet.h"
#include "platform/JsonInput.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kTimeout{7000};
/// An answer has at most `kMaxExplained` servers and data centres, with names
/// of at most 200 bytes.
constexpr platform::JsonLimits kAnswerLimits{
    .max_bytes = 512UL * 1024, .max_depth = 8, .max_values = 10000};

std::optional<Endpoint> ReadEndpoint(const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    std::cerr << "error: \"" << Excerpt(text) << "\": expected IP:PORT\n";
  }
  return endpoint;
}

int ReportUnreadable(const std::string& instance, const std::string& reason) {
  std::cerr << "unknown: " << instance << " is no entry instance that knows "
            << "explain: " << reason << "\n";
  return kExitUnknownOutcome;
}

int PrintAnswer(const std::string& instance, const wire::Answer& answer,
                bool json) {
  constexpr std::uint32_t kOk = 200;
  constexpr std::uint32_t kBadRequest = 400;
  if (answer.status() != kOk && answer.status() != kBadRequest) {
    return ReportUnreadable(
        instance, "it answered with status " + std::to_string(answer.status()));
  }
  const auto document = platform::ReadJsonObject(answer.body(), kAnswerLimits);
  if (!document) {
    return ReportUnreadable(instance, "its answer: " + document.error().reason);
  }
  if (answer.status() == kBadRequest) {
    const platform::Json* reason =
        platform::FindField(document.value(), "error");
    std::cerr << "refused: "
              << (reason != nullptr && reason->is_string()
                      ? ReplaceControls(reason->get<std::string>())
                      : "without a reason")
              << "\n";
    return kExitRefused;
  }
  const auto text = FormatExplanationText(document.value());
  if (!text) {
    return ReportUnreadable(instance, "its answer lacks a field");
  }
  std::cout << (json ? answer.body() : *text);
  return kExitSuccess;
}

}  // namespace

int RunExplainAt(const std::string& instance,
                 const std::vector<std::string>& words, bool json) {
  constexpr std::size_t kMaxWords = 2;
  if (words.empty() || words.size() > kMaxWords) {
    std::cerr << "error: expected IP:PORT of the address that is called, and "
                 "of the caller if it matters\n";
    return kExitUsage;
  }
  const auto server = ReadEndpoint(instance);
  const auto address = ReadEndpoint(words[0]);
  std::optional<Endpoint> caller;
  if (words.size() == kMaxWords) {
    caller = ReadEndpoint(words[1]);
  }
  if (!server || !address || (words.size() == kMaxWords && !caller)) {
    return kExitUsage;
  }
  // An instance that closes the connection must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
  const auto answer =
      HttpGet(*server, MakeExplainTarget(*address, caller), kTimeout);
  if (!answer) {
    std::cerr << "unreachable: " << instance << " did not answer\n";
    return kExitUnreachable;
  }
  return PrintAnswer(instance, *answer, json);
}

}  // namespace filbertwall
