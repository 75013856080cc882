#include "Warmup/WarmupLeases.h"

#include <algorithm>
#include <iterator>

namespace filbertwall {
namespace {

/// Demand that was not repeated for this long is not counted. Requests come
/// every 0.4 s, and one may be lost.
constexpr Milliseconds kDemandLifetime{1000};
/// Limits the size of a grant to about 10 kB.
constexpr std::size_t kMaxLeasesPerGrant = 200;
/// Maximum number of holders of one service; further ones are granted nothing.
constexpr std::size_t kMaxHolders = 8192;

std::uint32_t FreePart(const LeasedServer& server) {
  return server.limit > server.reserved ? server.limit - server.reserved : 0;
}

/// Changes a server and keeps the index of free parts in step.
template <typename Change>
void ChangeServer(WarmupPool& pool, const std::string& id, LeasedServer& server,
                  Change change) {
  pool.free.erase({FreePart(server), id});
  pool.total_free -= FreePart(server);
  change(server);
  pool.total_free += FreePart(server);
  if (FreePart(server) > 0) {
    pool.free.emplace(FreePart(server), id);
  }
}

void SetLimit(WarmupPool& pool, const std::string& id, LeasedServer& server,
              std::uint32_t limit) {
  pool.total_limit = pool.total_limit - server.limit + limit;
  ChangeServer(pool, id, server,
               [&](LeasedServer& item) { item.limit = limit; });
}

/// Returns the part of the limit that other holders have reserved.
std::uint32_t ReservedByOthers(const LeasedServer& server,
                               const WarmupHolder& holder) {
  const auto own = server.held.find(holder);
  return own == server.held.end()
             ? server.reserved
             : server.reserved - own->second.front().flows_per_second;
}

void Reserve(WarmupPool& pool, const std::string& id,
             const WarmupHolder& holder, std::uint32_t flows_per_second,
             TimePoint held_until) {
  LeasedServer& server = pool.servers.at(id);
  const std::uint32_t others = ReservedByOthers(server, holder);
  std::vector<HeldLease>& held = server.held[holder];
  while (!held.empty() && held.back().flows_per_second <= flows_per_second) {
    held.pop_back();
  }
  held.push_back(HeldLease{.flows_per_second = flows_per_second,
                           .held_until = held_until});
  ChangeServer(pool, id, server, [&](LeasedServer& item) {
    item.reserved = others + held.front().flows_per_second;
  });
  pool.lease_ends.emplace_back(held_until, std::pair(holder, id));
  pool.holders[holder].servers.insert(id);
  pool.waiting.erase(holder);
}

/// Removes the leases of a holder on a server that have ended by `now`.
void EndLeases(WarmupPool& pool, const WarmupHolder& holder,
               const std::string& id, TimePoint now) {
  const auto found = pool.servers.find(id);
  if (found == pool.servers.end() || !found->second.held.contains(holder)) {
    return;
  }
  LeasedServer& server = found->second;
  const std::uint32_t others = ReservedByOthers(server, holder);
  std::vector<HeldLease>& held = server.held.at(holder);
  std::erase_if(
      held, [&](const HeldLease& lease) { return lease.held_until <= now; });
  ChangeServer(pool, id, server, [&](LeasedServer& item) {
    item.reserved = others + (held.empty() ? 0 : held.front().flows_per_second);
  });
  if (!held.empty()) {
    return;
  }
  server.held.erase(holder);
  WarmupHolderState& state = pool.holders[holder];
  state.servers.erase(id);
  if (state.servers.empty() && state.demand > 0) {
    pool.waiting.insert(holder);
  }
  if (server.held.empty() && server.limit == 0) {
    pool.servers.erase(found);
  }
}

void RemoveIfIdle(WarmupPool& pool, const WarmupHolder& holder) {
  const auto found = pool.holders.find(holder);
  if (found != pool.holders.end() && found->second.demand == 0 &&
      found->second.servers.empty()) {
    pool.holders.erase(found);
  }
}

void ExpirePool(WarmupPool& pool, TimePoint now) {
  while (!pool.lease_ends.empty() && pool.lease_ends.front().first <= now) {
    const auto [holder, id] = pool.lease_ends.front().second;
    pool.lease_ends.pop_front();
    EndLeases(pool, holder, id, now);
    RemoveIfIdle(pool, holder);
  }
  while (!pool.demand_ends.empty() && pool.demand_ends.front().first <= now) {
    const WarmupHolder holder = pool.demand_ends.front().second;
    pool.demand_ends.pop_front();
    const auto found = pool.holders.find(holder);
    if (found == pool.holders.end() ||
        now < found->second.demanded_at + kDemandLifetime) {
      continue;
    }
    pool.total_demand -= found->second.demand;
    found->second.demand = 0;
    pool.waiting.erase(holder);
    RemoveIfIdle(pool, holder);
  }
}

void RecordDemand(WarmupPool& pool, const WarmupHolder& holder,
                  std::uint32_t demand, TimePoint now) {
  if (pool.total_demand == 0) {
    pool.demanded_since = now;
  }
  WarmupHolderState& state = pool.holders[holder];
  pool.total_demand = pool.total_demand - state.demand + demand;
  state.demand = demand;
  state.demanded_at = now;
  if (state.servers.empty()) {
    pool.waiting.insert(holder);
  }
  pool.demand_ends.emplace_back(now + kDemandLifetime, holder);
}

/// Returns how many flows a second the holder is to be granted: what it can
/// use, or its share when the demands exceed the limits.
std::uint64_t TargetOf(const WarmupPool& pool, const WarmupTiming& timing,
                       const WarmupHolder& holder, std::uint32_t demand,
                       TimePoint now) {
  if (now < pool.demanded_since + timing.collection) {
    return 1;
  }
  // A lease of one flow a second allows one flow a window.
  const auto window_ms = static_cast<std::uint64_t>(timing.window.count());
  constexpr std::uint64_t kSecondMs = 1000;
  const std::uint64_t usable = std::max<std::uint64_t>(
      1, (demand * window_ms + kSecondMs - 1) / kSecondMs);
  const std::uint64_t others_waiting =
      pool.waiting.size() - (pool.waiting.contains(holder) ? 1 : 0);
  const bool round_up = pool.total_free > others_waiting || others_waiting == 0;
  const std::uint64_t rounding = round_up ? pool.total_demand - 1 : 0;
  const std::uint64_t share =
      (pool.total_limit * demand + rounding) / pool.total_demand;
  return std::min(usable, std::max<std::uint64_t>(1, share));
}

}  // namespace

void SetColdServers(WarmupLeases& leases, const std::string& service,
                    const std::vector<ColdServer>& servers) {
  if (servers.empty() && !leases.pools.contains(service)) {
    return;
  }
  WarmupPool& pool = leases.pools[service];
  std::set<std::string> listed;
  for (const ColdServer& cold : servers) {
    LeasedServer& server = pool.servers[cold.id];
    server.incarnation = cold.incarnation;
    SetLimit(pool, cold.id, server, cold.flows_per_second);
    listed.insert(cold.id);
  }
  for (auto item = pool.servers.begin(); item != pool.servers.end();) {
    const auto next = std::next(item);
    if (!listed.contains(item->first)) {
      SetLimit(pool, item->first, item->second, 0);
      if (item->second.held.empty()) {
        pool.servers.erase(item);
      }
    }
    item = next;
  }
}

void ExpireWarmupLeases(WarmupLeases& leases, TimePoint now) {
  for (auto& [service, pool] : leases.pools) {
    ExpirePool(pool, now);
  }
  std::erase_if(leases.pools, [](const auto& item) {
    return item.second.servers.empty() && item.second.holders.empty();
  });
}

std::vector<GrantedLease> GrantWarmupLeases(WarmupLeases& leases,
                                            const std::string& service,
                                            const WarmupHolder& holder,
                                            std::uint32_t demand,
                                            TimePoint now) {
  std::vector<GrantedLease> granted;
  const auto found = leases.pools.find(service);
  if (found == leases.pools.end() || demand == 0) {
    return granted;
  }
  WarmupPool& pool = found->second;
  ExpirePool(pool, now);
  if (pool.holders.size() >= kMaxHolders && !pool.holders.contains(holder)) {
    return granted;
  }
  RecordDemand(pool, holder, demand, now);
  const TimePoint held_until = now + leases.timing.lease + leases.timing.hold;
  std::uint64_t missing = TargetOf(pool, leases.timing, holder, demand, now);
  const auto grant = [&](const std::string& id, std::uint64_t limit) {
    LeasedServer& server = pool.servers.at(id);
    const auto flows_per_second = static_cast<std::uint32_t>(
        std::min({missing, limit, std::uint64_t{server.limit}}));
    if (flows_per_second == 0) {
      return;
    }
    missing -= flows_per_second;
    granted.push_back(GrantedLease{.server = id,
                                   .incarnation = server.incarnation,
                                   .flows_per_second = flows_per_second});
    Reserve(pool, id, holder, flows_per_second, held_until);
  };
  const std::set<std::string> held_servers = pool.holders[holder].servers;
  for (const std::string& id : held_servers) {
    if (missing == 0 || granted.size() >= kMaxLeasesPerGrant) {
      break;
    }
    const LeasedServer& server = pool.servers.at(id);
    const std::uint32_t others = ReservedByOthers(server, holder);
    grant(id, server.limit > others ? server.limit - others : 0);
  }
  while (missing > 0 && !pool.free.empty() &&
         granted.size() < kMaxLeasesPerGrant) {
    const auto [part, id] = *pool.free.rbegin();
    if (held_servers.contains(id)) {
      // It was granted above as far as possible; what is free of it belongs to
      // a lease that the limit on their number has cut off.
      break;
    }
    grant(id, part);
  }
  return granted;
}

Milliseconds InheritedLeaseTime(const WarmupTiming& timing) {
  return timing.lease + timing.hold;
}

WarmupTotals SumWarmupLeases(const WarmupLeases& leases) {
  WarmupTotals totals;
  for (const auto& [service, pool] : leases.pools) {
    for (const auto& [id, server] : pool.servers) {
      totals.leased += server.reserved;
      totals.cold_servers += server.limit > 0 ? 1 : 0;
    }
  }
  return totals;
}

}  // namespace filbertwall
