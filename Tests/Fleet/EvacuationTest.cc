#include <algorithm>

#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

/// Tests that an acknowledged evacuation of a data centre is in force at every
/// entry instance, and no longer after its withdrawal, under faults.
using namespace filbertwall;

namespace {

constexpr Milliseconds kStartTime{4000};
/// From the acknowledgement until a command is in force.
constexpr Milliseconds kInForceBound{5000};
constexpr Milliseconds kAnswerBound{800};
constexpr InstanceAddress kFirstEntry = 101;
constexpr InstanceAddress kNewEntry = 150;
const std::string kEmptied = "providence";
const std::string kOther = "sofia";

CallId Order(FleetWorld& world, InstanceAddress to, const std::string& name,
             bool active) {
  const CallId call = world.next_call++;
  EvacuationOrdered event{.call = call};
  event.change.set_data_centre(name);
  event.change.set_active(active);
  event.change.set_requester("127.0.0.9");
  Apply(world, to, ControlInstanceEvent(event));
  return call;
}

bool IsAnswered(const FleetWorld& world, CallId call, CallVerdict verdict) {
  const auto answer = world.answers.find(call);
  return answer != world.answers.end() && answer->second.verdict == verdict;
}

/// Sends a command as a client does: follows redirects, and goes to the next
/// control instance after a failure or without an answer. Returns false when
/// none accepts it.
bool OrderUntilAccepted(FleetWorld& world, const std::string& name,
                        bool active) {
  constexpr int kMaxAttempts = 40;
  InstanceAddress to = world.controls.begin()->first;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto next = world.controls.upper_bound(to);
    const InstanceAddress following = next == world.controls.end()
                                          ? world.controls.begin()->first
                                          : next->first;
    if (world.down.contains(to)) {
      to = following;
      continue;
    }
    const CallId call = Order(world, to, name, active);
    for (Milliseconds waited{0};
         waited < kAnswerBound && !world.answers.contains(call);
         waited += Milliseconds(5)) {
      Run(world, Milliseconds(5));
    }
    if (IsAnswered(world, call, CallVerdict::kAccepted)) {
      return true;
    }
    to = IsAnswered(world, call, CallVerdict::kRedirected)
             ? world.answers.at(call).leader
             : following;
  }
  return false;
}

void ReportIn(FleetWorld& world, const std::string& id,
              const std::string& data_centre, std::uint64_t sequence) {
  for (const auto& [address, control] : std::map(world.controls)) {
    if (world.down.contains(address)) {
      continue;
    }
    ServerReported event{.call = world.next_call++};
    event.record.set_id(id);
    event.record.set_service("proof");
    event.record.set_ip(static_cast<std::uint32_t>(ParseServerNumber(id)));
    event.record.set_port(80);
    event.record.set_slots(2);
    event.record.set_incarnation(1);
    event.record.set_sequence(sequence);
    event.record.set_data_centre(data_centre);
    Apply(world, address, ControlInstanceEvent(event));
    return;
  }
}

/// Whether the entry instance serves and may open a flow at the server.
bool MayOpenAt(const FleetWorld& world, InstanceAddress entry,
               const std::string& id) {
  const EntryInstance& instance = world.entries.at(entry);
  const Placement& placement = instance.forwarder.placement;
  const auto index = placement.by_id.find(id);
  const auto service = placement.services.find("proof");
  if (!IsReady(instance) || index == placement.by_id.end() ||
      service == placement.services.end()) {
    return false;
  }
  const auto& usable = placement.usable_by_service[service->second];
  return std::find(usable.begin(), usable.end(), index->second) != usable.end();
}

bool MayAnyOpenAt(const FleetWorld& world, const std::string& id) {
  return std::any_of(world.entries.begin(), world.entries.end(),
                     [&](const auto& item) {
                       return !world.down.contains(item.first) &&
                              MayOpenAt(world, item.first, id);
                     });
}

bool MayAllOpenAt(const FleetWorld& world, const std::string& id) {
  return std::all_of(world.entries.begin(), world.entries.end(),
                     [&](const auto& item) {
                       return world.down.contains(item.first) ||
                              MayOpenAt(world, item.first, id);
                     });
}

