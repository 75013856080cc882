#include "Fleet/EntryInstance.h"

#include <algorithm>

#include "Distribution/PackedContents.h"
#include "Fleet/EntryBalance.h"
#include "Fleet/EntryHousekeeping.h"

namespace filbertwall {
namespace {

/// Time between two requests to the primary.
constexpr Milliseconds kPollInterval{400};
/// Missing contents are requested again after an interval that starts at the
/// minimum and doubles with each request up to the maximum: when many instances
/// request contents at once, sending them twice to one delays the others.
constexpr Milliseconds kMinContentsRequestInterval{60};
constexpr Milliseconds kMaxContentsRequestInterval{500};
/// When the primary has not sent a fresh update for this long, all known
/// control instances are probed.
constexpr Milliseconds kPrimaryTimeout{900};
/// The interval between two probes of all control instances starts at the
/// minimum and doubles up to the maximum.
constexpr Milliseconds kMinProbeInterval{40};
constexpr Milliseconds kMaxProbeInterval{120};
/// Maximum probe interval when fewer than half of the probes were answered,
/// since the control instances may be overloaded.
constexpr Milliseconds kMaxUnansweredProbeInterval{240};
/// Time between two probes of the own data centre while the primary is in
/// another one.
constexpr Milliseconds kLocalProbeInterval{2000};
/// RulesStatus that was received longer ago than this does not count towards a
/// majority: a newer version may have been accepted since.
constexpr Milliseconds kRulesStatusLifetime{1000};
constexpr Milliseconds kHousekeepingInterval{1000};
/// A control instance that is not heard for this long is forgotten when there
/// is no room for another one.
constexpr Milliseconds kSourceLifetime{5000};
/// A timer that is overdue by more than this shows that the process was
/// suspended or had no processor time.
constexpr Milliseconds kStallThreshold{300};
/// After a stall, opening packets are discarded for this long: time enough to
/// read the packets that have queued up meanwhile.
constexpr Milliseconds kStallDiscardTime{100};
/// Time between the stop request and the end of the process. The routers send
/// packets elsewhere only after two failed health checks.
constexpr Milliseconds kStopDelay{1800};

/// The event being handled: state, time and the effects so far.
struct EventContext {
  EntryInstance& instance;
  TimePoint now;
  std::vector<EntryEffect>& effects;
};

void Log(EventContext& context, EventId id, const std::string& text,
         Severity severity = Severity::kInfo) {
  context.effects.emplace_back(
      LogRecord{.id = id, .severity = severity, .text = text});
}

/// Asks a control instance for its state without the contents.
void SendProbe(EventContext& context, InstanceAddress to) {
  wire::FleetMessage message;
  message.mutable_subscribe()->set_brief(true);
  context.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

/// Moves the flow outcomes that are not yet reported into a message.
void DrainOutcomes(Forwarder& forwarder, wire::Outcomes& outcomes) {
  for (const auto& [server, delta] : forwarder.outcomes.unreported) {
    wire::ServerOutcome& item = *outcomes.add_servers();
    item.set_id(forwarder.placement.servers[server].id);
    item.set_served(delta.served);
    item.set_failed(delta.failed);
    item.set_timed(delta.timed);
    item.set_duration_ms(delta.duration_ms);
  }
  forwarder.outcomes.unreported.clear();
}

void SendSubscribe(EventContext& context, InstanceAddress to) {
  EntryInstance& instance = context.instance;
  ControlSource& source = instance.sources.at(to);
  source.contents_requested_at = context.now;
  wire::FleetMessage message;
  wire::Subscribe& subscribe = *message.mutable_subscribe();
  subscribe.set_rules_version(
      instance.all_routes_wanted ? 0 : instance.forwarder.routes.version);
  subscribe.set_rules_wanted(true);
  subscribe.set_registry_epoch(source.position.epoch);
  subscribe.set_registry_change(source.position.change);
  if (to == instance.primary) {
    DrainOutcomes(instance.forwarder, *subscribe.mutable_outcomes());
  }
  context.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

bool LacksFreshPrimary(const EntryInstance& instance, TimePoint now) {
  return instance.primary == 0 ||
         now - instance.primary_fresh_at > kPrimaryTimeout;
}

bool IsLocal(const EntryInstance& instance, InstanceAddress control) {
  const auto source = instance.sources.find(control);
  return source != instance.sources.end() &&
         source->second.data_centre == instance.config.data_centre;
}

/// While the primary is in another data centre, probes the control instances of
/// the own one at intervals, so that one of them can become the primary again.
void ProbeLocalSources(EventContext& context) {
  EntryInstance& instance = context.instance;
  if (context.now < instance.next_local_probe_at ||
      IsLocal(instance, instance.primary)) {
    return;
  }
  instance.next_local_probe_at = context.now + kLocalProbeInterval;
  for (const auto& [address, source] : instance.sources) {
    if (IsLocal(instance, address)) {
      SendProbe(context, address);
    }
  }
}

void PollControl(EventContext& context) {
  EntryInstance& instance = context.instance;
  if (!LacksFreshPrimary(instance, context.now)) {
    instance.next_poll_at = context.now + kPollInterval;
    SendSubscribe(context, instance.primary);
    ProbeLocalSources(context);
    return;
  }
  if (instance.primary != 0) {
    Log(context, EventId::kControlInstanceLost,
        "control=" + FormatIp(instance.primary) + " silent_ms=" +
            std::to_string(
                MillisecondsBetween(instance.primary_fresh_at, context.now)),
        Severity::kWarning);
    instance.primary = 0;
    instance.probe_interval = kMinProbeInterval;
  }
  instance.next_poll_at = context.now + instance.probe_interval;
  const bool few_replies = instance.probe_replies * 2 < instance.sources.size();
  instance.probe_interval =
      std::min(instance.probe_interval * 2,
               few_replies ? kMaxUnansweredProbeInterval : kMaxProbeInterval);
  instance.probe_replies = 0;
  for (const InstanceAddress seed : instance.config.seeds) {
    instance.sources.try_emplace(seed);
  }
  for (const auto& [address, source] : instance.sources) {
    SendProbe(context, address);
  }
}

/// Requests the contents from `from` when `update` shows that newer rules or
/// the first server records are missing here. When several control instances
/// send such updates at once, only one is asked.
void RequestMissingContents(EventContext& context, InstanceAddress from,
                            const wire::Update& update) {
  EntryInstance& instance = context.instance;
  const bool newer_rules =
      update.rules_version() > instance.forwarder.routes.version;
  const bool first_servers = update.settled() && !instance.servers_known;
  if (!newer_rules && !first_servers) {
    instance.contents_request_interval = kMinContentsRequestInterval;
    return;
  }
  const bool requested_recently = std::any_of(
      instance.sources.begin(), instance.sources.end(), [&](const auto& item) {
        return context.now - item.second.contents_requested_at <
               instance.contents_request_interval;
      });
  if (!requested_recently) {
    SendSubscribe(context, from);
    instance.contents_request_interval = std::min(
        instance.contents_request_interval * 2, kMaxContentsRequestInterval);
  }
}

void UpdateServingState(EventContext& context) {
  EntryInstance& instance = context.instance;
  const bool serving = instance.rules_confirmed && instance.servers_known;
  if (serving && !instance.forwarder.serving) {
    Log(context, EventId::kServing,
        "version=" + std::to_string(instance.forwarder.routes.version) +
            " servers=" + std::to_string(instance.registry.servers.size()) +
            " held=" + std::to_string(instance.forwarder.held.openings.size()));
    const auto may_be_in_time = [&](const HeldOpening& opening) {
      return MayBeInTime(instance.forwarder, opening, context.now);
    };
    StartRelease(instance.forwarder.held, may_be_in_time, context.now);
  }
  instance.forwarder.serving = serving;
}

/// Returns whether a record has changed.
bool MergeServers(EventContext& context, InstanceAddress from,
                  const wire::Update& update) {
  EntryInstance& instance = context.instance;
  const bool by_load = instance.config.balance_by_load;
  bool changed = false;
  for (const wire::ServerRecord& record : update.servers()) {
    if (!MergeServerRecord(instance.registry, record, context.now)) {
      if (by_load && from == instance.primary) {
        AdoptSlowness(instance, record);
      }
      continue;
    }
    changed = true;
    UpdateServer(instance.forwarder.placement, record, context.now);
    Log(context, EventId::kServerChanged,
        "server=" + record.id() + " service=" + record.service() +
            " phase=" + wire::ServerPhase_Name(record.phase()) +
            " silent=" + std::to_string(record.silent()) +
            " incarnation=" + std::to_string(record.incarnation()) +
            " sequence=" + std::to_string(record.sequence()));
  }
  if (changed) {
    RefreshUsable(instance.forwarder.placement);
  }
  return changed;
}

/// Sends the request for leases on warm-up limits, if it is due.
void RequestWarmup(EventContext& context) {
  EntryInstance& instance = context.instance;
  WarmupRequestResult result =
      RequestWarmupLeases(instance.warmup, instance.forwarder.placement,
                          instance.config.incarnation, context.now);
  for (LogRecord& record : result.records) {
    context.effects.emplace_back(std::move(record));
  }
  for (SendMessage& message : result.messages) {
    context.effects.emplace_back(std::move(message));
  }
}

void ApplyRoutesUpdate(EventContext& context, const wire::Update& update) {
  EntryInstance& instance = context.instance;
  Forwarder& forwarder = instance.forwarder;
  if (update.has_routes() &&
      ApplyRoutes(forwarder.routes, update.routes(), forwarder.placement)) {
    Log(context, EventId::kRulesInForce,
        "version=" + std::to_string(forwarder.routes.version) +
            " base=" + std::to_string(update.routes().base_version()) +
            " routes=" + std::to_string(forwarder.routes.routes.size()));
  }
}

/// Returns whether a majority of the voters has stored no version newer than
/// the rules in force here, and no newer evacuation change. An accepted version
/// is stored by a majority, and any two majorities share a voter, so one of
/// these voters would have it. The set of voters is that of the voter with the
/// most committed entries.
bool IsConfirmedByMajority(const EntryInstance& instance, TimePoint now) {
  const wire::RulesStatus* latest = nullptr;
  for (const auto& [address, source] : instance.sources) {
    const wire::RulesStatus& rules_status = source.rules_status;
    if (rules_status.voter() &&
        (latest == nullptr || rules_status.seq() > latest->seq())) {
      latest = &rules_status;
    }
  }
  if (latest == nullptr || instance.forwarder.routes.version == 0) {
    return false;
  }
  int agreeing = 0;
  for (const InstanceAddress voter : latest->control_instances()) {
    const auto source = instance.sources.find(voter);
    const bool is_current =
        source != instance.sources.end() &&
        source->second.rules_status.voter() &&
        now - source->second.rules_status_at <= kRulesStatusLifetime;
    if (!is_current) {
      continue;
    }
    if (source->second.rules_status.newest_version() >
            instance.forwarder.routes.version ||
        source->second.rules_status.newest_evacuation_seq() >
            instance.evacuations.seq) {
      return false;
    }
    agreeing += 1;
  }
  return 2 * agreeing > latest->control_instances_size();
}

void ConfirmRules(EventContext& context, const wire::Update& update) {
  EntryInstance& instance = context.instance;
  if (instance.rules_confirmed) {
    return;
  }
  const bool confirmed_by_leader =
      update.fresh() && update.rules_version() > 0 &&
      instance.forwarder.routes.version >= update.rules_version();
  instance.rules_confirmed =
      confirmed_by_leader || IsConfirmedByMajority(instance, context.now);
}

/// Makes `from` the primary when there is none, or when `from` is in the own
/// data centre and the current primary is not. Precondition: the update of
/// `from` was fresh.
void ChoosePrimary(EventContext& context, InstanceAddress from,
                   const ControlSource& source) {
  EntryInstance& instance = context.instance;
  const bool local = source.data_centre == instance.config.data_centre;
  const bool has_local = IsLocal(instance, instance.primary);
  if (instance.primary == 0 || (local && !has_local)) {
    instance.primary = from;
    instance.next_poll_at = context.now;
    if (instance.config.balance_by_load) {
      ForgetSlowness(instance, from);
    }
    Log(context, EventId::kControlInstanceSelected,
        "control=" + FormatIp(from) + " data_centre=" + source.data_centre);
  }
}

/// Merges the rules_status of a control instance that another one has relayed.
/// It replaces the present rules_status unless it has fewer committed entries.
/// In either case the higher of the two newest versions is kept.
void MergeRelayedStatus(ControlSource& source,
                        const wire::RulesStatus& rules_status, TimePoint now) {
  const std::uint64_t newest = std::max(source.rules_status.newest_version(),
                                        rules_status.newest_version());
  const std::uint64_t newest_evacuation =
      std::max(source.rules_status.newest_evacuation_seq(),
               rules_status.newest_evacuation_seq());
  if (rules_status.seq() >= source.rules_status.seq()) {
    source.rules_status = rules_status;
    source.rules_status_at = now;
  }
  source.rules_status.set_newest_version(newest);
  source.rules_status.set_newest_evacuation_seq(newest_evacuation);
}

/// Returns a control instance, and adds it if it is new. Returns null for this
/// instance, for address 0, and when there is no room: control instances that
/// have been silent for long are removed, except for seeds and the primary.
ControlSource* FindOrAddSource(EventContext& context, InstanceAddress address) {
  EntryInstance& instance = context.instance;
  if (address == 0 || address == instance.config.self) {
    return nullptr;
  }
  const auto known = instance.sources.find(address);
  if (known != instance.sources.end()) {
    return &known->second;
  }
  if (instance.sources.size() >= kMaxControlInstances) {
    std::erase_if(instance.sources, [&](const auto& item) {
      return item.first != instance.primary &&
             !instance.config.seeds.contains(item.first) &&
             context.now - item.second.heard_at > kSourceLifetime;
    });
  }
  return instance.sources.size() < kMaxControlInstances
             ? &instance.sources[address]
             : nullptr;
}

/// Adds a control instance. A new one is probed at once, since it may be in the
/// own data centre.
void AddSource(EventContext& context, InstanceAddress address) {
  const bool is_new = !context.instance.sources.contains(address);
  if (FindOrAddSource(context, address) != nullptr && is_new) {
    SendProbe(context, address);
  }
}

/// Precondition: `update` was returned by `ReadUpdate`.
void HandleUpdate(EventContext& context, InstanceAddress from,
                  const wire::Update& update) {
  EntryInstance& instance = context.instance;
  ControlSource* sender = FindOrAddSource(context, from);
  if (sender == nullptr) {
    return;
  }
  ControlSource& source = *sender;
  source.heard_at = context.now;
  for (const InstanceAddress address : update.control_instances()) {
    AddSource(context, address);
  }
  for (const InstanceAddress address : update.standbys()) {
    AddSource(context, address);
  }
  for (const wire::RulesStatus& other : update.others()) {
    if (ControlSource* relayed = FindOrAddSource(context, other.instance())) {
      MergeRelayedStatus(*relayed, other, context.now);
    }
  }
  instance.probe_replies += 1;
  source.data_centre = update.data_centre();
  source.rules_status = ExtractRulesStatus(update);
  source.rules_status_at = context.now;
  const bool servers_changed = MergeServers(context, from, update);
  const bool has_contents = update.registry_epoch() != 0;
  if (has_contents) {
    AdvancePosition(source.position, update);
  }
  instance.servers_known =
      instance.servers_known ||
      (has_contents && update.settled() && !update.partial());
  for (const LogRecord& record :
       ApplyEvacuations(instance.evacuations, update,
                        instance.forwarder.placement, context.now)) {
    context.effects.emplace_back(record);
  }
  ApplyRoutesUpdate(context, update);
  PrepareWarmupRequest(instance.forwarder.placement, servers_changed,
                       context.now);
  UpdateCapacities(instance, context.now);
  ConfirmRules(context, update);
  RequestMissingContents(context, from, update);
  if (update.fresh()) {
    source.fresh_at = context.now;
    instance.warmup.leader = update.leader();
    ChoosePrimary(context, from, source);
    if (from == instance.primary) {
      instance.primary_fresh_at = context.now;
    }
  }
  if (MayConfirm(source.position, update)) {
    SendSubscribe(context, from);
  }
  UpdateServingState(context);
}

/// Counts and logs records that were set aside. Does nothing if there are none.
void ReportSetAside(EventContext& context, const SetAsideRecords& records,
                    InstanceAddress from) {
  if (records.total > 0) {
    AddCounts(context.instance.set_aside, records);
    Log(context, EventId::kRecordSetAside,
        FormatSetAside(records, FormatIp(from)), Severity::kWarning);
  }
}

struct EventVisitor {
  EventContext& context;
  void operator()(const EntryStarted&) {
    EntryInstance& instance = this->context.instance;
    instance.started_at = this->context.now;
    instance.next_housekeeping_at = this->context.now + kHousekeepingInterval;
    PollControl(this->context);
  }
  void operator()(const EntryTick&) {
    EntryInstance& instance = this->context.instance;
    ExpireFlows(instance.forwarder, this->context.now);
    if (this->context.now >= instance.next_poll_at) {
      PollControl(this->context);
    }
    RequestWarmup(this->context);
    if (this->context.now >= instance.next_housekeeping_at) {
      instance.next_housekeeping_at = this->context.now + kHousekeepingInterval;
      RunHousekeeping(instance, this->context.effects, this->context.now);
    }
    if (instance.stopping && !instance.stopped &&
        this->context.now >= instance.stop_at) {
      instance.stopped = true;
      Log(this->context, EventId::kStopped,
          "flows=" + std::to_string(instance.forwarder.flows.size()));
      this->context.effects.emplace_back(EntryStopped{});
    }
  }
  void operator()(const PeerMessage& event) {
    if (event.message.has_warmup_grant()) {
      HandleGrant(event.from, event.message.warmup_grant());
    }
    if (!event.message.has_update()) {
      return;
    }
    wire::Update update = event.message.update();
    const bool sent_routes = !update.packed_routes().empty();
    const SetAsideRecords set_aside = ReadUpdate(update);
    if (sent_routes) {
      this->context.instance.all_routes_wanted = !update.has_routes();
    }
    ReportSetAside(this->context, set_aside, event.from);
    HandleUpdate(this->context, event.from, update);
  }
  void HandleGrant(InstanceAddress from, wire::WarmupGrant grant) {
    EntryInstance& instance = this->context.instance;
    SetAsideRecords set_aside;
    CheckWarmupGrant(grant, set_aside);
    ReportSetAside(this->context, set_aside, from);
    HandleWarmupGrant(instance.warmup, instance.forwarder.placement,
                      instance.config.incarnation, grant, this->context.now);
  }
  void operator()(const EntryStopRequested&) {
    EntryInstance& instance = this->context.instance;
    if (!instance.stopping) {
      instance.stopping = true;
      instance.stop_at = this->context.now + kStopDelay;
      Log(this->context, EventId::kStopping,
          "flows=" + std::to_string(instance.forwarder.flows.size()));
    }
  }
  void operator()(const SeedsChanged& event) {
    this->context.instance.config.seeds = event.seeds;
    Log(this->context, EventId::kSettingsReloaded,
        "seeds=" + std::to_string(event.seeds.size()));
  }
};

}  // namespace

EntryInstance MakeEntryInstance(const FleetConfig& config) {
  EntryInstance instance{.config = config};
  instance.probe_interval = kMinProbeInterval;
  instance.contents_request_interval = kMinContentsRequestInterval;
  instance.forwarder.placement.config = {
      .data_centre = config.data_centre,
      .seed = config.incarnation,
      .regions = config.regions,
      .balance_by_load = config.balance_by_load};
  ConfigureAdmission(instance.forwarder, config);
  return instance;
}

std::vector<EntryEffect> Reduce(EntryInstance& instance,
                                const EntryEvent& event, TimePoint now) {
  DetectStall(instance, now);
  std::vector<EntryEffect> effects;
  EventContext context{.instance = instance, .now = now, .effects = effects};
  std::visit(EventVisitor{.context = context}, event);
  return effects;
}

TimePoint NextDue(const EntryInstance& instance) {
  TimePoint due =
      std::min({instance.next_poll_at, instance.next_housekeeping_at,
                instance.forwarder.held.release_at,
                instance.forwarder.late.next_check_at,
                instance.forwarder.placement.warmup.next_request_at});
  if (instance.stopping) {
    due = std::min(due, instance.stop_at);
  }
  return due;
}

void DetectStall(EntryInstance& instance, TimePoint now) {
  const bool started = instance.started_at != TimePoint();
  if (started && now > NextDue(instance) + kStallThreshold) {
    instance.forwarder.discard_openings_until = now + kStallDiscardTime;
    ResetMeasurements(instance.forwarder.admission);
  }
}

bool IsReady(const EntryInstance& instance) {
  return instance.forwarder.serving && !instance.stopping;
}

}  // namespace filbertwall
