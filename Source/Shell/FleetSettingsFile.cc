#include "Shell/FleetSettingsFile.h"

#include "Shell/ControlStore.h"
#include "Shell/EndReport.h"
#include "Shell/Log.h"

namespace filbertwall {

FleetSettingsFile::FleetSettingsFile(const std::string& file_path)
    : path(file_path) {
  const auto bytes = LoadFile(this->path);
  if (bytes) {
    this->text = bytes.value();
  }
}

std::optional<Settings> FleetSettingsFile::Reload() {
  const auto bytes = LoadFile(this->path);
  if (!bytes) {
    WriteLog({.id = EventId::kSettingsRejected,
              .severity = Severity::kWarning,
              .text = bytes.error().detail});
    return std::nullopt;
  }
  if (bytes.value() == this->text) {
    return std::nullopt;
  }
  this->text = bytes.value();
  const InputMark mark(InputKind::kSettings, this->text.size());
  ParsedSettings parsed = ParseSettings(this->text, this->path);
  if (parsed.findings.empty()) {
    return parsed.settings;
  }
  WriteLog({.id = EventId::kSettingsRejected,
            .severity = Severity::kWarning,
            .text = FormatFinding(parsed.findings.front())});
  return std::nullopt;
}

}  // namespace filbertwall
