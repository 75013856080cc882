#pragma once

#include <cstdint>
#include <vector>

#include "Base/Event.h"
#include "Fleet/Fleet.h"
#include "Placement/Placement.h"

/// An entry instance's side of the limits on new flows to cold servers: it asks
/// the leader for leases and adds what it is granted to the budget. Not thread
/// safe.
namespace filbertwall {

struct WarmupRequester {
  /// The leader, as stated by the latest fresh update; 0: none is known.
  InstanceAddress leader = 0;
  bool unanswered_logged = false;
  /// `WarmupCounters::refused` as last logged.
  std::uint64_t logged_refused = 0;
};

/// Requests that are due, and records to log.
struct WarmupRequestResult {
  std::vector<SendMessage> messages;
  std::vector<LogRecord> records;
};

/// Schedules the first request after a service got a limit, and one soon after
/// servers have changed.
void PrepareWarmupRequest(Placement& placement, bool servers_changed,
                          TimePoint now);

/// Notes that an update of the primary holds all changes of its servers up to
/// now: the servers are confirmed until the answer to the next poll is overdue.
/// Does nothing if the update lacks some. Preconditions: the update is fresh,
/// and `position` is the one after it; `next_poll_at` is when the primary is
/// polled next.
void ConfirmServers(WarmupBudget& budget, const RegistryPosition& position,
                    const wire::Update& update, TimePoint next_poll_at,
                    TimePoint now);

/// Builds the request for leases if it is due, and there are cold servers and
/// demand. `incarnation` is that of this instance.
WarmupRequestResult RequestWarmupLeases(WarmupRequester& requester,
                                        Placement& placement,
                                        std::uint64_t incarnation,
                                        TimePoint now);

/// Adds the leases of a grant to the budget. Ignores a grant for an earlier
/// life of this instance. Precondition: `grant` has passed `CheckWarmupGrant`.
void HandleWarmupGrant(WarmupRequester& requester, Placement& placement,
                       std::uint64_t incarnation,
                       const wire::WarmupGrant& grant, TimePoint now);

}  // namespace filbertwall
