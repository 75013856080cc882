#include "Fleet/EntryInstance.h"

#include <algorithm>

#include "Distribution/PackedContents.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kPollInterval{400};
/// The contents are asked for again only after this time, and twice as long
/// each time: many instances may ask at once, and what is sent twice delays
/// what they wait for.
constexpr Milliseconds kAnswerTime{60};
constexpr Milliseconds kLongestAnswerTime{500};
/// Without word of the newest rules for this long, all are asked.
constexpr Milliseconds kFreshLimit{900};
/// The first of the intervals at which all are asked; each is twice the last.
constexpr Milliseconds kShortestUrgentInterval{40};
constexpr Milliseconds kLongestUrgentInterval{120};
/// When less than half of those asked have answered, they may have no time.
constexpr Milliseconds kLongestUnansweredInterval{240};
constexpr Milliseconds kLocalInterval{2000};
/// Words that are further apart make no majority: a version may have been
/// accepted between them.
constexpr Milliseconds kWordLifetime{1000};
constexpr Milliseconds kHousekeepingInterval{1000};
/// Running this much later than due, the instance stood still.
constexpr Milliseconds kStallLimit{300};
/// Time to read what had arrived meanwhile.
constexpr Milliseconds kStallDiscard{100};
/// Longer than any flow lives, so that its token can be resolved.
constexpr Milliseconds kGoneRetention{90000};
/// The routers need two failed health checks to send packets elsewhere.
constexpr Milliseconds kStopDelay{1800};

struct Turn {
  EntryInstance& instance;
  TimePoint now;
  std::vector<EntryEffect>& effects;
};

void Log(Turn& turn, EventId id, const std::string& text,
         Severity severity = Severity::kInfo) {
  turn.effects.emplace_back(
      LogRecord{.id = id, .severity = severity, .text = text});
}

