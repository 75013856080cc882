#include <algorithm>
#include <string>

#include "Bench/OverloadEmulator.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr OverloadPolicy kTwoCounters{.admission = true};
constexpr OverloadPolicy kClasses{
    .admission = true, .priorities = true, .capacity = true};
constexpr OverloadPolicy kFairCallers{.admission = true,
                                      .priorities = true,
                                      .fair_callers = true,
                                      .capacity = true};
constexpr std::size_t kAllKinds = 4;

/// A fleet that loses a third of its servers when the bursts begin. Before that
/// each instance must have seen enough flows to know their usual duration.
OverloadScenario MakeScenario(std::uint32_t instances) {
  return {.instances = instances,
          .servers = 150,
          .surge_s = 2,
          .calm_s = instances > 100 ? 8.0 : 4.0,
          .evacuated_servers = 50,
          .kinds = UsualAndOtherKinds()};
}

/// Returns a scenario in which a kind, or `kAllKinds`, asks for `factor` times
/// its usual load.
OverloadScenario MakeBurst(std::uint32_t instances, std::size_t kind,
                           double factor) {
  OverloadScenario scenario = MakeScenario(instances);
  for (std::size_t i = 0; i < scenario.kinds.size(); ++i) {
    if (kind == i || kind == kAllKinds) {
      scenario.kinds[i].burst = factor;
    }
  }
  return scenario;
}

/// Returns the load of a kind by the capacity that is left.
double LoadOf(const OverloadScenario& scenario, const OverloadKind& kind) {
  return kind.usual_load * kind.burst * scenario.servers /
         (scenario.servers - scenario.evacuated_servers);
}

double Part(std::uint32_t count, const KindOutcome& kind) {
  return static_cast<double>(count) / std::max(kind.asked, 1U);
}

/// Lowest accepted results. Instances of a larger fleet see fewer flows, so
/// they know less.
struct Bounds {
  double served_in_time =
      0;  ///< Of a kind that fits with the more urgent ones.
  double order_tolerance = 0;
  double shed = 0;
};

void CheckOutcome(const OverloadScenario& scenario, const Bounds& bounds) {
  const OverloadOutcome outcome = SimulateOverload(scenario, kClasses);
  double load = 0;
  for (const OverloadKind& kind : scenario.kinds) {
    load += LoadOf(scenario, kind);
  }
  double load_so_far = 0;
  double more_urgent_in_time = 1;
  for (std::size_t i = 0; i < scenario.kinds.size(); ++i) {
    const KindOutcome& kind = outcome.kinds[i];
    const std::string text =
        scenario.kinds[i].name + " of " + std::to_string(scenario.instances) +
        " instances, load " + std::to_string(load) + ": in time " +
        std::to_string(kind.in_time) + ", late " + std::to_string(kind.late) +
        ", refused " + std::to_string(kind.refused) + ", shed " +
        std::to_string(kind.shed) + ", worked after left " +
        std::to_string(kind.worked_after_left);
    LONGS_EQUAL_TEXT(kind.asked,
                     kind.in_time + kind.late + kind.refused + kind.shed,
                     text.c_str());
    CHECK_TRUE_TEXT(Part(kind.worked_after_left, kind) <= 0.002, text.c_str());
    CHECK_TRUE_TEXT(Part(kind.shed, kind) <= bounds.shed, text.c_str());
    if (load <= 0.7) {
      CHECK_TRUE_TEXT(Part(kind.in_time, kind) >= 0.99, text.c_str());
      CHECK_TRUE_TEXT(Part(kind.refused, kind) <= 0.001, text.c_str());
    }
    if (load <= 0.92) {
      CHECK_TRUE_TEXT(Part(kind.refused, kind) <= 0.005, text.c_str());
    }
    load_so_far += LoadOf(scenario, scenario.kinds[i]);
    if (load_so_far <= 0.8) {
      CHECK_TRUE_TEXT(Part(kind.in_time, kind) >= bounds.served_in_time,
                      text.c_str());
    }
    CHECK_TRUE_TEXT(Part(kind.in_time, kind) <=
                        more_urgent_in_time + bounds.order_tolerance,
                    text.c_str());
    more_urgent_in_time =
        std::min(more_urgent_in_time, Part(kind.in_time, kind));
  }
}

