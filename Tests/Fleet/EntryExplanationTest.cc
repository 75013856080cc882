#include "Fleet/EntryExplanation.h"
#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

TEST_GROUP(EntryExplanation) {
  FleetWorld world = MakeWorld(3, 1);

  EntryExplanation Explain() {
    return ExplainEntryFlow(
        this->world.entries.at(101),
        {.key = {.address = {.ip = 0x0A000001, .port = 80}}}, this->world.now);
  }
};

/// Guards against an instance that holds flows back and does not say why, or
/// says so when it serves.
TEST(EntryExplanation, SaysWhetherTheStateIsConfirmed) {
  const EntryExplanation starting = this->Explain();
  CHECK(!starting.serving);
  CHECK(!starting.rules_confirmed);
  CHECK(!starting.servers_known);
  LONGS_EQUAL(0, starting.control);
  CHECK(starting.flow.verdict == Verdict::kHold);
  CHECK(starting.flow.reason == ForwardReason::kNotServing);
  Run(this->world, Milliseconds(2000));
  CHECK(SubmitUntilAccepted(this->world, 1));
  Run(this->world, Milliseconds(4000));
  const EntryExplanation serving = this->Explain();
  CHECK(serving.serving);
  CHECK(serving.rules_confirmed);
  CHECK(serving.servers_known);
  CHECK(serving.control >= 1 && serving.control <= 3);
  CHECK(serving.flow.verdict == Verdict::kReset);
  CHECK(serving.flow.reason == ForwardReason::kNoServer);
  STRCMP_EQUAL("proof", serving.flow.route->service.c_str());
}
