#include "Forwarding/FlowExplanation.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "Forwarding/FlowClassOf.h"
#include "Placement/LoadDraw.h"

namespace filbertwall {
namespace {

/// The flow being explained: its route, service and the parts of the answer.
struct ExplainContext {
  const Forwarder& forwarder;
  const RouteEntry& route;
  ServiceIndex service = 0;
  TimePoint now;
  FlowExplanation& result;
};

/// Returns a forwarder that decides on a new flow as `forwarder` would. Tracked
/// flows and stored packets are left out, since no decision on a new flow
/// depends on them.
Forwarder CopyForDecision(const Forwarder& forwarder, const FlowQuery& query) {
  Forwarder copy;
  copy.placement = forwarder.placement;
  copy.routes.version = forwarder.routes.version;
  const auto route = forwarder.routes.routes.find(KeyOf(query.key.address));
  if (route != forwarder.routes.routes.end()) {
    copy.routes.routes.insert(*route);
  }
  copy.serving = forwarder.serving;
  copy.discard_openings_until = forwarder.discard_openings_until;
  copy.admission = forwarder.admission;
  copy.admission.refusal_interval = query.refusal_interval;
  copy.refuses_overload = forwarder.refuses_overload;
  for (const LateService& service : forwarder.late.services) {
    copy.late.services.push_back(LateService{.window = service.window});
  }
  return copy;
}

std::string ServiceName(const Placement& placement, ServiceIndex service) {
  const auto found =
      std::find_if(placement.services.begin(), placement.services.end(),
                   [&](const auto& item) { return item.second == service; });
  return found == placement.services.end() ? "" : found->first;
}

ExplainedRoute ExplainRoute(const Forwarder& forwarder,
                            const RouteEntry& route) {
  ExplainedRoute result{.kind = route.kind,
                        .priority = route.priority,
                        .timeout = route.timeout,
                        .objective = route.objective,
                        .regions = route.regions};
  for (const ServiceShare& share : route.shares) {
    result.shares.push_back(ExplainedShare{
        .service = ServiceName(forwarder.placement, share.service),
        .weight = share.weight});
  }
  return result;
}

DataCentreState StateOf(const ExplainContext& context,
                        const PlacedDataCentre& data_centre,
                        const ExplainedDataCentre& counted, bool answering) {
  if (!IsInRegions(context.route.regions, data_centre)) {
    return DataCentreState::kOutOfRegion;
  }
  if (data_centre.evacuated) {
    return DataCentreState::kEvacuated;
  }
  if (counted.usable == 0) {
    return DataCentreState::kNoServer;
  }
  if (context.now < data_centre.avoid_until) {
    return DataCentreState::kUnreachable;
  }
  return answering ? DataCentreState::kIn : DataCentreState::kNotAnswering;
}

/// Adds the data centres that have servers of the service. `view` holds their
/// loads, if these play a part.
void ExplainDataCentres(ExplainContext& context, const LoadView* view) {
  const Placement& placement = context.forwarder.placement;
  std::map<std::uint32_t, ExplainedDataCentre> counted;
  std::map<std::uint32_t, bool> answering;
  for (const PlacedServer& server : placement.servers) {
    if (server.service == context.service) {
      counted[server.data_centre].servers += 1;
    }
  }
  for (const ServerIndex index : placement.usable_by_service[context.service]) {
    const PlacedServer& server = placement.servers[index];
    counted[server.data_centre].usable += 1;
    answering[server.data_centre] =
        answering[server.data_centre] || !IsAvoided(server, context.now);
  }
  std::vector<ExplainedDataCentre>& items = context.result.data_centres;
  for (auto& [index, item] : counted) {
    const PlacedDataCentre& data_centre = placement.data_centres[index];
    item.name = data_centre.name;
    item.region = data_centre.region;
    item.state = StateOf(context, data_centre, item, answering[index]);
    if (view != nullptr) {
      item.load = view->data_centres[index].load;
      item.diverted_share = view->data_centres[index].diverted_share;
      context.result.draws.load =
          context.result.draws.load || item.diverted_share > 0;
    }
    items.push_back(std::move(item));
  }
  std::sort(
      items.begin(), items.end(),
      [](const ExplainedDataCentre& left, const ExplainedDataCentre& right) {
        return left.name < right.name;
      });
  if (items.size() > kMaxExplained) {
    context.result.data_centres_left_out = items.size() - kMaxExplained;
    items.resize(kMaxExplained);
  }
}

ServerState StateOf(const ExplainContext& context, ServerIndex index) {
  const Placement& placement = context.forwarder.placement;
  const PlacedServer& server = placement.servers[index];
  const PlacedDataCentre& data_centre =
      placement.data_centres[server.data_centre];
  const WarmupLimit* limit = FindWarmupLimit(placement.warmup, context.service);
  if (!IsInRegions(context.route.regions, data_centre)) {
    return ServerState::kOutOfRegion;
  }
  if (!MayTakeFlow(placement, index, limit, context.now)) {
    return IsCold(placement, server, *limit, context.now)
               ? ServerState::kNoBudget
               : ServerState::kUnconfirmed;
  }
  if (IsAvoided(server, context.now) || context.now < data_centre.avoid_until) {
    return ServerState::kAvoided;
  }
  return server.failing ? ServerState::kFailing : ServerState::kCandidate;
}

ExplainedServer ExplainServer(const ExplainContext& context,
                              ServerIndex index) {
  const Placement& placement = context.forwarder.placement;
  const PlacedServer& server = placement.servers[index];
  const WarmupLimit* limit = FindWarmupLimit(placement.warmup, context.service);
  const TimePoint cold_until =
      ColdUntil(placement, server, limit == nullptr ? WarmupLimit{} : *limit);
  ExplainedServer result{
      .id = server.id,
      .data_centre = placement.data_centres[server.data_centre].name,
      .state = StateOf(context, index),
      .in_flight = server.in_flight,
      .slots = server.slots,
      .slowness = server.slowness,
      .mean_duration_ms = server.mean_duration_ms,
      .limited = limit != nullptr && context.now < cold_until};
  if (context.now < cold_until) {
    result.warmup_left =
        std::chrono::ceil<Milliseconds>(cold_until - context.now);
  }
  if (result.limited) {
    result.allowance = WarmupAllowanceOf(placement.warmup, index,
                                         server.incarnation, context.now);
  }
  return result;
}

void ExplainServers(ExplainContext& context) {
  const Placement& placement = context.forwarder.placement;
  FlowExplanation& result = context.result;
  std::size_t may_take = 0;
  for (const ServerIndex index : placement.usable_by_service[context.service]) {
    const ExplainedServer& item =
        result.servers.emplace_back(ExplainServer(context, index));
    may_take += item.state == ServerState::kCandidate ? 1 : 0;
    result.draws.failing_server =
        result.draws.failing_server || item.state == ServerState::kFailing;
    result.draws.load = result.draws.load || item.slowness > 1;
  }
  result.draws.equal_cost = may_take > 1;
  result.draws.failing_server =
      result.draws.failing_server && context.route.kind != wire::REQUEST_UNSAFE;
  const auto rank = [&](const ExplainedServer& item) {
    return std::make_tuple(item.id != result.server, item.state,
                           item.data_centre, item.id);
  };
  std::sort(result.servers.begin(), result.servers.end(),
            [&](const ExplainedServer& left, const ExplainedServer& right) {
              return rank(left) < rank(right);
            });
  if (result.servers.size() > kMaxExplained) {
    result.servers_left_out = result.servers.size() - kMaxExplained;
    result.servers.resize(kMaxExplained);
  }
}

void ExplainAdmission(ExplainContext& context, const FlowPacket& packet,
                      Admission admission) {
  if (!context.forwarder.refuses_overload ||
      !IsSubjectToAdmission(packet, context.route)) {
    return;
  }
  ExplainedAdmission result{
      .flow_class = FlowClassOf(context.route),
      .decision = DecideAdmission(
          admission,
          MakeAdmissionRequest(packet, context.route, context.service),
          context.now)};
  const ServiceMeasurements& measured = admission.services[context.service];
  result.in_flight = measured.in_flight;
  result.effective_slots = measured.capacity.effective_slots;
  context.result.draws.admission =
      result.decision.share > 0 && result.decision.share < 1;
  context.result.admission = result;
}

/// Adds what the route and its service say to the explanation. `decided` is the
/// copy on which the decision was made.
void ExplainService(ExplainContext& context, const FlowPacket& packet,
                    const FlowQuery& query, Forwarder& decided) {
  const Placement& placement = context.forwarder.placement;
  const bool by_load = placement.config.balance_by_load;
  ExplainDataCentres(
      context,
      by_load ? &UpdateLoadView(decided.placement, context.service, context.now)
              : nullptr);
  if (!IsEmptiedByEvacuation(placement, context.service)) {
    Admission admission = context.forwarder.admission;
    admission.refusal_interval = query.refusal_interval;
    ExplainAdmission(context, packet, std::move(admission));
  }
  ExplainServers(context);
}

}  // namespace

const char* ForwardReasonName(ForwardReason reason) {
  switch (reason) {
    case ForwardReason::kToken:
      return "token";
    case ForwardReason::kPlaced:
      return "placed";
    case ForwardReason::kPlacedAgain:
      return "placed-again";
    case ForwardReason::kNoRoute:
      return "no-route";
    case ForwardReason::kRouteDropped:
      return "route-dropped";
    case ForwardReason::kUnknownToken:
      return "unknown-token";
    case ForwardReason::kNoServerInRegion:
      return "no-server-in-region";
    case ForwardReason::kNoServer:
      return "no-server";
    case ForwardReason::kOverload:
      return "overload";
    case ForwardReason::kLate:
      return "late";
    case ForwardReason::kNotServing:
      return "not-serving";
    case ForwardReason::kStale:
      return "stale";
  }
  return "";
}

FlowExplanation ExplainFlow(const Forwarder& forwarder, const FlowQuery& query,
                            TimePoint now) {
  const FlowPacket packet{.key = query.key, .opens = true};
  FlowExplanation result{.key = query.key,
                         .rules_version = forwarder.routes.version};
  Forwarder copy = CopyForDecision(forwarder, query);
  const Decision decision = DecidePacket(copy, packet, now);
  result.verdict = decision.verdict;
  result.reason = decision.reason;
  const WarmupCounters& before = forwarder.placement.warmup.counters;
  const WarmupCounters& after = copy.placement.warmup.counters;
  result.lacks_budget =
      after.refused > before.refused || after.unconfirmed > before.unconfirmed;
  if (decision.verdict == Verdict::kForward) {
    result.server = forwarder.placement.servers[decision.server].id;
  }
  const auto open = forwarder.flows.find(query.key);
  if (open != forwarder.flows.end()) {
    result.open_at = forwarder.placement.servers[open->second.server].id;
  }
  const RouteKey address = KeyOf(query.key.address);
  const auto route = forwarder.routes.routes.find(address);
  if (route == forwarder.routes.routes.end()) {
    result.route_removed = forwarder.routes.dropped.contains(address);
    return result;
  }
  result.route = ExplainRoute(forwarder, route->second);
  if (route->second.shares.empty()) {
    return result;
  }
  ExplainContext context{
      .forwarder = forwarder,
      .route = route->second,
      .service = ServiceOf(route->second, FlowKeyHash()(query.key)),
      .now = now,
      .result = result};
  result.route->service = ServiceName(forwarder.placement, context.service);
  result.draws.service = route->second.shares.size() > 1;
  ExplainService(context, packet, query, copy);
  return result;
}

}  // namespace filbertwall
