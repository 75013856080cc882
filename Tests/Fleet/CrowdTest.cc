#include <deque>
#include <string>

#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

/// Simulates a fleet of 300 instances. After a restart of all of them, or when
/// new rules are accepted, all entry instances request contents at once, which
/// may overload the control instances. The processor time of a control instance
/// is limited, and each message that it receives, builds, encodes or sends
/// costs a part of it.
using namespace filbertwall;

namespace {

constexpr InstanceAddress kControls = 6;
constexpr InstanceAddress kEntries = 294;
constexpr InstanceAddress kFirstEntry = 101;
constexpr int kServers = 600;
constexpr int kRoutes = 1300;
constexpr Milliseconds kStep{1};

/// Share of a processor that each control instance has.
constexpr double kProcessorShare = 0.3;
constexpr double kReceiveUs = 20;
constexpr double kSendUs = 30;
/// Cost to build, encode and compress one byte of a message.
constexpr double kByteUs = 0.03;
/// Number of messages that the socket buffer of a control instance holds;
/// further ones are lost.
constexpr std::size_t kMaxInboxSize = 4000;
/// Messages that the event loop receives before it checks its timers.
constexpr int kReceiveBatch = 64;

/// Event loop of a control instance.
struct EventLoop {
  std::deque<FleetWorld::InFlightMessage> inbox;
  double busy_us = 0;  ///< Work carried over from earlier steps.
};

struct SimulatedFleet {
  FleetWorld world;
  std::map<InstanceAddress, EventLoop> loops;
  double spent_us = 0;  ///< Cost of the current loop iteration.
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

void CountSendCost(SimulatedFleet& fleet) {
  fleet.world.on_send = [&fleet](InstanceAddress from,
                                 const SendMessage& effect) {
    if (fleet.loops.contains(from)) {
      fleet.spent_us += kSendUs + kByteUs * static_cast<double>(
                                                effect.message.ByteSizeLong());
    }
  };
}

/// Runs one control instance until it is idle or the processor time of this
/// step is used up.
void RunEventLoop(SimulatedFleet& fleet, InstanceAddress id) {
  EventLoop& loop = fleet.loops.at(id);
  const double step_us = kProcessorShare * 1000 * kStep.count();
  loop.busy_us = std::max(0.0, loop.busy_us - step_us);
  while (loop.busy_us <= 0) {
    ControlInstance& instance = fleet.world.controls.at(id);
    const bool due = fleet.world.now >= NextDue(instance);
    if (loop.inbox.empty() && !due) {
      return;
    }
    fleet.spent_us = 0;
    for (int i = 0; i < kReceiveBatch && !loop.inbox.empty(); ++i) {
      FleetWorld::InFlightMessage in_flight = std::move(loop.inbox.front());
      loop.inbox.pop_front();
      fleet.spent_us += kReceiveUs;
      Apply(fleet.world, id,
            ControlInstanceEvent(
                PeerMessage{.from = in_flight.from,
                            .message = std::move(in_flight.message.message)}));
    }
    if (fleet.world.now >= NextDue(instance)) {
      fleet.spent_us += kReceiveUs;
      Apply(fleet.world, id, ControlInstanceTick{});
    }
    loop.busy_us += fleet.spent_us;
  }
}

void DeliverMessages(SimulatedFleet& fleet) {
  std::vector<FleetWorld::InFlightMessage> messages;
  messages.swap(fleet.world.messages_in_flight);
  for (FleetWorld::InFlightMessage& in_flight : messages) {
    const InstanceAddress to = in_flight.message.to;
    const auto loop = fleet.loops.find(to);
    if (loop != fleet.loops.end()) {
      if (loop->second.inbox.size() < kMaxInboxSize) {
        loop->second.inbox.push_back(std::move(in_flight));
      }
    } else if (fleet.world.entries.contains(to)) {
      Apply(fleet.world, to,
            EntryEvent(
                PeerMessage{.from = in_flight.from,
                            .message = std::move(in_flight.message.message)}));
    }
  }
}

/// Sends the reports due in this step: one per server and report interval.
void ReportServers(SimulatedFleet& fleet) {
  const auto interval = fleet.world.config.announce_interval;
  const int per_step = kServers * static_cast<int>(kStep.count()) /
                           static_cast<int>(interval.count()) +
                       1;
  for (int i = 0; i < per_step; ++i) {
    const std::uint64_t number = fleet.sequence++;
    const auto id = static_cast<InstanceAddress>(1 + number % kControls);
    fleet.loops.at(id).busy_us += kReceiveUs + kSendUs;
    Report(fleet.world, id, "a" + std::to_string(number % kServers),
           1 + number / kServers);
  }
}

void RunStep(SimulatedFleet& fleet) {
  fleet.world.now += kStep;
  ReportServers(fleet);
  for (auto& [id, loop] : fleet.loops) {
    RunEventLoop(fleet, id);
  }
  for (auto& [id, instance] : fleet.world.entries) {
    if (fleet.world.now >= NextDue(instance)) {
      Apply(fleet.world, id, EntryTick{});
    }
  }
  DeliverMessages(fleet);
}

void RunFor(SimulatedFleet& fleet, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    RunStep(fleet);
  }
}

std::size_t CountReadyEntries(const SimulatedFleet& fleet) {
  std::size_t ready = 0;
  for (const auto& [id, entry] : fleet.world.entries) {
    ready += IsReady(entry) ? 1 : 0;
  }
  return ready;
}

void SubmitRules(SimulatedFleet& fleet, std::uint64_t version) {
  RulesSubmitted event{.call = fleet.world.next_call++};
  event.file.set_version(version);
  event.file.set_text(ManyRules(version));
  event.file.set_digest("digest" + std::to_string(version));
  Apply(fleet.world, FindLeader(fleet.world), event);
}

void RestartAll(SimulatedFleet& fleet) {
  fleet.world.messages_in_flight.clear();
  for (auto& [id, loop] : fleet.loops) {
    loop = EventLoop{};
  }
  for (InstanceAddress id = 1; id <= kControls; ++id) {
    StartControl(fleet.world, id, false);
  }
  for (InstanceAddress id = kFirstEntry; id < kFirstEntry + kEntries; ++id) {
    StartEntry(fleet.world, id);
  }
}

}  // namespace