/// Runs while the servers report, and returns whether at any step an entry
/// instance might have opened a flow at the server.
bool OpensAtWithin(FleetWorld& world, const std::string& id,
                   Milliseconds time) {
  bool opened = false;
  for (Milliseconds passed{0}; passed < time; passed += Milliseconds(5)) {
    if (passed.count() % 1000 == 0) {
      ReportIn(world, "a1", kEmptied, ++world.next_incarnation);
      ReportIn(world, "b2", kOther, ++world.next_incarnation);
    }
    Run(world, Milliseconds(5));
    opened = opened || MayAnyOpenAt(world, id);
  }
  return opened;
}

void StopAll(FleetWorld& world) {
  for (const auto& [id, control] : world.controls) {
    world.down.insert(id);
  }
  for (const auto& [id, entry] : world.entries) {
    world.down.insert(id);
  }
  world.messages_in_flight.clear();
}

void StartAll(FleetWorld& world) {
  for (const auto& [id, control] : std::map(world.controls)) {
    StartControl(world, id, false);
  }
  for (const auto& [id, entry] : std::map(world.entries)) {
    StartEntry(world, id);
  }
}

}  // namespace

TEST_GROUP(Evacuation) {
  FleetWorld world = MakeWorld(4, 4);

  void setup() override {
    Run(this->world, kStartTime);
    CHECK(SubmitUntilAccepted(this->world, 5));
    ReportIn(this->world, "a1", kEmptied, 1);
    ReportIn(this->world, "b2", kOther, 1);
    Run(this->world, Milliseconds(1000));
    CHECK(MayAllOpenAt(this->world, "a1"));
    CHECK(MayAllOpenAt(this->world, "b2"));
  }
};

/// Guards against a command that is acknowledged and reaches only some.
TEST(Evacuation, ACommandIsInForceEverywhereUntilItIsWithdrawn) {
  CHECK(OrderUntilAccepted(this->world, kEmptied, true));
  Run(this->world, Milliseconds(20));
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
  CHECK(MayAllOpenAt(this->world, "b2"));
  CHECK(OrderUntilAccepted(this->world, kEmptied, false));
  Run(this->world, Milliseconds(20));
  CHECK(MayAllOpenAt(this->world, "a1"));
  for (const auto& [id, entry] : this->world.entries) {
    const Placement& placement = entry.forwarder.placement;
    const PlacedServer& server = placement.servers[placement.by_id.at("a1")];
    CHECK(placement.data_centres[server.data_centre].returned_at >
          this->world.now - Milliseconds(1000));
  }
}

/// Guards against commands that only the leader accepts, and against a second
/// log entry for each repetition.
TEST(Evacuation, AnyInstanceAcceptsACommandAndItsRepetition) {
  for (const auto& [id, control] : std::map(this->world.controls)) {
    CallId call = Order(this->world, id, kEmptied, true);
    Run(this->world, Milliseconds(50));
    if (IsAnswered(this->world, call, CallVerdict::kRedirected)) {
      const InstanceAddress leader = this->world.answers.at(call).leader;
      LONGS_EQUAL(FindLeader(this->world), leader);
      call = Order(this->world, leader, kEmptied, true);
      Run(this->world, Milliseconds(50));
    }
    CHECK(IsAnswered(this->world, call, CallVerdict::kAccepted));
  }
  const wire::ControlState& state =
      this->world.controls.at(FindLeader(this->world)).replica.committed;
  LONGS_EQUAL(1, state.evacuations_size());
  CHECK_EQUAL(state.seq(), state.evacuation_seq());
  STRCMP_EQUAL("127.0.0.9", state.evacuations(0).requester().c_str());
}

/// Guards against more names than an update holds, and against a limit that
/// also refuses what is in force already or a withdrawal.
TEST(Evacuation, OneDataCentreTooManyIsRefused) {
  for (int i = 0; i < 64; ++i) {
    CHECK(OrderUntilAccepted(this->world, "dc-" + std::to_string(i), true));
  }
  const InstanceAddress leader = FindLeader(this->world);
  const CallId refused = Order(this->world, leader, kEmptied, true);
  const CallId repeated = Order(this->world, leader, "dc-7", true);
  Run(this->world, Milliseconds(100));
  CHECK(IsAnswered(this->world, refused, CallVerdict::kRefused));
  CHECK(IsAnswered(this->world, repeated, CallVerdict::kAccepted));
  CHECK(MayAllOpenAt(this->world, "a1"));
  CHECK(OrderUntilAccepted(this->world, "dc-7", false));
  CHECK(OrderUntilAccepted(this->world, kEmptied, true));
  Run(this->world, Milliseconds(100));
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
}

