#include <algorithm>

#include "Bench/OverloadEmulator.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

/// The target of admission control: 90 % of the requests that the servers can
/// process are answered in time, and 95 % of the orders (requests that must not
/// be retried) while the orders alone do not exceed the capacity.
TEST_GROUP(OverloadTarget){};

TEST(OverloadTarget, AnswersNineTenthsOfCapacityInTime) {
  for (const double load : {1.2, 1.5, 2.0}) {
    const OverloadOutcome outcome = SimulateOverload(
        {.surge_load = load, .surge_s = 10}, {.admission = true});
    const double possible = std::min<double>(outcome.capacity, outcome.asked);
    CHECK(outcome.in_time >= 0.90 * possible);
    CHECK(outcome.orders_in_time >= 0.95 * outcome.orders);
  }
}
