#include "Forwarding/Forwarder.h"

#include <algorithm>

#include "Base/Hash.h"
#include "Forwarding/FlowClassOf.h"
#include "Forwarding/FlowTimes.h"

namespace filbertwall {
namespace {

/// Flows are tracked this much longer than the route's request timeout.
constexpr Milliseconds kExpiryMargin{500};

/// A server has had no time to answer an opening packet that was forwarded more
/// recently than this.
constexpr Milliseconds kMinAnswerTime{50};

/// A busy server exceeds the latency objective moderately. A flow that takes
/// this many times the objective indicates a server that does not answer.
constexpr int kObjectivesUntilFailed = 2;

/// Returns the time after which an open flow counts as failed.
Milliseconds FailureTimeout(const RouteEntry& route) {
  const bool has_objective = route.objective.count() > 0;
  return has_objective ? route.objective * kObjectivesUntilFailed
                       : route.timeout;
}

Decision Drop(ForwardReason reason) {
  return Decision{.verdict = Verdict::kDrop, .reason = reason};
}

Decision Reset(ForwardReason reason) {
  return Decision{.verdict = Verdict::kReset, .reason = reason};
}

ReleaseWindow& WindowOf(Forwarder& forwarder, ServiceIndex service) {
  return LateServiceOf(forwarder.late, service).window;
}

/// Removes a flow from the window of its service if it is still included.
void RemoveFromWindow(Forwarder& forwarder, OpenFlow& flow) {
  if (flow.late) {
    flow.late = false;
    RemoveLateFlow(WindowOf(forwarder, flow.service));
  }
}

/// Returns the expected duration of a flow without queueing.
Milliseconds UsualDuration(const Forwarder& forwarder, const RouteEntry& route,
                           ServiceIndex service) {
  // Shares of the objective: assumed while nothing is measured, and the most
  // that is believed, since a service may be overloaded from the start on.
  constexpr double kDefaultSlowness = 0.25;
  constexpr double kMaxSlowness = 0.5;
  const bool known = service < forwarder.late.services.size();
  const double measured =
      known ? forwarder.late.services[service].window.usual_slowness : 0;
  const double slowness =
      measured > 0 ? std::min(kMaxSlowness, measured) : kDefaultSlowness;
  return Milliseconds(static_cast<std::int64_t>(
      slowness * static_cast<double>(route.objective.count())));
}

/// Whether the answer to a caller that has waited `waited` misses the latency
/// objective even without queueing.
bool IsLate(const Forwarder& forwarder, const RouteEntry& route,
            ServiceIndex service, Milliseconds waited) {
  return route.objective.count() > 0 &&
         waited + UsualDuration(forwarder, route, service) > route.objective;
}

/// Returns the decision to store a late opening packet.
Decision HoldLate(const Forwarder& forwarder, const FlowPacket& packet,
                  const RouteEntry& route, ServiceIndex service,
                  TimePoint now) {
  return Decision{
      .verdict = Verdict::kHold,
      .reason = ForwardReason::kLate,
      .service = service,
      .late_order = MakeLateOrder(
          packet, route, UsualDuration(forwarder, route, service), now)};
}

using FlowPosition = decltype(Forwarder::flows)::iterator;

/// Removes a flow and its timer.
void RemoveFlow(Forwarder& forwarder, FlowPosition flow) {
  forwarder.timers.erase({flow->second.due_at, flow->first});
  forwarder.flows.erase(flow);
}

/// Adds a flow to the tracked ones. Precondition: its key is not tracked.
void TrackFlow(Forwarder& forwarder, const FlowPacket& packet,
               ServerIndex server, const RouteEntry& route, bool late,
               TimePoint now) {
  if (forwarder.flows.size() >= forwarder.flow_limit) {
    return;
  }
  const TimePoint expires_at = now + route.timeout + kExpiryMargin;
  const TimePoint fails_at = std::min(now + FailureTimeout(route), expires_at);
  forwarder.flows[packet.key] =
      OpenFlow{.server = server,
               .service = forwarder.placement.servers[server].service,
               .opened_at = now,
               .fails_at = fails_at,
               .expires_at = expires_at,
               .due_at = fails_at,
               .late = late,
               .download = route.kind == wire::REQUEST_DOWNLOAD,
               .objective = route.objective};
  if (late) {
    AddLateFlow(
        WindowOf(forwarder, forwarder.placement.servers[server].service));
  }
  forwarder.timers.emplace(fails_at, packet.key);
  RecordOpening(forwarder.placement.servers[server], now);
}

/// Whether a new flow is refused for overload. Retransmitted opening packets
/// never are, because a server may have accepted the flow already.
bool IsRefusedForOverload(Forwarder& forwarder, const FlowPacket& packet,
                          const RouteEntry& route, ServiceIndex service,
                          TimePoint now) {
  return forwarder.refuses_overload && IsSubjectToAdmission(packet, route) &&
         !Admit(forwarder.admission,
                MakeAdmissionRequest(packet, route, service), now);
}

/// Removes a flow from the in-flight count if it is still included.
void RemoveFromAdmission(Forwarder& forwarder, const OpenFlow& flow) {
  if (flow.answered && !flow.overdue) {
    RemoveFlowInFlight(forwarder.admission, flow.service);
  }
}

/// Returns the decision on a flow for which no server can be chosen.
Decision RefuseWithoutServer(Forwarder& forwarder,
                             const PlacementRequest& flow) {
  const bool elsewhere =
      !flow.regions.empty() &&
      !forwarder.placement.usable_by_service[flow.service].empty();
  (elsewhere ? forwarder.counters.no_server_in_region
             : forwarder.counters.no_server) += 1;
  return Reset(elsewhere ? ForwardReason::kNoServerInRegion
                         : ForwardReason::kNoServer);
}

Decision HandleOpening(Forwarder& forwarder, const FlowPacket& packet,
                       TimePoint now) {
  const auto route = forwarder.routes.routes.find(KeyOf(packet.key.address));
  if (route == forwarder.routes.routes.end()) {
    forwarder.counters.no_route += 1;
    return Reset(ForwardReason::kNoRoute);
  }
  if (route->second.shares.empty()) {
    forwarder.counters.no_server += 1;
    return Reset(ForwardReason::kNoServer);
  }
  std::optional<ServerIndex> unanswered_server;
  const auto known = forwarder.flows.find(packet.key);
  if (known != forwarder.flows.end()) {
    // A copy is not a sign of a lost server when that server has accepted the
    // flow already, or when the previous copy was delayed on its way through
    // this instance. A second server would accept the flow as well.
    if (known->second.answered ||
        now - known->second.opened_at < kMinAnswerTime) {
      return Decision{.verdict = Verdict::kForward,
                      .reason = ForwardReason::kToken,
                      .server = known->second.server};
    }
    unanswered_server = known->second.server;
    RecordUnanswered(forwarder.placement, *unanswered_server, now);
    RemoveFromWindow(forwarder, known->second);
    RemoveFlow(forwarder, known);
  }
  const ServiceIndex service =
      ServiceOf(route->second, FlowKeyHash()(packet.key));
  if (IsEmptiedByEvacuation(forwarder.placement, service)) {
    forwarder.counters.no_server += 1;
    return Reset(ForwardReason::kNoServer);
  }
  // A copy that another server is to answer is urgent: the first server is
  // probably lost.
  const bool late =
      !unanswered_server &&
      IsLate(forwarder, route->second, service, packet.since_first_copy);
  if (late && !HasRoom(WindowOf(forwarder, service))) {
    return HoldLate(forwarder, packet, route->second, service, now);
  }
  if (!late &&
      IsRefusedForOverload(forwarder, packet, route->second, service, now)) {
    forwarder.counters.overload += 1;
    return Reset(ForwardReason::kOverload);
  }
  const PlacementRequest flow{
      .service = service,
      .unanswered_server = unanswered_server,
      .retryable = route->second.kind != wire::REQUEST_UNSAFE,
      .regions = route->second.regions};
  const auto server = ChooseServer(forwarder.placement, flow, now);
  if (!server) {
    return RefuseWithoutServer(forwarder, flow);
  }
  TrackFlow(forwarder, packet, *server, route->second, late, now);
  forwarder.counters.placed += 1;
  forwarder.counters.placed_again += unanswered_server ? 1 : 0;
  return Decision{.verdict = Verdict::kForward,
                  .reason = unanswered_server ? ForwardReason::kPlacedAgain
                                              : ForwardReason::kPlaced,
                  .server = *server};
}

/// Updates the highest acknowledgement number. Sequence numbers wrap, and
/// packets may be reordered. A step of more than 1 MiB means that two servers
/// have answered the opening packet, so the answer's length is unknown.
void UpdateAckNumber(OpenFlow& flow, std::uint32_t ack_number) {
  constexpr std::int32_t kMaxStep = 1 << 20;
  const auto step = static_cast<std::int32_t>(ack_number - flow.ack_number);
  if (step > kMaxStep || step < -kMaxStep) {
    flow.length_valid = false;
  } else if (step > 0) {
    flow.ack_number = ack_number;
  }
}

/// Reports the duration of a successful flow to admission control and to the
/// release window. Overdue flows are excluded: they indicate a network fault or
/// a failing server, not queueing.
void RecordDuration(Forwarder& forwarder, const OpenFlow& flow, bool succeeded,
                    TimePoint now) {
  if (succeeded && flow.answered && !flow.overdue &&
      flow.objective.count() > 0) {
    const auto duration =
        std::chrono::duration_cast<Milliseconds>(now - flow.opened_at);
    RecordFlowDuration(forwarder.admission, flow.service, duration,
                       flow.objective, now);
    AdjustWindow(WindowOf(forwarder, flow.service), duration, flow.objective,
                 now);
  }
}

/// Updates a tracked flow, and the counts of placement, admission and outcomes,
/// from a packet after the opening one.
void TrackPacket(Forwarder& forwarder, const FlowPacket& packet,
                 TimePoint now) {
  const auto known = forwarder.flows.find(packet.key);
  if (known == forwarder.flows.end()) {
    return;
  }
  OpenFlow& flow = known->second;
  if (!flow.answered && !packet.aborts) {
    flow.answered = true;
    flow.first_ack_number = packet.ack_number;
    flow.ack_number = packet.ack_number;
    forwarder.first_answer.Add(
        std::chrono::duration_cast<Microseconds>(now - flow.opened_at));
    RecordAnswered(forwarder.placement, flow.server, now);
    AddFlowInFlight(forwarder.admission, flow.service);
  }
  UpdateAckNumber(flow, packet.ack_number);
  if (packet.closes || packet.aborts) {
    std::optional<Milliseconds> duration;
    if (packet.closes) {
      duration = std::chrono::duration_cast<Milliseconds>(now - flow.opened_at);
    }
    RecordFlowEnd(forwarder.placement, flow.server, flow.answered, duration,
                  now);
    RemoveFromAdmission(forwarder, flow);
    if (packet.closes && flow.length_valid) {
      const bool succeeded = RecordClosedFlow(
          forwarder.outcomes, KeyOf(packet.key.address), flow.server,
          flow.ack_number - flow.first_ack_number);
      RecordDuration(forwarder, flow, succeeded, now);
      if (succeeded) {
        RecordFlowTime(forwarder, flow, now);
      }
    } else if (packet.aborts && flow.answered && !flow.overdue) {
      RecordFailure(forwarder.outcomes, flow.server);
    }
    RemoveFromWindow(forwarder, flow);
    RemoveFlow(forwarder, known);
  }
}

/// Returns the server of the flow of a packet after the opening one; empty when
/// no known server has its token. If several have it, the flow's record shows
/// which one, unless another instance opened the flow.
std::optional<ServerIndex> FindServer(Forwarder& forwarder,
                                      const FlowPacket& packet) {
  const std::span<const ServerIndex> servers =
      FindServers(forwarder.placement.tokens, packet.token);
  if (servers.size() <= 1) {
    return servers.empty() ? std::nullopt : std::optional(servers.front());
  }
  const auto flow = forwarder.flows.find(packet.key);
  if (flow != forwarder.flows.end() &&
      std::find(servers.begin(), servers.end(), flow->second.server) !=
          servers.end()) {
    forwarder.counters.shared_token_own += 1;
    return flow->second.server;
  }
  forwarder.counters.shared_token_other += 1;
  return MostLikelyServer(forwarder.placement, servers);
}

}  // namespace

Decision DecidePacket(Forwarder& forwarder, const FlowPacket& packet,
                      TimePoint now) {
  ExpireFlows(forwarder, now);
  if (packet.opens && now < forwarder.discard_openings_until) {
    return Drop(ForwardReason::kStale);
  }
  if (packet.opens) {
    return forwarder.serving ? HandleOpening(forwarder, packet, now)
                             : Decision{.verdict = Verdict::kHold,
                                        .reason = ForwardReason::kNotServing};
  }
  DiscardOpening(forwarder.held, packet.key);
  DiscardLateOpening(forwarder.late, packet.key);
  // Before the packet ends the record of the flow.
  const std::optional<ServerIndex> server = FindServer(forwarder, packet);
  TrackPacket(forwarder, packet, now);
  if (forwarder.routes.dropped.contains(KeyOf(packet.key.address))) {
    forwarder.counters.no_route += 1;
    // A reset must not be answered with a reset: two instances could go on
    // answering each other.
    return packet.aborts ? Drop(ForwardReason::kRouteDropped)
                         : Reset(ForwardReason::kRouteDropped);
  }
  if (!server || forwarder.placement.servers[*server].address.ip == 0) {
    forwarder.counters.unknown_token += 1;
    return Drop(ForwardReason::kUnknownToken);
  }
  forwarder.counters.forwarded += 1;
  return Decision{.verdict = Verdict::kForward,
                  .reason = ForwardReason::kToken,
                  .server = *server};
}

void HoldPacket(Forwarder& forwarder, const FlowPacket& packet,
                const Decision& decision, std::span<const std::uint8_t> bytes,
                TimePoint now) {
  if (decision.reason == ForwardReason::kNotServing) {
    HoldOpening(forwarder.held, packet, bytes, now);
    return;
  }
  auto opening = MakeHeldOpening(packet, bytes, now);
  if (!opening) {
    forwarder.late.lapsed += 1;
    return;
  }
  HoldLateOpening(forwarder.late, decision.service, decision.late_order,
                  std::move(*opening), now);
}

bool MayBeInTime(const Forwarder& forwarder, const HeldOpening& opening,
                 TimePoint now) {
  const auto route = forwarder.routes.routes.find(KeyOf(opening.key.address));
  return route == forwarder.routes.routes.end() ||
         route->second.shares.empty() ||
         !IsLate(forwarder, route->second,
                 ServiceOf(route->second, FlowKeyHash()(opening.key)),
                 std::chrono::duration_cast<Milliseconds>(
                     now - opening.first_sent_at));
}

void ExpireFlows(Forwarder& forwarder, TimePoint now) {
  while (!forwarder.timers.empty() && forwarder.timers.begin()->first <= now) {
    const FlowKey key = forwarder.timers.begin()->second;
    forwarder.timers.erase(forwarder.timers.begin());
    const auto found = forwarder.flows.find(key);
    OpenFlow& flow = found->second;
    RemoveFromWindow(forwarder, flow);
    if (flow.answered && !flow.overdue) {
      RemoveFromAdmission(forwarder, flow);
      flow.overdue = true;
      RecordFailure(forwarder.outcomes, flow.server);
    }
    if (flow.expires_at > now) {
      flow.due_at = flow.expires_at;
      forwarder.timers.emplace(flow.due_at, key);
      continue;
    }
    RecordFlowEnd(forwarder.placement, flow.server, flow.answered, std::nullopt,
                  now);
    forwarder.counters.expired += 1;
    forwarder.flows.erase(found);
  }
}

}  // namespace filbertwall
