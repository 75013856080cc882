#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

/// Control instances that are stopped, for good or to be started again, and the
/// losses that follow.
using namespace filbertwall;

namespace {

constexpr std::uint32_t kFounders = 3;
constexpr Milliseconds kStep{20};
constexpr Milliseconds kSettleTime{6000};
/// `ControlLeave::limit` of the tests.
constexpr Milliseconds kLeaveLimit{4000};
/// A process may end within this time after the limit.
constexpr Milliseconds kStepsAfterLimit{200};
/// A leader must accept changes this long after a loss.
constexpr Milliseconds kRecoveryLimit{4000};

/// Deployments by their number of instances and of disks that may be lost at
/// once.
struct Size {
  std::uint32_t instances = 0;
  std::uint32_t tolerated = 1;
};
constexpr Size kSizes[] = {{3, 1}, {4, 1}, {5, 1}, {5, 2},
                           {6, 1}, {6, 2}, {7, 2}, {8, 2}};

ReplicaGroup MakeSettledFleet(const Size& size) {
  ReplicaGroup group =
      MakeFleet(1, kFounders, size.instances, 2 * size.tolerated + 1);
  RunFor(group, kSettleTime);
  return group;
}

std::string Describe(const Size& size) {
  return std::to_string(size.instances) + " instances, " +
         std::to_string(size.tolerated) + " tolerated losses";
}

std::vector<std::uint32_t> RunningInstances(const ReplicaGroup& group) {
  std::vector<std::uint32_t> ids;
  for (const auto& [id, replica] : group.replicas) {
    ids.push_back(id);
  }
  return ids;
}

void RequestLeave(ReplicaGroup& group, std::uint32_t id) {
  Apply(group, id, ControlLeave{.limit = kLeaveLimit});
}

bool MayEnd(const ReplicaGroup& group, std::uint32_t id) {
  return HasDeparted(group.replicas.at(id));
}

/// Runs until the instance may end. Returns the time that it took.
Milliseconds RunUntilDeparted(ReplicaGroup& group, std::uint32_t id) {
  Milliseconds waited{0};
  while (!MayEnd(group, id) && waited < kLeaveLimit + kStepsAfterLimit) {
    RunFor(group, kStep);
    waited += kStep;
  }
  return waited;
}

/// Stops the instance for good, with notice.
void RemoveWithNotice(ReplicaGroup& group, std::uint32_t id) {
  RequestLeave(group, id);
  RunUntilDeparted(group, id);
  RemoveInstance(group, id);
}

/// Delivers this number of packets one by one, in order, and advances the clock
/// whenever there are none.
void DeliverPackets(ReplicaGroup& group, int packets) {
  for (int delivered = 0; delivered < packets; ++delivered) {
    while (group.network.empty()) {
      Tick(group, kStep);
    }
    Deliver(group, 0);
  }
}

/// Returns what is wrong after the losses of a history, or an empty string.
std::string CheckAfterLosses(ReplicaGroup& group) {
  if (!AcceptsChange(group, kRecoveryLimit)) {
    return "no change is accepted";
  }
  RunFor(group, kSettleTime);
  CheckVerdicts(group);
  CheckConverged(group);
  return group.violation;
}

/// A successor is ready, `leaving` is stopped for good, and `delay` later as
/// many others as tolerated lose their disks, from the one at position `first`
/// on. Returns what is wrong afterwards, or an empty string.
std::string ReplaceThenLoseDisks(ReplicaGroup group, const Size& size,
                                 std::uint32_t leaving, std::size_t first,
                                 Milliseconds delay) {
  AddInstance(group);
  RunFor(group, kSettleTime);
  RemoveWithNotice(group, leaving);
  RunFor(group, delay);
  const std::vector<std::uint32_t> others = RunningInstances(group);
  for (std::uint32_t i = 0; i < size.tolerated; ++i) {
    LoseDisk(group, others[(first + i) % others.size()]);
  }
  const std::string found = CheckAfterLosses(group);
  return found.empty()
             ? ""
             : Describe(size) + ", " + std::to_string(leaving) +
                   " leaves, disks from position " + std::to_string(first) +
                   " on lost " + std::to_string(delay.count()) +
                   " ms later: " + found;
}

/// Replaces the first `kFounders` or all instances, successors first, `gap`
/// apart, from the one at position `first` on. Each ends when it may.
std::string ReplaceAll(ReplicaGroup group, const Size& size, std::size_t first,
                       Milliseconds gap) {
  const std::vector<std::uint32_t> old = RunningInstances(group);
  for (std::size_t i = 0; i < old.size(); ++i) {
    AddInstance(group);
  }
  RunFor(group, kSettleTime);
  std::vector<std::uint32_t> waiting;
  std::size_t next = 0;
  Milliseconds passed{0};
  while (next < old.size() || !waiting.empty()) {
    while (next < old.size() && passed >= gap * static_cast<int>(next)) {
      waiting.push_back(old[(first + next) % old.size()]);
      RequestLeave(group, waiting.back());
      next += 1;
    }
    RunFor(group, kStep);
    passed += kStep;
    std::erase_if(waiting, [&](std::uint32_t id) {
      const bool ended = MayEnd(group, id);
      if (ended) {
        RemoveInstance(group, id);
      }
      return ended;
    });
  }
  for (std::uint32_t i = 0; i < size.tolerated; ++i) {
    LoseDisk(group, RunningInstances(group)[i]);
  }
  const std::string found = CheckAfterLosses(group);
  return found.empty()
             ? ""
             : Describe(size) + ", all replaced " +
                   std::to_string(gap.count()) + " ms apart, from position " +
                   std::to_string(first) + " on: " + found;
}

/// Runs for `time` with packets that are reordered, doubled or lost: each with
/// a probability of 1 in 25.
void RunUnreliably(ReplicaGroup& group, Milliseconds time) {
  constexpr std::uint64_t kOneIn = 25;
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    Tick(group, kStep);
    for (std::size_t left = group.network.size(); left > 0; --left) {
      const std::size_t index = RandomBelow(group, group.network.size());
      if (RandomBelow(group, kOneIn) == 0) {
        group.network.push_back(Packet(group.network[index]));
      }
      if (RandomBelow(group, kOneIn) == 0) {
        group.network.erase(group.network.begin() +
                            static_cast<std::ptrdiff_t>(index));
      } else {
        Deliver(group, index);
      }
    }
  }
}

