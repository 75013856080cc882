#include <algorithm>
#include <map>
#include <string>

#include "Bench/BalanceEmulator.h"
#include "Placement/Capacity.h"
#include "Placement/LoadDraw.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

wire::ServerRecord MakeRecord(std::uint32_t number,
                              const std::string& data_centre) {
  wire::ServerRecord record;
  record.set_id(std::to_string(1000 + number));
  record.set_service("desk");
  record.set_ip(number + 1);
  record.set_port(80);
  record.set_slots(2);
  record.set_data_centre(data_centre);
  record.set_incarnation(1);
  return record;
}

double Share(std::uint32_t part, std::uint32_t whole) {
  return static_cast<double>(part) / whole;
}

}  // namespace

/// Placement by the load of data centres and the speed of servers.
TEST_GROUP(Balance) {
  Placement placement{
      .config = {.data_centre = "here", .seed = 5, .balance_by_load = true}};
  TimePoint now = kStart;

  void Add(const wire::ServerRecord& record) {
    UpdateServer(this->placement, record, this->now);
    RefreshUsable(this->placement);
  }

  /// Adds five servers here and five there.
  void AddTen() {
    for (std::uint32_t i = 0; i < 10; ++i) {
      this->Add(MakeRecord(i, i % 2 == 0 ? "here" : "there"));
    }
  }

  /// Records flows of one data centre that end every 20 ms.
  void EndFlows(std::uint32_t data_centre, int flows, Milliseconds duration) {
    for (int i = 0; i < flows; ++i) {
      this->now += Milliseconds(20);
      RecordLoad(this->placement.loads, 0, data_centre, duration, this->now);
    }
  }

  /// Returns the share of new flows that `is_counted` accepts.
  template <typename Predicate>
  double ShareOfChoices(Predicate is_counted) {
    constexpr int kFlows = 4000;
    int counted = 0;
    for (int i = 0; i < kFlows; ++i) {
      const auto chosen =
          ChooseServer(this->placement, PlacementRequest{}, this->now);
      counted += is_counted(this->placement.servers[*chosen]) ? 1 : 0;
    }
    return static_cast<double>(counted) / kFlows;
  }

  double RemoteShare() {
    return this->ShareOfChoices(
        [](const PlacedServer& server) { return !server.local; });
  }
};

/// Near servers first: flows that leave a data centre that has capacity make
/// their callers wait for the network.
TEST(Balance, NothingIsDivertedWithoutLoad) {
  this->AddTen();
  this->EndFlows(0, 200, Milliseconds(30));
  DOUBLES_EQUAL(0, this->RemoteShare(), 0);
  LONGS_EQUAL(0, this->placement.diverted_flows);
}

/// A data centre that is full as a whole has no server that stands out.
TEST(Balance, DivertedShareRisesWithTheLoad) {
  this->AddTen();
  this->EndFlows(0, 200, Milliseconds(30));
  this->EndFlows(0, 60, Milliseconds(54));
  const double moderate = this->RemoteShare();
  CHECK(moderate > 0.05);
  CHECK(moderate < 0.35);
  this->EndFlows(0, 60, Milliseconds(140));
  const double high = this->RemoteShare();
  CHECK(high > moderate + 0.2);
  CHECK(this->placement.diverted_flows > 0);
  // Some flows stay, and measure when the load has gone.
  CHECK(high <= 0.93);
}

/// Flows that two equally loaded data centres exchange gain nothing.
TEST(Balance, NothingIsDivertedWhenAllAreEquallyLoaded) {
  this->AddTen();
  for (std::uint32_t data_centre = 0; data_centre < 2; ++data_centre) {
    this->EndFlows(data_centre, 200, Milliseconds(30));
  }
  for (int i = 0; i < 100; ++i) {
    this->EndFlows(0, 1, Milliseconds(100));
    this->EndFlows(1, 1, Milliseconds(100));
  }
  CHECK(this->RemoteShare() < 0.05);
}

