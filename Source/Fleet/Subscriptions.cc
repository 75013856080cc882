#include <algorithm>

#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Subscriptions of control and entry instances, and the updates that a control
/// instance receives from the others.
namespace filbertwall {
namespace {

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

/// Asks another control instance for the changes that are not known here.
void SubscribeTo(ControlContext& context, InstanceAddress other) {
  const RegistrySource* source = AddSource(context, other);
  const RegistryPosition position =
      source == nullptr ? RegistryPosition{} : source->position;
  wire::FleetMessage message;
  wire::Subscribe& subscribe = *message.mutable_subscribe();
  subscribe.set_control(true);
  subscribe.set_registry_epoch(position.epoch);
  subscribe.set_registry_change(position.change);
  *subscribe.mutable_knowledge() = BuildRulesStatus(context.instance);
  context.effects.emplace_back(
      SendMessage{.to = other, .message = std::move(message)});
}

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
  const bool is_new = !instance.subscribers.contains(from);
  Subscriber& subscriber = instance.subscribers[from];
  const bool has_restarted =
      is_new || (!known_epoch && subscriber.registry_change > 0);
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
  if (subscribe.control() && has_restarted) {
    // It has no subscribers yet. Servers may report to it at once, and it sends
    // their changes to subscribers only.
    SubscribeTo(context, from);
  }
  AnswerPendingReports(context);
  const bool complete = change == instance.registry.change;
  if (subscribe.control() && is_confirmation && complete) {
    return;  // The request only confirms an update, and nothing is missing.
  }
  SendUpdate(context, from, subscriber, impossible);
}

}  // namespace

void SubscribeToOthers(ControlContext& context) {
  ControlInstance& instance = context.instance;
  instance.last_subscribe_at = context.now;
  instance.next_subscribe_at = context.now + kSubscribeInterval;
  for (const InstanceAddress other :
       OtherControlInstances(instance, context.now)) {
    AddJoinAddress(context, other);
    SubscribeTo(context, other);
  }
}

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
