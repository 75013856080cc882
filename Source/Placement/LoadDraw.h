#pragma once

#include "Placement/Placement.h"

/// The part that load plays in the choice of a server, with the setting
/// `balance_by_load`.
///
/// Each flow draws at random which loaded data centres and slow servers it
/// leaves out, so that the share of flows that they get follows their load. A
/// cost that only rises with the load would move all flows at once. Pure
/// functions on plain state; not thread safe.
namespace filbertwall {

/// Returns `PlacedServer::slowness` for a record: 1 without `balance_by_load`.
float SlownessFactor(const PlacementConfig& config,
                     const wire::ServerRecord& record);

/// Returns the loads of a service; updates them if they are too old for a
/// choice. Precondition: the service exists.
const LoadView& UpdateLoadView(Placement& placement, ServiceIndex service,
                               TimePoint now);

/// Draws for a new flow of the service which data centres it is diverted from.
void DrawLoads(Placement& placement, ServiceIndex service, TimePoint now);

/// Adds the flow of the last `DrawLoads` to `Placement::diverted_flows` if it
/// was diverted from the data centre of this instance and goes to `chosen`,
/// which is elsewhere.
void CountDiverted(Placement& placement, const PlacedServer& chosen);

/// Returns true with a probability of one in `count`. Precondition: `count` is
/// not 0.
bool DrawOneIn(Placement& placement, std::uint64_t count);

/// Returns the additional cost of a server for the flow of the last
/// `DrawLoads`, in flows per slot.
double LoadCost(Placement& placement, const PlacedServer& server);

}  // namespace filbertwall