TEST_GROUP(Crowd) {
  SimulatedFleet fleet{.world = MakeWorld(kControls, kEntries)};

  void setup() override {
    for (InstanceAddress id = 1; id <= kControls; ++id) {
      this->fleet.loops[id] = EventLoop{};
    }
    CountSendCost(this->fleet);
    RunFor(this->fleet, Milliseconds(3000));
    CHECK(FindLeader(this->fleet.world) != 0);
    SubmitRules(this->fleet, 9);
    RunFor(this->fleet, Milliseconds(3000));
    LONGS_EQUAL(kEntries, CountReadyEntries(this->fleet));
  }
};

TEST(Crowd, RecoversFromAStopOfEverything) {
  RestartAll(this->fleet);
  RunFor(this->fleet, Milliseconds(2000));
  const InstanceAddress leader = FindLeader(this->fleet.world);
  CHECK(leader != 0);
  LONGS_EQUAL(kEntries, CountReadyEntries(this->fleet));
  for (const auto& [id, entry] : this->fleet.world.entries) {
    CHECK_EQUAL(9, VersionAt(this->fleet.world, id));
  }
  for (int i = 0; i < 30; ++i) {
    RunFor(this->fleet, Milliseconds(100));
    CHECK_EQUAL(leader, FindLeader(this->fleet.world));
  }
}

TEST(Crowd, NinetyPercentServeWithinASecondOfARestart) {
  RestartAll(this->fleet);
  RunFor(this->fleet, Milliseconds(1000));
  CHECK(CountReadyEntries(this->fleet) >= kEntries * 9 / 10);
}

TEST(Crowd, NewRulesAreInForceEverywhereWithinTwoSeconds) {
  SubmitRules(this->fleet, 10);
  RunFor(this->fleet, Milliseconds(2000));
  for (const auto& [id, entry] : this->fleet.world.entries) {
    CHECK_EQUAL(10, VersionAt(this->fleet.world, id));
  }
}
