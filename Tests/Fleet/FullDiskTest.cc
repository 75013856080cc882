#include <algorithm>
#include <random>

#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

/// The platform's CatchUpS and ConfigApplyMs.
constexpr Milliseconds kRecoveryBound{4000};
constexpr Milliseconds kInForceBound{3000};
constexpr Milliseconds kAnswerBound{1000};
constexpr Milliseconds kSubmitInterval{50};
constexpr InstanceAddress kEntry = 101;

/// An operator that submits one version after the other, each to the next
/// control instance, and follows redirects.
struct SteadyOperator {
  struct Call {
    CallId id = 0;
    InstanceAddress to = 0;
    std::uint64_t version = 0;
    TimePoint sent_at;
    bool redirected = false;
  };
  std::vector<Call> open;
  std::uint64_t version = 10;
  std::uint64_t acknowledged = 0;
  InstanceAddress next = 1;
  /// From then on, each submission has to be acknowledged.
  TimePoint strict_from = TimePoint::max();
  std::string violation;
};

void Note(SteadyOperator& caller, const std::string& what) {
  if (caller.violation.empty()) {
    caller.violation = what;
  }
}

/// Handles the answer to a call. Returns whether the call is over.
bool HandleAnswer(FleetWorld& world, SteadyOperator& caller,
                  SteadyOperator::Call& call) {
  const auto answer = world.answers.find(call.id);
  if (answer == world.answers.end()) {
    if (world.now > call.sent_at + kAnswerBound) {
      Note(caller, "no answer by " + std::to_string(call.to));
      return true;
    }
    return false;
  }
  const CallVerdict verdict = answer->second.verdict;
  const bool to_running = !world.down.contains(answer->second.leader);
  if (verdict == CallVerdict::kRedirected && !call.redirected && to_running) {
    call.redirected = true;
    call.id = Submit(world, answer->second.leader, call.version);
    return false;
  }
  if (verdict == CallVerdict::kAccepted) {
    caller.acknowledged = std::max(caller.acknowledged, call.version);
  } else if (call.sent_at >= caller.strict_from) {
    const ControlInstance& instance = world.controls.at(call.to);
    Note(caller, "refused long after by " + std::to_string(call.to) +
                     (IsVoter(instance.replica) ? " (voter): " : ": ") +
                     answer->second.reason);
  }
  return true;
}

void RunOperator(FleetWorld& world, SteadyOperator& caller, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kSubmitInterval) {
    if (!world.down.contains(caller.next)) {
      caller.version += 1;
      caller.open.push_back({.id = Submit(world, caller.next, caller.version),
                             .to = caller.next,
                             .version = caller.version,
                             .sent_at = world.now});
    }
    caller.next = caller.next % world.controls.size() + 1;
    Run(world, kSubmitInterval);
    std::erase_if(caller.open, [&](SteadyOperator::Call& call) {
      return HandleAnswer(world, caller, call);
    });
  }
}

/// Ends the process at once, which leaves its calls unanswered.
void Kill(FleetWorld& world, SteadyOperator& caller, InstanceAddress id) {
  world.down.insert(id);
  caller.open.clear();
}

/// Lets each disk be full once, that of the leader first, at times with a
/// restart meanwhile.
void PlaySeries(FleetWorld& world, SteadyOperator& caller,
                std::mt19937_64& random, bool restarts) {
  const auto below = [&](std::uint64_t limit) { return random() % limit; };
  const Milliseconds full(300 + below(5700));
  const Milliseconds gap(below(3) == 0 ? below(4000) : 0);
  const InstanceAddress leader = FindLeader(world);
  std::vector<InstanceAddress> order = {leader == 0 ? 1 : leader};
  for (const auto& [id, instance] : world.controls) {
    if (id != order.front()) {
      order.push_back(id);
    }
  }
  for (const InstanceAddress id : order) {
    const std::uint64_t restart = restarts ? below(3) : 0;
    world.full_disks.insert(id);
    RunOperator(world, caller, full / 2);
    if (restart == 1) {
      Kill(world, caller, id);
      RunOperator(world, caller, Milliseconds(50 + below(500)));
      StartControl(world, id, false);
    }
    RunOperator(world, caller, full / 2);
    world.full_disks.erase(id);
    if (restart == 2) {
      Kill(world, caller, id);
      StartControl(world, id, false);
    }
    RunOperator(world, caller, gap);
  }
}

/// Returns what broke in two series of full disks, or an empty text.
std::string PlayFullDisks(std::uint64_t seed, bool restarts) {
  std::mt19937_64 random(seed);
  FleetWorld world = MakeWorld(static_cast<InstanceAddress>(3 + seed % 3), 1);
  Run(world, Milliseconds(3000));
  SteadyOperator caller;
  for (int round = 0; round < 2; ++round) {
    PlaySeries(world, caller, random, restarts);
    RunOperator(world, caller, kRecoveryBound);
    caller.strict_from = world.now;
    RunOperator(world, caller, Milliseconds(2000));
    caller.strict_from = TimePoint::max();
    const std::uint64_t acknowledged = caller.acknowledged;
    Run(world, kInForceBound);
    if (VersionAt(world, kEntry) < acknowledged) {
      Note(caller, "an acknowledged version is not in force");
    }
    caller.open.clear();
  }
  return caller.violation.empty()
             ? ""
             : "seed " + std::to_string(seed) + ": " + caller.violation;
}

}  // namespace

TEST_GROUP(FullDisk){};

TEST(FullDisk, DisksFullOneAfterAnotherStopNoLaterChange) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    STRCMP_EQUAL("", PlayFullDisks(seed, false).c_str());
  }
}

TEST(FullDisk, DisksFullBesideRestartsStopNoLaterChange) {
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    STRCMP_EQUAL("", PlayFullDisks(seed, true).c_str());
  }
}

TEST(FullDisk, ServersAreSavedOnceThereIsRoomAgain) {
  FleetWorld world = MakeWorld(3, 0);
  Run(world, Milliseconds(3000));
  world.full_disks.insert(1);
  Report(world, 1, "a1", 1);
  Run(world, Milliseconds(3000));
  LONGS_EQUAL(0, world.saved[1].servers_size());
  world.full_disks.erase(1);
  Run(world, Milliseconds(2000));
  LONGS_EQUAL(1, world.saved[1].servers_size());
}

TEST(FullDisk, StoredRulesOfAnotherBuildHideNoLaterVersion) {
  FleetWorld world = MakeWorld(3, 2);
  Run(world, Milliseconds(3000));
  CHECK(SubmitUntilAccepted(world, 5));
  for (auto& [id, disk] : world.disks) {
    wire::DurableRecord record = SnapshotRecord(world.controls.at(id).replica);
    record.mutable_state()->mutable_rules()->set_version(7);
    record.mutable_state()->mutable_rules()->set_text(
        "version 7\nodd \xff\xfe\n");
    disk = {record};
  }
  for (InstanceAddress id = 1; id <= 3; ++id) {
    StartControl(world, id, false);
  }
  for (InstanceAddress id = kEntry; id <= kEntry + 1; ++id) {
    StartEntry(world, id);
  }
  Run(world, Milliseconds(4000));
  CHECK(SubmitUntilAccepted(world, 9));
  Run(world, kInForceBound);
  CHECK_EQUAL(9, VersionAt(world, kEntry));
  CHECK(IsReady(world.entries.at(kEntry)));
}
