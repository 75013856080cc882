#include "Node/Node.h"

#include <algorithm>

#include "Node/NodeContext.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kHousekeepingInterval{1000};

/// Minimum duration of a graceful stop, unless the drain limit is shorter. The
/// other instances and the fabric may need this long to detect the stop.
constexpr Milliseconds kMinDrain{1500};

void HandleStarted(NodeContext& context) {
  Node& node = context.node;
  node.started_at = context.now;
  node.orders.started_at = context.now;
  Log(context, EventId::kStarted,
      "instance " + std::to_string(node.settings.id) + " in " +
          node.settings.data_centre + ", rules version " +
          std::to_string(node.rules_file.version()));
  if (node.has_replica) {
    RunReplica(context, ControlStarted{.start = node.incarnation});
  }
}

void RunFlows(NodeContext& context, const FlowEvent& event) {
  Node& node = context.node;
  FlowEffects effects = Reduce(node.flows, event,
                               FlowEnvironment{.rules = node.rules,
                                               .directory = node.directory,
                                               .silent = node.silent,
                                               .now = context.now});
  if (!effects.forwarded.empty() || !effects.datagrams.empty()) {
    context.effects.emplace_back(std::move(effects));
  }
}

void FinishStopIfDrained(NodeContext& context) {
  Node& node = context.node;
  const TimePoint earliest_end =
      node.stop_deadline - node.settings.drain_limit + kMinDrain;
  // The fabric may send requests here until `earliest_end`; they are served.
  node.requests.stopping = node.stopping && context.now >= earliest_end;
  const bool idle = node.requests.open.empty() && node.requests.stopping;
  if (!node.stopped && node.stopping &&
      (idle || context.now >= node.stop_deadline)) {
    node.stopped = true;
    RunFlows(context, FlowHandover{});
    Log(context, EventId::kStopped,
        std::to_string(node.requests.open.size()) + " requests cut");
    context.effects.emplace_back(Stopped{});
  }
}

void LogHedgesOverBudget(NodeContext& context) {
  const auto found = context.node.requests.counters.find("hedges_over_budget");
  if (found != context.node.requests.counters.end() &&
      found->second > context.node.logged_hedges_over_budget) {
    context.node.logged_hedges_over_budget = found->second;
    Log(context, EventId::kHedgesOverBudget,
        "hedged requests over budget, since the start: " +
            std::to_string(found->second));
  }
}

void HandleTick(NodeContext& context) {
  Node& node = context.node;
  if (node.has_replica) {
    RunReplica(context, ControlTick{});
  }
  CheckPeerTimeouts(context);
  RecordTimeWithoutRules(node);
  SendHellos(context);
  ConfirmRules(context);
  PullRecords(context);
  RetrySubmissions(context);
  RunRequests(context, RequestTick{});
  RunFlows(context, FlowTick{});
  if (context.now >= node.next_housekeeping_at) {
    node.next_housekeeping_at = context.now + kHousekeepingInterval;
    RemoveExpiredBackends(node.directory, context.now);
    RemoveExpiredOrders(node.orders, context.now);
    LogHedgesOverBudget(context);
  }
  FinishStopIfDrained(context);
}

void HandlePeerMessage(NodeContext& context, const wire::Envelope& envelope) {
  Node& node = context.node;
  const std::uint32_t from = envelope.from();
  if (!node.peers.contains(from)) {
    node.counters["messages_of_strangers"] += 1;
    return;
  }
  switch (envelope.kind_case()) {
    case wire::Envelope::kControl:
      if (node.has_replica) {
        RunReplica(context, ControlReceived{.from = from,
                                            .message = envelope.control()});
      }
      return;
    case wire::Envelope::kHello:
      HandleHello(context, from, envelope.hello());
      return;
    case wire::Envelope::kRulesPush:
      ApplyRulesFile(context, envelope.rules_push().rules());
      return;
    case wire::Envelope::kDirectory:
      HandleDirectory(context, envelope.directory());
      return;
    case wire::Envelope::kClaim:
      HandleClaim(context, from, envelope.claim());
      return;
    case wire::Envelope::kClaimReply:
      RunRequests(context,
                  ClaimAnswered{.from = from, .reply = envelope.claim_reply()});
      return;
    case wire::Envelope::kOutcome:
      HandleOutcome(context, from, envelope.outcome());
      return;
    case wire::Envelope::kOutcomeReply:
      RunRequests(
          context,
          OutcomeRecorded{.from = from,
                          .claim_attempt = envelope.outcome_reply().attempt()});
      return;
    case wire::Envelope::kRecordsPull:
      HandleRecordsPull(context, from, envelope.records_pull());
      return;
    case wire::Envelope::kRecordsPage:
      HandleRecordsPage(context, from, envelope.records_page());
      return;
    case wire::Envelope::kSubmit:
      HandleSubmit(
          context,
          Submitter{.peer = from, .request = envelope.submit().request()},
          envelope.submit());
      return;
    case wire::Envelope::kSubmitReply:
      HandleSubmitReply(context, envelope.submit_reply());
      return;
    default:
      node.counters["messages_unknown"] += 1;
      return;
  }
}