/// The network to a distant data centre is no load that keeps flows from it
/// while the own one is full.
TEST(Balance, FlowsAreDivertedToADistantDataCentre) {
  this->AddTen();
  this->EndFlows(0, 200, Milliseconds(30));
  for (int i = 0; i < 40; ++i) {
    this->EndFlows(0, 10, Milliseconds(140));
    this->EndFlows(1, 1, Milliseconds(130));
  }
  CHECK(this->RemoteShare() > 0.3);
}

/// Nothing is known of a data centre that never got a flow, and nothing would
/// ever be if none were sent there.
TEST(Balance, AnUnknownDataCentreGetsFlowsOfALoadedOne) {
  this->AddTen();
  this->EndFlows(0, 200, Milliseconds(30));
  this->EndFlows(0, 200, Milliseconds(150));
  CHECK(this->RemoteShare() > 0.3);
}

/// The load is measured with flows, which end when nothing is sent any more: an
/// old measurement must not divert for ever.
TEST(Balance, AnOutdatedLoadDivertsNothing) {
  this->AddTen();
  this->EndFlows(0, 200, Milliseconds(30));
  this->EndFlows(0, 60, Milliseconds(140));
  CHECK(this->RemoteShare() > 0.3);
  this->now += std::chrono::seconds(60);
  DOUBLES_EQUAL(0, this->RemoteShare(), 0);
}

/// A data centre that is cut off or has no servers left is no place to divert
/// to, and doesn't count as the least loaded one.
TEST(Balance, NothingIsDivertedToALostDataCentre) {
  this->AddTen();
  this->EndFlows(0, 200, Milliseconds(30));
  this->EndFlows(0, 60, Milliseconds(140));
  this->placement.data_centres[1].avoid_until =
      this->now + std::chrono::seconds(60);
  DOUBLES_EQUAL(0, this->RemoteShare(), 0);
  DOUBLES_EQUAL(0,
                UpdateLoadView(this->placement, 0, this->now + Milliseconds(30))
                    .data_centres[0]
                    .diverted_share,
                0);
}

/// A request in thirty takes seven times as long: such work is no load.
TEST(Balance, FewLongRequestsDivertLittle) {
  this->AddTen();
  double highest = 0;
  for (int i = 0; i < 1500; ++i) {
    this->EndFlows(0, 1, Milliseconds(i % 30 == 7 ? 238 : 34));
    const LoadView& view =
        UpdateLoadView(this->placement, 0, this->now + Milliseconds(30));
    highest = std::max(highest, view.data_centres[0].diverted_share);
  }
  CHECK(highest < 0.05);
}

/// A slow server that gets as many flows as the others holds them up; one that
/// gets none is never seen to be well again.
TEST(Balance, ASlowServerGetsFewFlows) {
  for (std::uint32_t i = 0; i < 5; ++i) {
    wire::ServerRecord record = MakeRecord(i, "here");
    record.set_slowness_percent(i == 0 ? 500 : 0);
    this->Add(record);
  }
  const double share = this->ShareOfChoices(
      [](const PlacedServer& server) { return server.slowness > 1; });
  CHECK(share > 0.2 / 30);
  CHECK(share < 0.2 / 4);
}

/// When all servers are needed, a slow one is worth its speed.
TEST(Balance, ASlowServerGetsMoreFlowsUnderLoad) {
  for (std::uint32_t i = 0; i < 5; ++i) {
    wire::ServerRecord record = MakeRecord(i, "here");
    record.set_slowness_percent(i == 0 ? 200 : 0);
    this->Add(record);
  }
  const auto is_slow = [](const PlacedServer& server) {
    return server.slowness > 1;
  };
  const double idle = this->ShareOfChoices(is_slow);
  this->EndFlows(0, 200, Milliseconds(30));
  this->EndFlows(0, 60, Milliseconds(140));
  CHECK(this->ShareOfChoices(is_slow) > 1.6 * idle);
}

/// All servers slow or diverted from still serve.
TEST(Balance, ASlowServerIsChosenWithoutAlternative) {
  wire::ServerRecord record = MakeRecord(0, "here");
  record.set_slowness_percent(500);
  this->Add(record);
  CHECK(
      ChooseServer(this->placement, PlacementRequest{}, this->now).has_value());
}

