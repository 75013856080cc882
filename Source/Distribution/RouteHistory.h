#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Rules/Rules.h"
#include "Wire/distribution.pb.h"

/// Routes of the most recent rules versions, from which incremental updates are
/// computed.
///
/// Plain state and pure functions; not thread safe.
namespace filbertwall {

/// The serialized routes of one rules version.
struct RouteSet {
  /// By IP address and port; the key is `ip << 16 | port`.
  std::map<std::uint64_t, std::string> routes;
  /// Services with a limit on the new flows to servers that warm up.
  std::vector<wire::ServiceWarmup> services;
};

struct RouteHistory {
  /// By rules version.
  std::map<std::uint64_t, RouteSet> versions;
};

/// Returns the flows a second that a server may get while it warms up, by the
/// rate of its service: the whole part of it, and at least one; 0: no limit.
std::uint32_t WholeFlowsPerSecond(const WarmupRule& warmup);

/// Adds the routes of a rules version and removes the oldest versions, so that
/// at most 12 remain.
void AddVersion(RouteHistory& history, const Rules& rules);

/// Returns the update from version `base` to the newest version: the difference
/// when the history contains `base`, otherwise every route. The message is
/// empty when `base` is the newest version or later. Otherwise it names all
/// services with a warm-up limit.
wire::RoutesUpdate RoutesSince(const RouteHistory& history, std::uint64_t base);

}  // namespace filbertwall
