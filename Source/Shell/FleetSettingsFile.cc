#include "Shell/FleetSettingsFile.h"

#include "Shell/ControlStore.h"
#include "Shell/EndReport.h"
#include "Shell/Log.h"

namespace filbertwall {

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
  for (const Finding& finding : parsed.findings) {
    WriteLog({.id = EventId::kSettingsRejected,
              .severity = Severity::kWarning,
              .text = FormatFinding(finding)});
  }
  if (parsed.usable && !parsed.settings.fleet.seeds.empty()) {
    return parsed.settings;
  }
  WriteLog({.id = EventId::kSettingsRejected,
            .severity = Severity::kWarning,
            .text = "the settings in force are kept"});
  return std::nullopt;
}

}  // namespace filbertwall
