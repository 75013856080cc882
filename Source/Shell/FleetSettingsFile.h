#pragma once

#include <optional>
#include <string>

#include "Settings/Settings.h"

/// Detects changes of the settings file of a running process.
namespace filbertwall {

class FleetSettingsFile {
 public:
  explicit FleetSettingsFile(const std::string& file_path);

  /// Returns the settings if the file has changed since the last call and has
  /// no findings. Otherwise logs the read error or the first finding, if any,
  /// and returns nothing, so that the current settings stay in force.
  std::optional<Settings> Reload();

 private:
  std::string path;
  std::string text;
};

}  // namespace filbertwall
