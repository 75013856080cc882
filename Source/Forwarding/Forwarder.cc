#include "Forwarding/Forwarder.h"

#include <algorithm>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// Flows are kept this long beyond the time limit of their requests.
constexpr Milliseconds kExpiryMargin{500};

/// Flows end later than their objective when servers are busy; much later ones
/// show a server that does not answer.
constexpr int kObjectivesUntilLate = 2;

/// When a flow that has not ended counts as failed.
Milliseconds LateAfter(const RouteEntry& route) {
  const bool has_objective = route.objective.count() > 0;
  return has_objective ? route.objective * kObjectivesUntilLate : route.timeout;
}

Decision Drop(ForwardReason reason) {
  return Decision{.verdict = Verdict::kDrop, .reason = reason};
}

Decision Reset(ForwardReason reason) {
  return Decision{.verdict = Verdict::kReset, .reason = reason};
}

void Remember(Forwarder& forwarder, const FlowPacket& packet,
              ServerIndex server, const RouteEntry& route, TimePoint now) {
  if (forwarder.flows.size() >= forwarder.flow_limit) {
    return;
  }
  const TimePoint expires_at = now + route.timeout + kExpiryMargin;
  const TimePoint due_at = std::min(now + LateAfter(route), expires_at);
  forwarder.flows[packet.key] =
      OpenFlow{.server = server,
               .service = forwarder.placement.servers[server].service,
               .opened_at = now,
               .due_at = due_at,
               .expires_at = expires_at,
               .objective = route.objective};
  forwarder.expiries.emplace(due_at, packet.key);
  NoteOpening(forwarder.placement.servers[server], now);
}

/// Whether a new flow is refused for load. Copies never are: a server may have
/// accepted the flow by then.
bool IsRefused(Forwarder& forwarder, const FlowPacket& packet,
               const RouteEntry& route, ServiceIndex service, TimePoint now) {
  const bool judged = forwarder.refuses_overload && packet.copies == 0 &&
                      route.objective.count() > 0;
  return judged && !Admit(forwarder.admission,
                          AdmissionRequest{
                              .service = service,
                              .caller = packet.key.caller.ip,
                              .repeatable = route.kind != wire::REQUEST_UNSAFE},
                          now);
}

/// A flow that its server had accepted is no longer in flight there.
void NoteGone(Forwarder& forwarder, const OpenFlow& flow) {
  if (flow.answered && !flow.overdue) {
    NoteLeft(forwarder.admission, flow.service);
  }
}

Decision Open(Forwarder& forwarder, const FlowPacket& packet, TimePoint now) {
  const auto route = forwarder.routes.routes.find(KeyOf(packet.key.address));
  if (route == forwarder.routes.routes.end()) {
    forwarder.counters.no_route += 1;
    return Reset(ForwardReason::kNoRoute);
  }
  std::optional<ServerIndex> except;
  const auto known = forwarder.flows.find(packet.key);
  if (known != forwarder.flows.end()) {
    if (known->second.answered) {
      // A late copy: the flow is open at this server already.
      return Decision{.verdict = Verdict::kForward,
                      .reason = ForwardReason::kToken,
                      .server = known->second.server};
    }
    except = known->second.server;
    NoteUnanswered(forwarder.placement, *except, now);
    forwarder.flows.erase(known);
  }
  const ServiceIndex service =
      ServiceOf(route->second, FlowKeyHash()(packet.key));
  if (IsRefused(forwarder, packet, route->second, service, now)) {
    forwarder.counters.overload += 1;
    return Reset(ForwardReason::kOverload);
  }
  const NewFlow flow{.service = service,
                     .except = except,
                     .repeatable = route->second.kind != wire::REQUEST_UNSAFE};
  const auto server = ChooseServer(forwarder.placement, flow, now);
  if (!server) {
    forwarder.counters.no_server += 1;
    return Reset(ForwardReason::kNoServer);
  }
  Remember(forwarder, packet, *server, route->second, now);
  forwarder.counters.placed += 1;
  forwarder.counters.placed_again += except ? 1 : 0;
  return Decision{
      .verdict = Verdict::kForward,
      .reason = except ? ForwardReason::kPlacedAgain : ForwardReason::kPlaced,
      .server = *server};
}

/// How far the answer has arrived. Numbers wrap, and packets may overtake each
/// other; a wide step shows that two servers have answered the opening.
void NoteReceived(OpenFlow& flow, std::uint32_t received) {
  constexpr std::int32_t kWidestStep = 1 << 20;
  const auto step = static_cast<std::int32_t>(received - flow.received);
  if (step > kWidestStep || step < -kWidestStep) {
    flow.length_known = false;
  } else if (step > 0) {
    flow.received = received;
  }
}