/// Equal servers get equal shares also if they follow servers that cost more in
/// the order of the list.
TEST(Balance, EqualServersGetEqualShares) {
  for (std::uint32_t i = 0; i < 12; ++i) {
    this->Add(MakeRecord(i, i < 9 ? "there" : "here"));
  }
  std::map<std::string, int> chosen;
  constexpr int kFlows = 3000;
  for (int i = 0; i < kFlows; ++i) {
    const auto index =
        ChooseServer(this->placement, PlacementRequest{}, this->now);
    chosen[this->placement.servers[*index].id] += 1;
  }
  LONGS_EQUAL(3, chosen.size());
  for (const auto& [id, count] : chosen) {
    CHECK(count > kFlows / 3 * 0.85);
    CHECK(count < kFlows / 3 * 1.15);
  }
}

/// Without the setting, records of instances that have it change no choice.
TEST(Balance, SlownessIsIgnoredWithoutTheSetting) {
  this->placement.config.balance_by_load = false;
  wire::ServerRecord record = MakeRecord(0, "here");
  record.set_slowness_percent(500);
  this->Add(record);
  DOUBLES_EQUAL(1, this->placement.servers[0].slowness, 0);
  this->EndFlows(0, 200, Milliseconds(30));
  this->EndFlows(0, 60, Milliseconds(140));
  this->Add(MakeRecord(1, "there"));
  DOUBLES_EQUAL(0, this->RemoteShare(), 0);
}

TEST_GROUP(Capacity) {
  Placement placement{
      .config = {.data_centre = "here", .seed = 5, .balance_by_load = true}};

  void Add(const wire::ServerRecord& record) {
    UpdateServer(this->placement, record, kStart);
    RefreshUsable(this->placement);
  }

  /// Adds a warm server here and a cold one there, of a service whose flows
  /// take 30 ms and whose cold servers get 20 flows a second at most.
  void AddWarmAndCold() {
    this->Add(MakeRecord(0, "here"));
    wire::ServerRecord cold = MakeRecord(1, "there");
    cold.set_warmup_ms(5000);
    this->Add(cold);
    SetWarmupLimits(this->placement.warmup,
                    {{.duration = Milliseconds(5000), .flows_per_second = 20}});
    for (int i = 0; i < 50; ++i) {
      RecordLoad(this->placement.loads, 0, 0, Milliseconds(30), kStart);
    }
  }
};

/// Admission control would admit too much if servers that are slow, cold, lost
/// or cut off counted in full.
TEST(Capacity, CountsServersByWhatTheyCanDo) {
  for (std::uint32_t i = 0; i < 6; ++i) {
    this->Add(MakeRecord(i, i < 4 ? "here" : "there"));
  }
  DOUBLES_EQUAL(12, CapacityOf(this->placement, 0, kStart), 0.001);
  wire::ServerRecord slow = MakeRecord(0, "here");
  slow.set_slowness_percent(200);
  this->Add(slow);
  DOUBLES_EQUAL(11, CapacityOf(this->placement, 0, kStart), 0.001);
  wire::ServerRecord cold = MakeRecord(1, "here");
  cold.set_warmup_ms(5000);
  this->Add(cold);
  DOUBLES_EQUAL(9 + 2 / kWarmupFactor, CapacityOf(this->placement, 0, kStart),
                0.001);
  DOUBLES_EQUAL(11, CapacityOf(this->placement, 0, kStart + Milliseconds(5001)),
                0.001);
  this->placement.servers[2].avoid_until = kStart + Milliseconds(300);
  DOUBLES_EQUAL(7 + 2 / kWarmupFactor, CapacityOf(this->placement, 0, kStart),
                0.001);
  this->placement.data_centres[1].avoid_until = kStart + Milliseconds(300);
  DOUBLES_EQUAL(3 + 2 / kWarmupFactor, CapacityOf(this->placement, 0, kStart),
                0.001);
  wire::ServerRecord silent = MakeRecord(3, "here");
  silent.set_silent(true);
  this->Add(silent);
  DOUBLES_EQUAL(1 + 2 / kWarmupFactor, CapacityOf(this->placement, 0, kStart),
                0.001);
}

