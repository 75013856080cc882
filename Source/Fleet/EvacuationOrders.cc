#include <algorithm>

#include "Control/Evacuations.h"
#include "Fleet/ControlContext.h"

/// Commands of operators to evacuate data centres, and what control instances
/// tell entry instances of them.
namespace filbertwall {
namespace {

/// A timer that is overdue by more than this shows that the process was
/// suspended or had no processor time.
constexpr Milliseconds kStallThreshold{300};
/// After a stall, commands are refused for this long: time enough to read the
/// calls that have queued up meanwhile.
constexpr Milliseconds kStallRefusalTime{100};
constexpr std::size_t kMaxWaitingOrders = 64;

std::string Describe(const wire::EvacuationChange& change) {
  return "data_centre=\"" + Excerpt(change.data_centre()) +
         "\" active=" + std::to_string(change.active()) +
         " requester=" + Excerpt(change.requester());
}

void AnswerUnavailable(ControlContext& context, CallId call,
                       const std::string& reason) {
  context.instance.counters.evacuations_unavailable += 1;
  Answer(context, AnswerCall{.call = call,
                             .verdict = CallVerdict::kUnavailable,
                             .reason = reason});
}

void Propose(ControlContext& context, const EvacuationOrder& order) {
  ControlInstance& instance = context.instance;
  const std::uint64_t token = instance.next_token++;
  instance.proposals[token] = Proposal{.call = order.call,
                                       .proposed_at = context.now,
                                       .evacuation = order.change};
  ControlSubmitted submitted{.token = token, .submitted_at = order.arrived_at};
  *submitted.change.mutable_evacuation() = order.change;
  RunReplica(context, submitted);
}

/// Answers, redirects or proposes the command. Returns false while no leader is
/// known, or this instance leads and not every voter has said yet that it knows
/// evacuations.
bool TryOrder(ControlContext& context, const EvacuationOrder& order) {
  ControlInstance& instance = context.instance;
  if (instance.disk_failed) {
    AnswerUnavailable(context, order.call, kDiskFailedReason);
    return true;
  }
  if (instance.replica.role == ReplicaRole::kLeader) {
    if (!KnowsEvacuations(instance.replica)) {
      return false;
    }
    Propose(context, order);
    return true;
  }
  const InstanceAddress leader = RedirectTarget(context);
  if (leader == 0) {
    return false;
  }
  Answer(context, AnswerCall{.call = order.call,
                             .verdict = CallVerdict::kRedirected,
                             .leader = leader});
  return true;
}

bool HasServers(const Registry& registry, const std::string& data_centre) {
  return std::any_of(registry.servers.begin(), registry.servers.end(),
                     [&](const auto& item) {
                       const wire::ServerRecord& record = item.second.record;
                       return record.data_centre() == data_centre &&
                              record.phase() != wire::SERVER_GONE;
                     });
}

std::set<std::string> NamesInForce(const wire::ControlState& state) {
  std::set<std::string> names;
  for (const wire::Evacuation& item : state.evacuations()) {
    names.insert(item.data_centre());
  }
  return names;
}

}  // namespace

void HandleEvacuationOrder(ControlContext& context,
                           const EvacuationOrdered& event) {
  ControlInstance& instance = context.instance;
  if (context.now < instance.evacuations.refused_until) {
    AnswerUnavailable(context, event.call, "the command waited for too long");
    return;
  }
  const EvacuationOrder order{
      .call = event.call, .change = event.change, .arrived_at = context.now};
  if (TryOrder(context, order)) {
    return;
  }
  if (instance.evacuations.waiting.size() >= kMaxWaitingOrders) {
    AnswerUnavailable(context, event.call, "too many commands wait");
    return;
  }
  instance.evacuations.waiting.push_back(order);
}

void RetryEvacuationOrders(ControlContext& context) {
  ControlInstance& instance = context.instance;
  std::deque<EvacuationOrder> waiting;
  waiting.swap(instance.evacuations.waiting);
  for (const EvacuationOrder& order : waiting) {
    if (context.now - order.arrived_at >= kMaxEvacuationWait) {
      const bool leads = instance.replica.role == ReplicaRole::kLeader;
      AnswerUnavailable(
          context, order.call,
          leads ? "not all control instances run a build that knows evacuations"
                : "no leader is known");
      continue;
    }
    if (!TryOrder(context, order)) {
      instance.evacuations.waiting.push_back(order);
    }
  }
}

void HandleEvacuationVerdict(ControlContext& context, const Proposal& proposal,
                             const ControlVerdict& verdict) {
  ControlInstance& instance = context.instance;
  const wire::EvacuationChange& change = *proposal.evacuation;
  if (verdict.verdict == wire::UNKNOWN) {
    AnswerUnavailable(context, proposal.call, verdict.reason);
    return;
  }
  if (verdict.verdict == wire::REFUSED) {
    instance.counters.evacuations_refused += 1;
    Log(context, EventId::kEvacuationRefused,
        Describe(change) + " " + verdict.reason, Severity::kWarning);
    Answer(context, AnswerCall{.call = proposal.call,
                               .verdict = CallVerdict::kRefused,
                               .reason = verdict.reason});
    return;
  }
  instance.counters.evacuations_accepted += 1;
  Log(context, EventId::kEvacuationAccepted,
      Describe(change) + " " + verdict.reason);
  if (change.active() && !HasServers(instance.registry, change.data_centre())) {
    Log(context, EventId::kEvacuationUnknown,
        Describe(change) + " no server has this data centre",
        Severity::kWarning);
  }
  Answer(context,
         AnswerCall{.call = proposal.call, .verdict = CallVerdict::kAccepted});
}

void ApplyCommittedEvacuations(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const wire::ControlState& state = instance.replica.committed;
  EvacuationOrders& orders = instance.evacuations;
  if (state.evacuation_seq() == orders.announced_seq) {
    return;
  }
  std::set<std::string> names = NamesInForce(state);
  const std::string seq = " seq=" + std::to_string(state.evacuation_seq());
  for (const wire::Evacuation& item : state.evacuations()) {
    if (!orders.in_force.contains(item.data_centre())) {
      Log(context, EventId::kEvacuationInForce,
          "data_centre=\"" + Excerpt(item.data_centre()) + "\"" + seq +
              " requester=" + Excerpt(item.requester()));
    }
  }
  for (const std::string& name : orders.in_force) {
    if (!names.contains(name)) {
      Log(context, EventId::kEvacuationWithdrawn,
          "data_centre=\"" + Excerpt(name) + "\"" + seq);
    }
  }
  orders.announced_seq = state.evacuation_seq();
  orders.in_force = std::move(names);
  SendSummaryToFollowers(context);
}

void AddEvacuations(const ControlInstance& instance, wire::Update& update) {
  const wire::ControlState& state = instance.replica.committed;
  const std::uint64_t newest = NewestEvacuationSeq(instance.replica);
  if (newest == 0 && instance.evacuations.by_rules.empty()) {
    return;
  }
  wire::Evacuations& evacuations = *update.mutable_evacuations();
  evacuations.set_seq(state.evacuation_seq());
  if (newest > state.evacuation_seq()) {
    evacuations.set_pending_seq(newest);
  }
  for (const wire::Evacuation& item : state.evacuations()) {
    evacuations.add_data_centres(item.data_centre());
  }
  for (const std::string& name : instance.evacuations.by_rules) {
    evacuations.add_by_rules(name);
  }
}

void DetectStall(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const bool started = instance.started_at != TimePoint();
  if (started && context.now > NextDue(instance) + kStallThreshold) {
    instance.evacuations.refused_until = context.now + kStallRefusalTime;
  }
}

TimePoint NextDue(const EvacuationOrders& orders) {
  return orders.waiting.empty()
             ? TimePoint::max()
             : orders.waiting.front().arrived_at + kMaxEvacuationWait;
}

}  // namespace filbertwall
