#pragma once

#include <vector>

#include "Fleet/EntryInstance.h"

/// Work of an entry instance that is due once a second. Not thread safe.
namespace filbertwall {

/// Applies the settings of admission control to the forwarder.
void ConfigureAdmission(Forwarder& forwarder, const FleetConfig& config);

/// Removes the records of gone servers and reports changes of admission.
void RunHousekeeping(EntryInstance& instance, std::vector<EntryEffect>& effects,
                     TimePoint now);

}  // namespace filbertwall
