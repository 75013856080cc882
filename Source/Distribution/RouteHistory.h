#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Rules/Rules.h"
#include "Wire/distribution.pb.h"

/// The routes of the last few versions, to send only what changed.
///
/// Plain state and pure functions; not thread safe.
namespace filbertwall {

/// The routes of one version, serialized, by address.
struct RouteSet {
  std::map<std::uint64_t, std::string> routes;
};

struct RouteHistory {
  std::map<std::uint64_t, RouteSet> versions;
};

/// Adds the routes of a version and forgets the oldest beyond the limit.
void AddVersion(RouteHistory& history, const Rules& rules);

/// What an instance with `base` lacks to have the newest version: the
/// difference when `base` is remembered, else every route. An empty message
/// when it lacks nothing.
wire::RoutesUpdate RoutesSince(const RouteHistory& history, std::uint64_t base);

}  // namespace filbertwall
