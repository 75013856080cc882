#include "Control/Evacuations.h"
#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr std::uint64_t kFirstToken = 1000000;
const std::string kName = "providence";

/// The verdicts of the evacuation changes that were submitted.
using Verdicts = std::map<std::uint64_t, wire::Verdict>;

void Collect(ReplicaGroup& group, std::uint32_t id,
             const std::vector<ControlEffect>& effects, Verdicts& verdicts) {
  for (const ControlEffect& effect : effects) {
    if (const auto* send = std::get_if<ControlSend>(&effect)) {
      group.network.push_back(
          Packet{.from = id, .to = send->to, .message = send->message});
    } else if (const auto* persist = std::get_if<ControlPersist>(&effect)) {
      group.disks[id].push_back(persist->record);
    } else if (const auto* verdict = std::get_if<ControlVerdict>(&effect)) {
      verdicts[verdict->token] = verdict->verdict;
    }
  }
}

wire::Change MakeChange(const std::string& name, bool active) {
  wire::Change change;
  change.mutable_evacuation()->set_data_centre(name);
  change.mutable_evacuation()->set_active(active);
  return change;
}

}  // namespace

TEST_GROUP(Evacuations) {
  ReplicaGroup group = MakeFleet(7, 3, 3);
  std::uint32_t leader = 0;
  Verdicts verdicts;
  std::uint64_t next_token = kFirstToken;

  void setup() override {
    RunFor(this->group, Milliseconds(4000));
    this->leader = FindLeader(this->group);
    CHECK(this->leader != 0);
  }

  Replica& Leader() { return this->group.replicas.at(this->leader); }

  std::uint64_t Order(bool active, TimePoint submitted_at) {
    const std::uint64_t token = this->next_token++;
    Collect(this->group, this->leader,
            Reduce(this->Leader(),
                   ControlSubmitted{.token = token,
                                    .change = MakeChange(kName, active),
                                    .submitted_at = submitted_at},
                   this->group.now),
            this->verdicts);
    return token;
  }

  /// Delivers all packets; `change` may alter each.
  template <typename Change>
  void DeliverAll(const Change& change) {
    while (!this->group.network.empty()) {
      Packet packet = this->group.network.front();
      this->group.network.erase(this->group.network.begin());
      change(packet);
      Collect(this->group, packet.to,
              Reduce(this->group.replicas.at(packet.to),
                     ControlReceived{.from = packet.from,
                                     .message = packet.message},
                     this->group.now),
              this->verdicts);
    }
  }

  void RunChanged(Milliseconds time,
                  const std::function<void(Packet&)>& change) {
    constexpr Milliseconds kStep{20};
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      this->group.now += kStep;
      for (auto& [id, replica] : this->group.replicas) {
        Collect(this->group, id,
                Reduce(replica, ControlTick{}, this->group.now),
                this->verdicts);
      }
      this->DeliverAll(change);
    }
  }
};

/// Guards against a state that loses the first requester, or changes for a
/// command that is in force already.
TEST(Evacuations, ChangesApplyInTheOrderOfTheLog) {
  wire::ControlState state;
  wire::EvacuationChange change;
  change.set_data_centre(kName);
  change.set_active(true);
  change.set_requester("first");
  ApplyEvacuation(state, 4, change);
  change.set_requester("second");
  ApplyEvacuation(state, 5, change);
  CHECK(IsEvacuated(state, kName));
  LONGS_EQUAL(1, state.evacuations_size());
  CHECK_EQUAL(4, state.evacuations(0).seq());
  STRCMP_EQUAL("first", state.evacuations(0).requester().c_str());
  CHECK_EQUAL(5, state.evacuation_seq());
  change.set_active(false);
  ApplyEvacuation(state, 6, change);
  CHECK_FALSE(IsEvacuated(state, kName));
  CHECK_EQUAL(6, state.evacuation_seq());
}

/// Guards against an acknowledgement without a majority, and against an entry
/// for a command that is in force already.
TEST(Evacuations, AreAcknowledgedOnceAMajorityHasStoredThem) {
  const std::uint64_t token = this->Order(true, this->group.now);
  CHECK_FALSE(this->verdicts.contains(token));
  this->DeliverAll([](const Packet&) {});
  CHECK_EQUAL(wire::ACCEPTED, this->verdicts.at(token));
  const std::uint64_t seq = this->Leader().committed.seq();
  const std::uint64_t again = this->Order(true, this->group.now);
  CHECK_EQUAL(wire::ACCEPTED, this->verdicts.at(again));
  CHECK_EQUAL(seq, this->Leader().committed.seq());
  for (const auto& [id, replica] : this->group.replicas) {
    CHECK(IsEvacuated(replica.committed, kName));
  }
}