/// A cold server that counts in full makes admission control admit flows that
/// its limit refuses.
TEST(Capacity, AColdServerOfALimitedServiceCountsAsItsLimit) {
  this->AddWarmAndCold();
  const double limited = 20 * 30 / 1200.0;
  DOUBLES_EQUAL(2 + limited, CapacityOf(this->placement, 0, kStart), 0.001);
  DOUBLES_EQUAL(4, CapacityOf(this->placement, 0, kStart + Milliseconds(5000)),
                0.001);
  // A server is worth no more than its slots.
  SetWarmupLimits(this->placement.warmup,
                  {{.duration = Milliseconds(5000), .flows_per_second = 1000}});
  DOUBLES_EQUAL(2 + 2 / kWarmupFactor, CapacityOf(this->placement, 0, kStart),
                0.001);
}

/// Queues lengthen the flows, and add no capacity.
TEST(Capacity, TheLimitIsNotWorthMoreUnderLoad) {
  this->AddWarmAndCold();
  const double before = CapacityOf(this->placement, 0, kStart);
  for (int i = 0; i < 50; ++i) {
    RecordLoad(this->placement.loads, 0, 0, Milliseconds(120), kStart);
    RecordLoad(this->placement.loads, 0, 1, Milliseconds(120), kStart);
  }
  DOUBLES_EQUAL(before, CapacityOf(this->placement, 0, kStart), 0.001);
}

/// Without a measured duration the worth of a limit is not known; the lower
/// bound keeps the warm servers.
TEST(Capacity, ALimitCountsNothingBeforeTheDurationIsKnown) {
  this->AddWarmAndCold();
  this->placement.loads = {};
  DOUBLES_EQUAL(2, CapacityOf(this->placement, 0, kStart), 0.001);
}

/// The limit holds for all instances together. If only own leases counted, the
/// capacity would change with each grant.
TEST(Capacity, OwnLeasesDoNotMatter) {
  this->AddWarmAndCold();
  WarmupBudget& budget = this->placement.warmup;
  const double without = CapacityOf(this->placement, 0, kStart);
  TakeWarmupLease(budget, 1, 1, 20, kStart, kStart);
  DOUBLES_EQUAL(without, CapacityOf(this->placement, 0, kStart), 0);
  const TimePoint expired = kStart + budget.timing.lease;
  DOUBLES_EQUAL(without, CapacityOf(this->placement, 0, expired), 0);
}

/// Without a leader that grants leases, nobody may use the cold servers.
TEST(Capacity, ALimitCountsNothingWithoutGrants) {
  this->AddWarmAndCold();
  WarmupBudget& budget = this->placement.warmup;
  const double before = CapacityOf(this->placement, 0, kStart);
  budget.unanswered_since = kStart;
  const TimePoint lacking = kStart + budget.timing.lease;
  // A lost message does not count.
  DOUBLES_EQUAL(before,
                CapacityOf(this->placement, 0, lacking - Milliseconds(1)), 0);
  DOUBLES_EQUAL(2, CapacityOf(this->placement, 0, lacking), 0);
  budget.unanswered_since = TimePoint::max();
  DOUBLES_EQUAL(before, CapacityOf(this->placement, 0, lacking), 0);
}

TEST(Capacity, AnUnknownServiceHasNone) {
  DOUBLES_EQUAL(0, CapacityOf(this->placement, 7, kStart), 0);
}

/// What callers get with entry instances that see only their own flows.
TEST_GROUP(BalanceEmulator){
    /// Returns the difference between the highest and the lowest share that
    /// left
    /// data centre 0, from the given second on.
    static double RangeOfRemoteShare(const BalanceOutcome& outcome,
                                     std::size_t first){
        const auto [lowest, highest] = std::minmax_element(
            outcome.remote_share.begin() + static_cast<std::ptrdiff_t>(first),
            outcome.remote_share.end());
return *highest - *lowest;
}
}
;

