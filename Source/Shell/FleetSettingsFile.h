#pragma once

#include <optional>
#include <string>

#include "Settings/Settings.h"

/// Detects changes of the settings file of a running process.
namespace filbertwall {

class FleetSettingsFile {
 public:
  /// `read_text` are the contents from which the current settings were read.
  FleetSettingsFile(const std::string& file_path, const std::string& read_text)
      : path(file_path), text(read_text) {}

  /// Returns the settings if the file has changed since the last call, is
  /// usable and names seeds. Otherwise returns nothing, so that the current
  /// settings stay in force. Logs the read error or the findings, if any.
  std::optional<Settings> Reload();

 private:
  std::string path;
  std::string text;
};

}  // namespace filbertwall