/// Asks what a control instance knows, without the contents.
void SendBrief(Turn& turn, InstanceAddress to) {
  wire::FleetMessage message;
  message.mutable_subscribe()->set_brief(true);
  turn.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

/// Moves what was seen of flows into a message.
void TellOutcomes(Forwarder& forwarder, wire::Outcomes& outcomes) {
  for (const auto& [server, delta] : forwarder.outcomes.untold) {
    wire::ServerOutcome& item = *outcomes.add_servers();
    item.set_id(forwarder.placement.servers[server].id);
    item.set_served(delta.served);
    item.set_failed(delta.failed);
  }
  forwarder.outcomes.untold.clear();
}

void SendSubscribe(Turn& turn, InstanceAddress to) {
  EntryInstance& instance = turn.instance;
  ControlSource& source = instance.sources.at(to);
  source.asked_at = turn.now;
  wire::FleetMessage message;
  wire::Subscribe& subscribe = *message.mutable_subscribe();
  subscribe.set_rules_version(instance.forwarder.routes.version);
  subscribe.set_rules_wanted(true);
  subscribe.set_registry_epoch(source.position.epoch);
  subscribe.set_registry_change(source.position.change);
  if (to == instance.primary) {
    TellOutcomes(instance.forwarder, *subscribe.mutable_outcomes());
  }
  turn.effects.emplace_back(
      SendMessage{.to = to, .message = std::move(message)});
}

bool IsLost(const EntryInstance& instance, TimePoint now) {
  return instance.primary == 0 || now - instance.fresh_at > kFreshLimit;
}

bool IsLocal(const EntryInstance& instance, InstanceAddress control) {
  const auto source = instance.sources.find(control);
  return source != instance.sources.end() &&
         source->second.data_centre == instance.config.data_centre;
}

/// Following one of another data centre, asks those of the own one from time to
/// time whether they can be followed again.
void AskLocalSources(Turn& turn) {
  EntryInstance& instance = turn.instance;
  if (turn.now < instance.ask_local_at || IsLocal(instance, instance.primary)) {
    return;
  }
  instance.ask_local_at = turn.now + kLocalInterval;
  for (const auto& [address, source] : instance.sources) {
    if (IsLocal(instance, address)) {
      SendBrief(turn, address);
    }
  }
}

void Poll(Turn& turn) {
  EntryInstance& instance = turn.instance;
  if (!IsLost(instance, turn.now)) {
    instance.poll_at = turn.now + kPollInterval;
    SendSubscribe(turn, instance.primary);
    AskLocalSources(turn);
    return;
  }
  if (instance.primary != 0) {
    Log(turn, EventId::kControlLost,
        "control=" + FormatIp(instance.primary) + " silent_ms=" +
            std::to_string(MillisecondsBetween(instance.fresh_at, turn.now)),
        Severity::kWarning);
    instance.primary = 0;
    instance.urgent_interval = kShortestUrgentInterval;
  }
  instance.poll_at = turn.now + instance.urgent_interval;
  const bool few_answers = instance.answers * 2 < instance.sources.size();
  instance.urgent_interval = std::min(
      instance.urgent_interval * 2,
      few_answers ? kLongestUnansweredInterval : kLongestUrgentInterval);
  instance.answers = 0;
  for (const InstanceAddress seed : instance.config.seeds) {
    instance.sources.try_emplace(seed);
  }
  for (const auto& [address, source] : instance.sources) {
    SendBrief(turn, address);
  }
}

/// Asks for the contents when a control instance has some that are missing
/// here. While several answer at once, one of them is enough.
void AskForMissing(Turn& turn, InstanceAddress from,
                   const wire::Update& update) {
  EntryInstance& instance = turn.instance;
  const bool newer_rules =
      update.rules_version() > instance.forwarder.routes.version;
  const bool first_servers = update.settled() && !instance.servers_known;
  if (!newer_rules && !first_servers) {
    instance.answer_time = kAnswerTime;
    return;
  }
  const bool asked_just_now = std::any_of(
      instance.sources.begin(), instance.sources.end(), [&](const auto& item) {
        return turn.now - item.second.asked_at < instance.answer_time;
      });
  if (!asked_just_now) {
    SendSubscribe(turn, from);
    instance.answer_time =
        std::min(instance.answer_time * 2, kLongestAnswerTime);
  }
}

void UpdateServing(Turn& turn) {
  EntryInstance& instance = turn.instance;
  const bool serving = instance.rules_confirmed && instance.servers_known;
  if (serving && !instance.forwarder.serving) {
    Log(turn, EventId::kServing,
        "version=" + std::to_string(instance.forwarder.routes.version) +
            " servers=" + std::to_string(instance.registry.servers.size()) +
            " held=" + std::to_string(instance.forwarder.held.openings.size()));
    StartRelease(instance.forwarder.held, turn.now);
  }
  instance.forwarder.serving = serving;
}

void TakeServers(Turn& turn, const wire::Update& update) {
  EntryInstance& instance = turn.instance;
  bool changed = false;
  for (const wire::ServerRecord& record : update.servers()) {
    if (!CheckRecord(record).empty() ||
        !MergeRecord(instance.registry, record, turn.now)) {
      continue;
    }
    changed = true;
    UpdateServer(instance.forwarder.placement, record, turn.now);
    Log(turn, EventId::kServerChanged,
        "server=" + record.id() + " service=" + record.service() +
            " phase=" + wire::ServerPhase_Name(record.phase()) +
            " silent=" + std::to_string(record.silent()) +
            " incarnation=" + std::to_string(record.incarnation()) +
            " sequence=" + std::to_string(record.sequence()));
  }
  if (changed) {
    RefreshUsable(instance.forwarder.placement);
  }
}

void TakeRoutes(Turn& turn, const wire::Update& update) {
  EntryInstance& instance = turn.instance;
  Forwarder& forwarder = instance.forwarder;
  if (update.has_routes() &&
      ApplyRoutes(forwarder.routes, update.routes(), forwarder.placement)) {
    Log(turn, EventId::kRulesInForce,
        "version=" + std::to_string(forwarder.routes.version) +
            " base=" + std::to_string(update.routes().base_version()) +
            " routes=" + std::to_string(forwarder.routes.routes.size()));
  }
}

/// Whether a majority of the control instances has stored nothing newer than
/// what is in force here. An accepted version is stored by a majority, so one
/// of these would know it. The set of voters is that of whoever knows most.
bool IsConfirmedByMajority(const EntryInstance& instance, TimePoint now) {
  const wire::Knowledge* latest = nullptr;
  for (const auto& [address, source] : instance.sources) {
    const wire::Knowledge& knowledge = source.knowledge;
    if (knowledge.voter() &&
        (latest == nullptr || knowledge.seq() > latest->seq())) {
      latest = &knowledge;
    }
  }
  if (latest == nullptr || instance.forwarder.routes.version == 0) {
    return false;
  }
  int agreeing = 0;
  for (const InstanceAddress voter : latest->control_instances()) {
    const auto source = instance.sources.find(voter);
    const bool heard = source != instance.sources.end() &&
                       source->second.knowledge.voter() &&
                       now - source->second.knowledge_at <= kWordLifetime;
    if (!heard) {
      continue;
    }
    if (source->second.knowledge.newest_version() >
        instance.forwarder.routes.version) {
      return false;
    }
    agreeing += 1;
  }
  return 2 * agreeing > latest->control_instances_size();
}

void ConfirmRules(Turn& turn, const wire::Update& update) {
  EntryInstance& instance = turn.instance;
  if (instance.rules_confirmed) {
    return;
  }
  const bool by_leader =
      update.fresh() && update.rules_version() > 0 &&
      instance.forwarder.routes.version >= update.rules_version();
  instance.rules_confirmed =
      by_leader || IsConfirmedByMajority(instance, turn.now);
}

/// Prefers a fresh source in the own data centre, then the one it has.
void ChoosePrimary(Turn& turn, InstanceAddress from,
                   const ControlSource& source) {
  EntryInstance& instance = turn.instance;
  const bool local = source.data_centre == instance.config.data_centre;
  const bool has_local = IsLocal(instance, instance.primary);
  if (instance.primary == 0 || (local && !has_local)) {
    instance.primary = from;
    instance.poll_at = turn.now;
    Log(turn, EventId::kControlFound,
        "control=" + FormatIp(from) + " data_centre=" + source.data_centre);
  }
}

/// Takes what a control instance knows by the word of another; what it said
/// itself goes before an older word of it.
void TakeKnowledge(ControlSource& source, const wire::Knowledge& knowledge,
                   TimePoint now) {
  const std::uint64_t newest =
      std::max(source.knowledge.newest_version(), knowledge.newest_version());
  if (knowledge.seq() >= source.knowledge.seq()) {
    source.knowledge = knowledge;
    source.knowledge_at = now;
  }
  source.knowledge.set_newest_version(newest);
}

/// A control instance that is new here may be the one of the own data centre.
void NoteSource(Turn& turn, InstanceAddress address) {
  if (turn.instance.sources.try_emplace(address).second) {
    SendBrief(turn, address);
  }
}

void HandleUpdate(Turn& turn, InstanceAddress from,
                  const wire::Update& update) {
  EntryInstance& instance = turn.instance;
  for (const InstanceAddress address : update.control_instances()) {
    NoteSource(turn, address);
  }
  for (const InstanceAddress address : update.standbys()) {
    NoteSource(turn, address);
  }
  for (const wire::Knowledge& other : update.others()) {
    TakeKnowledge(instance.sources[other.instance()], other, turn.now);
  }
  instance.answers += 1;
  ControlSource& source = instance.sources[from];
  source.heard_at = turn.now;
  source.data_centre = update.data_centre();
  source.knowledge = KnowledgeIn(update);
  source.knowledge_at = turn.now;
  TakeServers(turn, update);
  const bool has_contents = update.registry_epoch() != 0;
  if (has_contents) {
    NoteContents(source.position, update);
  }
  instance.servers_known =
      instance.servers_known ||
      (has_contents && update.settled() && !update.partial());
  TakeRoutes(turn, update);
  ConfirmRules(turn, update);
  AskForMissing(turn, from, update);
  if (update.fresh()) {
    source.fresh_at = turn.now;
    ChoosePrimary(turn, from, source);
    if (from == instance.primary) {
      instance.fresh_at = turn.now;
    }
  }
  if (update.confirm()) {
    SendSubscribe(turn, from);
  }
  UpdateServing(turn);
}

struct EventVisitor {
  Turn& turn;
  void operator()(const EntryStarted&) {
    EntryInstance& instance = this->turn.instance;
    instance.started_at = this->turn.now;
    instance.housekeeping_at = this->turn.now + kHousekeepingInterval;
    Poll(this->turn);
  }
  void operator()(const EntryDue&) {
    EntryInstance& instance = this->turn.instance;
    ExpireFlows(instance.forwarder, this->turn.now);
    if (this->turn.now >= instance.poll_at) {
      Poll(this->turn);
    }
    if (this->turn.now >= instance.housekeeping_at) {
      instance.housekeeping_at = this->turn.now + kHousekeepingInterval;
      ForgetGone(instance.registry, kGoneRetention, this->turn.now);
    }
    if (instance.stopping && !instance.stopped &&
        this->turn.now >= instance.stop_at) {
      instance.stopped = true;
      Log(this->turn, EventId::kStopped,
          "flows=" + std::to_string(instance.forwarder.flows.size()));
      this->turn.effects.emplace_back(EntryStopped{});
    }
  }
  void operator()(const PeerMessage& event) {
    if (!event.message.has_update()) {
      return;
    }
    wire::Update update = event.message.update();
    if (Unpack(update)) {
      HandleUpdate(this->turn, event.from, update);
    } else {
      Log(this->turn, EventId::kMalformedInput,
          "an update of " + FormatIp(event.from), Severity::kWarning);
    }
  }
  void operator()(const EntryStopRequested&) {
    EntryInstance& instance = this->turn.instance;
    if (!instance.stopping) {
      instance.stopping = true;
      instance.stop_at = this->turn.now + kStopDelay;
      Log(this->turn, EventId::kStopping,
          "flows=" + std::to_string(instance.forwarder.flows.size()));
    }
  }
  void operator()(const SeedsChanged& event) {
    this->turn.instance.config.seeds = event.seeds;
    Log(this->turn, EventId::kSettingsReloaded,
        "seeds=" + std::to_string(event.seeds.size()));
  }
};

}  // namespace