/// Guards against an acknowledgement that rests on the leader alone.
TEST(Evacuation, OutlivesALeaderThatDiesRightAfterTheAcknowledgement) {
  const InstanceAddress leader = FindLeader(this->world);
  const CallId call = Order(this->world, leader, kEmptied, true);
  std::set<InstanceAddress> cut;
  this->world.is_lost = [&cut](InstanceAddress from, InstanceAddress) {
    return cut.contains(from);
  };
  this->world.on_send = [&](InstanceAddress from, const SendMessage& effect) {
    // From the first heartbeat on that says it, nothing leaves the leader.
    if (from == leader &&
        effect.message.control().heartbeat().committed_seq() >=
            this->world.controls.at(leader)
                .replica.committed.evacuation_seq() &&
        this->world.controls.at(leader).replica.committed.evacuation_seq() >
            0) {
      cut.insert(leader);
    }
  };
  DeliverAll(this->world);
  CHECK(IsAnswered(this->world, call, CallVerdict::kAccepted));
  this->world.down.insert(leader);
  cut.insert(leader);
  OpensAtWithin(this->world, "a1", kInForceBound);
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
  CHECK(MayAllOpenAt(this->world, "b2"));
  CHECK(OrderUntilAccepted(this->world, kEmptied, false));
  OpensAtWithin(this->world, "b2", kInForceBound);
  CHECK(MayAllOpenAt(this->world, "a1"));
}

/// Guards against entry instances that serve after a restart of everything
/// before they know an acknowledged command, with one disk lost.
TEST(Evacuation, NoEntryInstanceServesWithoutItAfterARestartOfEverything) {
  CHECK(OrderUntilAccepted(this->world, kEmptied, true));
  StopAll(this->world);
  this->world.disks.at(2).clear();
  this->world.saved.erase(2);
  StartAll(this->world);
  CHECK_FALSE(OpensAtWithin(this->world, "a1", Milliseconds(9000)));
  CHECK(MayAllOpenAt(this->world, "b2"));
}

/// Guards against the same when only a majority had stored the entry, and none
/// but the leader had committed it.
TEST(Evacuation, NoEntryInstanceServesBeforeAStoredCommandIsDecided) {
  const InstanceAddress leader = FindLeader(this->world);
  const std::uint64_t seq =
      this->world.controls.at(leader).replica.committed.seq();
  bool lost = false;
  this->world.on_send = [&](InstanceAddress, const SendMessage& effect) {
    lost = effect.message.control().heartbeat().committed_seq() > seq ||
           effect.message.update().has_evacuations();
  };
  this->world.is_lost = [&](InstanceAddress, InstanceAddress) { return lost; };
  const CallId call = Order(this->world, leader, kEmptied, true);
  DeliverAll(this->world);
  CHECK(IsAnswered(this->world, call, CallVerdict::kAccepted));
  StopAll(this->world);
  Run(this->world, Milliseconds(1000));
  this->world.on_send = [&](InstanceAddress, const SendMessage& effect) {
    // No leader can commit the entry again yet.
    lost = effect.message.control().has_accept();
  };
  for (const auto& [id, control] : std::map(this->world.controls)) {
    if (id != leader) {
      StartControl(this->world, id, false);
    }
  }
  for (const auto& [id, entry] : std::map(this->world.entries)) {
    StartEntry(this->world, id);
  }
  CHECK_FALSE(OpensAtWithin(this->world, "a1", Milliseconds(3000)));
  this->world.is_lost = [](InstanceAddress, InstanceAddress) { return false; };
  CHECK_FALSE(OpensAtWithin(this->world, "a1", Milliseconds(5000)));
  CHECK(MayAllOpenAt(this->world, "b2"));
}

