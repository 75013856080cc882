#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Base/Time.h"
#include "Warmup/WarmupLeases.h"

/// What a control instance keeps for the limits on new flows to cold servers.
/// The leader grants leases on them; the others only note what starts a
/// warm-up.
namespace filbertwall {

struct WarmupGrantCounters {
  std::uint64_t granted = 0;  ///< Requests that were answered.
  std::uint64_t refused = 0;  ///< Requests while this instance may not grant.
};

struct WarmupGrants {
  /// By service, of the newest committed rules; only services with a limit.
  std::map<std::string, WarmupLimit> limits;
  WarmupLeases leases;
  /// When the cold servers in `leases` were last taken from the registry, and
  /// the registry's change then.
  TimePoint refreshed_at;
  std::uint64_t refreshed_change = 0;
  /// Data centres evacuated by the committed state, as last seen.
  std::set<std::string> evacuated;
  /// `Replica::elected_at` of the election of which the wait was logged.
  TimePoint wait_logged_for;
  WarmupGrantCounters counters;
};

}  // namespace filbertwall
