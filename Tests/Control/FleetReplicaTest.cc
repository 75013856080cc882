#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

/// Tests replicas with open membership, in which instances without a founding
/// record join and replace lost voters.
using namespace filbertwall;

namespace {

constexpr std::uint32_t kFounders = 3;

std::set<std::uint32_t> VoterIds(const ReplicaGroup& group) {
  std::set<std::uint32_t> members;
  const std::uint32_t leader = FindLeader(group);
  for (const wire::Member& member :
       group.replicas.at(leader).committed.members()) {
    members.insert(member.instance());
  }
  return members;
}

/// Runs one random sequence of steps. Some of its rounds replace an instance
/// permanently, the others may lose a disk. Returns the first violation or an
/// empty string.
std::string RunRandomFleetHistory(std::uint64_t seed) {
  ReplicaGroup group = MakeFleet(seed, kFounders, 4);
  Settle(group);
  constexpr int kRounds = 5;
  constexpr int kSteps = 250;
  for (int round = 0; round < kRounds && group.violation.empty(); ++round) {
    const bool replaces = RandomBelow(group, 2) == 0;
    int disks_to_lose = replaces ? 0 : 1;
    if (replaces) {
      ReplaceInstance(group, RandomInstance(group));
    }
    for (int step = 0; step < kSteps; ++step) {
      Step(group, disks_to_lose);
    }
    Settle(group);
    Settle(group);
    CheckVerdicts(group);
    CheckConverged(group);
    const std::uint64_t before = HighestVersion(group);
    const std::uint32_t leader = FindLeader(group);
    if (leader == 0) {
      RecordViolation(group, "no leader in round " + std::to_string(round));
      break;
    }
    Submit(group, leader, before + 1, "probe");
    Settle(group);
    if (HighestVersion(group) != before + 1) {
      RecordViolation(
          group, "no change is accepted in round " + std::to_string(round));
    }
  }
  return group.violation.empty()
             ? ""
             : "seed " + std::to_string(seed) + ": " + group.violation;
}

}  // namespace

TEST_GROUP(FleetReplica){};

TEST(FleetReplica, FoundersAndLaterOnesFormOneCluster) {
  ReplicaGroup group = MakeFleet(1, kFounders, 5);
  Settle(group);
  const std::uint64_t cluster = group.replicas.at(1).committed.cluster();
  CHECK(cluster != 0);
  for (const auto& [id, replica] : group.replicas) {
    CHECK(IsVoter(replica));
    CHECK_EQUAL(cluster, replica.committed.cluster());
  }
  LONGS_EQUAL(5, VoterIds(group).size());
}

TEST(FleetReplica, EmptyDisksAloneFormNoCluster) {
  ReplicaGroup group = MakeFleet(1, 0, 3);
  Settle(group);
  LONGS_EQUAL(0, FindLeader(group));
  for (const auto& [id, replica] : group.replicas) {
    CHECK_EQUAL(0, replica.committed.cluster());
  }
}

TEST(FleetReplica, NewInstanceReplacesALostVoter) {
  ReplicaGroup group = MakeFleet(2, kFounders, 5);
  Settle(group);
  const std::uint32_t lost = FindLeader(group) == 2 ? 3 : 2;
  const std::uint32_t new_id = ReplaceInstance(group, lost);
  Settle(group);
  Settle(group);
  CHECK(VoterIds(group) ==
        (std::set<std::uint32_t>{1, lost == 2 ? 3U : 2U, 4, 5, new_id}));
}

TEST(FleetReplica, EachInstanceMayBeReplacedInTurn) {
  ReplicaGroup group = MakeFleet(3, kFounders, 4);
  Settle(group);
  for (std::uint32_t id = 1; id <= 4; ++id) {
    Submit(group, FindLeader(group), id, "a");
    ReplaceInstance(group, id);
    Settle(group);
    Settle(group);
  }
  CheckConverged(group);
  STRCMP_EQUAL("", group.violation.c_str());
  const std::set<std::uint32_t> members = VoterIds(group);
  LONGS_EQUAL(3, members.size());
  for (const std::uint32_t member : members) {
    CHECK(member >= 5);
  }
}

TEST(FleetReplica, EvenGroupKeepsOneStandby) {
  ReplicaGroup group = MakeFleet(7, kFounders, 4);
  Settle(group);
  LONGS_EQUAL(3, VoterIds(group).size());
  const Replica& standby = group.replicas.at(4);
  CHECK_FALSE(IsVoter(standby));
  Submit(group, FindLeader(group), 1, "a");
  RunFor(group, Milliseconds(200));
  LONGS_EQUAL(1, standby.committed.rules().version());
  CHECK(HasFreshState(standby, group.now, Milliseconds(400)));
}

TEST(FleetReplica, VotersDoNotChangeWithoutALoss) {
  for (std::uint32_t size = kFounders; size <= 8; ++size) {
    ReplicaGroup group = MakeFleet(size, kFounders, size);
    Settle(group);
    const std::uint64_t seq =
        group.replicas.at(FindLeader(group)).committed.seq();
    Settle(group);
    LONGS_EQUAL(seq, group.replicas.at(FindLeader(group)).committed.seq());
    LONGS_EQUAL(size % 2 == 0 ? size - 1 : size, VoterIds(group).size());
  }
}

