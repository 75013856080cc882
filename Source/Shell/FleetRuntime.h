#pragma once

#include <string>

#include "Fleet/Calls.h"
#include "Settings/Settings.h"
#include "Shell/Runtime.h"

/// The process of one instance of a fleet: turns the world into events for its
/// reducer and carries the effects out, on one loop and one thread.
namespace filbertwall {

/// Settings and the file that they came from, which may change later.
struct FleetSource {
  std::string path;
  Settings settings;
};

/// Both run until a graceful stop has ended. Precondition: the settings have no
/// findings and name the role.
RunError RunEntryInstance(const FleetSource& source,
                          const FleetAdapter& adapter);
RunError RunControlInstance(const FleetSource& source,
                            const FleetAdapter& adapter);

/// What the settings say for the fleet's reducers.
FleetConfig MakeFleetConfig(const Settings& settings,
                            std::uint64_t incarnation);

}  // namespace filbertwall