void CheckBursts(std::uint32_t instances, const Bounds& bounds) {
  for (std::size_t kind = 0; kind <= kAllKinds; ++kind) {
    CheckOutcome(MakeBurst(instances, kind, 1.2), bounds);
    CheckOutcome(MakeBurst(instances, kind, 10), bounds);
  }
  CheckOutcome(MakeBurst(instances, kAllKinds, 3), bounds);
  CheckOutcome(MakeBurst(instances, kAllKinds, 5), bounds);
}

double InTime(const CallerOutcome& callers) {
  return static_cast<double>(callers.in_time) / std::max(callers.asked, 1U);
}

/// A scenario in which 4 of 400 callers send 60 % of the requests of a kind.
OverloadScenario MakeUnevenCallers(std::uint32_t instances) {
  OverloadScenario scenario = MakeScenario(instances);
  scenario.kinds = {scenario.kinds[2]};
  scenario.kinds[0].usual_load = 0.2;
  scenario.kinds[0].burst = 7;
  scenario.heavy_callers = 4;
  scenario.heavy_share = 0.6;
  return scenario;
}

}  // namespace

/// Each kind in turn and all together burst while a third of the servers is
/// evacuated. Guards against less urgent kinds that take the capacity of more
/// urgent ones, refusals while servers are free, rejections by full servers,
/// and work for callers that have left.
TEST_GROUP(Kinds){};

TEST(Kinds, AreServedInTheirOrderBy8Instances) {
  CheckBursts(8,
              {.served_in_time = 0.95, .order_tolerance = 0.02, .shed = 0.005});
}

TEST(Kinds, AreServedInTheirOrderBy76Instances) {
  CheckBursts(76,
              {.served_in_time = 0.9, .order_tolerance = 0.03, .shed = 0.03});
}

TEST(Kinds, AreServedInTheirOrderBy300Instances) {
  CheckBursts(300,
              {.served_in_time = 0.7, .order_tolerance = 0.05, .shed = 0.1});
}

/// Guards against a return to the decisions by two counters, with which servers
/// reject requests whatever their priority.
TEST(Kinds, ClassesServeTwiceAsManyUrgentRequestsAsTwoCounters) {
  const OverloadScenario scenario = MakeBurst(76, kAllKinds, 10);
  const OverloadOutcome before = SimulateOverload(scenario, kTwoCounters);
  const OverloadOutcome now = SimulateOverload(scenario, kClasses);
  CHECK(now.kinds[0].in_time >= 2 * before.kinds[0].in_time);
  CHECK(now.kinds[1].in_time >= 2 * before.kinds[1].in_time);
  CHECK(now.shed * 10 <= before.shed);
}

/// Guards against a loss of servers that admission control learns of only from
/// full queues: without bursts, a loss of two thirds makes fewer urgent
/// requests late or rejected in the first second when it is told at once.
TEST(Kinds, ALossOfServersCountsAtOnce) {
  OverloadScenario scenario = MakeScenario(76);
  scenario.surge_s = 1;
  scenario.evacuated_servers = 100;
  for (OverloadKind& kind : scenario.kinds) {
    kind.usual_load *= 3.25;
  }
  OverloadPolicy untold = kClasses;
  untold.capacity_falls = false;
  const OverloadOutcome late = SimulateOverload(scenario, untold);
  const OverloadOutcome told = SimulateOverload(scenario, kClasses);
  CHECK(Part(told.kinds[0].in_time, told.kinds[0]) >=
        Part(late.kinds[0].in_time, late.kinds[0]) + 0.05);
  CHECK(told.shed * 4 <= late.shed * 3);
}

/// Guards against callers that crowd out others.
TEST(Kinds, FairCallersServeCallersThatAskForLittle) {
  for (const std::uint32_t instances : {8U, 76U, 300U}) {
    const OverloadScenario scenario = MakeUnevenCallers(instances);
    const OverloadOutcome without = SimulateOverload(scenario, kClasses);
    const OverloadOutcome with = SimulateOverload(scenario, kFairCallers);
    CHECK(InTime(with.light_callers) >= InTime(without.light_callers) + 0.3);
    CHECK(InTime(with.light_callers) >= 0.6);
    CHECK(with.in_time >= 0.9 * without.in_time);
  }
}