/// Random planned replacements over such a network, each followed by the loss
/// of as many disks as are tolerated. Returns what is wrong, or an empty
/// string. Without `with_notice`, the replaced instances just end.
std::string RunRandomReplacements(std::uint64_t seed, bool with_notice) {
  const Size& size = kSizes[seed % std::size(kSizes)];
  ReplicaGroup group =
      MakeFleet(seed, kFounders, size.instances, 2 * size.tolerated + 1);
  RunFor(group, kSettleTime);
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    const std::uint32_t leaving = RandomInstance(group);
    AddInstance(group);
    RunUnreliably(group, kSettleTime);
    if (with_notice) {
      RequestLeave(group, leaving);
    }
    for (int steps = 0; with_notice && !MayEnd(group, leaving); ++steps) {
      RunUnreliably(group, kStep);
    }
    RemoveInstance(group, leaving);
    RunUnreliably(group, Milliseconds(RandomBelow(group, 1000)));
    const std::vector<std::uint32_t> others = RunningInstances(group);
    const std::uint64_t first = RandomBelow(group, others.size());
    for (std::uint32_t i = 0; i < size.tolerated; ++i) {
      LoseDisk(group, others[(first + i) % others.size()]);
    }
    const std::string found = CheckAfterLosses(group);
    if (!found.empty()) {
      return "seed " + std::to_string(seed) + ", " + Describe(size) +
             ", round " + std::to_string(round) + ": " + found;
    }
  }
  return "";
}

