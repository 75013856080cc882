#include <string>
#include <vector>

#include "Fleet/EntryBalance.h"
#include "FleetWorld.h"
#include "Forwarding/FlowTimes.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr InstanceAddress kFirstEntry = 101;
constexpr InstanceAddress kEntries = 3;
constexpr int kServers = 6;

}  // namespace

/// Durations of flows on their way from entry instances into the records of
/// servers.
TEST_GROUP(ServerSpeeds) {
  FleetWorld world = MakeWorld(3, 0);
  std::uint64_t sequence = 1;
  std::uint64_t message_bytes = 0;  ///< Of flow outcomes.
  std::uint64_t messages_with_times = 0;

  void Start(bool by_load) {
    this->world = MakeWorld(0, 0);
    this->world.config.balance_by_load = by_load;
    this->world.config.seeds = {1, 2, 3};
    for (InstanceAddress id = 1; id <= 3; ++id) {
      StartControl(this->world, id, true);
    }
    for (InstanceAddress i = 0; i < kEntries; ++i) {
      StartEntry(this->world, kFirstEntry + i);
    }
    this->world.on_send = [this](InstanceAddress, const SendMessage& effect) {
      this->CountTimes(effect.message);
    };
    CHECK(SubmitUntilAccepted(this->world, 1));
    this->ReportAll();
    Run(this->world, Milliseconds(500));
  }

  void CountTimes(const wire::FleetMessage& message) {
    const wire::Outcomes& outcomes = message.has_subscribe()
                                         ? message.subscribe().outcomes()
                                         : message.outcomes();
    for (const wire::ServerOutcome& outcome : outcomes.servers()) {
      const bool timed = outcome.timed() > 0 || outcome.duration_ms() > 0;
      this->messages_with_times += timed ? 1 : 0;
    }
    this->message_bytes += outcomes.ByteSizeLong();
  }

  void ReportAll() {
    for (int i = 0; i < kServers; ++i) {
      Report(this->world, 1 + static_cast<InstanceAddress>(i % 3),
             "a" + std::to_string(i), this->sequence);
    }
    this->sequence += 1;
  }

  /// Ends flows at all entry instances for a time: each server gets 5 flows a
  /// second from each. Those of "a1" take `duration_of_a1`.
  void RunFlows(Milliseconds time, Milliseconds duration_of_a1) {
    constexpr Milliseconds kStep{200};
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      for (auto& [id, entry] : this->world.entries) {
        Forwarder& forwarder = entry.forwarder;
        for (const auto& [name, index] : forwarder.placement.by_id) {
          const Milliseconds duration =
              name == "a1" ? duration_of_a1 : Milliseconds(30);
          const OpenFlow flow{.server = index,
                              .opened_at = this->world.now - duration,
                              .answered = true};
          forwarder.outcomes.unreported[index].served += 1;
          RecordFlowTime(forwarder, flow, this->world.now);
        }
      }
      if (passed % Milliseconds(1000) == Milliseconds(0)) {
        this->ReportAll();
      }
      Run(this->world, kStep);
    }
  }

  double SlownessAt(InstanceAddress entry) {
    const Placement& placement =
        this->world.entries.at(entry).forwarder.placement;
    return placement.servers[placement.by_id.at("a1")].slowness;
  }
};

/// Each entry instance reports to one control instance, and sees too few flows
/// of a server to know that it is slow.
TEST(ServerSpeeds, ASlowServerIsKnownEverywhereAndLaterCleared) {
  this->Start(true);
  this->RunFlows(Milliseconds(4000), Milliseconds(30));
  for (const auto& [id, entry] : this->world.entries) {
    DOUBLES_EQUAL(1, this->SlownessAt(id), 0);
  }
  this->RunFlows(Milliseconds(5000), Milliseconds(160));
  for (const auto& [id, entry] : this->world.entries) {
    CHECK(this->SlownessAt(id) >= 3);
  }
  for (const auto& [id, control] : this->world.controls) {
    CHECK(control.registry.servers.at("a1").record.slowness_percent() >= 300);
    LONGS_EQUAL(0, control.registry.servers.at("a2").record.slowness_percent());
  }
  this->RunFlows(Milliseconds(8000), Milliseconds(30));
  for (const auto& [id, entry] : this->world.entries) {
    DOUBLES_EQUAL(1, this->SlownessAt(id), 0);
  }
}

/// Without the setting, messages are those of builds without the fields.
TEST(ServerSpeeds, NothingIsReportedWithoutTheSetting) {
  this->Start(false);
  this->RunFlows(Milliseconds(6000), Milliseconds(160));
  LONGS_EQUAL(0, this->messages_with_times);
  for (const auto& [id, control] : this->world.controls) {
    LONGS_EQUAL(0, control.registry.servers.at("a1").record.slowness_percent());
    LONGS_EQUAL(0, control.speeds.stats.servers.size());
  }
  DOUBLES_EQUAL(1, this->SlownessAt(kFirstEntry), 0);
}

