#include "Forwarding/RouteTable.h"

#include <set>
#include <string>

namespace filbertwall {
namespace {

RouteEntry MakeEntry(const wire::Route& route, Placement& placement) {
  RouteEntry entry{.kind = route.kind(),
                   .timeout = Milliseconds(route.timeout_ms()),
                   .objective = Milliseconds(route.objective_ms()),
                   .priority = route.priority(),
                   .regions = {route.regions().begin(), route.regions().end()}};
  for (const wire::RouteShare& share : route.shares()) {
    if (share.weight() > 0) {
      entry.shares.push_back(
          ServiceShare{.service = InternService(placement, share.service()),
                       .weight = share.weight()});
      entry.total_weight += share.weight();
    }
  }
  return entry;
}

/// Tells the placement which services the routes name.
void UpdateRoutedServices(const RouteTable& table, Placement& placement) {
  std::vector<bool> routed(placement.usable_by_service.size(), false);
  for (const auto& [key, entry] : table.routes) {
    for (const ServiceShare& share : entry.shares) {
      routed[share.service] = true;
    }
  }
  if (routed != placement.routed_by_service) {
    placement.routed_by_service = std::move(routed);
    RefreshUsable(placement);
  }
}

/// Tells the placement in which regions the routes of each service may use
/// servers. A route without regions allows all.
void UpdateServiceRegions(const RouteTable& table, Placement& placement) {
  const std::size_t services = placement.usable_by_service.size();
  std::vector<std::set<std::string>> allowed(services);
  std::vector<bool> everywhere(services, false);
  for (const auto& [key, entry] : table.routes) {
    for (const ServiceShare& share : entry.shares) {
      allowed[share.service].insert(entry.regions.begin(), entry.regions.end());
      everywhere[share.service] =
          everywhere[share.service] || entry.regions.empty();
    }
  }
  placement.regions_by_service.assign(services, {});
  for (std::size_t i = 0; i < services; ++i) {
    if (!everywhere[i]) {
      placement.regions_by_service[i].assign(allowed[i].begin(),
                                             allowed[i].end());
    }
  }
}

/// Replaces the limits on new flows to servers that warm up.
void ApplyWarmupLimits(const wire::RoutesUpdate& update, Placement& placement) {
  std::vector<WarmupLimit> limits;
  for (const wire::ServiceWarmup& item : update.services()) {
    const ServiceIndex service = InternService(placement, item.service());
    limits.resize(placement.usable_by_service.size());
    limits[service] = {.duration = Milliseconds(item.warmup_ms()),
                       .flows_per_second = item.flows_per_second()};
  }
  SetWarmupLimits(placement.warmup, std::move(limits));
}

}  // namespace

bool ApplyRoutes(RouteTable& table, const wire::RoutesUpdate& update,
                 Placement& placement) {
  const bool is_full_update = update.base_version() == 0;
  if (update.version() <= table.version ||
      (!is_full_update && update.base_version() != table.version)) {
    return false;
  }
  std::unordered_map<RouteKey, RouteEntry> previous;
  if (is_full_update) {
    previous.swap(table.routes);
  }
  for (const wire::Route& route : update.set()) {
    const RouteKey key = KeyOf(Endpoint{
        .ip = route.ip(), .port = static_cast<std::uint16_t>(route.port())});
    table.routes[key] = MakeEntry(route, placement);
    table.dropped.erase(key);
  }
  for (const auto& [key, entry] : previous) {
    if (!table.routes.contains(key)) {
      table.dropped[key] = update.version();
    }
  }
  for (const RouteKey key : update.removed()) {
    table.routes.erase(key);
    table.dropped[key] = update.version();
  }
  table.version = update.version();
  ApplyWarmupLimits(update, placement);
  UpdateRoutedServices(table, placement);
  UpdateServiceRegions(table, placement);
  return true;
}

ServiceIndex ServiceOf(const RouteEntry& route, std::uint64_t flow_hash) {
  std::uint64_t point = flow_hash % route.total_weight;
  for (const ServiceShare& share : route.shares) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return route.shares.back().service;
}

}  // namespace filbertwall
