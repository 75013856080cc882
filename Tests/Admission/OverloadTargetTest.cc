#include <algorithm>

#include "Bench/OverloadEmulator.h"

#include <CppUTest/TestHarness.h>

/// The stated target: of what the servers can do, nine tenths in time, and of
/// the orders 19 of 20 as long as they fit alone.
using namespace filbertwall;

TEST_GROUP(OverloadTarget){};

TEST(OverloadTarget, NineTenthsOfWhatServersCanDoIsInTime) {
  for (const double load : {1.2, 1.5, 2.0}) {
    const OverloadOutcome outcome =
        PlayOverload({.surge_load = load, .surge_s = 10}, {.admission = true});
    const double possible = std::min<double>(outcome.capacity, outcome.asked);
    CHECK(outcome.in_time >= 0.90 * possible);
    CHECK(outcome.orders_in_time >= 0.95 * outcome.orders);
  }
}
