#include "Node/Node.h"

#include <algorithm>

#include "Node/NodeTurn.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kHousekeepingInterval{1000};

/// Minimum duration of a graceful stop, unless the drain limit is shorter. The
/// other instances and the fabric may need this long to detect the stop.
constexpr Milliseconds kMinDrain{1500};

void HandleStarted(NodeTurn& turn) {
  Node& node = turn.node;
  node.started_at = turn.now;
  node.orders.started_at = turn.now;
  Log(turn, EventId::kStarted,
      "instance " + std::to_string(node.settings.id) + " in " +
          node.settings.data_centre + ", rules version " +
          std::to_string(node.rules_file.version()));
  if (node.has_replica) {
    RunReplica(turn, ControlStarted{});
  }
}

void RunFlows(NodeTurn& turn, const FlowEvent& event) {
  Node& node = turn.node;
  FlowEffects effects = Reduce(node.flows, event,
                               FlowContext{.rules = node.rules,
                                           .directory = node.directory,
                                           .silent = node.silent,
                                           .now = turn.now});
  if (!effects.forwarded.empty() || !effects.datagrams.empty()) {
    turn.effects.emplace_back(std::move(effects));
  }
}

void FinishStopIfDrained(NodeTurn& turn) {
  Node& node = turn.node;
  const TimePoint earliest_end =
      node.stop_deadline - node.settings.drain_limit + kMinDrain;
  // The fabric may send requests here until `earliest_end`; they are served.
  node.requests.stopping = node.stopping && turn.now >= earliest_end;
  const bool idle = node.requests.open.empty() && node.requests.stopping;
  if (!node.stopped && node.stopping &&
      (idle || turn.now >= node.stop_deadline)) {
    node.stopped = true;
    RunFlows(turn, FlowHandover{});
    Log(turn, EventId::kStopped,
        std::to_string(node.requests.open.size()) + " requests cut");
    turn.effects.emplace_back(Stopped{});
  }
}

void HandleTick(NodeTurn& turn) {
  Node& node = turn.node;
  if (node.has_replica) {
    RunReplica(turn, ControlTick{});
  }
  CheckPeerTimeouts(turn);
  SendHellos(turn);
  ConfirmRules(turn);
  PullRecords(turn);
  RetrySubmissions(turn);
  RunRequests(turn, RequestTick{});
  RunFlows(turn, FlowTick{});
  if (turn.now >= node.next_housekeeping_at) {
    node.next_housekeeping_at = turn.now + kHousekeepingInterval;
    ForgetSilent(node.directory, turn.now);
    ExpireOrders(node.orders, turn.now);
  }
  FinishStopIfDrained(turn);
}

void HandlePeerMessage(NodeTurn& turn, const wire::Envelope& envelope) {
  Node& node = turn.node;
  const std::uint32_t from = envelope.from();
  if (!node.peers.contains(from)) {
    node.counters["messages_of_strangers"] += 1;
    return;
  }
  switch (envelope.kind_case()) {
    case wire::Envelope::kControl:
      if (node.has_replica) {
        RunReplica(
            turn, ControlReceived{.from = from, .message = envelope.control()});
      }
      return;
    case wire::Envelope::kHello:
      HandleHello(turn, from, envelope.hello());
      return;
    case wire::Envelope::kRulesPush:
      TakeRules(turn, envelope.rules_push().rules());
      return;
    case wire::Envelope::kDirectory:
      HandleDirectory(turn, envelope.directory());
      return;
    case wire::Envelope::kClaim:
      HandleClaim(turn, from, envelope.claim());
      return;
    case wire::Envelope::kClaimReply:
      RunRequests(turn,
                  ClaimAnswered{.from = from, .reply = envelope.claim_reply()});
      return;
    case wire::Envelope::kOutcome:
      HandleOutcome(turn, envelope.outcome());
      return;
    case wire::Envelope::kRecordsPull:
      HandleRecordsPull(turn, from, envelope.records_pull());
      return;
    case wire::Envelope::kRecordsPage:
      HandleRecordsPage(turn, from, envelope.records_page());
      return;
    case wire::Envelope::kSubmit:
      HandleSubmit(
          turn, Submitter{.peer = from, .request = envelope.submit().request()},
          envelope.submit());
      return;
    case wire::Envelope::kSubmitReply:
      HandleSubmitReply(turn, envelope.submit_reply());
      return;
    default:
      node.counters["messages_unknown"] += 1;
      return;
  }
}

