#include "Shell/SavedRegistry.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <filesystem>

#include "Shell/ControlStore.h"
#include "Shell/EndReport.h"
#include "Shell/Log.h"

namespace filbertwall {
namespace {

using google::protobuf::internal::WireFormatLite;

/// More than the records of all servers of the largest deployment.
constexpr std::uintmax_t kMaxRegistryBytes = 32UL << 20U;
constexpr std::uint32_t kServersTag =
    WireFormatLite::MakeTag(wire::SavedRegistry::kServersFieldNumber,
                            WireFormatLite::WIRETYPE_LENGTH_DELIMITED);

void LogProblem(const std::string& text) {
  WriteLog({.id = EventId::kRegistryNotSaved,
            .severity = Severity::kWarning,
            .text = text});
}

/// Returns nothing if the file is too long or can't be read or parsed.
std::optional<ParsedRegistry> ReadRegistry(const std::string& path) {
  std::error_code error;
  const std::uintmax_t size = std::filesystem::file_size(path, error);
  if (error || size > kMaxRegistryBytes) {
    return std::nullopt;
  }
  const auto bytes = LoadFile(path);
  if (!bytes) {
    return std::nullopt;
  }
  const InputMark mark(InputKind::kStoredFile, bytes.value().size());
  return ParseSavedRegistry(bytes.value());
}

}  // namespace

std::optional<ParsedRegistry> ParseSavedRegistry(const std::string& bytes) {
  google::protobuf::io::ArrayInputStream source(bytes.data(),
                                                static_cast<int>(bytes.size()));
  google::protobuf::io::CodedInputStream input(&source);
  ParsedRegistry parsed;
  std::string other_fields;
  {
    google::protobuf::io::StringOutputStream target(&other_fields);
    google::protobuf::io::CodedOutputStream output(&target);
    while (const std::uint32_t tag = input.ReadTag()) {
      if (tag != kServersTag) {
        if (!WireFormatLite::SkipField(&input, tag, &output)) {
          return std::nullopt;
        }
        continue;
      }
      std::uint32_t length = 0;
      std::string record;
      if (!input.ReadVarint32(&length) ||
          !input.ReadString(&record, static_cast<int>(length))) {
        return std::nullopt;
      }
      if (!parsed.saved.add_servers()->ParseFromString(record)) {
        parsed.saved.mutable_servers()->RemoveLast();
        parsed.unreadable_servers += 1;
      }
    }
  }
  if (!input.ConsumedEntireMessage() ||
      !parsed.saved.MergeFromString(other_fields)) {
    return std::nullopt;
  }
  return parsed;
}

wire::SavedRegistry LoadSavedRegistry(const std::string& path) {
  std::error_code error;
  if (!std::filesystem::exists(path, error)) {
    return {};
  }
  auto parsed = ReadRegistry(path);
  if (!parsed) {
    const std::string aside = path + ".unreadable";
    std::filesystem::rename(path, aside, error);
    LogProblem(path + " can't be read or parsed; it is set aside as " + aside);
    return {};
  }
  if (parsed->unreadable_servers > 0) {
    LogProblem(path + ": " + std::to_string(parsed->unreadable_servers) +
               " records can't be parsed and are left out");
  }
  return std::move(parsed->saved);
}

}  // namespace filbertwall
