#include <algorithm>

#include "Base/Endpoint.h"
#include "Distribution/ReceivedRecords.h"
#include "Fleet/EntryBalance.h"
#include "Fleet/EntryContext.h"

/// The control instances that an entry instance knows: which of them it polls,
/// and what they say of the newest rules.
namespace filbertwall {
namespace {

/// Time between two requests to the primary.
constexpr Milliseconds kPollInterval{400};
/// Limit of the interval between two requests for missing contents, which
/// doubles with each request.
constexpr Milliseconds kMaxContentsRequestInterval{500};
/// When the primary has not sent a fresh update for this long, all known
/// control instances are probed.
constexpr Milliseconds kPrimaryTimeout{900};
/// Limit of the interval between two probes of all control instances, which
/// doubles with each probe.
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
/// A control instance that is not heard for this long is forgotten when there
/// is no room for another one.
constexpr Milliseconds kSourceLifetime{5000};

/// Asks a control instance for its state without the contents.
void SendProbe(EntryContext& context, InstanceAddress to) {
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
void ProbeLocalSources(EntryContext& context) {
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

}  // namespace

void Log(EntryContext& context, EventId id, const std::string& text,
         Severity severity) {
  context.effects.emplace_back(
      LogRecord{.id = id, .severity = severity, .text = text});
}

void SendSubscribe(EntryContext& context, InstanceAddress to) {
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

void PollControl(EntryContext& context) {
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

void RequestMissingContents(EntryContext& context, InstanceAddress from,
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

void ConfirmRules(EntryContext& context, const wire::Update& update) {
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

void ChoosePrimary(EntryContext& context, InstanceAddress from,
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

ControlSource* FindOrAddSource(EntryContext& context, InstanceAddress address) {
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

void AddSource(EntryContext& context, InstanceAddress address) {
  const bool is_new = !context.instance.sources.contains(address);
  if (FindOrAddSource(context, address) != nullptr && is_new) {
    SendProbe(context, address);
  }
}

}  // namespace filbertwall
