#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "Base/Time.h"
#include "Warmup/WarmupTiming.h"

/// The leases that an entry instance holds on the limits of cold servers, and
/// what it has spent of them. Plain state and pure functions; not thread safe.
/// Servers and services are identified by the indices of `Placement`.
namespace filbertwall {

/// Interval between two requests for leases.
inline constexpr Milliseconds kWarmupRequestInterval{400};
/// Minimum time between two requests, when servers have changed.
inline constexpr Milliseconds kMinWarmupRequestInterval{100};
/// Leases are requested for this long after the last flow of a service. Shorter
/// ones would leave an instance with few flows without a lease for each of
/// them.
inline constexpr Milliseconds kWarmupDemandLifetime{10000};

/// The lease on one server, and the flows sent to it.
struct WarmupServerBudget {
  std::uint64_t incarnation = 0;  ///< Of the server.
  std::uint32_t flows_per_second = 0;
  TimePoint requested_at;  ///< When the request was sent.
  /// Times of the latest flows, oldest first. They are kept across leases and
  /// incarnations of the server.
  std::deque<TimePoint> sent;
};

/// New flows of a service with a limit.
struct WarmupServiceDemand {
  std::uint32_t flows = 0;             ///< Since the last request.
  std::uint32_t flows_per_second = 0;  ///< As last requested.
  TimePoint last_flow_at;              ///< `TimePoint{}`: never.
  TimePoint cold_until;  ///< Some server of the service is cold until then.
};

struct WarmupCounters {
  std::uint64_t placed = 0;   ///< Flows sent to cold servers.
  std::uint64_t refused = 0;  ///< Flows for which only cold servers were left.
  /// Flows refused while the servers were not confirmed.
  std::uint64_t unconfirmed = 0;
  std::uint64_t leases = 0;  ///< Received and valid.
};

struct WarmupBudget {
  WarmupTiming timing;
  /// By service; empty when no service has a limit.
  std::vector<WarmupLimit> limits;
  std::vector<WarmupServiceDemand> demands;  ///< By service, as `limits`.
  std::unordered_map<std::uint32_t, WarmupServerBudget> servers;
  /// Until then no start of a server can have been missed. `TimePoint::max()`
  /// without control instances to hear of it from.
  TimePoint confirmed_until = TimePoint::max();
  /// The latest flow to each server of a service with a limit, by server.
  /// Shorter before the first one.
  std::vector<TimePoint> last_flow_at;
  TimePoint last_request_at;
  TimePoint demand_taken_at;  ///< Last `TakeWarmupDemand`.
  /// `TimePoint::max()` when no service has a limit.
  TimePoint next_request_at = TimePoint::max();
  /// When leases were first requested since the last grant; `TimePoint::max()`:
  /// not since then.
  TimePoint unanswered_since = TimePoint::max();
  WarmupCounters counters;
};

/// Wanted leases of one service.
struct WarmupDemandItem {
  std::uint32_t service = 0;
  std::uint32_t flows_per_second = 0;
};

/// Returns the limit of a service, or null when it has none.
inline const WarmupLimit* FindWarmupLimit(const WarmupBudget& budget,
                                          std::uint32_t service) {
  return service < budget.limits.size() &&
                 budget.limits[service].flows_per_second > 0
             ? &budget.limits[service]
             : nullptr;
}

/// Replaces the limits; `limits` is indexed by service. Keeps what was sent.
void SetWarmupLimits(WarmupBudget& budget, std::vector<WarmupLimit> limits);

/// Returns whether a flow may be sent to a cold server now.
bool HasWarmupBudget(const WarmupBudget& budget, std::uint32_t server,
                     std::uint64_t incarnation, TimePoint now);

/// What an entry instance may send to a cold server.
struct WarmupAllowance {
  std::uint32_t flows_per_second = 0;  ///< Of the lease; 0: none is valid.
  std::uint32_t flows_left = 0;        ///< Flows that may be sent now.
};

/// Returns what may be sent to a cold server now. `flows_left` is above 0 if
/// and only if `HasWarmupBudget` returns true. For reports: the time it takes
/// is proportional to the flows sent lately.
WarmupAllowance WarmupAllowanceOf(const WarmupBudget& budget,
                                  std::uint32_t server,
                                  std::uint64_t incarnation, TimePoint now);

/// Records that a flow is sent to a cold server. Precondition:
/// `HasWarmupBudget` returns true.
void SpendWarmupBudget(WarmupBudget& budget, std::uint32_t server,
                       TimePoint now);

/// Returns whether a flow may be sent now to a server that is not known to be
/// cold, of a service with a limit: always while the servers are confirmed, and
/// otherwise one in each window, since the server may have started unheard.
inline bool MayBeSentFlow(const WarmupBudget& budget, std::uint32_t server,
                          TimePoint now) {
  return now < budget.confirmed_until || server >= budget.last_flow_at.size() ||
         budget.last_flow_at[server] + budget.timing.window <= now;
}

/// Records that a flow is sent to a server of a service with a limit, cold or
/// not.
void RecordLastFlow(WarmupBudget& budget, std::uint32_t server, TimePoint now);

/// Records a new flow of a service with a limit.
void RecordWarmupDemand(WarmupBudget& budget, std::uint32_t service,
                        TimePoint now);

/// Makes the next request due at once, but not before `interval` has passed
/// since the last one.
void ScheduleWarmupRequest(WarmupBudget& budget, Milliseconds interval,
                           TimePoint now);

/// Takes a lease. Ignores it when it has expired, when its request lies in the
/// future, or when a later one was taken.
void TakeWarmupLease(WarmupBudget& budget, std::uint32_t server,
                     std::uint64_t incarnation, std::uint32_t flows_per_second,
                     TimePoint requested_at, TimePoint now);

/// Returns the demand of the services that have cold servers and had flows
/// lately, and starts to count anew. To be called when a request is due.
std::vector<WarmupDemandItem> TakeWarmupDemand(WarmupBudget& budget,
                                               TimePoint now);

/// Returns whether requests have been unanswered for as long as a lease is
/// valid. This instance then holds no lease, and does not know of a leader that
/// grants any. An instance whose request was answered without a lease does not
/// lack grants: others hold the leases.
bool LacksWarmupGrants(const WarmupBudget& budget, TimePoint now);

/// Returns the flows a second of all valid leases.
std::uint64_t CountLeasedFlows(const WarmupBudget& budget, TimePoint now);

}  // namespace filbertwall