/// Guards against an entry instance that starts later, or is cut off while the
/// command and its withdrawal are accepted, and goes by what it knew.
TEST(Evacuation, EntryInstancesThatStartOrComeBackLearnIt) {
  const InstanceAddress cut = kFirstEntry;
  this->world.is_lost = [cut](InstanceAddress from, InstanceAddress to) {
    return from == cut || to == cut;
  };
  CHECK(OrderUntilAccepted(this->world, kEmptied, true));
  StartEntry(this->world, kNewEntry);
  OpensAtWithin(this->world, "b2", Milliseconds(3000));
  CHECK_FALSE(MayOpenAt(this->world, kNewEntry, "a1"));
  CHECK(MayOpenAt(this->world, kNewEntry, "b2"));
  CHECK(MayOpenAt(this->world, cut, "a1"));
  this->world.is_lost = [](InstanceAddress, InstanceAddress) { return false; };
  Run(this->world, Milliseconds(1000));
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
  this->world.is_lost = [cut](InstanceAddress from, InstanceAddress to) {
    return from == cut || to == cut;
  };
  CHECK(OrderUntilAccepted(this->world, kEmptied, false));
  Run(this->world, Milliseconds(2000));
  CHECK_FALSE(MayOpenAt(this->world, cut, "a1"));
  this->world.is_lost = [](InstanceAddress, InstanceAddress) { return false; };
  OpensAtWithin(this->world, "b2", Milliseconds(1000));
  CHECK(MayOpenAt(this->world, cut, "a1"));
}

/// Guards against a server that gets flows as its data centre was not known
/// when the command was accepted.
TEST(Evacuation, AServerThatRegistersInAnEvacuatedDataCentreGetsNothing) {
  CHECK(OrderUntilAccepted(this->world, "new", true));
  ReportIn(this->world, "c3", "new", 1);
  Run(this->world, Milliseconds(1500));
  CHECK(IsUsableAt(this->world, kFirstEntry, "c3"));
  CHECK_FALSE(MayAnyOpenAt(this->world, "c3"));
  CHECK(OrderUntilAccepted(this->world, "new", false));
  Run(this->world, Milliseconds(20));
  CHECK(MayAllOpenAt(this->world, "c3"));
}

/// Guards against a voter that was replaced, or restarts from a snapshot, and
/// lacks the state.
TEST(Evacuation, ReplacedVotersAndStandbysHaveIt) {
  CHECK(OrderUntilAccepted(this->world, kEmptied, true));
  const InstanceAddress lost = FindLeader(this->world);
  this->world.down.insert(lost);
  this->world.disks.erase(lost);
  this->world.saved.erase(lost);
  OpensAtWithin(this->world, "b2", Milliseconds(5000));
  StartControl(this->world, lost, false);
  OpensAtWithin(this->world, "b2", Milliseconds(5000));
  for (auto& [id, control] : this->world.controls) {
    CHECK(control.replica.committed.evacuations_size() == 1);
    this->world.disks.at(id) = {SnapshotRecord(control.replica)};
  }
  StopAll(this->world);
  StartAll(this->world);
  CHECK_FALSE(OpensAtWithin(this->world, "a1", Milliseconds(7000)));
  CHECK(MayAllOpenAt(this->world, "b2"));
}

/// Guards against an order of opposite commands that differs between
/// instances.
TEST(Evacuation, TheLogOrdersACommandAndItsOpposite) {
  const InstanceAddress leader = FindLeader(this->world);
  for (const bool active : {true, false}) {
    const CallId first = Order(this->world, leader, kEmptied, active);
    const CallId second = Order(this->world, leader, kEmptied, !active);
    const CallId third = Order(this->world, leader, kEmptied, active);
    Run(this->world, Milliseconds(200));
    CHECK(IsAnswered(this->world, first, CallVerdict::kAccepted));
    CHECK(IsAnswered(this->world, second, CallVerdict::kAccepted));
    CHECK(IsAnswered(this->world, third, CallVerdict::kAccepted));
    CHECK_EQUAL(!active, MayAllOpenAt(this->world, "a1"));
    CHECK_EQUAL(!active, MayAnyOpenAt(this->world, "a1"));
  }
}

