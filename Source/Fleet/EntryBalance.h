#pragma once

#include "Fleet/EntryInstance.h"

/// The slowness of servers and the load of data centres at an entry instance,
/// with the setting `balance_by_load`.
namespace filbertwall {

/// Takes the slowness of a server from a record of the primary, also if the
/// record is not newer: the sequence numbers of a record differ between control
/// instances, and each decides on its own how slow a server is.
void AdoptSlowness(EntryInstance& instance, const wire::ServerRecord& record);

/// Takes all servers as usual, and requests all records of the new primary:
/// what the earlier one said may be outdated.
void ForgetSlowness(EntryInstance& instance, InstanceAddress primary);

/// Tells admission control how many slots each service has now: those of
/// servers that are evacuated, silent, slow or cold count less.
void UpdateCapacities(EntryInstance& instance, TimePoint now);

/// Appends a log record for each data centre from which flows of a service are
/// diverted now and were not at the last call, or the reverse.
void LogDiversions(EntryInstance& instance, TimePoint now,
                   std::vector<EntryEffect>& effects);

}  // namespace filbertwall