EntryInstance MakeEntryInstance(const FleetConfig& config) {
  EntryInstance instance{.config = config};
  instance.urgent_interval = kShortestUrgentInterval;
  instance.answer_time = kAnswerTime;
  instance.forwarder.placement.config = {.data_centre = config.data_centre,
                                         .seed = config.incarnation};
  instance.forwarder.refuses_overload = config.refuse_overload;
  return instance;
}

std::vector<EntryEffect> Reduce(EntryInstance& instance,
                                const EntryEvent& event, TimePoint now) {
  NoteStall(instance, now);
  std::vector<EntryEffect> effects;
  Turn turn{.instance = instance, .now = now, .effects = effects};
  std::visit(EventVisitor{.turn = turn}, event);
  return effects;
}

TimePoint NextDue(const EntryInstance& instance) {
  TimePoint due = std::min({instance.poll_at, instance.housekeeping_at,
                            instance.forwarder.held.release_at});
  if (instance.stopping) {
    due = std::min(due, instance.stop_at);
  }
  return due;
}

void NoteStall(EntryInstance& instance, TimePoint now) {
  const bool started = instance.started_at != TimePoint();
  if (started && now > NextDue(instance) + kStallLimit) {
    instance.forwarder.discard_openings_until = now + kStallDiscard;
    ForgetMeasured(instance.forwarder.admission);
  }
}

bool IsReady(const EntryInstance& instance) {
  return instance.forwarder.serving && !instance.stopping;
}

}  // namespace filbertwall