/// Tells the admission how long a flow took. One that is far too late shows a
/// path that was cut, or a server that fails, and no queue.
void NoteInTime(Forwarder& forwarder, const OpenFlow& flow, bool whole,
                TimePoint now) {
  if (whole && flow.answered && !flow.overdue && flow.objective.count() > 0) {
    NoteServed(forwarder.admission,
               forwarder.placement.servers[flow.server].service,
               std::chrono::duration_cast<Milliseconds>(now - flow.opened_at),
               flow.objective, now);
  }
}

/// Keeps the counts of placement right with what a later packet shows.
void NotePacket(Forwarder& forwarder, const FlowPacket& packet, TimePoint now) {
  const auto known = forwarder.flows.find(packet.key);
  if (known == forwarder.flows.end()) {
    return;
  }
  OpenFlow& flow = known->second;
  if (!flow.answered && !packet.aborts) {
    flow.answered = true;
    flow.received_at_first = packet.received;
    flow.received = packet.received;
    forwarder.first_answer.Add(
        std::chrono::duration_cast<Microseconds>(now - flow.opened_at));
    NoteAnswered(forwarder.placement, flow.server, now);
    NoteBegun(forwarder.admission, flow.service);
  }
  NoteReceived(flow, packet.received);
  if (packet.closes || packet.aborts) {
    std::optional<Milliseconds> duration;
    if (packet.closes) {
      duration = std::chrono::duration_cast<Milliseconds>(now - flow.opened_at);
    }
    NoteEnded(forwarder.placement, flow.server, flow.answered, duration, now);
    NoteGone(forwarder, flow);
    if (packet.closes && flow.length_known) {
      const bool whole =
          NoteAnswer(forwarder.outcomes, KeyOf(packet.key.address), flow.server,
                     flow.received - flow.received_at_first);
      NoteInTime(forwarder, flow, whole, now);
    } else if (packet.aborts && flow.answered && !flow.overdue) {
      NoteFailure(forwarder.outcomes, flow.server);
    }
    forwarder.flows.erase(known);
  }
}

}  // namespace

Decision DecidePacket(Forwarder& forwarder, const FlowPacket& packet,
                      TimePoint now) {
  ExpireFlows(forwarder, now);
  if (packet.opens && now < forwarder.discard_openings_until) {
    return Drop(ForwardReason::kStale);
  }
  if (packet.opens) {
    return forwarder.serving ? Open(forwarder, packet, now)
                             : Decision{.verdict = Verdict::kHold,
                                        .reason = ForwardReason::kNotServing};
  }
  ForgetOpening(forwarder.held, packet.key);
  NotePacket(forwarder, packet, now);
  if (forwarder.routes.dropped.contains(KeyOf(packet.key.address))) {
    forwarder.counters.no_route += 1;
    return Reset(ForwardReason::kRouteDropped);
  }
  const auto server = FindByToken(forwarder.placement, packet.token);
  if (!server || forwarder.placement.servers[*server].address.ip == 0) {
    forwarder.counters.unknown_token += 1;
    return Drop(ForwardReason::kUnknownToken);
  }
  forwarder.counters.forwarded += 1;
  return Decision{.verdict = Verdict::kForward,
                  .reason = ForwardReason::kToken,
                  .server = *server};
}

void ExpireFlows(Forwarder& forwarder, TimePoint now) {
  while (!forwarder.expiries.empty() &&
         forwarder.expiries.begin()->first <= now) {
    const FlowKey key = forwarder.expiries.begin()->second;
    forwarder.expiries.erase(forwarder.expiries.begin());
    const auto found = forwarder.flows.find(key);
    if (found == forwarder.flows.end() || found->second.due_at > now) {
      continue;  // It has ended, or a later flow has its place.
    }
    OpenFlow& flow = found->second;
    if (flow.answered && !flow.overdue) {
      NoteGone(forwarder, flow);
      flow.overdue = true;
      NoteFailure(forwarder.outcomes, flow.server);
    }
    if (flow.expires_at > now) {
      forwarder.expiries.emplace(flow.expires_at, key);
      continue;
    }
    NoteEnded(forwarder.placement, flow.server, flow.answered, std::nullopt,
              now);
    forwarder.counters.expired += 1;
    forwarder.flows.erase(found);
  }
}

}  // namespace filbertwall