/// Guards against the answer "in force already" while the opposite command is
/// on its way.
TEST(Evacuations, ARepetitionBehindTheOppositeIsProposed) {
  this->Order(true, this->group.now);
  this->DeliverAll([](const Packet&) {});
  const std::uint64_t stop = this->Order(false, this->group.now);
  const std::uint64_t start = this->Order(true, this->group.now);
  CHECK_FALSE(this->verdicts.contains(start));
  this->DeliverAll([](const Packet&) {});
  CHECK_EQUAL(wire::ACCEPTED, this->verdicts.at(stop));
  CHECK_EQUAL(wire::ACCEPTED, this->verdicts.at(start));
  CHECK(IsEvacuated(this->Leader().committed, kName));
}

/// Guards against a command that takes effect after its caller has turned to
/// another instance, where the opposite was accepted since.
TEST(Evacuations, ACommandThatWaitedInTheQueueIsNotProposed) {
  this->Order(true, this->group.now);
  const std::uint64_t waiting = this->Order(false, this->group.now);
  const TimePoint submitted_at = this->group.now;
  // No voter stores entries, but all confirm the leader.
  this->RunChanged(Milliseconds(760), [](Packet& packet) {
    if (packet.message.has_accept()) {
      packet.message.clear_accept();
    }
  });
  CHECK(HasLease(this->Leader(), this->group.now));
  CHECK(this->group.now - submitted_at > kMaxEvacuationWait);
  this->RunChanged(Milliseconds(200), [](Packet&) {});
  CHECK_EQUAL(wire::UNKNOWN, this->verdicts.at(waiting));
  CHECK(IsEvacuated(this->Leader().committed, kName));
}

/// Guards against an entry that a voter of an older build stores and leaves out
/// of its state, also when it says so only after its restart.
TEST(Evacuations, NoneIsProposedWhileAVoterDoesNotKnowThem) {
  const std::uint32_t older = this->leader == 1 ? 2 : 1;
  const auto strip = [older](Packet& packet) {
    if (packet.from == older && packet.message.has_heartbeat_ack()) {
      packet.message.mutable_heartbeat_ack()->clear_features();
    }
  };
  CHECK(KnowsEvacuations(this->Leader()));
  this->RunChanged(Milliseconds(300), strip);
  CHECK_FALSE(KnowsEvacuations(this->Leader()));
  const std::uint64_t token = this->Order(true, this->group.now);
  CHECK_EQUAL(wire::UNKNOWN, this->verdicts.at(token));
  this->RunChanged(Milliseconds(300), [](Packet&) {});
  CHECK(KnowsEvacuations(this->Leader()));
}

/// Guards against a new leader that takes what its predecessor was told for
/// what the voters run now.
TEST(Evacuations, ANewLeaderAsksTheVotersAnew) {
  this->Leader().features.clear();
  CHECK_FALSE(KnowsEvacuations(this->Leader()));
  RunFor(this->group, Milliseconds(300));
  CHECK(KnowsEvacuations(this->Leader()));
  const std::uint32_t before = this->leader;
  this->group.stopped_instances.insert(before);
  RunFor(this->group, Milliseconds(1400));
  this->leader = FindLeader(this->group);
  CHECK(this->leader != 0);
  CHECK(this->leader != before);
  CHECK_FALSE(this->Leader().features.contains(before));
}

/// Guards against a command that is refused while a voter is lost or cut off,
/// which is when data centres are evacuated.
TEST(Evacuations, ASilentVoterBlocksNone) {
  const std::uint32_t before = this->leader;
  this->group.stopped_instances.insert(before);
  RunFor(this->group, Milliseconds(1400));
  this->leader = FindLeader(this->group);
  CHECK(KnowsEvacuations(this->Leader()));
  const std::uint64_t token = this->Order(true, this->group.now);
  this->RunChanged(Milliseconds(200), [](Packet&) {});
  CHECK_EQUAL(wire::ACCEPTED, this->verdicts.at(token));
  StartInstance(this->group, before);
  RunFor(this->group, Milliseconds(1000));
  CHECK(IsEvacuated(this->group.replicas.at(before).committed, kName));
}

/// Guards against state records of an older build, and against one that loses
/// the evacuations on its way through an older build.
TEST(Evacuations, AnOlderStateHasNoneAndKeepsThemUnread) {
  wire::ControlState older;
  older.set_seq(9);
  Replica replica;
  wire::DurableRecord record;
  *record.mutable_state() = older;
  Restore(replica, record);
  CHECK_EQUAL(0, NewestEvacuationSeq(replica));
  wire::EvacuationChange change;
  change.set_data_centre(kName);
  change.set_active(true);
  ApplyEvacuation(replica.committed, 10, change);
  Replica restored;
  Restore(restored, SnapshotRecord(replica));
  CHECK(IsEvacuated(restored.committed, kName));
  CHECK_EQUAL(10, NewestEvacuationSeq(restored));
}