void HandleStopRequested(NodeContext& context) {
  Node& node = context.node;
  if (node.stopping) {
    return;
  }
  node.stopping = true;
  node.stop_deadline = context.now + node.settings.drain_limit;
  Log(context, EventId::kStopping,
      std::to_string(node.requests.open.size()) + " requests in flight");
  node.next_hello_at = context.now;
  SendHellos(context);
  RunFlows(context, FlowHandover{});
}

struct EventVisitor {
  NodeContext& context;
  void operator()(const NodeStarted&) { HandleStarted(this->context); }
  void operator()(const NodeTick&) { HandleTick(this->context); }
  void operator()(const MessageArrived& event) {
    if (event.client.empty()) {
      HandlePeerMessage(this->context, event.envelope);
    } else {
      HandleOperator(this->context, event);
    }
  }
  void operator()(const AnnouncementArrived& event) {
    HandleAnnouncement(this->context, event);
  }
  void operator()(const HealthCheckRequested& event) {
    const Node& node = this->context.node;
    const bool ready = node.serving && !node.stopping;
    this->context.effects.emplace_back(AnswerLocalHttp{
        .id = event.id,
        .status = ready ? 200 : 503,
        .json = ready ? "{\"serving\":true}" : "{\"serving\":false}"});
  }
  void operator()(const StopRequested&) { HandleStopRequested(this->context); }
  void operator()(const RequestArrived& event) {
    if (this->context.node.serving) {
      RunRequests(this->context, event);
      return;
    }
    constexpr int kUnavailable = 503;
    this->context.effects.emplace_back(AnswerCaller{
        .id = event.id,
        .answer = BuildRefusal(event.request, kUnavailable,
                               "this instance has no confirmed rules yet")});
  }
  void operator()(const PacketsArrived& event) {
    Node& node = this->context.node;
    if (node.serving) {
      RunFlows(this->context, event);
    } else {
      node.flows.counters["not_serving"] += event.datagrams.size();
    }
  }
  void operator()(const CallerDisconnected& event) {
    RunRequests(this->context, event);
  }
  void operator()(const AttemptEnded& event) {
    RunRequests(this->context, event);
  }
};

struct ReplicaVisitor {
  NodeContext& context;
  void operator()(const ControlSend& effect) {
    wire::Envelope envelope;
    *envelope.mutable_control() = effect.message;
    SendPeer(this->context, effect.to, std::move(envelope));
  }
  void operator()(const ControlPersist& effect) {
    this->context.effects.emplace_back(PersistControl{.record = effect.record});
  }
  void operator()(const ControlStateChanged&) {
    RecordTimeWithoutRules(this->context.node);
    ApplyRulesFile(this->context, this->context.node.replica.committed.rules());
  }
  void operator()(const ControlVerdict& effect) {
    HandleVerdict(this->context, effect.token, effect.verdict, effect.reason);
  }
};

