#include "Fleet/ControlInstance.h"

#include <algorithm>

#include "Base/Endpoint.h"
#include "Base/Hash.h"
#include "Fleet/ControlContext.h"
#include "Rules/RulesParser.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kHousekeepingInterval{500};
/// A call is redirected only to a leader whose last heartbeat is at most this
/// old.
constexpr Milliseconds kRedirectMaxSilence{600};
/// How long gone servers and subscribers without requests are kept.
constexpr Milliseconds kGoneRetention{90000};
constexpr Milliseconds kLease{600};
constexpr Milliseconds kElectionJitter{250};
/// Lower limit of the number of voters, also if no disk loss has to be
/// tolerated.
constexpr std::uint32_t kMinVoters = 3;

void ApplyCommittedRules(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const wire::RulesFile& file = instance.replica.committed.rules();
  const bool known =
      !instance.history.versions.empty() &&
      instance.history.versions.rbegin()->first >= file.version();
  if (file.version() == 0 || known) {
    return;
  }
  const ParsedRules parsed = ParseRules(file.text(), "rules");
  if (!parsed.findings.empty()) {
    // Only files that the proposer can parse are proposed, so an instance of
    // another build has proposed this one.
    Log(context, EventId::kRulesUnreadable,
        "version=" + std::to_string(file.version()) + " " +
            FormatFinding(parsed.findings.front()),
        Severity::kError);
    return;
  }
  AddVersion(instance.history, parsed.rules);
  ApplyWarmupLimits(context, parsed.rules);
  instance.named_services.clear();
  for (const auto& [name, service] : parsed.rules.services) {
    instance.named_services.insert(name);
  }
  instance.evacuations.by_rules = EvacuatedDataCentres(parsed.rules);
  Log(context, EventId::kRulesInForce,
      "version=" + std::to_string(file.version()) +
          " seq=" + std::to_string(instance.replica.committed.seq()));
  PushUpdates(context);
}

struct ReplicaVisitor {
  ControlContext& context;
  void operator()(const ControlSend& effect) {
    wire::FleetMessage message;
    *message.mutable_control() = effect.message;
    this->context.effects.emplace_back(
        SendMessage{.to = effect.to, .message = std::move(message)});
  }
  void operator()(const ControlPersist& effect) {
    this->context.effects.emplace_back(PersistRecord{.record = effect.record});
  }
  void operator()(const ControlStateChanged&) {
    ApplyCommittedRules(this->context);
    ApplyCommittedEvacuations(this->context);
    NoteEvacuations(this->context);
  }
  void operator()(const ControlVerdict& effect) {
    HandleVerdict(this->context, effect);
  }
};

void HandleTick(ControlContext& context) {
  ControlInstance& instance = context.instance;
  RunReplica(context, ControlTick{});
  UpdateInSync(context);
  if (context.now >= instance.next_subscribe_at) {
    SubscribeToOthers(context);
  }
  if (context.now >= instance.next_push_at) {
    PushUpdates(context);
  }
  AnswerFollowerRequests(context);
  RetrySubmissions(context);
  RetryEvacuationOrders(context);
  AnswerPendingReports(context);
  ProcessOutcomes(context);
  ProcessDurations(context);
  if (context.now >= instance.next_save_at) {
    SaveServers(context);
  }
  if (context.now < instance.next_housekeeping_at) {
    return;
  }
  instance.next_housekeeping_at = context.now + kHousekeepingInterval;
  const Milliseconds silence =
      instance.config.announce_interval * kIntervalsUntilSilent;
  if (instance.in_sync &&
      MarkSilent(instance.registry, silence, context.now) > 0) {
    SchedulePush(context);
  }
  RemoveExpiredServers(instance.registry, kGoneRetention, context.now);
  ExpireWarmup(context);
  std::erase_if(instance.subscribers, [&](const auto& item) {
    return context.now - item.second.heard_at > kGoneRetention;
  });
  std::erase_if(instance.sources, [&](const auto& item) {
    return !instance.config.seeds.contains(item.first) &&
           context.now - item.second.heard_at > kGoneRetention;
  });
}