TEST(FleetReplica, SilentVotersStayWhenTooFewWouldRemain) {
  ReplicaGroup group = MakeFleet(4, kFounders, kFounders);
  Settle(group);
  const std::uint32_t lost = FindLeader(group) == 2 ? 3 : 2;
  group.replicas.erase(lost);
  for (int i = 0; i < 5; ++i) {
    Settle(group);
  }
  LONGS_EQUAL(kFounders, VoterIds(group).size());
}

TEST(FleetReplica, RemovedVoterReturnsAsAnotherIncarnation) {
  ReplicaGroup group = MakeFleet(5, kFounders, 5);
  Settle(group);
  const std::uint32_t stopped = FindLeader(group) == 2 ? 3 : 2;
  const std::uint64_t incarnation = group.replicas.at(stopped).incarnation;
  const Replica stopped_replica = group.replicas.at(stopped);
  group.replicas.erase(stopped);
  for (int i = 0; i < 4; ++i) {
    Settle(group);
  }
  LONGS_EQUAL(kFounders, VoterIds(group).size());
  group.replicas[stopped] = stopped_replica;
  Settle(group);
  Settle(group);
  LONGS_EQUAL(5, VoterIds(group).size());
  CHECK(group.replicas.at(stopped).incarnation != incarnation);
}

TEST(FleetReplica, FollowerStateIsFreshOnlyWhileHeartbeatsArrive) {
  ReplicaGroup group = MakeFleet(6, kFounders, kFounders);
  Settle(group);
  const std::uint32_t follower = FindLeader(group) == 2 ? 3 : 2;
  const Replica& replica = group.replicas.at(follower);
  constexpr Milliseconds kLimit{400};
  CHECK(HasFreshState(replica, group.now, kLimit));
  CHECK_FALSE(HasFreshState(replica, group.now + Milliseconds(600), kLimit));
}

/// Guards against a follower that counts as unheard for good once its machine
/// has started again and its clock states earlier times than before.
TEST(FleetReplica, FollowerWhoseClockStartsAnewIsHeardAgain) {
  ReplicaGroup group = MakeFleet(6, kFounders, kFounders);
  Settle(group);
  const std::uint32_t leader = FindLeader(group);
  const std::uint32_t follower = leader == 2 ? 3 : 2;
  constexpr Milliseconds kLimit{1000};
  wire::ControlMessage message;
  message.set_cluster(group.replicas.at(leader).committed.cluster());
  message.set_incarnation(group.replicas.at(follower).incarnation);
  wire::HeartbeatAck& ack = *message.mutable_heartbeat_ack();
  *ack.mutable_ballot() = group.replicas.at(leader).ballot;
  ack.set_sent_us(INT64_MAX);
  Apply(group, leader, ControlReceived{.from = follower, .message = message});
  RunFor(group, Milliseconds(2000));
  CHECK(IsHeardByLeader(group.replicas.at(follower), group.now, kLimit));
}

/// Guards against a returned time that cannot be one, such as a later one or
/// one out of range, and that renews the lease of a leader nevertheless.
TEST(FleetReplica, TimesThatCannotBeReturnedOnesRenewNoLease) {
  constexpr std::int64_t kHourUs = 3600000000;
  ReplicaGroup settled = MakeFleet(6, kFounders, kFounders);
  Settle(settled);
  const std::int64_t now_us =
      std::chrono::duration_cast<Microseconds>(settled.now.time_since_epoch())
          .count();
  for (const std::int64_t returned_us :
       {now_us + kHourUs, INT64_MAX, INT64_MIN, std::int64_t{-1}}) {
    ReplicaGroup group = settled;
    const std::uint32_t leader = FindLeader(group);
    const std::uint32_t follower = leader == 2 ? 3 : 2;
    group.stopped_instances = {follower, 6 - leader - follower};
    RunFor(group, Milliseconds(400));
    wire::ControlMessage message;
    message.set_cluster(group.replicas.at(leader).committed.cluster());
    message.set_incarnation(group.replicas.at(follower).incarnation);
    wire::HeartbeatAck& ack = *message.mutable_heartbeat_ack();
    *ack.mutable_ballot() = group.replicas.at(leader).ballot;
    ack.set_echoed_us(returned_us);
    Apply(group, leader, ControlReceived{.from = follower, .message = message});
    RunFor(group, Milliseconds(400));
    CHECK_FALSE(HasLease(group.replicas.at(leader), group.now));
  }
}

TEST(FleetReplica, RandomHistoriesWithReplacementsKeepAcceptedFiles) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    STRCMP_EQUAL("", RunRandomFleetHistory(seed).c_str());
  }
}

TEST(FleetReplica, RemovedVoterThatReturnsIsToldSoAtOnce) {
  ReplicaGroup group = MakeFleet(1, kFounders, 4);
  Settle(group);
  const std::uint32_t leader = FindLeader(group);
  std::set<std::uint32_t> voters = VoterIds(group);
  voters.erase(leader);
  const std::uint32_t removed = *voters.begin();
  group.stopped_instances.insert(removed);
  RunFor(group, Milliseconds(4000));
  CHECK_FALSE(VoterIds(group).contains(removed));
  StartInstance(group, removed);
  RunFor(group, Milliseconds(1000));
  LONGS_EQUAL(leader, group.replicas.at(removed).leader);
  LONGS_EQUAL(leader, FindLeader(group));
}
