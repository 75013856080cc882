#pragma once

#include <optional>
#include <string>

#include "Settings/Settings.h"

/// Watches the settings file of a running process.
namespace filbertwall {

class FleetSettingsFile {
 public:
  explicit FleetSettingsFile(const std::string& file_path);

  /// The settings when the file has changed since the last call and holds no
  /// findings. Findings are logged, and the settings in force are kept.
  std::optional<Settings> Reload();

 private:
  std::string path;
  std::string text;
};

}  // namespace filbertwall
