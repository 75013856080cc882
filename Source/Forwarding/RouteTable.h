#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Placement/Placement.h"
#include "Wire/distribution.pb.h"

/// The addresses that flows may be opened to, for look-ups on the packet path.
namespace filbertwall {

/// An address as one number, the key of a route.
using RouteKey = std::uint64_t;

inline RouteKey KeyOf(const Endpoint& address) {
  return static_cast<RouteKey>(address.ip) << 16U | address.port;
}

struct ServiceShare {
  ServiceIndex service = 0;
  std::uint32_t weight = 1;
};

struct RouteEntry {
  std::vector<ServiceShare> shares;
  std::uint32_t total_weight = 0;
  wire::RequestKind kind = wire::REQUEST_UNSAFE;
  Milliseconds timeout{0};
  Milliseconds objective{0};
  std::uint32_t priority = 0;
};

struct RouteTable {
  std::uint64_t version = 0;
  std::unordered_map<RouteKey, RouteEntry> routes;
  /// Addresses that were dropped by a version in force here.
  std::unordered_map<RouteKey, std::uint64_t> dropped;
};

/// Puts an update in force. False when it does not fit the version in force:
/// older, or a difference to another version. Names of services are interned
/// into `placement`.
bool ApplyRoutes(RouteTable& table, const wire::RoutesUpdate& update,
                 Placement& placement);

/// The service of a new flow; the same for each copy of its opening packet.
ServiceIndex ServiceOf(const RouteEntry& route, std::uint64_t flow_hash);

}  // namespace filbertwall
