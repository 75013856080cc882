#include <algorithm>

#include "Base/Endpoint.h"
#include "Fleet/ControlTurn.h"

/// What control instances tell each other and the entry instances.
namespace filbertwall {
namespace {

constexpr Milliseconds kSubscribeInterval{1000};
constexpr Milliseconds kPushDelay{15};
/// A follower takes a part of the time between two rounds of changes.
constexpr Milliseconds kPushTime{1};
constexpr Milliseconds kSubscriberTimeout{3000};
/// Backend servers in one update; a receiver that lacks more asks again.
constexpr std::size_t kMostRecords = 400;
/// A receiver that is being sent many records asks for the next within this
/// time.
constexpr Milliseconds kNextBatchTime{150};
/// Words of other control instances are passed on for this long.
constexpr Milliseconds kKnowledgeLifetime{1200};
/// Entry instances of before a restart ask by themselves after this time.
constexpr Milliseconds kFormerFollowerTime{3000};
/// Which servers reported here is told to each control instance this often.
constexpr Milliseconds kHeardInterval{900};
/// Another control instance is asked for what it knows until it was silent for
/// this long.
constexpr Milliseconds kSourceLifetime{5000};
/// A follower speaks for the leader this long after its last heartbeat.
constexpr Milliseconds kFreshLimit{400};

/// Whether it asked lately, so that it is worth telling.
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

wire::Knowledge OwnKnowledge(const ControlInstance& instance) {
  const wire::ControlState& state = instance.replica.committed;
  wire::Knowledge knowledge;
  knowledge.set_instance(instance.config.self);
  knowledge.set_voter(!instance.disk_failed && IsVoter(instance.replica));
  knowledge.set_seq(state.seq());
  knowledge.set_newest_version(state.rules().version());
  if (instance.replica.tip && instance.replica.tip->change().has_rules()) {
    knowledge.set_newest_version(
        std::max(state.rules().version(),
                 instance.replica.tip->change().rules().version()));
  }
  for (const wire::Member& member : state.members()) {
    knowledge.add_control_instances(member.instance());
  }
  return knowledge;
}

/// Control instances that asked lately and do not vote.
std::set<InstanceAddress> LiveStandbys(const ControlInstance& instance,
                                       TimePoint now) {
  std::set<InstanceAddress> standbys;
  for (const auto& [address, subscriber] : instance.subscribers) {
    if (subscriber.control && IsAlive(subscriber, now)) {
      standbys.insert(address);
    }
  }
  for (const wire::Member& member : instance.replica.committed.members()) {
    standbys.erase(member.instance());
  }
  return standbys;
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
  for (const InstanceAddress standby : LiveStandbys(instance, turn.now)) {
    update.add_standbys(standby);
  }
  update.set_data_centre(instance.config.data_centre);
  update.set_rules_version(state.rules().version());
  update.set_seq(state.seq());
  const wire::Knowledge own = OwnKnowledge(instance);
  update.set_voter(own.voter());
  if (own.newest_version() > state.rules().version()) {
    update.set_pending_version(own.newest_version());
  }
  return update;
}

wire::Update MakeUpdate(ControlTurn& turn, const Subscriber& subscriber) {
  ControlInstance& instance = turn.instance;
  wire::Update update = MakeSummary(turn);
  update.set_registry_epoch(instance.config.incarnation);
  update.set_registry_from(subscriber.registry_change);
  const PackedRecords& records =
      PackRecordsAfter(instance.packed, instance.registry,
                       subscriber.registry_change, kMostRecords, turn.now);
  update.set_registry_change(records.change);
  update.set_partial(!records.complete);
  update.set_packed_servers(records.bytes);
  if (subscriber.rules_wanted) {
    update.set_packed_routes(PackRoutesSince(instance.packed, instance.history,
                                             subscriber.rules_version));
  }
  return update;
}

/// Says what this instance and others that it hears know, without contents.
void SendBrief(ControlTurn& turn, InstanceAddress to) {
  wire::FleetMessage message;
  *message.mutable_update() = MakeSummary(turn);
  for (const auto& [address, source] : turn.instance.sources) {
    const bool lately = turn.now - source.knowledge_at <= kKnowledgeLifetime;
    if (source.knowledge.instance() != 0 && lately) {
      *message.mutable_update()->add_others() = source.knowledge;
    }
  }
  turn.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

/// Tells another control instance which servers reported here lately.
void AddHeard(ControlTurn& turn, Subscriber& subscriber, wire::Update& update) {
  if (turn.now - subscriber.heard_told_at < kHeardInterval) {
    return;
  }
  subscriber.heard_told_at = turn.now;
  const Milliseconds lately = kSubscribeInterval * 2;
  for (const auto& [id, server] : turn.instance.registry.servers) {
    if (turn.now - server.reported_at <= lately) {
      update.add_heard(id);
    }
  }
}

void SendUpdate(ControlTurn& turn, InstanceAddress to, Subscriber& subscriber) {
  wire::FleetMessage message;
  *message.mutable_update() = MakeUpdate(turn, subscriber);
  wire::Update& update = *message.mutable_update();
  update.set_confirm(update.partial() ||
                     (subscriber.control && !update.packed_servers().empty()));
  subscriber.batch_until =
      update.partial() ? turn.now + kNextBatchTime : TimePoint();
  if (subscriber.control) {
    AddHeard(turn, subscriber, update);
  }
  turn.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

/// Whether it lacks something and does not ask for it by itself.
bool IsBehind(const ControlInstance& instance, const Subscriber& subscriber,
              TimePoint now) {
  const std::uint64_t version = instance.replica.committed.rules().version();
  const bool behind =
      subscriber.registry_change < instance.registry.change ||
      (subscriber.rules_wanted && subscriber.rules_version < version);
  // One that is being sent many records will ask for what is new with them.
  const bool asks_soon = now < subscriber.batch_until;
  return behind && !asks_soon && IsAlive(subscriber, now);
}

/// Takes what another control instance says that it knows. When it was away,
/// entry instances are told at once, since they may wait for a majority.
void TakeKnowledge(ControlTurn& turn, InstanceAddress from,
                   const wire::Knowledge& knowledge) {
  RegistrySource& source = turn.instance.sources[from];
  const bool returned = source.knowledge.instance() == 0 ||
                        turn.now - source.knowledge_at > kKnowledgeLifetime;
  source.knowledge = knowledge;
  source.knowledge.set_instance(from);
  source.knowledge_at = turn.now;
  if (returned) {
    TellFollowers(turn);
  }
}

}  // namespace

void TellFollowers(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  std::set<InstanceAddress> followers = LiveFollowers(instance, turn.now);
  if (turn.now - instance.started_at <= kFormerFollowerTime) {
    followers.insert(instance.former_followers.begin(),
                     instance.former_followers.end());
  }
  for (const InstanceAddress follower : followers) {
    SendBrief(turn, follower);
  }
}

std::set<InstanceAddress> OtherControlInstances(const ControlInstance& instance,
                                                TimePoint now) {
  std::set<InstanceAddress> others = instance.config.seeds;
  others.merge(LiveStandbys(instance, now));
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

std::set<InstanceAddress> LiveFollowers(const ControlInstance& instance,
                                        TimePoint now) {
  std::set<InstanceAddress> followers;
  for (const auto& [address, subscriber] : instance.subscribers) {
    if (!subscriber.control && IsAlive(subscriber, now)) {
      followers.insert(address);
    }
  }
  return followers;
}

void PushUpdates(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  instance.push_at = kNever;
  instance.pushed_at = turn.now;
  for (auto& [address, subscriber] : instance.subscribers) {
    if (IsBehind(instance, subscriber, turn.now)) {
      SendUpdate(turn, address, subscriber);
    }
  }
}

void PushToControl(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  for (auto& [address, subscriber] : instance.subscribers) {
    if (subscriber.control && IsBehind(instance, subscriber, turn.now)) {
      SendUpdate(turn, address, subscriber);
    }
  }
}

void PushSoon(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  // What changes meanwhile goes with it, so that many followers do not take
  // the time of all else when servers change all the time.
  const Milliseconds pause = kPushTime * instance.subscribers.size();
  const TimePoint due =
      std::max(turn.now + kPushDelay, instance.pushed_at + pause);
  instance.push_at = std::min(instance.push_at, due);
}

void SubscribeToOthers(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  instance.subscribe_at = turn.now + kSubscribeInterval;
  for (const InstanceAddress other :
       OtherControlInstances(instance, turn.now)) {
    instance.replica.config.control_instances.insert(other);
    const RegistrySource& source = instance.sources[other];
    wire::FleetMessage message;
    wire::Subscribe& subscribe = *message.mutable_subscribe();
    subscribe.set_control(true);
    subscribe.set_registry_epoch(source.position.epoch);
    subscribe.set_registry_change(source.position.change);
    *subscribe.mutable_knowledge() = OwnKnowledge(instance);
    turn.effects.emplace_back(
        SendMessage{.to = other, .message = std::move(message)});
  }
}

namespace {

/// Answers a question for what has changed.
void AnswerSubscribe(ControlTurn& turn, InstanceAddress from,
                     const wire::Subscribe& subscribe) {
  ControlInstance& instance = turn.instance;
  const bool known_epoch =
      subscribe.registry_epoch() == instance.config.incarnation;
  Subscriber& subscriber = instance.subscribers[from];
  const std::uint64_t change = known_epoch ? subscribe.registry_change() : 0;
  const bool is_confirmation =
      known_epoch && change > subscriber.registry_change;
  subscriber = Subscriber{.rules_version = subscribe.rules_version(),
                          .registry_change = change,
                          .control = subscribe.control(),
                          .rules_wanted = subscribe.rules_wanted(),
                          .heard_at = turn.now,
                          .heard_told_at = subscriber.heard_told_at};
  StepReports(turn);
  const bool complete = change == instance.registry.change;
  if (subscribe.control() && is_confirmation && complete) {
    return;  // It only confirms what it was sent.
  }
  SendUpdate(turn, from, subscriber);
}

}  // namespace

void AnswerFollowers(ControlTurn& turn) {
  while (const auto question = TakeNext(turn.instance.questions, turn.now)) {
    if (question->subscribe.brief()) {
      SendBrief(turn, question->from);
    } else {
      AnswerSubscribe(turn, question->from, question->subscribe);
    }
  }
}

void HandleSubscribe(ControlTurn& turn, InstanceAddress from,
                     const wire::Subscribe& subscribe) {
  HandleOutcomes(turn, subscribe.outcomes());
  if (subscribe.has_knowledge()) {
    TakeKnowledge(turn, from, subscribe.knowledge());
  }
  if (subscribe.control()) {
    AnswerSubscribe(turn, from, subscribe);
    return;
  }
  Enqueue(turn.instance.questions,
          FollowerQuestion{.from = from, .subscribe = subscribe}, turn.now);
  AnswerFollowers(turn);
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
  for (const InstanceAddress address : update.standbys()) {
    if (address != instance.config.self) {
      instance.sources[address].heard_at = turn.now;
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
    KeepJudgement(instance.registry, record);
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
  NoteContents(source.position, update);
  instance.settled = instance.settled || update.settled();
  TakeKnowledge(turn, from, KnowledgeIn(update));
  if (update.confirm()) {
    wire::FleetMessage message;
    wire::Subscribe& subscribe = *message.mutable_subscribe();
    subscribe.set_control(true);
    subscribe.set_registry_epoch(source.position.epoch);
    subscribe.set_registry_change(source.position.change);
    turn.effects.emplace_back(
        SendMessage{.to = from, .message = std::move(message)});
  }
}

}  // namespace filbertwall