struct RequestVisitor {
  NodeContext& context;
  std::vector<RequestEvent>& own_replies;
  void operator()(const StartAttempt& effect) {
    this->context.effects.emplace_back(effect);
  }
  void operator()(const CancelAttempt& effect) {
    this->context.effects.emplace_back(effect);
  }
  void operator()(const AnswerCaller& effect) {
    this->context.effects.emplace_back(effect);
  }
  void operator()(const SendClaim& effect) {
    Node& node = this->context.node;
    if (effect.to == node.settings.id) {
      this->own_replies.push_back(ClaimAnswered{
          .from = effect.to,
          .reply = ProcessClaim(node.orders, effect.claim, this->context.now)});
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_claim() = effect.claim;
    SendPeer(this->context, effect.to, std::move(envelope));
  }
  void operator()(const SendOutcome& effect) {
    if (effect.to == this->context.node.settings.id) {
      const wire::OrderRecord& record = effect.outcome.record();
      RecordOutcome(this->context.node.orders, record, this->context.now);
      this->own_replies.emplace_back(OutcomeRecorded{
          .from = effect.to, .claim_attempt = record.attempt()});
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_outcome() = effect.outcome;
    SendPeer(this->context, effect.to, std::move(envelope));
  }
};

void LogLeadership(NodeContext& context, ReplicaRole before) {
  const ReplicaRole after = context.node.replica.role;
  if (before == after) {
    return;
  }
  if (after == ReplicaRole::kLeader) {
    Log(context, EventId::kLeaderElected,
        "round " + std::to_string(context.node.replica.ballot.round()));
  } else if (before == ReplicaRole::kLeader) {
    Log(context, EventId::kLeadershipLost,
        "round " + std::to_string(context.node.replica.ballot.round()),
        Severity::kWarning);
  }
}

}  // namespace

void Log(NodeContext& context, EventId id, const std::string& text,
         Severity severity) {
  context.effects.emplace_back(
      LogRecord{.id = id, .severity = severity, .text = text});
}

void SendPeer(NodeContext& context, std::uint32_t to, wire::Envelope envelope) {
  envelope.set_from(context.node.settings.id);
  context.effects.emplace_back(
      SendToPeer{.to = to, .envelope = std::move(envelope)});
}

void SendToEntryPeers(NodeContext& context, const wire::Envelope& envelope) {
  for (const auto& [id, peer] : context.node.peers) {
    if (peer.settings.roles.entry) {
      SendPeer(context, id, envelope);
    }
  }
}

void RunReplica(NodeContext& context, const ControlEvent& event) {
  const ReplicaRole before = context.node.replica.role;
  for (const ControlEffect& effect :
       Reduce(context.node.replica, event, context.now)) {
    std::visit(ReplicaVisitor{.context = context}, effect);
  }
  LogLeadership(context, before);
}

void RunRequests(NodeContext& context, const RequestEvent& event) {
  Node& node = context.node;
  std::vector<RequestEvent> own_replies;
  const RequestEnvironment environment{.rules = node.rules,
                                       .directory = node.directory,
                                       .silent = node.silent,
                                       .now = context.now};
  for (const RequestEffect& effect :
       Reduce(node.requests, event, environment)) {
    std::visit(RequestVisitor{.context = context, .own_replies = own_replies},
               effect);
  }
  for (const RequestEvent& reply : own_replies) {
    RunRequests(context, reply);
  }
}

Node MakeNode(const NodeInitialState& initial_state) {
  Node node{.settings = initial_state.settings,
            .incarnation = initial_state.incarnation};
  const Settings& settings = node.settings;
  node.directory.data_centre = settings.data_centre;
  node.directory.lease = settings.backend_lease;
  node.requests.self = settings.id;
  node.flows.self = settings.id;
  node.flows.limit = settings.flow_limit;
  node.requests.incarnation = initial_state.incarnation;
  node.requests.hedge_share = settings.hedge_budget;
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
  for (const wire::DurableRecord& record : initial_state.control_log) {
    Restore(node.replica, record);
  }
  std::vector<NodeEffect> unused;
  NodeContext context{.node = node, .now = {}, .effects = unused};
  if (initial_state.saved_rules) {
    ApplyRulesFile(context, *initial_state.saved_rules);
  }
  ApplyRulesFile(context, node.replica.committed.rules());
  return node;
}

std::vector<NodeEffect> Reduce(Node& node, const NodeEvent& event,
                               TimePoint now) {
  std::vector<NodeEffect> effects;
  NodeContext context{.node = node, .now = now, .effects = effects};
  std::visit(EventVisitor{.context = context}, event);
  return effects;
}

}  // namespace filbertwall