/// Stops the instance and starts it again from its disk.
void Restart(ReplicaGroup& group, std::uint32_t id, Milliseconds down) {
  RequestLeave(group, id);
  RunUntilDeparted(group, id);
  group.stopped_instances.insert(id);
  RunFor(group, down);
  StartInstance(group, id);
}

}  // namespace

TEST_GROUP(Departure){};

/// Guards against a voter that is replaced as planned, keeps its vote when it
/// ends, and leaves too few voters for the next loss.
TEST(Departure, DisksLostRightAfterAPlannedReplacementAreTolerated) {
  for (const Size& size : kSizes) {
    const ReplicaGroup group = MakeSettledFleet(size);
    for (const std::uint32_t leaving : RunningInstances(group)) {
      for (std::size_t first = 0; first < size.instances; ++first) {
        for (const int delay : {0, 1000}) {
          STRCMP_EQUAL("", ReplaceThenLoseDisks(group, size, leaving, first,
                                                Milliseconds(delay))
                               .c_str());
        }
      }
    }
  }
}

/// Guards against the same when all instances are replaced, each as soon as the
/// one before was stopped.
TEST(Departure, ReplacementOfAllInstancesToleratesTheNextLoss) {
  for (const Size& size : kSizes) {
    const ReplicaGroup group = MakeSettledFleet(size);
    for (std::size_t first = 0; first < size.instances; ++first) {
      for (const int gap : {0, 500, 2000}) {
        STRCMP_EQUAL("",
                     ReplaceAll(group, size, first, Milliseconds(gap)).c_str());
      }
    }
  }
}

/// Guards against a process that waits for a standby that does not exist, and
/// against a voter that is removed below the least number of voters.
TEST(Departure, VoterWithoutAStandbyEndsAtOnceAndKeepsItsVote) {
  const ReplicaGroup settled = MakeSettledFleet({3, 1});
  for (const std::uint32_t id : RunningInstances(settled)) {
    ReplicaGroup group = settled;
    RequestLeave(group, id);
    CHECK(RunUntilDeparted(group, id) <= Milliseconds(300));
    CHECK(DepartureResult::kNoStandby ==
          group.replicas.at(id).departure.result);
    CHECK(IsVoter(group.replicas.at(id)));
    StartInstance(group, id);
    STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
    CHECK(IsVoter(group.replicas.at(id)));
    CHECK(group.replicas.at(FindLeader(group)).leaving.empty());
  }
}

/// Guards against a voter that ends while a standby is still catching up.
TEST(Departure, VoterWaitsForAStandbyThatCatchesUp) {
  const ReplicaGroup settled = MakeSettledFleet({3, 1});
  for (const std::uint32_t id : RunningInstances(settled)) {
    for (const int lead : {20, 40, 200}) {
      ReplicaGroup group = settled;
      AddInstance(group);
      RunFor(group, Milliseconds(lead));
      RemoveWithNotice(group, id);
      LoseDisk(group, RunningInstances(group)[0]);
      STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
    }
  }
}

/// Guards against a process that waits beyond its limit for a standby that
/// never catches up.
TEST(Departure, VoterEndsAtTheLimitIfItsStandbyNeverCatchesUp) {
  ReplicaGroup group = MakeSettledFleet({3, 1});
  const std::uint32_t standby = AddInstance(group);
  const auto forget_standby_state = [&] {
    group.replicas.at(standby).committed.Clear();
  };
  const auto step = [&] {
    Tick(group, kStep);
    while (!group.network.empty()) {
      Deliver(group, 0);
      forget_standby_state();
    }
  };
  step();
  const std::uint32_t id = FindLeader(group) == 1 ? 2 : 1;
  RequestLeave(group, id);
  Milliseconds waited{0};
  while (!MayEnd(group, id) && waited < 2 * kLeaveLimit) {
    step();
    waited += kStep;
  }
  CHECK(waited >= kLeaveLimit);
  CHECK(waited <= kLeaveLimit + kStepsAfterLimit);
  CHECK(DepartureResult::kTimeLimit == group.replicas.at(id).departure.result);
}