void HandleStopRequested(NodeTurn& turn) {
  Node& node = turn.node;
  if (node.stopping) {
    return;
  }
  node.stopping = true;
  node.stop_deadline = turn.now + node.settings.drain_limit;
  Log(turn, EventId::kStopping,
      std::to_string(node.requests.open.size()) + " requests in flight");
  node.next_hello_at = turn.now;
  SendHellos(turn);
  RunFlows(turn, FlowHandover{});
}

struct EventVisitor {
  NodeTurn& turn;
  void operator()(const NodeStarted&) { HandleStarted(this->turn); }
  void operator()(const NodeTick&) { HandleTick(this->turn); }
  void operator()(const MessageArrived& event) {
    if (event.client.empty()) {
      HandlePeerMessage(this->turn, event.envelope);
    } else {
      HandleOperator(this->turn, event);
    }
  }
  void operator()(const AnnouncementArrived& event) {
    HandleAnnouncement(this->turn, event);
  }
  void operator()(const HealthAsked& event) {
    const Node& node = this->turn.node;
    const bool ready = node.serving && !node.stopping;
    this->turn.effects.emplace_back(AnswerLocal{
        .id = event.id,
        .status = ready ? 200 : 503,
        .json = ready ? "{\"serving\":true}" : "{\"serving\":false}"});
  }
  void operator()(const StopRequested&) { HandleStopRequested(this->turn); }
  void operator()(const RequestArrived& event) {
    if (this->turn.node.serving) {
      RunRequests(this->turn, event);
      return;
    }
    constexpr int kUnavailable = 503;
    this->turn.effects.emplace_back(AnswerCaller{
        .id = event.id,
        .answer = RefusalOf(event.request, kUnavailable,
                            "this instance has no confirmed rules yet")});
  }
  void operator()(const PacketsArrived& event) {
    Node& node = this->turn.node;
    if (node.serving) {
      RunFlows(this->turn, event);
    } else {
      node.flows.counters["not_serving"] += event.datagrams.size();
    }
  }
  void operator()(const CallerLeft& event) { RunRequests(this->turn, event); }
  void operator()(const AttemptEnded& event) { RunRequests(this->turn, event); }
};

struct ReplicaVisitor {
  NodeTurn& turn;
  void operator()(const ControlSend& effect) {
    wire::Envelope envelope;
    *envelope.mutable_control() = effect.message;
    SendPeer(this->turn, effect.to, std::move(envelope));
  }
  void operator()(const ControlPersist& effect) {
    this->turn.effects.emplace_back(PersistControl{.record = effect.record});
  }
  void operator()(const ControlAdvanced&) {
    TakeRules(this->turn, this->turn.node.replica.committed.rules());
  }
  void operator()(const ControlVerdict& effect) {
    HandleVerdict(this->turn, effect.token, effect.verdict, effect.reason);
  }
};

