#include "Commands/Commands.h"

#include <google/protobuf/util/json_util.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <optional>

#include "Base/InputError.h"
#include "Base/Text.h"
#include "Commands/ExplainAt.h"
#include "Rules/Explain.h"
#include "Rules/RulesParser.h"
#include "Settings/Settings.h"
#include "Shell/ControlStore.h"
#include "Shell/Keys.h"
#include "Shell/Messenger.h"
#include "Shell/Runtime.h"
#include "platform/PlatformCommand.h"

namespace filbertwall {
namespace {

using Arguments = std::vector<std::string>;
using FileArgument = TCLAP::UnlabeledValueArg<std::string>;
using TextOption = TCLAP::ValueArg<std::string>;

constexpr Milliseconds kReplyTimeout{7000};

/// Reads a whole file; prints an error when it can't be read.
std::optional<std::string> ReadInput(const std::string& path) {
  const auto bytes = LoadFile(path);
  if (!bytes) {
    std::cerr << FormatFinding(
                     {.file = path, .expected = "a file that can be read"})
              << "\n";
    return std::nullopt;
  }
  return bytes.value();
}

/// Settings that parsed without errors (findings), and the instance's keys.
struct CheckedSettings {
  Settings settings;
  KeyPair keys;
};

/// Reads settings and keys; prints every error found in them, if any.
std::optional<CheckedSettings> LoadSettings(const std::string& path) {
  const auto text = ReadInput(path);
  if (!text) {
    return std::nullopt;
  }
  ParsedSettings parsed = ParseSettings(*text, path);
  CheckedSettings checked{.settings = parsed.settings};
  const SecuritySettings& security = parsed.settings.security;
  if (security.curve && !security.secret_key_file.empty()) {
    checked.keys = ReadKeyFile(security.secret_key_file, parsed.findings);
  }
  if (!parsed.findings.empty()) {
    std::cerr << FormatFindings(parsed.findings);
    return std::nullopt;
  }
  return checked;
}

/// A rules file that parsed without errors (findings).
struct CheckedRules {
  std::string text;
  Rules rules;
};

/// Reads a rules file; prints every error found in it, if any.
std::optional<CheckedRules> LoadRules(const std::string& path) {
  const auto text = ReadInput(path);
  if (!text) {
    return std::nullopt;
  }
  ParsedRules parsed = ParseRules(*text, path);
  if (!parsed.findings.empty()) {
    std::cerr << FormatFindings(parsed.findings);
    return std::nullopt;
  }
  return CheckedRules{.text = *text, .rules = std::move(parsed.rules)};
}

/// The options with which an operator's command connects to an instance.
struct OperatorConnection {
  TextOption to{"",   "to", "An instance's control_address.",
                true, "",   "IP:PORT"};
  TextOption key_file{"",    "key", "Key file of the operator (keygen).",
                      false, "",    "FILE"};
  TextOption server_key{"",    "server-key", "Public key of the instance.",
                        false, "",           "KEY"};

  explicit OperatorConnection(TCLAP::CmdLine& line) {
    line.add(this->to);
    line.add(this->key_file);
    line.add(this->server_key);
  }

