#include <algorithm>

#include "Base/Endpoint.h"
#include "Control/Evacuations.h"
#include "Fleet/ControlContext.h"

/// Updates that control instances send to each other and to entry instances.
namespace filbertwall {
namespace {

constexpr Milliseconds kPushDelay{15};
/// The pause between two pushes is at least this long times the number of
/// subscribers.
constexpr Milliseconds kPushIntervalPerSubscriber{1};
constexpr Milliseconds kSubscriberTimeout{3000};
/// Maximum number of server records in one update. The receiver requests the
/// records that remain.
constexpr std::size_t kMaxRecordsPerUpdate = 400;
/// A receiver of a partial update is expected to request the next records
/// within this time.
constexpr Milliseconds kNextBatchTimeout{150};
/// Entry instances that subscribed before a restart of this instance are sent
/// summaries for this long after it. By then they have subscribed again.
constexpr Milliseconds kPreviousFollowerLifetime{3000};
/// Interval at which each control instance is sent the list of servers that
/// reported here.
constexpr Milliseconds kHeardListInterval{900};

/// Updates `settled` and returns it.
bool CheckSettled(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const Milliseconds limit =
      instance.config.announce_interval * kIntervalsUntilSettled;
  instance.settled =
      instance.settled || context.now - instance.started_at >= limit;
  return instance.settled;
}

/// Returns the control instances that subscribed recently and do not vote.
std::set<InstanceAddress> ActiveStandbys(const ControlInstance& instance,
                                         TimePoint now) {
  std::set<InstanceAddress> standbys;
  for (const auto& [address, subscriber] : instance.subscribers) {
    if (subscriber.control && IsActive(subscriber, now)) {
      standbys.insert(address);
    }
  }
  for (const wire::Member& member : instance.replica.committed.members()) {
    standbys.erase(member.instance());
  }
  return standbys;
}

/// Returns an update without contents, which states only the versions and the
/// control instances that are known here.
wire::Update MakeSummary(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const wire::ControlState& state = instance.replica.committed;
  wire::Update update;
  update.set_fresh(IsInSync(instance, context.now));
  update.set_settled(CheckSettled(context));
  for (const wire::Member& member : state.members()) {
    update.add_control_instances(member.instance());
  }
  for (const InstanceAddress standby : ActiveStandbys(instance, context.now)) {
    if (update.standbys_size() < kMaxControlInstances) {
      update.add_standbys(standby);
    }
  }
  update.set_data_centre(instance.config.data_centre);
  update.set_rules_version(state.rules().version());
  update.set_seq(state.seq());
  update.set_leader(WarmupLeader(context));
  const wire::RulesStatus own = BuildRulesStatus(instance);
  update.set_voter(own.voter());
  if (own.newest_version() > state.rules().version()) {
    update.set_pending_version(own.newest_version());
  }
  AddEvacuations(instance, update);
  return update;
}

wire::Update MakeUpdate(ControlContext& context, const Subscriber& subscriber) {
  ControlInstance& instance = context.instance;
  wire::Update update = MakeSummary(context);
  update.set_registry_epoch(instance.config.incarnation);
  update.set_registry_from(subscriber.registry_change);
  const PackedRecords& records = PackRecordsAfter(
      instance.packed_contents, instance.registry, subscriber.registry_change,
      kMaxRecordsPerUpdate, context.now);
  update.set_registry_change(records.change);
  update.set_partial(!records.complete);
  update.set_packed_servers(records.bytes);
  if (subscriber.rules_wanted) {
    update.set_packed_routes(PackRoutesSince(
        instance.packed_contents, instance.history, subscriber.rules_version));
  }
  return update;
}

/// Adds the ids of the servers that reported here recently to an update for
/// another control instance, if the interval since the last list has passed.
void AddHeardList(ControlContext& context, Subscriber& subscriber,
                  wire::Update& update) {
  if (context.now - subscriber.heard_list_sent_at < kHeardListInterval) {
    return;
  }
  subscriber.heard_list_sent_at = context.now;
  const Milliseconds lately = kSubscribeInterval * 2;
  for (const auto& [id, server] : context.instance.registry.servers) {
    if (context.now - server.reported_at <= lately && IsUtf8(id)) {
      update.add_heard(id);
    }
  }
}

/// Returns whether the subscriber lacks changes and is not about to request
/// them.
bool NeedsPush(const ControlInstance& instance, const Subscriber& subscriber,
               TimePoint now) {
  const std::uint64_t version = instance.replica.committed.rules().version();
  const bool behind =
      subscriber.registry_change < instance.registry.change ||
      (subscriber.rules_wanted && subscriber.rules_version < version);
  // After a partial update the receiver requests the next records, and gets new
  // changes with them.
  const bool request_expected = now < subscriber.next_request_by;
  return behind && !request_expected && IsActive(subscriber, now);
}

}  // namespace

bool IsActive(const Subscriber& subscriber, TimePoint now) {
  return now - subscriber.heard_at <= kSubscriberTimeout;
}

wire::RulesStatus BuildRulesStatus(const ControlInstance& instance) {
  const wire::ControlState& state = instance.replica.committed;
  wire::RulesStatus rules_status;
  rules_status.set_instance(instance.config.self);
  rules_status.set_voter(!instance.disk_failed && IsVoter(instance.replica));
  rules_status.set_seq(state.seq());
  rules_status.set_newest_version(state.rules().version());
  if (instance.replica.uncommitted &&
      instance.replica.uncommitted->change().has_rules()) {
    rules_status.set_newest_version(
        std::max(state.rules().version(),
                 instance.replica.uncommitted->change().rules().version()));
  }
  rules_status.set_newest_evacuation_seq(NewestEvacuationSeq(instance.replica));
  for (const wire::Member& member : state.members()) {
    rules_status.add_control_instances(member.instance());
  }
  return rules_status;
}

void SendSummary(ControlContext& context, InstanceAddress to) {
  wire::FleetMessage message;
  *message.mutable_update() = MakeSummary(context);
  for (const auto& [address, source] : context.instance.sources) {
    const bool lately =
        context.now - source.rules_status_at <= kRulesStatusLifetime;
    if (source.rules_status.instance() != 0 && lately) {
      *message.mutable_update()->add_others() = source.rules_status;
    }
  }
  context.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

void SendUpdate(ControlContext& context, InstanceAddress to,
                Subscriber& subscriber, bool position_reset) {
  wire::FleetMessage message;
  *message.mutable_update() = MakeUpdate(context, subscriber);
  wire::Update& update = *message.mutable_update();
  update.set_position_reset(position_reset);
  update.set_confirm(update.partial() ||
                     (subscriber.control && !update.packed_servers().empty()));
  subscriber.next_request_by =
      update.partial() ? context.now + kNextBatchTimeout : TimePoint();
  if (subscriber.control) {
    AddHeardList(context, subscriber, update);
  }
  context.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

RegistrySource* AddSource(ControlContext& context, InstanceAddress address) {
  ControlInstance& instance = context.instance;
  if (address == 0 || address == instance.config.self) {
    return nullptr;
  }
  const auto known = instance.sources.find(address);
  if (known != instance.sources.end()) {
    return &known->second;
  }
  if (instance.sources.size() >= kMaxControlInstances) {
    std::erase_if(instance.sources, [&](const auto& item) {
      return !instance.config.seeds.contains(item.first) &&
             context.now - item.second.heard_at > kSourceLifetime;
    });
  }
  return instance.sources.size() < kMaxControlInstances ||
                 instance.config.seeds.contains(address)
             ? &instance.sources[address]
             : nullptr;
}

void SendSummaryToFollowers(ControlContext& context) {
  ControlInstance& instance = context.instance;
  std::set<InstanceAddress> followers = ActiveFollowers(instance, context.now);
  if (context.now - instance.started_at <= kPreviousFollowerLifetime) {
    followers.insert(instance.previous_followers.begin(),
                     instance.previous_followers.end());
  }
  for (const InstanceAddress follower : followers) {
    SendSummary(context, follower);
  }
}

std::set<InstanceAddress> OtherControlInstances(const ControlInstance& instance,
                                                TimePoint now) {
  std::set<InstanceAddress> others = instance.config.seeds;
  others.merge(ActiveStandbys(instance, now));
  for (const auto& [address, source] : instance.sources) {
    if (now - source.heard_at <= kSourceLifetime) {
      others.insert(address);
    }
  }
  for (const wire::Member& member : instance.replica.committed.members()) {
    others.insert(member.instance());
  }
  others.erase(instance.config.self);
  return others;
}

std::set<InstanceAddress> ActiveFollowers(const ControlInstance& instance,
                                          TimePoint now) {
  std::set<InstanceAddress> followers;
  for (const auto& [address, subscriber] : instance.subscribers) {
    if (!subscriber.control && IsActive(subscriber, now)) {
      followers.insert(address);
    }
  }
  return followers;
}

void PushUpdates(ControlContext& context) {
  ControlInstance& instance = context.instance;
  instance.next_push_at = kNever;
  instance.last_push_at = context.now;
  for (auto& [address, subscriber] : instance.subscribers) {
    if (NeedsPush(instance, subscriber, context.now)) {
      SendUpdate(context, address, subscriber, false);
    }
  }
}

void PushToControlInstances(ControlContext& context) {
  ControlInstance& instance = context.instance;
  for (auto& [address, subscriber] : instance.subscribers) {
    if (subscriber.control && NeedsPush(instance, subscriber, context.now)) {
      SendUpdate(context, address, subscriber, false);
    }
  }
}

void SchedulePush(ControlContext& context) {
  ControlInstance& instance = context.instance;
  // Changes until then are sent with the same push. The pause grows with the
  // number of subscribers, so that the event loop has time for other work when
  // servers change continually.
  const Milliseconds pause =
      kPushIntervalPerSubscriber * instance.subscribers.size();
  const TimePoint due =
      std::max(context.now + kPushDelay, instance.last_push_at + pause);
  instance.next_push_at = std::min(instance.next_push_at, due);
}

}  // namespace filbertwall
