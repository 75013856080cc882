#include "Fleet/ControlInstance.h"

#include <algorithm>

#include "Base/Endpoint.h"
#include "Base/Hash.h"
#include "Fleet/ControlTurn.h"
#include "Rules/RulesParser.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kSubscribeInterval{1000};
constexpr Milliseconds kPushDelay{15};
constexpr Milliseconds kSubscriberTimeout{3000};
constexpr Milliseconds kHousekeepingInterval{500};
/// Another control instance must have a record before its server is answered.
constexpr Milliseconds kConfirmWait{500};
/// A follower speaks for the leader this long after its last heartbeat.
constexpr Milliseconds kFreshLimit{400};
/// A redirect names a leader that was heard within this time.
constexpr Milliseconds kRedirectLimit{600};
constexpr Milliseconds kGoneRetention{90000};
constexpr Milliseconds kSaveInterval{1000};
constexpr Milliseconds kLease{600};
constexpr Milliseconds kRestartWait{250};
constexpr Milliseconds kElectionSpread{250};
constexpr int kIntervalsUntilSilent = 5;
constexpr int kIntervalsUntilSettled = 2;
constexpr TimePoint kNever = TimePoint::max();

/// Whether another incarnation of this disk is alive among the subscribers.
bool IsAlive(const Subscriber& subscriber, TimePoint now) {
  return now - subscriber.heard_at <= kSubscriberTimeout;
}

bool IsSettledNow(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  const Milliseconds limit =
      instance.config.announce_interval * kIntervalsUntilSettled;
  instance.settled =
      instance.settled || turn.now - instance.started_at >= limit;
  return instance.settled;
}

/// What this instance knows, without the contents.
wire::Update MakeSummary(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  const wire::ControlState& state = instance.replica.committed;
  wire::Update update;
  update.set_fresh(!instance.disk_failed &&
                   KnowsNewest(instance.replica, turn.now, kFreshLimit));
  update.set_settled(IsSettledNow(turn));
  for (const wire::Member& member : state.members()) {
    update.add_control_instances(member.instance());
  }
  update.set_data_centre(instance.config.data_centre);
  update.set_rules_version(state.rules().version());
  update.set_seq(state.seq());
  update.set_voter(!instance.disk_failed && IsVoter(instance.replica));
  if (instance.replica.tip && instance.replica.tip->change().has_rules()) {
    update.set_pending_version(
        instance.replica.tip->change().rules().version());
  }
  return update;
}

wire::Update MakeUpdate(ControlTurn& turn, const Subscriber& subscriber) {
  const ControlInstance& instance = turn.instance;
  wire::Update update = MakeSummary(turn);
  update.set_registry_epoch(instance.config.incarnation);
  update.set_registry_from(subscriber.registry_change);
  update.set_registry_change(instance.registry.change);
  for (const wire::ServerRecord& record :
       RecordsAfter(instance.registry, subscriber.registry_change, turn.now)) {
    *update.add_servers() = record;
  }
  if (subscriber.rules_wanted) {
    const wire::RoutesUpdate routes =
        RoutesSince(instance.history, subscriber.rules_version);
    if (routes.version() != 0) {
      *update.mutable_routes() = routes;
    }
  }
  return update;
}

