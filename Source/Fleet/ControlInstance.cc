#include "Fleet/ControlInstance.h"

#include <algorithm>

#include "Base/Endpoint.h"
#include "Base/Hash.h"
#include "Fleet/ControlTurn.h"
#include "Rules/RulesParser.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kHousekeepingInterval{500};
/// A call is redirected only to a leader whose last heartbeat is at most this
/// old.
constexpr Milliseconds kRedirectMaxSilence{600};
constexpr Milliseconds kGoneRetention{90000};
constexpr Milliseconds kSaveInterval{1000};
constexpr Milliseconds kLease{600};
constexpr Milliseconds kRestartWait{250};
constexpr Milliseconds kElectionSpread{250};
constexpr int kIntervalsUntilSilent = 5;
/// Applies even if no disk loss has to be tolerated.
constexpr std::uint32_t kMinVoters = 3;

void ApplyCommittedRules(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  const wire::RulesFile& file = instance.replica.committed.rules();
  const bool known =
      !instance.history.versions.empty() &&
      instance.history.versions.rbegin()->first >= file.version();
  if (file.version() == 0 || known) {
    return;
  }
  const ParsedRules parsed = ParseRules(file.text(), "rules");
  if (!parsed.findings.empty()) {
    // Only valid files are proposed, so a different build accepted this one.
    Log(turn, EventId::kRulesUnreadable,
        "version=" + std::to_string(file.version()) + " " +
            FormatFinding(parsed.findings.front()),
        Severity::kError);
    return;
  }
  AddVersion(instance.history, parsed.rules);
  Log(turn, EventId::kRulesInForce,
      "version=" + std::to_string(file.version()) +
          " seq=" + std::to_string(instance.replica.committed.seq()));
  PushUpdates(turn);
}

struct ReplicaVisitor {
  ControlTurn& turn;
  void operator()(const ControlSend& effect) {
    wire::FleetMessage message;
    *message.mutable_control() = effect.message;
    this->turn.effects.emplace_back(
        SendMessage{.to = effect.to, .message = std::move(message)});
  }
  void operator()(const ControlPersist& effect) {
    this->turn.effects.emplace_back(PersistRecord{.record = effect.record});
  }
  void operator()(const ControlAdvanced&) { ApplyCommittedRules(this->turn); }
  void operator()(const ControlVerdict& effect) {
    HandleVerdict(this->turn, effect);
  }
};

void LogLeadership(ControlTurn& turn, ReplicaRole before) {
  const Replica& replica = turn.instance.replica;
  if (before == replica.role) {
    return;
  }
  const std::string text =
      "round=" + std::to_string(replica.ballot.round()) +
      " members=" + std::to_string(replica.committed.members_size()) +
      " seq=" + std::to_string(replica.committed.seq());
  if (replica.role == ReplicaRole::kLeader) {
    turn.instance.counters.elections_won += 1;
    Log(turn, EventId::kLeaderElected, text);
  } else if (before == ReplicaRole::kLeader) {
    Log(turn, EventId::kLeadershipLost, text, Severity::kWarning);
  }
}

/// Returns the addresses of the voters in the committed state.
std::string FormatVoters(const wire::ControlState& state) {
  std::string text;
  for (const wire::Member& member : state.members()) {
    text += (text.empty() ? "" : ",") + FormatIp(member.instance());
  }
  return text;
}

void LogVoters(ControlTurn& turn) {
  const wire::ControlState& state = turn.instance.replica.committed;
  std::string voters = FormatVoters(state);
  if (voters == turn.instance.logged_voters) {
    return;
  }
  Log(turn, EventId::kVotersChanged,
      "voters=" + voters + " before=" + turn.instance.logged_voters +
          " seq=" + std::to_string(state.seq()));
  turn.instance.logged_voters = std::move(voters);
}

/// Restores the saved registry with report times in the past, so that servers
/// that do not report again soon are marked silent.
void RestoreRegistry(ControlTurn& turn, const wire::SavedRegistry& saved) {
  ControlInstance& instance = turn.instance;
  const TimePoint reported_at =
      turn.now - instance.config.announce_interval *
                     (kIntervalsUntilSilent - kIntervalsUntilSettled);
  for (wire::ServerRecord record : saved.servers()) {
    record.set_failing(false);  // Flow outcomes are not saved.
    if (CheckRecord(record).empty()) {
      MergeRecord(instance.registry, record, reported_at);
    }
  }
  instance.settled = saved.servers_size() > 0;
  instance.previous_followers.insert(saved.followers().begin(),
                                     saved.followers().end());
  instance.saved_followers = instance.previous_followers;
  for (const InstanceAddress other : saved.control_instances()) {
    instance.sources[other].heard_at = turn.now;
    instance.saved_control_instances.insert(other);
  }
  instance.saved_change = instance.registry.change;
}