/// Guards against a command that waited without a leader and takes effect after
/// its caller had the opposite accepted elsewhere.
TEST(Evacuation, ACommandThatWaitedTooLongIsNotProposed) {
  const InstanceAddress cut = FindLeader(this->world) == 1 ? 2 : 1;
  bool all_cut = true;
  this->world.is_lost = [&](InstanceAddress from, InstanceAddress to) {
    return all_cut && (from == cut || to == cut);
  };
  Run(this->world, Milliseconds(1500));
  const CallId call = Order(this->world, cut, kEmptied, true);
  Run(this->world, Milliseconds(710));
  CHECK(IsAnswered(this->world, call, CallVerdict::kUnavailable));
  CHECK(OrderUntilAccepted(this->world, kEmptied, false));
  all_cut = false;
  OpensAtWithin(this->world, "b2", Milliseconds(3000));
  CHECK(MayAllOpenAt(this->world, "a1"));
}

/// Guards against a call that lay in the socket of a suspended process and is
/// read when the process runs again.
TEST(Evacuation, ACallThatArrivedDuringAStallIsNotProposed) {
  FleetWorld single = MakeWorld(1, 1);
  Run(single, kStartTime);
  CHECK(FindLeader(single) == 1);
  CHECK(IsAnswered(single, Order(single, 1, kEmptied, false),
                   CallVerdict::kAccepted));
  single.now += Milliseconds(5000);
  CHECK(IsAnswered(single, Order(single, 1, kEmptied, true),
                   CallVerdict::kUnavailable));
  Run(single, Milliseconds(1000));
  CHECK(IsAnswered(single, Order(single, 1, kEmptied, true),
                   CallVerdict::kAccepted));
}

/// Guards against an acknowledgement that a full disk does not hold.
TEST(Evacuation, AFullDiskAcknowledgesNothing) {
  const InstanceAddress leader = FindLeader(this->world);
  this->world.full_disks.insert(leader);
  const CallId call = Order(this->world, leader, kEmptied, true);
  Run(this->world, Milliseconds(50));
  CHECK(IsAnswered(this->world, call, CallVerdict::kUnavailable));
  const CallId again = Order(this->world, leader, kEmptied, true);
  CHECK(IsAnswered(this->world, again, CallVerdict::kUnavailable));
  OpensAtWithin(this->world, "b2", Milliseconds(6000));
  CHECK(OrderUntilAccepted(this->world, kEmptied, true));
  Run(this->world, Milliseconds(1000));
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
  this->world.full_disks.clear();
  OpensAtWithin(this->world, "b2", Milliseconds(4000));
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
}

/// Guards against messages that grow before the first command.
TEST(Evacuation, UpdatesHoldNothingBeforeTheFirstCommand) {
  bool seen = false;
  this->world.on_send = [&seen](InstanceAddress, const SendMessage& effect) {
    seen = seen || effect.message.update().has_evacuations();
  };
  Run(this->world, Milliseconds(3000));
  CHECK_FALSE(seen);
  CHECK(OrderUntilAccepted(this->world, kEmptied, true));
  Run(this->world, Milliseconds(1000));
  CHECK(seen);
}

/// Guards against a line of the rules that a command overrides or that outlives
/// its rules.
TEST(Evacuation, LinesOfTheRulesAddToTheCommands) {
  const std::string text =
      "  # by: test\nservice proof  # by: test\n"
      "address 10.0.0.1:80 proof  # by: test\n";
  const auto submit = [&](std::uint64_t version, const std::string& lines) {
    RulesSubmitted event{.call = this->world.next_call++};
    event.file.set_version(version);
    event.file.set_text("version " + std::to_string(version) + text + lines);
    event.file.set_digest(std::to_string(version));
    Apply(this->world, FindLeader(this->world), ControlInstanceEvent(event));
    Run(this->world, Milliseconds(1000));
  };
  submit(6, "evacuate " + kEmptied + "  # by: test\n");
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
  CHECK(MayAllOpenAt(this->world, "b2"));
  CHECK(OrderUntilAccepted(this->world, kEmptied, false));
  CHECK(OrderUntilAccepted(this->world, kOther, true));
  Run(this->world, Milliseconds(100));
  CHECK_FALSE(MayAnyOpenAt(this->world, "a1"));
  CHECK_FALSE(MayAnyOpenAt(this->world, "b2"));
  submit(7, "");
  CHECK(MayAllOpenAt(this->world, "a1"));
  CHECK_FALSE(MayAnyOpenAt(this->world, "b2"));
}
