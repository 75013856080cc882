#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

/// Instances that lost their disks become voters again while changes are
/// committed in quick succession. The simulated messages take time on their
/// way, and those with the whole state may take longer, as large ones do.
using namespace filbertwall;

namespace {

constexpr Milliseconds kStep{10};
/// An instance must vote again within this time after its return.
constexpr Milliseconds kReturnLimit{4000};

/// Changes and messages of a group under load.
struct Load {
  Milliseconds change_interval{170};
  Milliseconds message_delay{10};
  Milliseconds install_delay{10};  ///< Of a message with the whole state.
  /// Changes that are submitted at once at each interval.
  int changes_at_once = 1;
};

/// A message under way.
struct DelayedPacket {
  TimePoint due_at;
  Packet packet;
};

struct LoadedGroup {
  ReplicaGroup group;
  Load load;
  std::vector<DelayedPacket> under_way;
  std::uint64_t next_version = 1;
  TimePoint next_change_at;
};

void SubmitChanges(LoadedGroup& loaded) {
  ReplicaGroup& group = loaded.group;
  if (group.now < loaded.next_change_at) {
    return;
  }
  loaded.next_change_at = group.now + loaded.load.change_interval;
  const std::uint32_t leader = FindLeader(group);
  for (int i = 0; leader != 0 && i < loaded.load.changes_at_once; ++i) {
    Submit(group, leader, loaded.next_version, "a");
    loaded.next_version += 1;
  }
}

/// Moves the messages that were sent to those under way, and delivers the ones
/// that are due.
void DeliverDue(LoadedGroup& loaded) {
  ReplicaGroup& group = loaded.group;
  for (Packet& packet : group.network) {
    const Milliseconds delay = packet.message.has_install()
                                   ? loaded.load.install_delay
                                   : loaded.load.message_delay;
    loaded.under_way.push_back(
        {.due_at = group.now + delay, .packet = std::move(packet)});
  }
  group.network.clear();
  std::vector<DelayedPacket> later;
  std::vector<Packet> due;
  for (DelayedPacket& item : loaded.under_way) {
    if (item.due_at <= group.now) {
      due.push_back(std::move(item.packet));
    } else {
      later.push_back(std::move(item));
    }
  }
  loaded.under_way = std::move(later);
  for (Packet& packet : due) {
    group.network.push_back(std::move(packet));
    Deliver(group, group.network.size() - 1);
  }
}

void RunLoaded(LoadedGroup& loaded, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    Tick(loaded.group, kStep);
    SubmitChanges(loaded);
    DeliverDue(loaded);
  }
}

/// Returns whether the instance votes with its present incarnation by what the
/// leader has committed.
bool IsVoterOfLeader(const ReplicaGroup& group, std::uint32_t id) {
  const std::uint32_t leader = FindLeader(group);
  if (leader == 0) {
    return false;
  }
  for (const wire::Member& member :
       group.replicas.at(leader).committed.members()) {
    if (member.instance() == id) {
      return member.incarnation() == group.replicas.at(id).incarnation;
    }
  }
  return false;
}

/// Runs until the instance votes. Returns false if it does not within
/// `kReturnLimit`.
bool ReturnsAsVoter(LoadedGroup& loaded, std::uint32_t id) {
  for (Milliseconds passed{0}; passed < kReturnLimit; passed += kStep) {
    RunLoaded(loaded, kStep);
    if (IsVoterOfLeader(loaded.group, id)) {
      return true;
    }
  }
  return false;
}

LoadedGroup MakeLoadedFleet(std::uint32_t size, const Load& load) {
  LoadedGroup loaded{.group = MakeFleet(1, 3, size), .load = load};
  RunFor(loaded.group, Milliseconds(6000));
  loaded.next_change_at = loaded.group.now;
  RunLoaded(loaded, Milliseconds(1000));
  return loaded;
}

LoadedGroup MakeLoadedGroup(std::uint32_t size, const Load& load) {
  LoadedGroup loaded{.group = MakeGroup(1, size), .load = load};
  RunFor(loaded.group, Milliseconds(8000));
  loaded.next_change_at = loaded.group.now;
  RunLoaded(loaded, Milliseconds(1000));
  return loaded;
}

std::string Describe(const Load& load, std::uint32_t size) {
  return std::to_string(size) + " instances, " +
         std::to_string(load.changes_at_once) + " changes each " +
         std::to_string(load.change_interval.count()) + " ms, messages take " +
         std::to_string(load.message_delay.count()) + " ms, installs " +
         std::to_string(load.install_delay.count()) + " ms";
}

/// Makes each voter lose its disk in turn, 8 s apart. Returns what failed, or
/// an empty string.
std::string LoseEachDiskInTurn(LoadedGroup loaded, std::uint32_t size) {
  const std::string text = Describe(loaded.load, size);
  for (std::uint32_t id = 1; id <= size; ++id) {
    if (!IsVoterOfLeader(loaded.group, id)) {
      continue;  // A standby of a fleet of an even size.
    }
    LoseDisk(loaded.group, id);
    if (!ReturnsAsVoter(loaded, id)) {
      return text + ": instance " + std::to_string(id) + " does not vote again";
    }
    RunLoaded(loaded, Milliseconds(4000));
    if (FindLeader(loaded.group) == 0) {
      return text + ": no leader after instance " + std::to_string(id);
    }
  }
  CheckVerdicts(loaded.group);
  return loaded.group.violation.empty() ? ""
                                        : text + ": " + loaded.group.violation;
}

