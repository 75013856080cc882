#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Placement/Placement.h"
#include "Wire/distribution.pb.h"

/// Routes by service address, for look-ups on the packet path.
namespace filbertwall {

/// A service address packed into an integer: IP address and port.
using RouteKey = std::uint64_t;

inline RouteKey KeyOf(const Endpoint& address) {
  return static_cast<RouteKey>(address.ip) << 16U | address.port;
}

/// A service that receives a share of a route's flows, by weight.
struct ServiceShare {
  ServiceIndex service = 0;
  std::uint32_t weight = 1;
};

struct RouteEntry {
  /// Shares with a weight above zero; may be empty.
  std::vector<ServiceShare> shares;
  std::uint64_t total_weight = 0;
  wire::RequestKind kind = wire::REQUEST_UNSAFE;  ///< Unsafe: not retryable.
  Milliseconds timeout{0};                        ///< Request timeout.
  Milliseconds objective{0};  ///< Latency objective; 0: none.
  std::uint32_t priority = 0;
  /// Regions of the servers that may be used; empty: all.
  std::vector<std::string> regions;
};

struct RouteTable {
  std::uint64_t version = 0;
  std::unordered_map<RouteKey, RouteEntry> routes;
  /// Removed addresses, with the rules version that removed each. Packets of
  /// their open flows are reset rather than forwarded by token.
  std::unordered_map<RouteKey, std::uint64_t> dropped;
};

/// Applies an update. Returns false, without any change, when the update is not
/// newer than the current version, or is a delta against another version.
/// Service names are interned into `placement`.
bool ApplyRoutes(RouteTable& table, const wire::RoutesUpdate& update,
                 Placement& placement);

/// Selects the service of a new flow by the flow's hash and the weights of the
/// route's shares, so that all copies of an opening packet get the same service
/// while the route is unchanged. Precondition: the route has a share.
ServiceIndex ServiceOf(const RouteEntry& route, std::uint64_t flow_hash);

}  // namespace filbertwall
