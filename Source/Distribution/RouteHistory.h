#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Rules/Rules.h"
#include "Wire/distribution.pb.h"

/// Routes of the most recent rules versions, from which incremental updates are
/// computed.
///
/// Plain state and pure functions; not thread safe.
namespace filbertwall {

/// The serialized routes of one version, by IP address and port.
struct RouteSet {
  std::map<std::uint64_t, std::string> routes;
};

struct RouteHistory {
  std::map<std::uint64_t, RouteSet> versions;
};

/// Adds the routes of a version and removes the oldest versions above the
/// limit.
void AddVersion(RouteHistory& history, const Rules& rules);

/// Returns the update from version `base` to the newest version: the difference
/// when the history contains `base`, otherwise every route. The message is
/// empty when `base` is the newest version or later.
wire::RoutesUpdate RoutesSince(const RouteHistory& history, std::uint64_t base);

}  // namespace filbertwall