/// What happens to an instance, or to its leader, before it votes again.
enum class Interruption { kLeaderRestarts, kInstanceRestarts, kDiskLostAgain };

void Interrupt(ReplicaGroup& group, Interruption interruption,
               std::uint32_t id) {
  switch (interruption) {
    case Interruption::kLeaderRestarts:
      if (const std::uint32_t leader = FindLeader(group)) {
        StartInstance(group, leader);
      }
      return;
    case Interruption::kInstanceRestarts:
      StartInstance(group, id);
      return;
    case Interruption::kDiskLostAgain:
      LoseDisk(group, id);
      return;
  }
}

/// Makes each instance lose its disk in turn and interrupts its return after
/// `delay`. Returns what failed, or an empty string.
std::string InterruptEachReturn(LoadedGroup loaded, Interruption interruption,
                                Milliseconds delay) {
  for (std::uint32_t id = 1; id <= 3; ++id) {
    LoseDisk(loaded.group, id);
    RunLoaded(loaded, delay);
    Interrupt(loaded.group, interruption, id);
    if (!ReturnsAsVoter(loaded, id)) {
      return "interruption " + std::to_string(static_cast<int>(interruption)) +
             " after " + std::to_string(delay.count()) + " ms: instance " +
             std::to_string(id) + " does not vote again";
    }
    RunLoaded(loaded, Milliseconds(4000));
  }
  CheckVerdicts(loaded.group);
  return loaded.group.violation;
}

constexpr Milliseconds kChangeIntervals[] = {
    Milliseconds(10),  Milliseconds(50),  Milliseconds(100), Milliseconds(170),
    Milliseconds(300), Milliseconds(450), Milliseconds(1000)};

}  // namespace

TEST_GROUP(Standby){};

/// Guards against an instance that lost its disk and is not admitted as long as
/// a change is committed between two of its join requests.
TEST(Standby, LostDisksInTurnAreBorneAtAnyRateOfChanges) {
  for (const Milliseconds interval : kChangeIntervals) {
    for (std::uint32_t size = 3; size <= 5; ++size) {
      const Load load{.change_interval = interval};
      STRCMP_EQUAL(
          "", LoseEachDiskInTurn(MakeLoadedFleet(size, load), size).c_str());
    }
  }
}

/// Guards against the same where the control instances are configured and no
/// other one may join.
TEST(Standby, LostDisksInTurnAreBorneByAConfiguredGroup) {
  for (const Milliseconds interval : kChangeIntervals) {
    for (std::uint32_t size = 3; size <= 5; ++size) {
      const Load load{.change_interval = interval};
      STRCMP_EQUAL(
          "", LoseEachDiskInTurn(MakeLoadedGroup(size, load), size).c_str());
    }
  }
}

/// Guards against a change to the voters that waits for as long as other
/// changes are queued.
TEST(Standby, LostDisksInTurnAreBorneWhileChangesAreQueued) {
  for (const Milliseconds delay : {Milliseconds(10), Milliseconds(40)}) {
    const Load load{.change_interval = Milliseconds(100),
                    .message_delay = delay,
                    .install_delay = delay,
                    .changes_at_once = 16};
    STRCMP_EQUAL("", LoseEachDiskInTurn(MakeLoadedFleet(3, load), 3).c_str());
    STRCMP_EQUAL("", LoseEachDiskInTurn(MakeLoadedGroup(3, load), 3).c_str());
  }
}

/// Guards against an instance that is never admitted when sending it the state
/// takes longer than the interval of its join requests.
TEST(Standby, LostDisksInTurnAreBorneWhenTheStateTakesLongToArrive) {
  for (const Milliseconds delay :
       {Milliseconds(150), Milliseconds(400), Milliseconds(900)}) {
    for (const Milliseconds interval : {Milliseconds(50), Milliseconds(170)}) {
      const Load load{.change_interval = interval, .install_delay = delay};
      STRCMP_EQUAL("", LoseEachDiskInTurn(MakeLoadedFleet(3, load), 3).c_str());
    }
  }
}

/// Guards against an instance that is not admitted after its return was
/// interrupted: by a new leader, a restart or another loss of its disk.
TEST(Standby, InterruptedReturnsAreCompleted) {
  const Load load{.change_interval = Milliseconds(100),
                  .install_delay = Milliseconds(200)};
  const LoadedGroup loaded = MakeLoadedFleet(3, load);
  for (const Interruption interruption :
       {Interruption::kLeaderRestarts, Interruption::kInstanceRestarts,
        Interruption::kDiskLostAgain}) {
    for (Milliseconds delay{0}; delay <= Milliseconds(1000);
         delay += Milliseconds(50)) {
      STRCMP_EQUAL("",
                   InterruptEachReturn(loaded, interruption, delay).c_str());
    }
  }
}