/// Half of the callers move to one data centre, whose servers then are asked
/// for 1.25 times their capacity while those of the others have room.
TEST(BalanceEmulator, CallersThatMoveAreServedElsewhere) {
  const BalanceScenario scenario{.demand = DemandPattern::kShift};
  const BalanceOutcome before = SimulateBalance(scenario, false);
  const BalanceOutcome outcome = SimulateBalance(scenario, true);
  CHECK(Share(before.in_time, before.asked) < 0.93);
  CHECK(Share(outcome.in_time, outcome.asked) > 0.985);
  CHECK(Share(outcome.in_time_at_0, outcome.asked_at_0) > 0.975);
}

/// The shares of one second vary by chance by 0.02 (standard deviation); a
/// share that jumps between none and all would vary by 0.9.
TEST(BalanceEmulator, TheShareSentElsewhereDoesNotOscillate) {
  const BalanceOutcome outcome =
      SimulateBalance({.demand = DemandPattern::kShift}, true);
  constexpr std::size_t kSettledSecond = 4;
  CHECK(RangeOfRemoteShare(outcome, kSettledSecond) < 0.25);
  CHECK(MeanStep(outcome.remote_share, kSettledSecond) < 0.07);
}

/// Demand that rises and falls within 13 s, out of phase.
TEST(BalanceEmulator, WavesAreServedWhereCapacityIs) {
  const BalanceScenario scenario{.load = 0.7, .demand = DemandPattern::kWaves};
  const BalanceOutcome before = SimulateBalance(scenario, false);
  const BalanceOutcome outcome = SimulateBalance(scenario, true);
  CHECK(Share(before.in_time, before.asked) < 0.94);
  CHECK(Share(outcome.in_time, outcome.asked) > 0.965);
  // The share follows the wave without steps, and returns to nothing.
  CHECK(MeanStep(outcome.remote_share, 0) < 0.08);
  const double lowest = *std::min_element(outcome.remote_share.begin(),
                                          outcome.remote_share.end());
  CHECK(lowest < 0.02);
}

/// A third of the servers takes five times as long.
TEST(BalanceEmulator, SlowServersAreFoundAndNoOthers) {
  const BalanceScenario scenario{.load = 0.2, .slow_servers = 3};
  const BalanceOutcome before = SimulateBalance(scenario, false);
  const BalanceOutcome outcome = SimulateBalance(scenario, true);
  LONGS_EQUAL(12, outcome.slow_servers_marked);
  LONGS_EQUAL(0, outcome.wrong_marks);
  // Marks change by steps while a server becomes slow, and then stay.
  CHECK(outcome.marks < 60);
  CHECK(Share(outcome.in_time, outcome.asked) >=
        Share(before.in_time, before.asked));
}

/// 3 % of the work takes seven times as long at all servers alike.
TEST(BalanceEmulator, HeavyTailedWorkMarksNoServer) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (const double load : {0.2, 0.4, 0.6}) {
      const BalanceOutcome outcome = SimulateBalance(
          {.seed = seed, .heavy_share = 0.03, .load = load}, true);
      LONGS_EQUAL(0, outcome.marks);
    }
  }
}

/// Most servers of the busiest data centre are lost at the peak.
TEST(BalanceEmulator, ServersLostAtThePeakAreReplacedByOthers) {
  const BalanceScenario scenario{.demand = DemandPattern::kShift,
                                 .lost_servers = 5};
  const BalanceOutcome before = SimulateBalance(scenario, false);
  const BalanceOutcome outcome = SimulateBalance(scenario, true);
  CHECK(Share(outcome.in_time, outcome.asked) > 0.98);
  CHECK(Share(outcome.in_time, outcome.asked) >
        Share(before.in_time, before.asked));
}

/// The busiest data centre loses all its servers.
TEST(BalanceEmulator, ALostDataCentreGetsNothing) {
  const BalanceScenario scenario{
      .load = 0.4, .demand = DemandPattern::kShift, .lost_servers = 9};
  const BalanceOutcome outcome = SimulateBalance(scenario, true);
  CHECK(Share(outcome.in_time, outcome.asked) > 0.985);
  CHECK(outcome.remote_share.back() > 0.95);
}
