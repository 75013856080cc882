#include "Fleet/EntryInstance.h"

#include <algorithm>

#include "Distribution/PackedContents.h"
#include "Fleet/EntryBalance.h"
#include "Fleet/EntryContext.h"
#include "Fleet/EntryHousekeeping.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kHousekeepingInterval{1000};
/// A timer that is overdue by more than this shows that the process was
/// suspended or had no processor time.
constexpr Milliseconds kStallThreshold{300};
/// After a stall, opening packets are discarded for this long: time enough to
/// read the packets that have queued up meanwhile.
constexpr Milliseconds kStallDiscardTime{100};
/// Time between the stop request and the end of the process. The routers send
/// packets elsewhere only after two failed health checks.
constexpr Milliseconds kStopDelay{1800};

void UpdateServingState(EntryContext& context) {
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

/// Logs that a server gets no new flows if it has no token.
void LogMissingToken(EntryContext& context, const PlacedServer& server) {
  if (server.token == kNoToken) {
    Log(context, EventId::kTokenMissing, "server=" + server.id,
        Severity::kWarning);
  }
}

/// Logs the tokens that a new server shares with others.
void LogSharedTokens(EntryContext& context, const std::string& id) {
  const Placement& placement = context.instance.forwarder.placement;
  const PlacedServer& server = placement.servers[placement.by_id.at(id)];
  for (const std::uint32_t token : TokensOf(server.id, server.number)) {
    const auto sharing = FindServers(placement.tokens, token);
    if (sharing.size() < 2) {
      continue;
    }
    const PlacedServer& first = placement.servers[sharing.front()];
    Log(context, EventId::kTokenShared,
        "server=" + id + " other=" + first.id +
            " token=" + std::to_string(token) +
            " servers=" + std::to_string(sharing.size()));
    if (sharing.size() == 2) {
      LogMissingToken(context, first);
    }
  }
  LogMissingToken(context, server);
}

/// Returns whether a record has changed.
bool MergeServers(EntryContext& context, InstanceAddress from,
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
    const bool added =
        UpdateServer(instance.forwarder.placement, record, context.now);
    Log(context, EventId::kServerChanged,
        "server=" + record.id() + " service=" + record.service() +
            " phase=" + wire::ServerPhase_Name(record.phase()) +
            " silent=" + std::to_string(record.silent()) +
            " incarnation=" + std::to_string(record.incarnation()) +
            " sequence=" + std::to_string(record.sequence()));
    if (added) {
      LogSharedTokens(context, record.id());
    }
  }
  if (changed) {
    RefreshUsable(instance.forwarder.placement);
  }
  return changed;
}

/// Sends the request for leases on warm-up limits, if it is due.
void RequestWarmup(EntryContext& context) {
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

void ApplyRoutesUpdate(EntryContext& context, const wire::Update& update) {
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

/// Precondition: `update` was returned by `ReadUpdate`.
void HandleUpdate(EntryContext& context, InstanceAddress from,
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
      // After a stall, updates that have waited meanwhile confirm nothing.
      if (context.now >= instance.forwarder.discard_openings_until) {
        ConfirmServers(instance.forwarder.placement.warmup, source.position,
                       update, instance.next_poll_at, context.now);
      }
    }
  }
  if (MayConfirm(source.position, update)) {
    SendSubscribe(context, from);
  }
  UpdateServingState(context);
}

/// Counts and logs records that were set aside. Does nothing if there are none.
void ReportSetAside(EntryContext& context, const SetAsideRecords& records,
                    InstanceAddress from) {
  if (records.total > 0) {
    AddCounts(context.instance.set_aside, records);
    Log(context, EventId::kRecordSetAside,
        FormatSetAside(records, FormatIp(from)), Severity::kWarning);
  }
}

struct EventVisitor {
  EntryContext& context;
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
  instance.forwarder.placement.warmup.confirmed_until = {};
  ConfigureAdmission(instance.forwarder, config);
  return instance;
}

std::vector<EntryEffect> Reduce(EntryInstance& instance,
                                const EntryEvent& event, TimePoint now) {
  DetectStall(instance, now);
  std::vector<EntryEffect> effects;
  EntryContext context{.instance = instance, .now = now, .effects = effects};
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
