#include <memory>

#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

/// Tests that no instance answers from a state that it only believes to be
/// current.
using namespace filbertwall;

namespace {

constexpr Milliseconds kStartTime{4000};
constexpr std::uint64_t kOldVersion = 5;
constexpr std::uint64_t kNewVersion = 9;

using MessageFilter = std::function<bool(const wire::FleetMessage&)>;

/// From now on, loses the messages that `filter` selects.
void Lose(FleetWorld& world, const MessageFilter& filter) {
  const auto lost = std::make_shared<bool>(false);
  world.on_send = [lost, filter](InstanceAddress, const SendMessage& effect) {
    *lost = filter(effect.message);
  };
  world.is_lost = [lost](InstanceAddress, InstanceAddress) { return *lost; };
}

void LoseNothing(FleetWorld& world) {
  Lose(world, [](const wire::FleetMessage&) { return false; });
}

AnswerCall Read(FleetWorld& world, InstanceAddress at) {
  const CallId call = world.next_call++;
  Apply(world, at, ControlInstanceEvent(RulesRead{.call = call}));
  return world.answers.at(call);
}

bool IsOlderAnswer(const AnswerCall& answer) {
  return answer.verdict == CallVerdict::kAccepted &&
         answer.rules.version() < kNewVersion;
}

/// Has the leader acknowledge `kNewVersion` and stops all control instances
/// before a heartbeat says that it is committed. Returns the leader.
InstanceAddress StopAllAsTheAckArrives(FleetWorld& world) {
  const InstanceAddress leader = FindLeader(world);
  const std::uint64_t seq = world.controls.at(leader).replica.committed.seq();
  Lose(world, [seq](const wire::FleetMessage& message) {
    return message.control().heartbeat().committed_seq() > seq ||
           message.update().rules_version() == kNewVersion;
  });
  const CallId call = Submit(world, leader, kNewVersion);
  DeliverAll(world);
  CHECK(world.answers.at(call).verdict == CallVerdict::kAccepted);
  for (const auto& [id, control] : world.controls) {
    world.down.insert(id);
  }
  Run(world, Milliseconds(2000));
  return leader;
}

}  // namespace

TEST_GROUP(FreshState) {
  FleetWorld world = MakeWorld(3, 3);

  void setup() override {
    Run(this->world, kStartTime);
    CHECK(SubmitUntilAccepted(this->world, kOldVersion));
    Run(this->world, Milliseconds(1000));
  }
};

/// Guards against a new leader that answers reads, and control instances that
/// tell entry instances that their rules are the newest, before an acknowledged
/// version that an earlier leader left open is committed again.
TEST(FreshState, NoOlderVersionIsReadAfterAllStoppedAsTheAckArrived) {
  const InstanceAddress old_leader = StopAllAsTheAckArrives(this->world);
  int fresh_and_older = 0;
  Lose(this->world, [&fresh_and_older](const wire::FleetMessage& message) {
    const wire::Update& update = message.update();
    if (update.fresh() && update.rules_version() < kNewVersion) {
      fresh_and_older += 1;
    }
    return message.control().has_accept();
  });
  for (auto& [id, control] : std::map(this->world.controls)) {
    if (id != old_leader) {
      StartControl(this->world, id, false);
    }
  }
  for (int step = 0; step < 400; ++step) {
    Run(this->world, Milliseconds(5));
    for (const auto& [id, control] : this->world.controls) {
      CHECK_FALSE(!this->world.down.contains(id) &&
                  IsOlderAnswer(Read(this->world, id)));
    }
  }
  CHECK(FindLeader(this->world) != 0);
  LONGS_EQUAL(0, fresh_and_older);
  LoseNothing(this->world);
  Run(this->world, Milliseconds(2000));
  const AnswerCall answer = Read(this->world, FindLeader(this->world));
  CHECK(answer.verdict == CallVerdict::kAccepted);
  CHECK_EQUAL(kNewVersion, answer.rules.version());
}
