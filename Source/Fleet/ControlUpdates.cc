#include <algorithm>

#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Updates that control instances send to each other and to entry instances.
namespace filbertwall {
namespace {

constexpr Milliseconds kSubscribeInterval{1000};
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
/// RulesStatus of other control instances is forwarded for this long after it
/// was received.
constexpr Milliseconds kRulesStatusLifetime{1200};
/// Entry instances that subscribed before a restart of this instance are sent
/// summaries for this long after it. By then they have subscribed again.
constexpr Milliseconds kPreviousFollowerLifetime{3000};
/// Interval at which each control instance is sent the list of servers that
/// reported here.
constexpr Milliseconds kHeardListInterval{900};
/// The committed state counts as fresh for this long after it was confirmed as
/// the newest one.
constexpr Milliseconds kFreshnessLimit{400};
/// This instance counts as heard for this long after it sent the latest message
/// that a leader has confirmed. This is shorter than `kSubscriberTimeout`, so
/// that entry instances follow another one before the others cease to send
/// changes here.
constexpr Milliseconds kHeardLimit{1000};
/// The servers known to a leader count as known here for this long after an
/// update that held them all.
constexpr Milliseconds kCompleteLimit{2500};
/// Interval between two requests to the other control instances while their
/// servers are not known.
constexpr Milliseconds kCatchUpInterval{200};

/// Returns whether the subscriber sent a request recently.
bool IsActive(const Subscriber& subscriber, TimePoint now) {
  return now - subscriber.heard_at <= kSubscriberTimeout;
}

/// Returns whether the whole registry of another instance was known here
/// lately.
bool KnowsServersOf(const ControlInstance& instance, InstanceAddress other,
                    TimePoint now) {
  const auto source = instance.sources.find(other);
  return source != instance.sources.end() &&
         now - source->second.complete_at <= kCompleteLimit;
}

/// Returns whether this instance knows the servers that the leader knows, and
/// as the leader those that another voter knows. What one instance in touch
/// knows, the leader is told.
bool KnowsServersOfLeader(const ControlInstance& instance, TimePoint now) {
  const Replica& replica = instance.replica;
  if (replica.role != ReplicaRole::kLeader) {
    return KnowsServersOf(instance, replica.leader, now);
  }
  const auto& members = replica.committed.members();
  return members.size() <= 1 ||
         std::any_of(members.begin(), members.end(),
                     [&](const wire::Member& member) {
                       return KnowsServersOf(instance, member.instance(), now);
                     });
}

/// Updates `settled` and returns it.
bool CheckSettled(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const Milliseconds limit =
      instance.config.announce_interval * kIntervalsUntilSettled;
  instance.settled =
      instance.settled || context.now - instance.started_at >= limit;
  return instance.settled;
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
  for (const wire::Member& member : state.members()) {
    rules_status.add_control_instances(member.instance());
  }
  return rules_status;
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
  update.set_fresh(IsInTouch(instance, context.now));
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
  const wire::RulesStatus own = BuildRulesStatus(instance);
  update.set_voter(own.voter());
  if (own.newest_version() > state.rules().version()) {
    update.set_pending_version(own.newest_version());
  }
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

/// Sends an update without contents, with the rules_status of this instance and
/// of the control instances from which it was received recently.
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

void SendUpdate(ControlContext& context, InstanceAddress to,
                Subscriber& subscriber, bool position_reset = false) {
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

/// Stores the rules_status of another control instance. If none was received
/// from it recently, entry instances are sent a summary at once: they may need
/// its rules_status to confirm their rules by a majority.
void RecordRulesStatus(ControlContext& context, InstanceAddress from,
                       const wire::RulesStatus& rules_status) {
  RegistrySource* source = AddSource(context, from);
  if (source == nullptr) {
    return;
  }
  const bool was_unknown =
      source->rules_status.instance() == 0 ||
      context.now - source->rules_status_at > kRulesStatusLifetime;
  source->rules_status = rules_status;
  source->rules_status.set_instance(from);
  source->rules_status_at = context.now;
  if (was_unknown) {
    SendSummaryToFollowers(context);
  }
}

/// Adds an address to which requests to join are sent. When there are too many,
/// those that are no longer known as control instances are dropped first.
void AddJoinAddress(ControlContext& context, InstanceAddress address) {
  ControlInstance& instance = context.instance;
  std::set<InstanceAddress>& addresses =
      instance.replica.config.control_instances;
  if (addresses.size() >= kMaxControlInstances) {
    addresses = OtherControlInstances(instance, context.now);
  }
  if (address != instance.config.self) {
    addresses.insert(address);
  }
}

/// Returns whether a request can be handled. Makes room by removing the
/// subscribers that are no longer active. Some room is left for control
/// instances.
bool HasRoomFor(ControlContext& context, InstanceAddress from, bool control) {
  ControlInstance& instance = context.instance;
  if (instance.subscribers.contains(from) ||
      instance.follower_queue.pending.contains(from)) {
    return true;
  }
  const std::size_t limit =
      kMaxSubscribers + (control ? kMaxControlInstances : 0);
  if (instance.subscribers.size() >= limit) {
    std::erase_if(instance.subscribers, [&](const auto& item) {
      return !IsActive(item.second, context.now);
    });
  }
  return instance.subscribers.size() < limit &&
         instance.follower_queue.pending.size() < limit;
}

}  // namespace

bool IsInTouch(const ControlInstance& instance, TimePoint now) {
  return !instance.disk_failed &&
         HasFreshState(instance.replica, now, kFreshnessLimit) &&
         IsHeardByLeader(instance.replica, now, kHeardLimit) &&
         KnowsServersOfLeader(instance, now);
}

void CatchUp(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const bool behind =
      IsHeardByLeader(instance.replica, context.now, kHeardLimit) &&
      !KnowsServersOfLeader(instance, context.now);
  if (behind) {
    instance.next_subscribe_at =
        std::min(instance.next_subscribe_at,
                 instance.last_subscribe_at + kCatchUpInterval);
  }
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
      SendUpdate(context, address, subscriber);
    }
  }
}

void PushToControlInstances(ControlContext& context) {
  ControlInstance& instance = context.instance;
  for (auto& [address, subscriber] : instance.subscribers) {
    if (subscriber.control && NeedsPush(instance, subscriber, context.now)) {
      SendUpdate(context, address, subscriber);
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

void SubscribeToOthers(ControlContext& context) {
  ControlInstance& instance = context.instance;
  instance.last_subscribe_at = context.now;
  instance.next_subscribe_at = context.now + kSubscribeInterval;
  for (const InstanceAddress other :
       OtherControlInstances(instance, context.now)) {
    AddJoinAddress(context, other);
    const RegistrySource* source = AddSource(context, other);
    const RegistryPosition position =
        source == nullptr ? RegistryPosition{} : source->position;
    wire::FleetMessage message;
    wire::Subscribe& subscribe = *message.mutable_subscribe();
    subscribe.set_control(true);
    subscribe.set_registry_epoch(position.epoch);
    subscribe.set_registry_change(position.change);
    *subscribe.mutable_knowledge() = BuildRulesStatus(instance);
    context.effects.emplace_back(
        SendMessage{.to = other, .message = std::move(message)});
  }
}

namespace {

/// Answers a request for all changes after the versions that the sender has.
void AnswerSubscribe(ControlContext& context, InstanceAddress from,
                     const wire::Subscribe& subscribe) {
  ControlInstance& instance = context.instance;
  const bool known_epoch =
      subscribe.registry_epoch() == instance.config.incarnation;
  // A position beyond the newest change was not received from this registry, so
  // it says nothing about which records the sender has.
  const bool impossible =
      known_epoch && subscribe.registry_change() > instance.registry.change;
  Subscriber& subscriber = instance.subscribers[from];
  const std::uint64_t change =
      known_epoch && !impossible ? subscribe.registry_change() : 0;
  const bool is_confirmation =
      known_epoch && change > subscriber.registry_change;
  subscriber = Subscriber{.rules_version = subscribe.rules_version(),
                          .registry_change = change,
                          .control = subscribe.control(),
                          .rules_wanted = subscribe.rules_wanted(),
                          .heard_at = context.now,
                          .heard_list_sent_at = subscriber.heard_list_sent_at};
  AnswerPendingReports(context);
  const bool complete = change == instance.registry.change;
  if (subscribe.control() && is_confirmation && complete) {
    return;  // The request only confirms an update, and nothing is missing.
  }
  SendUpdate(context, from, subscriber, impossible);
}

}  // namespace

void AnswerFollowerRequests(ControlContext& context) {
  while (const auto request =
             Dequeue(context.instance.follower_queue, context.now)) {
    if (request->subscribe.brief()) {
      SendSummary(context, request->from);
    } else {
      AnswerSubscribe(context, request->from, request->subscribe);
    }
  }
}

void HandleSubscribe(ControlContext& context, InstanceAddress from,
                     const wire::Subscribe& subscribe) {
  HandleOutcomes(context, subscribe.outcomes());
  if (!HasRoomFor(context, from, subscribe.control())) {
    return;
  }
  if (subscribe.has_knowledge()) {
    RecordRulesStatus(context, from, subscribe.knowledge());
  }
  if (subscribe.control()) {
    AnswerSubscribe(context, from, subscribe);
    return;
  }
  Enqueue(context.instance.follower_queue,
          FollowerRequest{.from = from, .subscribe = subscribe}, context.now);
  AnswerFollowerRequests(context);
}

void HandleUpdate(ControlContext& context, InstanceAddress from,
                  const wire::Update& update) {
  ControlInstance& instance = context.instance;
  RegistrySource* source = AddSource(context, from);
  if (source == nullptr) {
    return;
  }
  source->heard_at = context.now;
  source->data_centre = update.data_centre();
  for (const InstanceAddress address : update.control_instances()) {
    // The leader may not be a seed, and a request to join must reach it.
    AddJoinAddress(context, address);
  }
  for (const InstanceAddress address : update.standbys()) {
    if (RegistrySource* standby = AddSource(context, address)) {
      standby->heard_at = context.now;
    }
  }
  bool changed = false;
  for (wire::ServerRecord record : update.servers()) {
    // Each control instance decides by itself which servers are silent, so the
    // sender's mark is ignored. The mark set here is kept until a record with
    // another sequence arrives.
    record.set_silent(false);
    const auto known = instance.registry.servers.find(record.id());
    const bool silent = known != instance.registry.servers.end() &&
                        known->second.record.silent();
    record.set_silent(silent &&
                      known->second.record.sequence() == record.sequence());
    PreserveFailingState(instance.registry, record);
    if (MergeServerRecord(instance.registry, record, context.now)) {
      changed = true;
      LogServer(context, record, FormatIp(from));
    }
  }
  const std::uint64_t before = instance.registry.change;
  for (const std::string& id : update.heard()) {
    UpdateLastHeard(instance.registry, id, context.now);
  }
  if (changed || instance.registry.change != before) {
    SchedulePush(context);
  }
  AdvancePosition(source->position, update);
  const bool complete = update.registry_epoch() != 0 && !update.partial() &&
                        update.registry_epoch() == source->position.epoch &&
                        update.registry_change() <= source->position.change;
  if (complete) {
    source->complete_at = context.now;
  }
  instance.settled = instance.settled || update.settled();
  RecordRulesStatus(context, from, ExtractRulesStatus(update));
  if (MayConfirm(source->position, update)) {
    wire::FleetMessage message;
    wire::Subscribe& subscribe = *message.mutable_subscribe();
    subscribe.set_control(true);
    subscribe.set_registry_epoch(source->position.epoch);
    subscribe.set_registry_change(source->position.change);
    context.effects.emplace_back(
        SendMessage{.to = from, .message = std::move(message)});
  }
}

}  // namespace filbertwall