void HandlePackedUpdate(ControlContext& context, InstanceAddress from,
                        wire::Update update) {
  ReportSetAside(context, ReadUpdate(update), FormatIp(from));
  HandleUpdate(context, from, update);
}

void HandlePeerMessage(ControlContext& context, const PeerMessage& event) {
  const wire::FleetMessage& message = event.message;
  SetAsideRecords set_aside;
  if (message.has_control()) {
    if (const auto error = CheckControlMessage(message.control())) {
      SetAside(set_aside, *error, message.control().SerializeAsString());
    } else {
      RunReplica(context, ControlReceived{.from = event.from,
                                          .message = message.control()});
      RetrySubmissions(context);
      RetryEvacuationOrders(context);
    }
  } else if (message.has_subscribe()) {
    wire::Subscribe subscribe = message.subscribe();
    CheckSubscribe(subscribe, set_aside);
    HandleSubscribe(context, event.from, subscribe);
  } else if (message.has_update()) {
    HandlePackedUpdate(context, event.from, message.update());
  } else if (message.has_outcomes()) {
    wire::Outcomes outcomes = message.outcomes();
    CheckOutcomes(outcomes, set_aside);
    HandleOutcomes(context, outcomes);
  } else if (message.has_warmup_request()) {
    wire::WarmupRequest request = message.warmup_request();
    CheckWarmupRequest(request, set_aside);
    HandleWarmupRequest(context, event.from, request);
  }
  ReportSetAside(context, set_aside, FormatIp(event.from));
}

struct EventVisitor {
  ControlContext& context;
  void operator()(const ControlInstanceStarted& event) {
    ControlInstance& instance = this->context.instance;
    instance.started_at = this->context.now;
    instance.in_sync_until = this->context.now;
    instance.next_push_at = kNever;
    NoteEvacuations(this->context);
    // Before the rest, since an election needs the answers to its messages.
    RunReplica(this->context,
               ControlStarted{.start = instance.config.incarnation});
    RestoreRegistry(this->context, event.saved);
    Log(this->context, EventId::kStarted,
        "seq=" + std::to_string(instance.replica.committed.seq()) +
            " members=" +
            std::to_string(instance.replica.committed.members_size()) +
            " voter=" + std::to_string(IsVoter(instance.replica)));
    ApplyCommittedRules(this->context);
    ApplyCommittedEvacuations(this->context);
    SubscribeToOthers(this->context);
    SendSummaryToFollowers(this->context);
  }
  void operator()(const ControlInstanceTick&) { HandleTick(this->context); }
  void operator()(const PeerMessage& event) {
    HandlePeerMessage(this->context, event);
  }
  void operator()(const ServerReported& event) {
    HandleReport(this->context, event);
  }
  void operator()(const RulesSubmitted& event) {
    HandleSubmitted(this->context, event);
  }
  void operator()(const RulesRead& event) { HandleRead(this->context, event); }
  void operator()(const EvacuationOrdered& event) {
    HandleEvacuationOrder(this->context, event);
  }
  void operator()(const ControlStopRequested& event) {
    Log(this->context, EventId::kStopping, "control instance");
    RunReplica(this->context, ControlLeave{.limit = event.limit});
  }
  void operator()(const ControlDiskFailed&) {
    ControlInstance& instance = this->context.instance;
    instance.disk_failed = true;
    for (const auto& [token, proposal] : instance.proposals) {
      Answer(this->context,
             AnswerCall{.call = proposal.call, .reason = kDiskFailedReason});
    }
    instance.proposals.clear();
    RetrySubmissions(this->context);
    RetryEvacuationOrders(this->context);
  }
  void operator()(const RegistryNotSaved&) {
    RequestSave(this->context.instance);
  }
  void operator()(const ControlDiskRestored& event) {
    ControlInstance& instance = this->context.instance;
    const ReplicaConfig config = instance.replica.config;
    const Departure departure = instance.replica.departure;
    instance.replica = Replica{.config = config, .departure = departure};
    for (const wire::DurableRecord& record : event.log) {
      Restore(instance.replica, record);
    }
    instance.disk_failed = false;
    instance.disk_restores += 1;
    RunReplica(this->context,
               ControlStarted{.start = MixHash(instance.config.incarnation,
                                               instance.disk_restores)});
  }
};

}  // namespace