/// A mark that only one control instance made must not stay at an entry
/// instance that follows another one.
TEST(ServerSpeeds, AMarkOfAnEarlierPrimaryDoesNotStay) {
  this->Start(true);
  this->RunFlows(Milliseconds(1000), Milliseconds(30));
  EntryInstance& entry = this->world.entries.at(kFirstEntry);
  const InstanceAddress primary = entry.primary;
  SetSlowness(this->world.controls.at(primary).registry, "a1", 500);
  PeerMessage message{.from = primary};
  wire::Update& update = *message.message.mutable_update();
  update.set_fresh(true);
  *update.add_servers() = entry.registry.servers.at("a1").record;
  update.mutable_servers(0)->set_slowness_percent(500);
  Apply(this->world, kFirstEntry, EntryEvent(message));
  DOUBLES_EQUAL(5, this->SlownessAt(kFirstEntry), 0);
  // The others were followed before, so that they would send changes only.
  for (const auto& [id, control] : this->world.controls) {
    entry.sources.at(id).position = {.epoch = control.config.incarnation,
                                     .change = control.registry.change};
  }
  this->world.down.insert(primary);
  Run(this->world, Milliseconds(3000));
  CHECK(entry.primary != primary);
  DOUBLES_EQUAL(1, this->SlownessAt(kFirstEntry), 0);
}

/// The primary's decision counts also if its record of the server is older than
/// one that the entry instance has from another control instance.
TEST(ServerSpeeds, SlownessCountsAlsoInAnOlderRecordOfThePrimary) {
  this->Start(true);
  EntryInstance& entry = this->world.entries.at(kFirstEntry);
  PeerMessage message{.from = entry.primary};
  wire::Update& update = *message.message.mutable_update();
  wire::ServerRecord& record = *update.add_servers();
  record = entry.registry.servers.at("a1").record;
  record.set_sequence(0);
  record.set_slowness_percent(300);
  Apply(this->world, kFirstEntry, EntryEvent(message));
  DOUBLES_EQUAL(3, this->SlownessAt(kFirstEntry), 0);
  // A record of another incarnation says nothing about this one.
  record.set_incarnation(0);
  record.set_slowness_percent(500);
  Apply(this->world, kFirstEntry, EntryEvent(message));
  DOUBLES_EQUAL(3, this->SlownessAt(kFirstEntry), 0);
}

/// Durations of downloads tell the size of what is downloaded, and unanswered
/// flows have none.
TEST(ServerSpeeds, DownloadsAndUnansweredFlowsAreNotTimed) {
  this->Start(true);
  Forwarder& forwarder = this->world.entries.at(kFirstEntry).forwarder;
  forwarder.outcomes.unreported.clear();
  RecordFlowTime(forwarder, OpenFlow{.answered = true, .download = true},
                 this->world.now);
  RecordFlowTime(forwarder, OpenFlow{.answered = false}, this->world.now);
  LONGS_EQUAL(0, forwarder.outcomes.unreported.size());
}

/// Bytes of the state, which docs/design/0013-balance.md states: each server
/// adds at most 6 bytes to what an entry instance reports in one poll.
TEST(ServerSpeeds, DurationsAddFewBytes) {
  wire::ServerOutcome outcome;
  outcome.set_id("i-7f3a91c200");
  outcome.set_served(1);
  const std::size_t without = outcome.ByteSizeLong();
  outcome.set_timed(1);
  outcome.set_duration_ms(1500);
  CHECK(outcome.ByteSizeLong() <= without + 6);
}

/// The operator is told when flows leave a data centre and when they return.
TEST(ServerSpeeds, DiversionsAreLoggedOnce) {
  this->Start(true);
  EntryInstance& entry = this->world.entries.at(kFirstEntry);
  Placement& placement = entry.forwarder.placement;
  wire::ServerRecord remote;
  remote.set_id("b7");
  remote.set_service("proof");
  remote.set_ip(77);
  remote.set_port(80);
  remote.set_slots(2);
  remote.set_incarnation(1);
  remote.set_data_centre("elsewhere");
  UpdateServer(placement, remote, this->world.now);
  RefreshUsable(placement);
  const ServiceIndex service = placement.services.at("proof");
  const std::uint32_t here =
      placement.servers[placement.by_id.at("a1")].data_centre;
  const auto end_flows = [&](int flows, Milliseconds duration) {
    for (int i = 0; i < flows; ++i) {
      this->world.now += Milliseconds(20);
      RecordLoad(placement.loads, service, here, duration, this->world.now);
    }
  };
  std::vector<EntryEffect> effects;
  end_flows(200, Milliseconds(30));
  LogDiversions(entry, this->world.now, effects);
  LONGS_EQUAL(0, effects.size());
  end_flows(60, Milliseconds(140));
  LogDiversions(entry, this->world.now, effects);
  LogDiversions(entry, this->world.now, effects);
  LONGS_EQUAL(1, effects.size());
  CHECK(std::get<LogRecord>(effects[0]).id == EventId::kDataCentreDiverted);
  end_flows(600, Milliseconds(30));
  LogDiversions(entry, this->world.now, effects);
  LONGS_EQUAL(2, effects.size());
  CHECK(std::get<LogRecord>(effects[1]).id == EventId::kDataCentreNotDiverted);
}
