#include <deque>
#include <string>

#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

/// A stop of everything at the size of hundreds of instances, with control
/// instances whose processor time is bounded: each message that they take,
/// build, encode and send costs some of it.
using namespace filbertwall;

namespace {

constexpr InstanceAddress kControls = 6;
constexpr InstanceAddress kEntries = 294;
constexpr InstanceAddress kFirstEntry = 101;
constexpr int kServers = 600;
constexpr int kRoutes = 1300;
constexpr Milliseconds kStep{1};

/// A control instance runs this share of the time.
constexpr double kProcessorShare = 0.3;
constexpr double kTakeUs = 20;
constexpr double kSendUs = 30;
/// To build, encode and compress one byte of a message.
constexpr double kByteUs = 0.03;
/// Messages that wait in the socket of one control instance.
constexpr std::size_t kMostWaiting = 4000;
/// Messages that a loop takes before it looks at its timers.
constexpr int kBatch = 64;

/// A control instance's loop.
struct Loop {
  std::deque<FleetWorld::Letter> inbox;
  double busy_us = 0;  ///< Work done beyond this step.
};

struct Crowd {
  FleetWorld world;
  std::map<InstanceAddress, Loop> loops;
  double spent_us = 0;  ///< By the control instance that runs now.
  Milliseconds since_report{0};
  std::uint64_t sequence = 1;
};

std::string ManyRules(std::uint64_t version) {
  std::string text = "version " + std::to_string(version) +
                     "  # by: test\nservice proof  # by: test\n";
  for (int i = 0; i < kRoutes; ++i) {
    text += "address 10.0." + std::to_string(i / 250) + "." +
            std::to_string(i % 250) + ":80 proof  # by: test\n";
  }
  return text;
}

void CountCost(Crowd& crowd) {
  crowd.world.sent = [&crowd](InstanceAddress from, const SendMessage& effect) {
    if (crowd.loops.contains(from)) {
      crowd.spent_us += kSendUs + kByteUs * static_cast<double>(
                                                effect.message.ByteSizeLong());
    }
  };
}

/// Runs one control instance for as long as it has processor time in this step.
void RunLoop(Crowd& crowd, InstanceAddress id) {
  Loop& loop = crowd.loops.at(id);
  const double step_us = kProcessorShare * 1000 * kStep.count();
  loop.busy_us = std::max(0.0, loop.busy_us - step_us);
  while (loop.busy_us <= 0) {
    ControlInstance& instance = crowd.world.controls.at(id);
    const bool due = crowd.world.now >= NextDue(instance);
    if (loop.inbox.empty() && !due) {
      return;
    }
    crowd.spent_us = 0;
    for (int i = 0; i < kBatch && !loop.inbox.empty(); ++i) {
      const FleetWorld::Letter letter = std::move(loop.inbox.front());
      loop.inbox.pop_front();
      crowd.spent_us += kTakeUs;
      Apply(crowd.world, id,
            ControlInstanceEvent(PeerMessage{
                .from = letter.from, .message = letter.message.message}));
    }
    if (crowd.world.now >= NextDue(instance)) {
      crowd.spent_us += kTakeUs;
      Apply(crowd.world, id, ControlInstanceDue{});
    }
    loop.busy_us += crowd.spent_us;
  }
}

void Carry(Crowd& crowd) {
  std::vector<FleetWorld::Letter> letters;
  letters.swap(crowd.world.letters);
  for (FleetWorld::Letter& letter : letters) {
    const InstanceAddress to = letter.message.to;
    const auto loop = crowd.loops.find(to);
    if (loop != crowd.loops.end()) {
      if (loop->second.inbox.size() < kMostWaiting) {
        loop->second.inbox.push_back(std::move(letter));
      }
    } else if (crowd.world.entries.contains(to)) {
      Apply(crowd.world, to,
            EntryEvent(PeerMessage{.from = letter.from,
                                   .message = letter.message.message}));
    }
  }
}

/// Each server reports once in its interval.
void ReportServers(Crowd& crowd) {
  const auto interval = crowd.world.config.announce_interval;
  const int per_step = kServers * static_cast<int>(kStep.count()) /
                           static_cast<int>(interval.count()) +
                       1;
  for (int i = 0; i < per_step; ++i) {
    const std::uint64_t number = crowd.sequence++;
    const auto id = static_cast<InstanceAddress>(1 + number % kControls);
    crowd.loops.at(id).busy_us += kTakeUs + kSendUs;
    Report(crowd.world, id, "a" + std::to_string(number % kServers),
           1 + number / kServers);
  }
}

void PassStep(Crowd& crowd) {
  crowd.world.now += kStep;
  ReportServers(crowd);
  for (auto& [id, loop] : crowd.loops) {
    RunLoop(crowd, id);
  }
  for (auto& [id, instance] : crowd.world.entries) {
    if (crowd.world.now >= NextDue(instance)) {
      Apply(crowd.world, id, EntryDue{});
    }
  }
  Carry(crowd);
}

void Pass(Crowd& crowd, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    PassStep(crowd);
  }
}