struct RequestVisitor {
  NodeTurn& turn;
  std::vector<ClaimAnswered>& own_replies;
  void operator()(const StartAttempt& effect) {
    this->turn.effects.emplace_back(effect);
  }
  void operator()(const CancelAttempt& effect) {
    this->turn.effects.emplace_back(effect);
  }
  void operator()(const AnswerCaller& effect) {
    this->turn.effects.emplace_back(effect);
  }
  void operator()(const SendClaim& effect) {
    Node& node = this->turn.node;
    if (effect.to == node.settings.id) {
      this->own_replies.push_back(ClaimAnswered{
          .from = effect.to,
          .reply = TakeClaim(node.orders, effect.claim, this->turn.now)});
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_claim() = effect.claim;
    SendPeer(this->turn, effect.to, std::move(envelope));
  }
  void operator()(const SendOutcome& effect) {
    if (effect.to == this->turn.node.settings.id) {
      HandleOutcome(this->turn, effect.outcome);
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_outcome() = effect.outcome;
    SendPeer(this->turn, effect.to, std::move(envelope));
  }
};

void LogLeadership(NodeTurn& turn, ReplicaRole before) {
  const ReplicaRole after = turn.node.replica.role;
  if (before == after) {
    return;
  }
  if (after == ReplicaRole::kLeader) {
    Log(turn, EventId::kLeaderElected,
        "round " + std::to_string(turn.node.replica.ballot.round()));
  } else if (before == ReplicaRole::kLeader) {
    Log(turn, EventId::kLeadershipLost,
        "round " + std::to_string(turn.node.replica.ballot.round()),
        Severity::kWarning);
  }
}

}  // namespace

void Log(NodeTurn& turn, EventId id, const std::string& text,
         Severity severity) {
  turn.effects.emplace_back(
      LogRecord{.id = id, .severity = severity, .text = text});
}

void SendPeer(NodeTurn& turn, std::uint32_t to, wire::Envelope envelope) {
  envelope.set_from(turn.node.settings.id);
  turn.effects.emplace_back(
      SendToPeer{.to = to, .envelope = std::move(envelope)});
}

void SendToEntryPeers(NodeTurn& turn, const wire::Envelope& envelope) {
  for (const auto& [id, peer] : turn.node.peers) {
    if (peer.settings.roles.entry) {
      SendPeer(turn, id, envelope);
    }
  }
}

void RunReplica(NodeTurn& turn, const ControlEvent& event) {
  const ReplicaRole before = turn.node.replica.role;
  for (const ControlEffect& effect :
       Reduce(turn.node.replica, event, turn.now)) {
    std::visit(ReplicaVisitor{.turn = turn}, effect);
  }
  LogLeadership(turn, before);
}

void RunRequests(NodeTurn& turn, const RequestEvent& event) {
  Node& node = turn.node;
  std::vector<ClaimAnswered> own_replies;
  const RequestContext context{.rules = node.rules,
                               .directory = node.directory,
                               .silent = node.silent,
                               .now = turn.now};
  for (const RequestEffect& effect : Reduce(node.requests, event, context)) {
    std::visit(RequestVisitor{.turn = turn, .own_replies = own_replies},
               effect);
  }
  for (const ClaimAnswered& reply : own_replies) {
    RunRequests(turn, reply);
  }
}

Node MakeNode(const NodeParts& parts) {
  Node node{.settings = parts.settings, .incarnation = parts.incarnation};
  const Settings& settings = node.settings;
  node.directory.data_centre = settings.data_centre;
  node.directory.lease = settings.backend_lease;
  node.requests.self = settings.id;
  node.flows.self = settings.id;
  node.flows.limit = settings.flow_limit;
  node.requests.incarnation = parts.incarnation;
  node.has_replica = settings.roles.control;
  node.replica.config.self = settings.id;
  if (settings.roles.control) {
    node.replica.config.control_instances.insert(settings.id);
  }
  if (settings.roles.entry) {
    node.requests.recorder_pool.push_back(settings.id);
  }
  for (const auto& [id, peer] : settings.peers) {
    node.peers[id].settings = peer;
    node.silent.insert(id);
    if (peer.roles.control) {
      node.replica.config.control_instances.insert(id);
    }
    if (peer.roles.entry) {
      node.flows.packet_addresses[id] = peer.packet_address;
      node.flows.instances[peer.packet_address] = id;
      node.requests.recorder_pool.push_back(id);
    }
  }
  node.orders.self = settings.id;
  node.orders.pool = node.requests.recorder_pool;
  node.orders.retention = settings.order_memory;
  node.orders.limit = settings.order_limit;
  for (const std::uint32_t instance : node.orders.pool) {
    if (instance != settings.id) {
      node.orders.unsure_with.insert(instance);
    }
  }
  for (const wire::DurableRecord& record : parts.control_log) {
    Restore(node.replica, record);
  }
  std::vector<NodeEffect> unused;
  NodeTurn turn{.node = node, .now = {}, .effects = unused};
  if (parts.saved_rules) {
    TakeRules(turn, *parts.saved_rules);
  }
  TakeRules(turn, node.replica.committed.rules());
  return node;
}

std::vector<NodeEffect> Reduce(Node& node, const NodeEvent& event,
                               TimePoint now) {
  std::vector<NodeEffect> effects;
  NodeTurn turn{.node = node, .now = now, .effects = effects};
  std::visit(EventVisitor{.turn = turn}, event);
  return effects;
}

}  // namespace filbertwall