/// Guards against a stop of the whole fleet that waits for instances that leave
/// as well, and against one that does not start again with what was accepted.
TEST(Departure, StopOfAllInstancesEndsSoonAndStartsAgain) {
  for (const Size& size : kSizes) {
    const ReplicaGroup settled = MakeSettledFleet(size);
    for (const int gap : {0, 20, 200, 1000}) {
      ReplicaGroup group = settled;
      CHECK(AcceptsChange(group, kRecoveryLimit));
      const std::vector<std::uint32_t> all = RunningInstances(group);
      Milliseconds passed{0};
      std::size_t next = 0;
      while (group.stopped_instances.size() < all.size() &&
             passed < 2 * kLeaveLimit + Milliseconds(gap) * 8) {
        while (next < all.size() &&
               passed >= Milliseconds(gap) * static_cast<int>(next)) {
          RequestLeave(group, all[next++]);
        }
        RunFor(group, kStep);
        passed += kStep;
        for (std::size_t i = 0; i < next; ++i) {
          if (MayEnd(group, all[i])) {
            group.stopped_instances.insert(all[i]);
          }
        }
      }
      const auto last = Milliseconds(gap) * static_cast<int>(all.size() - 1);
      CHECK_TEXT(passed <= last + Milliseconds(1700),
                 (Describe(size) + " gap " + std::to_string(gap) + " took " +
                  std::to_string(passed.count()))
                     .c_str());
      for (const std::uint32_t id : all) {
        StartInstance(group, id);
      }
      STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
    }
  }
}

/// Guards against restarts in turn that leave too few voters for the next loss.
TEST(Departure, RestartsInTurnTolerateALossAfterEachOne) {
  for (const Size& size : kSizes) {
    const ReplicaGroup settled = MakeSettledFleet(size);
    for (std::uint32_t lost = 1; lost <= size.instances; ++lost) {
      ReplicaGroup group = settled;
      for (std::uint32_t id = 1; id <= size.instances; ++id) {
        Restart(group, id, Milliseconds(600));
        CHECK(AcceptsChange(group, kRecoveryLimit));
        RunFor(group, kSettleTime);
      }
      LoseDisk(group, lost);
      STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
    }
  }
}

/// Guards against a departure that counts on a successor which has just lost
/// its disk.
TEST(Departure, SuccessorThatLosesItsDiskWhileItTakesOverIsTolerated) {
  const ReplicaGroup settled = MakeSettledFleet({3, 1});
  for (const std::uint32_t id : RunningInstances(settled)) {
    for (int steps = 0; steps <= 10; ++steps) {
      ReplicaGroup group = settled;
      const std::uint32_t successor = AddInstance(group);
      RunFor(group, kSettleTime);
      RequestLeave(group, id);
      RunFor(group, kStep * steps);
      LoseDisk(group, successor);
      RunUntilDeparted(group, id);
      RemoveInstance(group, id);
      STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
    }
  }
}

/// Guards against a departure that ends while the change to the voters is
/// stored by the leader and the leaving voter only.
TEST(Departure, WaitsUntilAMajorityOfTheNewVotersHasStoredTheChange) {
  ReplicaGroup group = MakeSettledFleet({3, 1});
  AddInstance(group);
  RunFor(group, kSettleTime);
  const std::uint32_t leader = FindLeader(group);
  const std::uint32_t id = leader == 1 ? 2 : 1;
  RequestLeave(group, id);
  for (Milliseconds passed{0}; passed < Milliseconds(1000); passed += kStep) {
    Tick(group, kStep);
    while (!group.network.empty()) {
      const Packet& packet = group.network.front();
      const bool tells_the_change =
          packet.message.has_accept() || packet.message.has_install();
      if (tells_the_change && packet.to != id && packet.to != leader) {
        group.network.erase(group.network.begin());
      } else {
        Deliver(group, 0);
      }
    }
  }
  CHECK(FindLeader(group) == leader);
  CHECK_FALSE(MayEnd(group, id));
  RunUntilDeparted(group, id);
  CHECK(DepartureResult::kNoVote == group.replicas.at(id).departure.result);
  RemoveInstance(group, id);
  LoseDisk(group, leader);
  STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
}