void SaveServers(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  instance.save_at = turn.now + kSaveInterval;
  std::set<InstanceAddress> followers = ActiveFollowers(instance, turn.now);
  // A set that has only shrunk is not saved: after a start, followers need time
  // to find this instance again.
  const bool no_new_follower = std::includes(
      instance.saved_followers.begin(), instance.saved_followers.end(),
      followers.begin(), followers.end());
  std::set<InstanceAddress> others = OtherControlInstances(instance, turn.now);
  const bool unchanged = instance.saved_change == instance.registry.change &&
                         instance.saved_control_instances == others;
  if (unchanged && no_new_follower) {
    return;
  }
  instance.saved_change = instance.registry.change;
  instance.saved_followers = followers;
  SaveRegistry effect;
  for (const InstanceAddress follower : followers) {
    effect.saved.add_followers(follower);
  }
  for (const InstanceAddress other : others) {
    effect.saved.add_control_instances(other);
  }
  instance.saved_control_instances = std::move(others);
  RecordBatch all = RecordsAfter(instance.registry, 0,
                                 instance.registry.servers.size(), turn.now);
  for (wire::ServerRecord& record : all.records) {
    *effect.saved.add_servers() = std::move(record);
  }
  turn.effects.emplace_back(std::move(effect));
}

void HandleDue(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  RunReplica(turn, ControlTick{});
  if (turn.now >= instance.subscribe_at) {
    SubscribeToOthers(turn);
  }
  if (turn.now >= instance.push_at) {
    PushUpdates(turn);
  }
  AnswerFollowerRequests(turn);
  RetrySubmissions(turn);
  AnswerPendingReports(turn);
  ProcessOutcomes(turn);
  if (turn.now >= instance.save_at) {
    SaveServers(turn);
  }
  if (turn.now < instance.housekeeping_at) {
    return;
  }
  instance.housekeeping_at = turn.now + kHousekeepingInterval;
  const Milliseconds silence =
      instance.config.announce_interval * kIntervalsUntilSilent;
  if (MarkSilent(instance.registry, silence, turn.now) > 0) {
    SchedulePush(turn);
  }
  ForgetGone(instance.registry, kGoneRetention, turn.now);
  std::erase_if(instance.subscribers, [&](const auto& item) {
    return turn.now - item.second.heard_at > kGoneRetention;
  });
}

void HandlePackedUpdate(ControlTurn& turn, InstanceAddress from,
                        wire::Update update) {
  if (!Unpack(update)) {
    Log(turn, EventId::kMalformedInput,
        "malformed update from " + FormatIp(from), Severity::kWarning);
    return;
  }
  HandleUpdate(turn, from, update);
}

struct EventVisitor {
  ControlTurn& turn;
  void operator()(const ControlInstanceStarted& event) {
    ControlInstance& instance = this->turn.instance;
    instance.started_at = this->turn.now;
    instance.push_at = kNever;
    RestoreRegistry(this->turn, event.saved);
    Log(this->turn, EventId::kStarted,
        "seq=" + std::to_string(instance.replica.committed.seq()) +
            " members=" +
            std::to_string(instance.replica.committed.members_size()) +
            " voter=" + std::to_string(IsVoter(instance.replica)));
    ApplyCommittedRules(this->turn);
    RunReplica(this->turn, ControlStarted{});
    SubscribeToOthers(this->turn);
    SendSummaryToFollowers(this->turn);
  }
  void operator()(const ControlInstanceDue&) { HandleDue(this->turn); }
  void operator()(const PeerMessage& event) {
    const wire::FleetMessage& message = event.message;
    if (message.has_control()) {
      RunReplica(this->turn, ControlReceived{.from = event.from,
                                             .message = message.control()});
      RetrySubmissions(this->turn);
    } else if (message.has_subscribe()) {
      HandleSubscribe(this->turn, event.from, message.subscribe());
    } else if (message.has_update()) {
      HandlePackedUpdate(this->turn, event.from, message.update());
    } else if (message.has_outcomes()) {
      HandleOutcomes(this->turn, message.outcomes());
    }
  }
  void operator()(const ServerReported& event) {
    HandleReport(this->turn, event);
  }
  void operator()(const RulesSubmitted& event) {
    HandleSubmitted(this->turn, event);
  }
  void operator()(const RulesRead& event) { HandleRead(this->turn, event); }
  void operator()(const ControlStopRequested&) {
    this->turn.instance.stopping = true;
    Log(this->turn, EventId::kStopping, "control instance");
  }
  void operator()(const ControlDiskFailed&) {
    ControlInstance& instance = this->turn.instance;
    instance.disk_failed = true;
    for (const auto& [token, proposal] : instance.proposals) {
      Answer(this->turn, AnswerCall{.call = proposal.call,
                                    .reason = "the disk takes no writes"});
    }
    instance.proposals.clear();
  }
  void operator()(const ControlDiskRestored& event) {
    ControlInstance& instance = this->turn.instance;
    const ReplicaConfig config = instance.replica.config;
    instance.replica = Replica{.config = config};
    for (const wire::DurableRecord& record : event.log) {
      Restore(instance.replica, record);
    }
    instance.disk_failed = false;
    RunReplica(this->turn, ControlStarted{});
  }
};

}  // namespace