  /// Sends a request and returns the reply. Returns an empty envelope when no
  /// reply arrives within kReplyTimeout, or when the key file is invalid; the
  /// errors in the key file are printed.
  wire::Envelope Request(const wire::Envelope& request) {
    KeyPair keys;
    if (this->key_file.isSet()) {
      std::vector<Finding> findings;
      keys = ReadKeyFile(this->key_file.getValue(), findings);
      if (!findings.empty()) {
        std::cerr << FormatFindings(findings);
        return {};
      }
    }
    return SendRequest(this->to.getValue(), this->server_key.getValue(), keys,
                       request, kReplyTimeout);
  }
};

int ReportUnreachable(const std::string& address) {
  std::cerr << "unreachable: " << address << " did not answer\n";
  return kExitUnreachable;
}

int RunRun(TCLAP::CmdLine& line, Arguments& arguments) {
  FileArgument file("settings", "Settings file (INI).", true, "", "FILE", line);
  line.parse(arguments);
  const auto checked = LoadSettings(file.getValue());
  if (!checked) {
    return kExitFindings;
  }
  return ExitCodeOf(RunInstance(checked->settings, checked->keys));
}

int RunFleet(TCLAP::CmdLine& line, Arguments& arguments) {
  FileArgument file("settings",
                    "Settings file (INI); default: $FILBERTWALL_CONFIG.", false,
                    platform::SettingsPath(), "FILE", line);
  line.parse(arguments);
  return platform::RunOnPlatform(file.getValue());
}

int RunFormat(TCLAP::CmdLine& line, Arguments& arguments) {
  FileArgument file("settings", "Settings of the first control instance.", true,
                    "", "FILE", line);
  line.parse(arguments);
  const auto checked = LoadSettings(file.getValue());
  if (!checked) {
    return kExitFindings;
  }
  const std::string error = FormatDataFolder(checked->settings);
  if (!error.empty()) {
    std::cerr << "error: " << error << "\n";
    return kExitDisk;
  }
  std::cout << "formatted " << checked->settings.data_folder << "\n";
  return kExitSuccess;
}

int RunCheckConfig(TCLAP::CmdLine& line, Arguments& arguments) {
  FileArgument file("settings", "Settings file (INI).", true, "", "FILE", line);
  line.parse(arguments);
  if (!LoadSettings(file.getValue())) {
    return kExitFindings;
  }
  std::cout << file.getValue() << ": no findings\n";
  return kExitSuccess;
}

int RunCheck(TCLAP::CmdLine& line, Arguments& arguments) {
  FileArgument file("rules", "Rules file.", true, "", "FILE", line);
  line.parse(arguments);
  const auto checked = LoadRules(file.getValue());
  if (!checked) {
    return kExitFindings;
  }
  std::cout << file.getValue() << ": version " << checked->rules.version
            << ", no findings\n";
  return kExitSuccess;
}

int RunExplain(TCLAP::CmdLine& line, Arguments& arguments) {
  TextOption instance("", "at",
                      "Metrics port of a running entry instance: what it would "
                      "do with a new flow now.",
                      false, "", "IP:PORT", line);
  TCLAP::SwitchArg json("", "json", "Print the instance's answer as JSON.",
                        line);
  TCLAP::UnlabeledMultiArg<std::string> words(
      "subject",
      "Rules FILE, then HOST METHOD PATH of a request or IP:PORT of a flow. "
      "With --at: IP:PORT that is called, then IP:PORT of the caller if it "
      "matters.",
      true, "WORD", line);
  line.parse(arguments);
  if (instance.isSet()) {
    return RunExplainAt(instance.getValue(), words.getValue(), json.isSet());
  }
  if (json.isSet()) {
    std::cerr << "error: --json: expected --at IP:PORT\n";
    return kExitUsage;
  }
  if (words.getValue().size() == 1) {
    std::cerr << "error: expected FILE, then HOST METHOD PATH or IP:PORT\n";
    return kExitUsage;
  }
  const std::string& file = words.getValue().front();
  const Arguments subject(words.getValue().begin() + 1, words.getValue().end());
  const auto checked = LoadRules(file);
  if (!checked) {
    return kExitFindings;
  }
  const Explanation explanation = Explain(checked->rules, subject);
  (explanation.found ? std::cout : std::cerr) << explanation.text;
  return explanation.found ? kExitSuccess : kExitFindings;
}

int PrintSubmitReply(const wire::SubmitReply& reply) {
  switch (reply.verdict()) {
    case wire::ACCEPTED:
      std::cout << "accepted: " << reply.reason() << "\n";
      return kExitSuccess;
    case wire::REFUSED:
      std::cerr << "refused: " << reply.reason() << "\n";
      return kExitRefused;
    default:
      std::cerr << "unknown: " << reply.reason()
                << " (resubmitting the same file is safe)\n";
      return kExitUnknownOutcome;
  }
}

int RunSubmit(TCLAP::CmdLine& line, Arguments& arguments) {
  OperatorConnection connection(line);
  TextOption operator_name("", "as", "Name of the operator.", true, "", "NAME",
                           line);
  FileArgument file("rules", "Rules file.", true, "", "FILE", line);
  line.parse(arguments);
  const auto checked = LoadRules(file.getValue());
  if (!checked) {
    return kExitFindings;
  }
  if (!IsUtf8(operator_name.getValue())) {
    std::cerr << "error: \"" << Excerpt(operator_name.getValue())
              << "\": expected a name in UTF-8\n";
    return kExitUsage;
  }
  wire::Envelope request;
  request.mutable_submit()->mutable_rules()->set_text(checked->text);
  request.mutable_submit()->mutable_rules()->set_submitter(
      operator_name.getValue());
  const wire::Envelope reply = connection.Request(request);
  if (!reply.has_submit_reply()) {
    wire::SubmitReply unknown;
    unknown.set_reason(connection.to.getValue() + " did not answer");
    return PrintSubmitReply(unknown);
  }
  return PrintSubmitReply(reply.submit_reply());
}

int RunRemoveMember(TCLAP::CmdLine& line, Arguments& arguments) {
  OperatorConnection connection(line);
  TCLAP::UnlabeledValueArg<std::uint32_t> instance(
      "instance", "Id of the control instance.", true, 0, "ID", line);
  line.parse(arguments);
  wire::Envelope request;
  request.mutable_remove_member()->set_instance(instance.getValue());
  const wire::Envelope reply = connection.Request(request);
  if (!reply.has_submit_reply()) {
    return ReportUnreachable(connection.to.getValue());
  }
  return PrintSubmitReply(reply.submit_reply());
}

int RunStatus(TCLAP::CmdLine& line, Arguments& arguments) {
  OperatorConnection connection(line);
  line.parse(arguments);
  wire::Envelope request;
  request.mutable_status();
  const wire::Envelope reply = connection.Request(request);
  if (!reply.has_status_reply()) {
    return ReportUnreachable(connection.to.getValue());
  }
  constexpr std::int64_t kMaxHeardAgeMs = 2000;
  for (const wire::InstanceStatus& item : reply.status_reply().instances()) {
    const bool heard =
        item.heard_ms_ago() >= 0 && item.heard_ms_ago() <= kMaxHeardAgeMs;
    std::cout << "instance " << item.instance() << " version "
              << item.rules_version() << (heard ? " heard" : " not-heard")
              << (item.leader() ? " leader" : "") << "\n";
  }
  return kExitSuccess;
}

int RunDump(TCLAP::CmdLine& line, Arguments& arguments) {
  OperatorConnection connection(line);
  line.parse(arguments);
  wire::Envelope request;
  request.mutable_dump();
  const wire::Envelope reply = connection.Request(request);
  if (!reply.has_dump_reply()) {
    return ReportUnreachable(connection.to.getValue());
  }
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  const auto printed = google::protobuf::util::MessageToJsonString(
      reply.dump_reply().dump(), &json, options);
  std::cout << (printed.ok() ? json : printed.ToString()) << "\n";
  return kExitSuccess;
}

int RunKeygen(TCLAP::CmdLine& line, Arguments& arguments) {
  FileArgument file("file", "Key file to create.", true, "", "FILE", line);
  line.parse(arguments);
  const KeyPair keys = MakeKeyPair();
  if (keys.public_key.empty() || !WriteKeyFile(file.getValue(), keys)) {
    std::cerr << FormatFinding({.file = file.getValue(),
                                .expected = "a new file in a folder that can "
                                            "be written"})
              << "\n";
    return kExitDisk;
  }
  std::cout << keys.public_key << "\n";
  return kExitSuccess;
}

struct Command {
  std::string summary;
  int (*run)(TCLAP::CmdLine&, Arguments&);
};

const std::map<std::string, Command>& AllCommands() {
  static const std::map<std::string, Command> kCommands = {
      {"run", {"Run an instance.", RunRun}},
      {"fleet", {"Run an instance of a fleet.", RunFleet}},
      {"format", {"Prepare the first control instance's disk.", RunFormat}},
      {"check", {"Report every finding in a rules file.", RunCheck}},
      {"check-config", {"Report every finding in settings.", RunCheckConfig}},
      {"explain", {"Say which rules apply, or where a flow goes.", RunExplain}},
      {"submit", {"Hand over a rules file.", RunSubmit}},
      {"status", {"Show which instances have which version.", RunStatus}},
      {"dump", {"Print the state of a process as JSON.", RunDump}},
      {"remove-member", {"Remove a control instance.", RunRemoveMember}},
      {"keygen", {"Make a key file.", RunKeygen}},
  };
  return kCommands;
}

int PrintUsage(std::ostream& out, int exit_code) {
  out << "usage: filbertwall COMMAND [ARGUMENTS]\n\ncommands:\n";
  for (const auto& [name, command] : AllCommands()) {
    out << "  " << name << std::string(15 - name.size(), ' ') << command.summary
        << "\n";
  }
  out << "\nfilbertwall COMMAND --help tells more.\n";
  return exit_code;
}

}  // namespace

int RunCommand(const std::string& program, const Arguments& arguments) {
  if (arguments.empty()) {
    return PrintUsage(std::cerr, kExitUsage);
  }
  if (arguments[0] == "help" || arguments[0] == "--help") {
    return PrintUsage(std::cout, kExitSuccess);
  }
  const auto command = AllCommands().find(arguments[0]);
  if (command == AllCommands().end()) {
    std::cerr << "error: \"" << arguments[0] << "\": expected a command\n";
    return PrintUsage(std::cerr, kExitUsage);
  }
  TCLAP::CmdLine line(command->second.summary, ' ', "0.1", true);
  line.setExceptionHandling(false);
  Arguments command_arguments = arguments;
  command_arguments[0] = program + " " + arguments[0];
  try {
    return command->second.run(line, command_arguments);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    const std::string subject(Trim(error.argId()));
    std::cerr << "error: " << (subject.empty() ? "" : subject + ": ")
              << error.error() << "\n";
    return kExitUsage;
  }
}

}  // namespace filbertwall
