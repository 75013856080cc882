#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

/// Tests replicas with a fixed set of control instances, with random faults of
/// the network, the processes and the disks.
using namespace filbertwall;

TEST_GROUP(Replica){};

TEST(Replica, RandomHistoriesKeepAcceptedFiles) {
  const std::string found = RunRandomHistories(1, 300, {});
  STRCMP_EQUAL("", found.c_str());
}

TEST(Replica, CheckDetectsUnpersistedPromises) {
  const std::string found =
      RunRandomHistories(1, 400, Faults{.forget_promises = true});
  CHECK_FALSE(found.empty());
}

TEST(Replica, CheckDetectsLostDiskThatStillVotes) {
  const std::string found =
      RunRandomHistories(1, 400, Faults{.lost_disk_keeps_incarnation = true});
  CHECK_FALSE(found.empty());
}

TEST(Replica, OneOfTwoEqualVersionsIsAccepted) {
  ReplicaGroup group = MakeGroup(1, 3);
  Settle(group);
  const std::uint32_t leader = FindLeader(group);
  Submit(group, leader, 1, "a");
  Submit(group, leader, 1, "b");
  Settle(group);
  STRCMP_EQUAL("a", group.accepted.at(1).c_str());
  LONGS_EQUAL(1, group.refused.size());
  STRCMP_EQUAL("b", group.refused[0].digest().c_str());
}

TEST(Replica, ResentFileGetsItsFirstVerdictEverywhere) {
  ReplicaGroup group = MakeGroup(1, 3);
  Settle(group);
  Submit(group, FindLeader(group), 1, "a");
  Settle(group);
  group.accepted.clear();
  for (const std::uint32_t id : {1U, 2U, 3U}) {
    StartInstance(group, id);
    Submit(group, id, 1, "a");
    STRCMP_EQUAL("a", group.accepted.at(1).c_str());
  }
}

TEST(Replica, LeaderThatSleptPastItsLeaseDoesNotClaimIt) {
  ReplicaGroup group = MakeGroup(1, 3);
  Settle(group);
  const std::uint32_t leader = FindLeader(group);
  Replica& replica = group.replicas.at(leader);
  group.now += replica.config.lease + Milliseconds(1);
  CHECK_FALSE(HasLease(replica, group.now));
  Submit(group, leader, 1, "a");
  CHECK(replica.role != ReplicaRole::kLeader);
  CHECK(group.accepted.empty());
  CHECK(group.refused.empty());
}

TEST(Replica, NoPromiseWithinALeaseGrantedBeforeARestart) {
  ReplicaGroup group = MakeGroup(1, 3);
  Settle(group);
  const std::uint32_t leader = FindLeader(group);
  const std::uint32_t voter = leader == 1 ? 2 : 1;
  StartInstance(group, voter);
  group.network.clear();
  wire::ControlMessage message;
  message.set_cluster(7);
  const std::uint32_t other = 6 - leader - voter;
  message.set_incarnation(group.replicas.at(other).incarnation);
  message.mutable_prepare()->mutable_ballot()->set_round(99);
  Apply(group, voter, ControlReceived{.from = other, .message = message});
  CHECK(group.network.empty());
}

TEST(Replica, LostDiskIsReadmittedAndASecondLossLosesNoData) {
  ReplicaGroup group = MakeGroup(3, 3);
  Settle(group);
  Submit(group, FindLeader(group), 1, "a");
  Settle(group);
  LoseDisk(group, 2);
  Settle(group);
  CHECK(IsVoter(group.replicas.at(2)));
  LoseDisk(group, 3);
  Settle(group);
  CHECK(IsVoter(group.replicas.at(3)));
  CheckConverged(group);
  STRCMP_EQUAL("", group.violation.c_str());
}

TEST(Replica, RemovedVoterIsNotReadmitted) {
  ReplicaGroup group = MakeGroup(3, 3);
  Settle(group);
  const std::uint32_t leader = FindLeader(group);
  const std::uint32_t removed = leader == 3 ? 2 : 3;
  ControlSubmitted event{.token = 0};
  event.change.mutable_member()->set_instance(removed);
  Apply(group, leader, event);
  Settle(group);
  CHECK_FALSE(IsVoter(group.replicas.at(removed)));
  LONGS_EQUAL(2, group.replicas.at(leader).committed.members_size());
}

TEST(Replica, HistoryIsBoundedAndOldVersionsAreUnknown) {
  wire::ControlState state;
  wire::Entry entry;
  for (int i = 1; i <= kHistoryLimit + 1; ++i) {
    entry.set_seq(static_cast<std::uint64_t>(i));
    entry.mutable_change()->mutable_rules()->set_version(
        static_cast<std::uint64_t>(i));
    ApplyEntry(state, entry);
  }
  CHECK(state.history_size() <= kHistoryLimit);
  wire::RulesFile old_file;
  old_file.set_version(1);
  CHECK(DecideRulesFile(state, old_file).kind ==
        RulesDecision::Kind::kOutsideHistory);
}