void Log(ControlTurn& turn, EventId id, const std::string& text,
         Severity severity) {
  turn.effects.emplace_back(
      LogRecord{.id = id, .severity = severity, .text = text});
}

void Answer(ControlTurn& turn, AnswerCall answer) {
  turn.effects.emplace_back(std::move(answer));
}

void RunReplica(ControlTurn& turn, const ControlEvent& event) {
  ControlInstance& instance = turn.instance;
  if (instance.disk_failed) {
    return;
  }
  const ReplicaRole before = instance.replica.role;
  const std::uint64_t seq_before = instance.replica.committed.seq();
  for (const ControlEffect& effect :
       Reduce(instance.replica, event, turn.now)) {
    std::visit(ReplicaVisitor{.turn = turn}, effect);
  }
  LogLeadership(turn, before);
  if (instance.replica.committed.seq() != seq_before) {
    LogVoters(turn);
  }
}

InstanceAddress RedirectTarget(const ControlTurn& turn) {
  const Replica& replica = turn.instance.replica;
  const bool heard = turn.now - replica.leader_heard_at <= kRedirectMaxSilence;
  const bool other = replica.leader != turn.instance.config.self;
  return heard && other && !turn.instance.disk_failed ? replica.leader : 0;
}

ControlInstance MakeControlInstance(
    const FleetConfig& config, const std::vector<wire::DurableRecord>& log) {
  ControlInstance instance{.config = config};
  ReplicaConfig& replica = instance.replica.config;
  replica.self = config.self;
  replica.control_instances = config.seeds;
  replica.open_membership = true;
  replica.lease = kLease;
  replica.restart_wait = kRestartWait;
  replica.election_spread = kElectionSpread;
  replica.least_voters = std::max(kMinVoters, 2 * config.tolerated_losses + 1);
  for (const wire::DurableRecord& record : log) {
    Restore(instance.replica, record);
  }
  return instance;
}

std::vector<ControlInstanceEffect> Reduce(ControlInstance& instance,
                                          const ControlInstanceEvent& event,
                                          TimePoint now) {
  std::vector<ControlInstanceEffect> effects;
  ControlTurn turn{.instance = instance, .now = now, .effects = effects};
  std::visit(EventVisitor{.turn = turn}, event);
  return effects;
}

TimePoint NextDue(const ControlInstance& instance) {
  const Replica& replica = instance.replica;
  TimePoint due = std::min(
      {instance.subscribe_at, instance.push_at, instance.housekeeping_at,
       instance.outcomes.evaluate_at, NextDue(instance.follower_queue)});
  if (!instance.disk_failed) {
    const bool leads = replica.role == ReplicaRole::kLeader;
    const TimePoint follower_due =
        IsVoter(replica) ? replica.election_at : replica.join_at;
    due = std::min(due, leads ? replica.heartbeat_at : follower_due);
  }
  for (const PendingSubmission& submission : instance.submissions) {
    due = std::min(due, submission.expires_at);
  }
  for (const PendingReport& report : instance.reports) {
    due = std::min(due, report.expires_at);
  }
  return due;
}

wire::DurableRecord FirstRecord(const FleetConfig& config, bool first_start) {
  if (first_start && config.seeds.contains(config.self)) {
    return FoundingRecord(config.self, config.seeds);
  }
  wire::DurableRecord record;
  record.set_incarnation(config.incarnation | 1U);
  return record;
}

}  // namespace filbertwall