/// Guards against a departure that ends too early, or hangs, when the leader
/// loses its disk or restarts at any moment of it.
TEST(Departure, LeaderLostWhileAVoteIsHandedOverIsTolerated) {
  constexpr int kMaxPackets = 60;
  ReplicaGroup settled = MakeSettledFleet({3, 1});
  AddInstance(settled);
  RunFor(settled, kSettleTime);
  for (const std::uint32_t id : {1U, 2U, 3U}) {
    for (int packets = 0; packets <= kMaxPackets; ++packets) {
      for (const bool disk_lost : {true, false}) {
        ReplicaGroup group = settled;
        RequestLeave(group, id);
        DeliverPackets(group, packets);
        const std::uint32_t leader = FindLeader(group);
        const std::uint32_t lost = leader == 0 || leader == id ? 4 : leader;
        if (disk_lost) {
          LoseDisk(group, lost);
        } else {
          StartInstance(group, lost);
        }
        RunUntilDeparted(group, id);
        CHECK(MayEnd(group, id));
        RemoveInstance(group, id);
        if (!disk_lost) {
          LoseDisk(group, lost);
        }
        STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
      }
    }
  }
}

/// Guards against a departure that hangs, or breaks agreement, among instances
/// of a build that does not know it.
TEST(Departure, InstancesOfAnEarlierBuildDelayTheEndOnly) {
  for (const Size& size : kSizes) {
    ReplicaGroup group = MakeSettledFleet(size);
    const std::uint32_t id = FindLeader(group) == 1 ? 2 : 1;
    RequestLeave(group, id);
    Milliseconds waited{0};
    while (!MayEnd(group, id) && waited < kLeaveLimit) {
      Tick(group, kStep);
      while (!group.network.empty()) {
        if (group.network.front().message.has_leave()) {
          group.network.front().message.clear_leave();
        }
        Deliver(group, 0);
      }
      waited += kStep;
    }
    CHECK(waited < Milliseconds(1700));
    CHECK(DepartureResult::kNoLeader == group.replicas.at(id).departure.result);
    RemoveInstance(group, id);
    STRCMP_EQUAL("", CheckAfterLosses(group).c_str());
  }
}

/// Guards against a leader that holds the others up until its lease expires,
/// after its process was stopped.
TEST(Departure, LeaderThatLeavesIsFollowedByAnotherAtOnce) {
  for (const Size& size : kSizes) {
    ReplicaGroup group = MakeSettledFleet(size);
    const std::uint32_t leader = FindLeader(group);
    RequestLeave(group, leader);
    CHECK(FindLeader(group) != leader);
    RunFor(group, Milliseconds(200));
    CHECK(FindLeader(group) != 0);
    CHECK(FindLeader(group) != leader);
  }
}

/// Guards against a departure that ends too early when packets are lost,
/// doubled or reordered.
TEST(Departure, RandomReplacementsTolerateTheNextLosses) {
  constexpr std::uint64_t kSeeds = 64;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    STRCMP_EQUAL("", RunRandomReplacements(seed, true).c_str());
  }
}

TEST(Departure, CheckDetectsReplacementsWithoutNotice) {
  constexpr std::uint64_t kSeeds = 16;
  std::uint64_t seed = 1;
  while (seed <= kSeeds && RunRandomReplacements(seed, false).empty()) {
    seed += 1;
  }
  CHECK(seed <= kSeeds);
}