void Log(ControlContext& context, EventId id, const std::string& text,
         Severity severity) {
  context.effects.emplace_back(
      LogRecord{.id = id, .severity = severity, .text = text});
}

void ReportSetAside(ControlContext& context, const SetAsideRecords& records,
                    const std::string& source) {
  if (records.total > 0) {
    AddCounts(context.instance.counters.set_aside, records);
    Log(context, EventId::kRecordSetAside, FormatSetAside(records, source),
        Severity::kWarning);
  }
}

void Answer(ControlContext& context, AnswerCall answer) {
  context.effects.emplace_back(std::move(answer));
}

void RunReplica(ControlContext& context, const ControlEvent& event) {
  ControlInstance& instance = context.instance;
  if (instance.disk_failed) {
    return;
  }
  const ReplicaRole before = instance.replica.role;
  const std::uint64_t seq_before = instance.replica.committed.seq();
  const bool departed_before = HasDeparted(instance.replica);
  for (const ControlEffect& effect :
       Reduce(instance.replica, event, context.now)) {
    std::visit(ReplicaVisitor{.context = context}, effect);
  }
  LogLeadership(context, before);
  LogStandbys(context);
  if (HasDeparted(instance.replica) && !departed_before) {
    LogDeparture(context);
  }
  CatchUp(context);
  if (instance.replica.committed.seq() != seq_before) {
    LogVoters(context);
  }
}

InstanceAddress RedirectTarget(const ControlContext& context) {
  const Replica& replica = context.instance.replica;
  const bool heard =
      context.now - replica.leader_heard_at <= kRedirectMaxSilence;
  const bool other = replica.leader != context.instance.config.self;
  return heard && other && !context.instance.disk_failed ? replica.leader : 0;
}

std::optional<ControlInstanceEffect> EffectAfterFailedWrite(
    const ControlInstanceEffect& effect) {
  if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
    return AnswerCall{.call = answer->call, .reason = kDiskFailedReason};
  }
  if (std::holds_alternative<SaveRegistry>(effect)) {
    return effect;
  }
  return std::nullopt;
}

ControlInstance MakeControlInstance(
    const FleetConfig& config, const std::vector<wire::DurableRecord>& log) {
  ControlInstance instance{.config = config};
  ReplicaConfig& replica = instance.replica.config;
  replica.self = config.self;
  replica.control_instances = config.seeds;
  replica.open_membership = true;
  replica.lease = kLease;
  replica.election_jitter = kElectionJitter;
  replica.min_voters = std::max(kMinVoters, 2 * config.tolerated_losses + 1);
  for (const wire::DurableRecord& record : log) {
    Restore(instance.replica, record);
  }
  return instance;
}

std::vector<ControlInstanceEffect> Reduce(ControlInstance& instance,
                                          const ControlInstanceEvent& event,
                                          TimePoint now) {
  std::vector<ControlInstanceEffect> effects;
  ControlContext context{.instance = instance, .now = now, .effects = effects};
  DetectStall(context);
  std::visit(EventVisitor{.context = context}, event);
  return effects;
}

bool MayEnd(const ControlInstance& instance) {
  return instance.disk_failed || HasDeparted(instance.replica);
}

TimePoint NextDue(const ControlInstance& instance) {
  TimePoint due = std::min(
      {instance.next_subscribe_at, instance.next_push_at,
       instance.next_housekeeping_at, instance.outcomes.next_evaluation_at,
       instance.speeds.next_evaluation_at, NextDue(instance.evacuations),
       NextDue(instance.follower_queue)});
  if (!instance.disk_failed) {
    due = std::min(due, NextDue(instance.replica));
  }
  for (const PendingSubmission& submission : instance.submissions) {
    due = std::min(due, submission.expires_at);
  }
  for (const PendingReport& report : instance.reports) {
    due = std::min(due, report.expires_at);
  }
  return due;
}

wire::DurableRecord InitialRecord(const FleetConfig& config, bool first_start) {
  if (first_start && config.seeds.contains(config.self)) {
    return FoundingRecord(config.self, config.seeds);
  }
  wire::DurableRecord record;
  record.set_incarnation(config.incarnation | 1U);
  return record;
}

}  // namespace filbertwall
