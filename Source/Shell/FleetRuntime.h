#pragma once

#include <string>

#include "Fleet/Calls.h"
#include "Settings/Settings.h"
#include "Shell/Runtime.h"

/// Runs one instance of a fleet: passes messages, packets, calls, timers and
/// signals to its reducer as events and executes the resulting effects, on one
/// event loop and one thread.
namespace filbertwall {

/// Settings and the file they were read from. The file is reloaded when it
/// changes.
struct FleetSource {
  std::string path;
  std::string text;  ///< Contents of the file.
  Settings settings;
  std::vector<Finding> findings;  ///< Values that were left out.
};

/// Starts the log of an instance and writes the findings in its settings to it.
void StartFleetLog(const FleetSource& source);

/// Runs an entry instance until its graceful stop has ended. Precondition: the
/// settings are usable and name this role.
RunError RunEntryInstance(const FleetSource& source,
                          const FleetAdapter& adapter);

/// Runs a control instance until its graceful stop has ended. Precondition: the
/// settings are usable and name this role.
RunError RunControlInstance(const FleetSource& source,
                            const FleetAdapter& adapter);

/// Builds the configuration of the fleet's reducers from the settings.
FleetConfig MakeFleetConfig(const Settings& settings,
                            std::uint64_t incarnation);

}  // namespace filbertwall