InstanceAddress LeaderOf(const Crowd& crowd) {
  for (const auto& [id, instance] : crowd.world.controls) {
    if (HasLease(instance.replica, crowd.world.now)) {
      return id;
    }
  }
  return 0;
}

std::size_t ReadyEntries(const Crowd& crowd) {
  std::size_t ready = 0;
  for (const auto& [id, entry] : crowd.world.entries) {
    ready += IsReady(entry) ? 1 : 0;
  }
  return ready;
}

void SubmitRules(Crowd& crowd, std::uint64_t version) {
  RulesSubmitted event{.call = crowd.world.next_call++};
  event.file.set_version(version);
  event.file.set_text(ManyRules(version));
  event.file.set_digest("digest" + std::to_string(version));
  Apply(crowd.world, LeaderOf(crowd), event);
}

void StopAndStartAll(Crowd& crowd) {
  crowd.world.letters.clear();
  for (auto& [id, loop] : crowd.loops) {
    loop = Loop{};
  }
  for (InstanceAddress id = 1; id <= kControls; ++id) {
    StartControl(crowd.world, id, false);
  }
  for (InstanceAddress id = kFirstEntry; id < kFirstEntry + kEntries; ++id) {
    StartEntry(crowd.world, id);
  }
}

}  // namespace

TEST_GROUP(Crowd) {
  Crowd crowd{.world = MakeWorld(kControls, kEntries)};

  void setup() override {
    for (InstanceAddress id = 1; id <= kControls; ++id) {
      this->crowd.loops[id] = Loop{};
    }
    CountCost(this->crowd);
    Pass(this->crowd, Milliseconds(3000));
    CHECK(LeaderOf(this->crowd) != 0);
    SubmitRules(this->crowd, 9);
    Pass(this->crowd, Milliseconds(3000));
    LONGS_EQUAL(kEntries, ReadyEntries(this->crowd));
  }
};

TEST(Crowd, RecoversFromAStopOfEverything) {
  StopAndStartAll(this->crowd);
  Pass(this->crowd, Milliseconds(2000));
  const InstanceAddress leader = LeaderOf(this->crowd);
  CHECK(leader != 0);
  LONGS_EQUAL(kEntries, ReadyEntries(this->crowd));
  for (const auto& [id, entry] : this->crowd.world.entries) {
    CHECK_EQUAL(9, VersionAt(this->crowd.world, id));
  }
  for (int i = 0; i < 30; ++i) {
    Pass(this->crowd, Milliseconds(100));
    CHECK_EQUAL(leader, LeaderOf(this->crowd));
  }
}

TEST(Crowd, NineInTenServeWithinASecondOfAStart) {
  StopAndStartAll(this->crowd);
  Pass(this->crowd, Milliseconds(1000));
  CHECK(ReadyEntries(this->crowd) >= kEntries * 9 / 10);
}

TEST(Crowd, NewRulesAreInForceEverywhereWithinTwoSeconds) {
  SubmitRules(this->crowd, 10);
  Pass(this->crowd, Milliseconds(2000));
  for (const auto& [id, entry] : this->crowd.world.entries) {
    CHECK_EQUAL(10, VersionAt(this->crowd.world, id));
  }
}
