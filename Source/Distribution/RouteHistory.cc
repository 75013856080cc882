#include "Distribution/RouteHistory.h"

#include <algorithm>
#include <cmath>

#include "Base/InputError.h"

namespace filbertwall {
namespace {

constexpr std::size_t kMaxVersions = 12;

wire::RequestKind RequestKindOf(RouteKind kind) {
  switch (kind) {
    case RouteKind::kSafe:
      return wire::REQUEST_SAFE;
    case RouteKind::kDownload:
      return wire::REQUEST_DOWNLOAD;
    case RouteKind::kUnsafe:
      break;
  }
  return wire::REQUEST_UNSAFE;
}

wire::Route MakeRoute(const AddressRule& rule) {
  wire::Route route;
  route.set_ip(rule.address.ip);
  route.set_port(rule.address.port);
  for (const WeightedService& share : rule.shares) {
    wire::RouteShare& item = *route.add_shares();
    // An earlier build cannot parse an update with a name that is not UTF-8.
    item.set_service(IsUtf8(share.service) ? share.service : "");
    item.set_weight(share.weight);
  }
  route.set_kind(RequestKindOf(rule.route_settings.kind));
  route.set_timeout_ms(
      static_cast<std::uint32_t>(rule.route_settings.timeout.count()));
  route.set_objective_ms(
      static_cast<std::uint32_t>(rule.route_settings.objective.count()));
  route.set_priority(rule.route_settings.priority);
  for (const std::string& region : rule.route_settings.regions) {
    route.add_regions(region);
  }
  return route;
}

}  // namespace

std::uint32_t WholeFlowsPerSecond(const WarmupRule& warmup) {
  return warmup.flows_per_second > 0
             ? static_cast<std::uint32_t>(
                   std::max(1.0, std::floor(warmup.flows_per_second)))
             : 0;
}

void AddVersion(RouteHistory& history, const Rules& rules) {
  RouteSet& set = history.versions[rules.version];
  for (const auto& [address, rule] : rules.addresses) {
    const std::uint64_t key =
        static_cast<std::uint64_t>(address.ip) << 16U | address.port;
    set.routes[key] = MakeRoute(rule).SerializeAsString();
  }
  for (const auto& [name, rule] : rules.services) {
    const std::uint32_t flows_per_second = WholeFlowsPerSecond(rule.warmup);
    if (flows_per_second > 0) {
      wire::ServiceWarmup& item = set.services.emplace_back();
      item.set_service(name);
      item.set_warmup_ms(
          static_cast<std::uint32_t>(rule.warmup.duration.count()));
      item.set_flows_per_second(flows_per_second);
    }
  }
  while (history.versions.size() > kMaxVersions) {
    history.versions.erase(history.versions.begin());
  }
}

wire::RoutesUpdate RoutesSince(const RouteHistory& history,
                               std::uint64_t base) {
  wire::RoutesUpdate update;
  if (history.versions.empty() || history.versions.rbegin()->first <= base) {
    return update;
  }
  const auto& [version, newest] = *history.versions.rbegin();
  const auto base_position = history.versions.find(base);
  static const RouteSet kEmpty;
  const bool full_update = base_position == history.versions.end();
  const RouteSet& base_routes = full_update ? kEmpty : base_position->second;
  update.set_version(version);
  update.set_base_version(full_update ? 0 : base);
  for (const auto& [key, bytes] : newest.routes) {
    const auto previous = base_routes.routes.find(key);
    if (previous == base_routes.routes.end() || previous->second != bytes) {
      update.add_set()->ParseFromString(bytes);
    }
  }
  for (const auto& [key, bytes] : base_routes.routes) {
    if (!newest.routes.contains(key)) {
      update.add_removed(key);
    }
  }
  for (const wire::ServiceWarmup& service : newest.services) {
    *update.add_services() = service;
  }
  return update;
}

}  // namespace filbertwall