/// Says what this instance knows, without contents.
void SendBrief(ControlTurn& turn, InstanceAddress to) {
  wire::FleetMessage message;
  *message.mutable_update() = MakeSummary(turn);
  turn.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

void SendUpdate(ControlTurn& turn, InstanceAddress to,
                const Subscriber& subscriber) {
  wire::FleetMessage message;
  *message.mutable_update() = MakeUpdate(turn, subscriber);
  wire::Update& update = *message.mutable_update();
  if (subscriber.control) {
    update.set_confirm(update.servers_size() > 0);
    const Milliseconds lately = kSubscribeInterval * 2;
    for (const auto& [id, server] : turn.instance.registry.servers) {
      if (turn.now - server.reported_at <= lately) {
        update.add_heard(id);
      }
    }
  }
  turn.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

/// Tells those who do not know all yet.
void PushUpdates(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  instance.push_at = kNever;
  const std::uint64_t version = instance.replica.committed.rules().version();
  for (const auto& [address, subscriber] : instance.subscribers) {
    const bool behind =
        subscriber.registry_change < instance.registry.change ||
        (subscriber.rules_wanted && subscriber.rules_version < version);
    if (behind && IsAlive(subscriber, turn.now)) {
      SendUpdate(turn, address, subscriber);
    }
  }
}

void PushSoon(ControlTurn& turn) {
  turn.instance.push_at =
      std::min(turn.instance.push_at, turn.now + kPushDelay);
}

std::set<InstanceAddress> OtherControlInstances(
    const ControlInstance& instance) {
  std::set<InstanceAddress> others = instance.config.seeds;
  for (const wire::Member& member : instance.replica.committed.members()) {
    others.insert(member.instance());
  }
  others.erase(instance.config.self);
  return others;
}

void SubscribeToOthers(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  instance.subscribe_at = turn.now + kSubscribeInterval;
  for (const InstanceAddress other : OtherControlInstances(instance)) {
    instance.replica.config.control_instances.insert(other);
    const RegistrySource& source = instance.sources[other];
    wire::FleetMessage message;
    wire::Subscribe& subscribe = *message.mutable_subscribe();
    subscribe.set_control(true);
    subscribe.set_registry_epoch(source.epoch);
    subscribe.set_registry_change(source.change);
    turn.effects.emplace_back(
        SendMessage{.to = other, .message = std::move(message)});
  }
}

/// Answers the reports that another control instance has by now.
void StepReports(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  std::uint64_t confirmed = 0;
  for (const auto& [address, subscriber] : instance.subscribers) {
    if (subscriber.control) {
      confirmed = std::max(confirmed, subscriber.registry_change);
    }
  }
  if (instance.replica.committed.members_size() <= 1) {
    confirmed = instance.registry.change;
  }
  std::erase_if(instance.reports, [&](const WaitingReport& report) {
    if (report.change <= confirmed) {
      Answer(turn, AnswerCall{.call = report.call,
                              .verdict = CallVerdict::kAccepted,
                              .report_next = instance.config.self});
      return true;
    }
    if (turn.now < report.expires_at) {
      return false;
    }
    instance.counters.reports_unconfirmed += 1;
    Log(turn, EventId::kReportUnconfirmed,
        "change=" + std::to_string(report.change) +
            " confirmed=" + std::to_string(confirmed),
        Severity::kWarning);
    Answer(turn, AnswerCall{.call = report.call,
                            .verdict = CallVerdict::kUnavailable,
                            .reason = "no other control instance has it"});
    return true;
  });
}

void HandleSubscribe(ControlTurn& turn, InstanceAddress from,
                     const wire::Subscribe& subscribe) {
  ControlInstance& instance = turn.instance;
  const bool known_epoch =
      subscribe.registry_epoch() == instance.config.incarnation;
  if (subscribe.brief()) {
    SendBrief(turn, from);
    return;
  }
  Subscriber& subscriber = instance.subscribers[from];
  const std::uint64_t change = known_epoch ? subscribe.registry_change() : 0;
  const bool is_confirmation =
      known_epoch && change > subscriber.registry_change;
  subscriber = Subscriber{.rules_version = subscribe.rules_version(),
                          .registry_change = change,
                          .control = subscribe.control(),
                          .rules_wanted = subscribe.rules_wanted(),
                          .heard_at = turn.now};
  StepReports(turn);
  const bool complete = change == instance.registry.change;
  if (subscribe.control() && is_confirmation && complete) {
    return;  // It only confirms what it was sent.
  }
  SendUpdate(turn, from, subscriber);
}

void LogServer(ControlTurn& turn, const wire::ServerRecord& record,
               const std::string& source) {
  Log(turn, EventId::kServerChanged,
      "server=" + record.id() + " service=" + record.service() +
          " phase=" + wire::ServerPhase_Name(record.phase()) +
          " incarnation=" + std::to_string(record.incarnation()) +
          " sequence=" + std::to_string(record.sequence()) + " from=" + source);
}

void HandleUpdate(ControlTurn& turn, InstanceAddress from,
                  const wire::Update& update) {
  ControlInstance& instance = turn.instance;
  RegistrySource& source = instance.sources[from];
  source.heard_at = turn.now;
  source.data_centre = update.data_centre();
  for (const InstanceAddress address : update.control_instances()) {
    // The leader may be none of the seeds, and has to be asked to join.
    if (address != instance.config.self) {
      instance.replica.config.control_instances.insert(address);
    }
  }
  bool changed = false;
  for (wire::ServerRecord record : update.servers()) {
    // Each control instance judges silence by itself.
    record.set_silent(false);
    const auto known = instance.registry.servers.find(record.id());
    const bool silent = known != instance.registry.servers.end() &&
                        known->second.record.silent();
    record.set_silent(silent &&
                      known->second.record.sequence() == record.sequence());
    if (CheckRecord(record).empty() &&
        MergeRecord(instance.registry, record, turn.now)) {
      changed = true;
      LogServer(turn, record, FormatIp(from));
    }
  }
  const std::uint64_t before = instance.registry.change;
  for (const std::string& id : update.heard()) {
    NoteHeard(instance.registry, id, turn.now);
  }
  if (changed || instance.registry.change != before) {
    PushSoon(turn);
  }
  const bool follows = update.registry_epoch() == source.epoch
                           ? update.registry_from() <= source.change
                           : update.registry_from() == 0;
  if (follows) {
    source.epoch = update.registry_epoch();
    source.change = update.registry_change();
  }
  instance.settled = instance.settled || update.settled();
  if (update.confirm()) {
    wire::FleetMessage message;
    wire::Subscribe& subscribe = *message.mutable_subscribe();
    subscribe.set_control(true);
    subscribe.set_registry_epoch(source.epoch);
    subscribe.set_registry_change(source.change);
    turn.effects.emplace_back(
        SendMessage{.to = from, .message = std::move(message)});
  }
}

void HandleReport(ControlTurn& turn, const ServerReported& event) {
  ControlInstance& instance = turn.instance;
  instance.counters.reports += 1;
  const std::string finding = CheckRecord(event.record);
  if (!finding.empty()) {
    Log(turn, EventId::kAnnouncementRejected,
        "server=" + event.record.id() + " " + finding, Severity::kWarning);
    Answer(turn, AnswerCall{.call = event.call,
                            .verdict = CallVerdict::kRefused,
                            .reason = finding});
    return;
  }
  wire::ServerRecord record = event.record;
  const auto known = instance.registry.servers.find(record.id());
  if (record.phase() == wire::SERVER_GONE &&
      known != instance.registry.servers.end()) {
    // Its address and token are still needed for the flows that it had.
    const std::uint64_t incarnation = record.incarnation();
    record = known->second.record;
    if (incarnation == 0 || incarnation >= record.incarnation()) {
      record.set_incarnation(std::max(incarnation, record.incarnation()));
      record.set_phase(wire::SERVER_GONE);
      record.set_silent(false);
    }
  }
  if (MergeRecord(instance.registry, record, turn.now)) {
    LogServer(turn, record, "itself");
    PushSoon(turn);
  }
  Server& server = instance.registry.servers.at(record.id());
  if (record.incarnation() >= server.record.incarnation()) {
    server.reported_at = turn.now;
  }
  if (record.phase() == wire::SERVER_READY) {
    Answer(turn, AnswerCall{.call = event.call,
                            .verdict = CallVerdict::kAccepted,
                            .report_next = instance.config.self});
    return;
  }
  instance.reports.push_back(
      WaitingReport{.call = event.call,
                    .change = server.change,
                    .expires_at = turn.now + kConfirmWait});
  StepReports(turn);
  if (!instance.reports.empty()) {
    PushUpdates(turn);
  }
}

void TakeCommitted(ControlTurn& turn) {
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
    // Only checked files are proposed, so another build has written this one.
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
  void operator()(const ControlAdvanced&) { TakeCommitted(this->turn); }
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

/// Takes what was saved as reported long ago, so that servers that do not
/// report again soon are taken for silent.
void RestoreRegistry(ControlTurn& turn, const wire::SavedRegistry& saved) {
  ControlInstance& instance = turn.instance;
  const TimePoint reported =
      turn.now - instance.config.announce_interval *
                     (kIntervalsUntilSilent - kIntervalsUntilSettled);
  for (const wire::ServerRecord& record : saved.servers()) {
    if (CheckRecord(record).empty()) {
      MergeRecord(instance.registry, record, reported);
    }
  }
  instance.settled = saved.servers_size() > 0;
  instance.saved_change = instance.registry.change;
}

void SaveServers(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  instance.save_at = turn.now + kSaveInterval;
  if (instance.saved_change == instance.registry.change) {
    return;
  }
  instance.saved_change = instance.registry.change;
  SaveRegistry effect;
  for (wire::ServerRecord& record :
       RecordsAfter(instance.registry, 0, turn.now)) {
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
  StepSubmissions(turn);
  StepReports(turn);
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
    PushSoon(turn);
  }
  ForgetGone(instance.registry, kGoneRetention, turn.now);
  std::erase_if(instance.subscribers, [&](const auto& item) {
    return turn.now - item.second.heard_at > kGoneRetention;
  });
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
    TakeCommitted(this->turn);
    RunReplica(this->turn, ControlStarted{});
    SubscribeToOthers(this->turn);
  }
  void operator()(const ControlInstanceDue&) { HandleDue(this->turn); }
  void operator()(const PeerMessage& event) {
    const wire::FleetMessage& message = event.message;
    if (message.has_control()) {
      RunReplica(this->turn, ControlReceived{.from = event.from,
                                             .message = message.control()});
      StepSubmissions(this->turn);
    } else if (message.has_subscribe()) {
      HandleSubscribe(this->turn, event.from, message.subscribe());
    } else if (message.has_update()) {
      HandleUpdate(this->turn, event.from, message.update());
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
  for (const ControlEffect& effect :
       Reduce(instance.replica, event, turn.now)) {
    std::visit(ReplicaVisitor{.turn = turn}, effect);
  }
  LogLeadership(turn, before);
}

InstanceAddress KnownLeader(const ControlTurn& turn) {
  const Replica& replica = turn.instance.replica;
  const bool heard = turn.now - replica.leader_heard_at <= kRedirectLimit;
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
  replica.least_voters = 2 * config.tolerated_losses + 1;
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
      {instance.subscribe_at, instance.push_at, instance.housekeeping_at});
  if (!instance.disk_failed) {
    const bool leads = replica.role == ReplicaRole::kLeader;
    const TimePoint follower_due =
        IsVoter(replica) ? replica.election_at : replica.join_at;
    due = std::min(due, leads ? replica.heartbeat_at : follower_due);
  }
  for (const WaitingSubmission& submission : instance.submissions) {
    due = std::min(due, submission.expires_at);
  }
  for (const WaitingReport& report : instance.reports) {
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
