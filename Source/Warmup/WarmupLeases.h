#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Base/Time.h"
#include "Warmup/WarmupTiming.h"

/// The leader's table of leases on the limits of cold servers. Plain state and
/// pure functions; not thread safe.
///
/// At any time, the leases on a server that may still be in use sum up to its
/// limit at most. Each request costs time by the leases that it is granted, not
/// by the number of servers or instances.
namespace filbertwall {

/// One life of an entry instance. After a restart it holds nothing of what its
/// earlier life holds.
struct WarmupHolder {
  std::uint32_t instance = 0;
  std::uint64_t incarnation = 0;
  auto operator<=>(const WarmupHolder&) const = default;
};

/// A server that warms up.
struct ColdServer {
  std::string id;
  std::uint64_t incarnation = 0;
  std::uint32_t flows_per_second = 0;  ///< Its limit.
};

/// A lease that may still be in use.
struct HeldLease {
  std::uint32_t flows_per_second = 0;
  TimePoint held_until;
};

struct LeasedServer {
  std::uint64_t incarnation = 0;
  std::uint32_t limit = 0;  ///< Flows a second; 0: not cold any more.
  /// Sum over all holders of the largest lease that each may still use.
  std::uint32_t reserved = 0;
  /// By holder; later leases are smaller, and the larger ones before them are
  /// still counted.
  std::map<WarmupHolder, std::vector<HeldLease>> held;
};

struct WarmupHolderState {
  std::uint32_t demand = 0;  ///< Flows a second; 0 once it has expired.
  TimePoint demanded_at;
  std::set<std::string> servers;  ///< Servers on which it holds leases.
};

/// The cold servers of one service.
struct WarmupPool {
  std::map<std::string, LeasedServer> servers;
  std::map<WarmupHolder, WarmupHolderState> holders;
  /// Servers with a part of the limit that is not reserved, by that part.
  std::set<std::pair<std::uint32_t, std::string>> free;
  /// Ends of leases and of demands, in order.
  std::deque<std::pair<TimePoint, std::pair<WarmupHolder, std::string>>>
      lease_ends;
  std::deque<std::pair<TimePoint, WarmupHolder>> demand_ends;
  /// Holders with demand and without any lease.
  std::set<WarmupHolder> waiting;
  std::uint64_t total_free = 0;  ///< Sum of the parts in `free`.
  std::uint64_t total_limit = 0;
  std::uint64_t total_demand = 0;
  TimePoint demanded_since;  ///< The first of the present demands.
};

struct WarmupLeases {
  WarmupTiming timing;
  std::map<std::string, WarmupPool> pools;  ///< By service.
};

struct GrantedLease {
  std::string server;
  std::uint64_t incarnation = 0;
  std::uint32_t flows_per_second = 0;
};

/// Replaces the list of cold servers of a service. Leases on servers that are
/// not listed any more are counted until they end.
void SetColdServers(WarmupLeases& leases, const std::string& service,
                    const std::vector<ColdServer>& servers);

/// Removes expired leases, and services without any.
void ExpireWarmupLeases(WarmupLeases& leases, TimePoint now);

/// Grants leases on the cold servers of a service to an instance that wants to
/// send `demand` flows a second: in proportion to the demands of all, at least
/// one flow a second if any is left. Leases that it holds are renewed first;
/// those beyond its share only while no other instance waits for its first.
/// Precondition: `now` does not decrease between calls.
std::vector<GrantedLease> GrantWarmupLeases(WarmupLeases& leases,
                                            const std::string& service,
                                            const WarmupHolder& holder,
                                            std::uint32_t demand,
                                            TimePoint now);

/// Returns how long after its election a leader grants nothing: until no lease
/// of an earlier leader can be in use.
Milliseconds InheritedLeaseTime(const WarmupTiming& timing);

/// Returns the flows a second that are leased, and the number of cold servers.
struct WarmupTotals {
  std::uint64_t leased = 0;
  std::uint64_t cold_servers = 0;
};
WarmupTotals SumWarmupLeases(const WarmupLeases& leases);

}  // namespace filbertwall
