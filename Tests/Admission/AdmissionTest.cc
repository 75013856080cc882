#include <algorithm>
#include <cstdint>

#include "Admission/Admission.h"
#include "Bench/OverloadEmulator.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Milliseconds kObjective{100};
constexpr std::uint32_t kCallers = 1000;

void SetInFlight(Admission& admission, std::uint32_t flows) {
  admission.services.resize(1);
  while (admission.services[0].in_flight > flows) {
    NoteLeft(admission, 0);
  }
  while (admission.services[0].in_flight < flows) {
    NoteBegun(admission, 0);
  }
}

/// Flows that each last `duration`, one each millisecond for `time`, and as
/// many in flight all the while as that takes.
TimePoint Serve(Admission& admission, Milliseconds duration, Milliseconds time,
                TimePoint now) {
  SetInFlight(admission, static_cast<std::uint32_t>(duration.count()));
  for (Milliseconds passed{0}; passed < time; passed += Milliseconds(1)) {
    now += Milliseconds(1);
    NoteServed(admission, 0, duration, kObjective, now);
  }
  return now;
}

/// The share of callers whose flows are admitted.
double ShareAdmitted(Admission& admission, bool repeatable, TimePoint now) {
  double admitted = 0;
  for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
    admitted +=
        Admit(admission, {.caller = caller, .repeatable = repeatable}, now) ? 1
                                                                            : 0;
  }
  return admitted / kCallers;
}

double InTime(const OverloadOutcome& outcome) {
  return outcome.in_time / std::min<double>(outcome.capacity, outcome.asked);
}

constexpr OverloadPolicy kBefore{.admission = false};
constexpr OverloadPolicy kNow{.admission = true};

}  // namespace

TEST_GROUP(Admission){};

TEST(Admission, NothingIsRefusedByAnInstanceThatKnowsNothing) {
  Admission admission;
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, kStart), 0);
  // Many flows in flight alone show no queue: none has ended yet.
  for (int i = 0; i < 500; ++i) {
    NoteBegun(admission, 0);
  }
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, kStart), 0);
}

TEST(Admission, NothingIsRefusedWhileAnswersComeInTime) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(35), Milliseconds(500), kStart);
  for (int i = 0; i < 500; ++i) {
    NoteBegun(admission, 0);
  }
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, now), 0);
}

TEST(Admission, TheExcessIsRefusedAndOrdersLast) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(52), Milliseconds(1500), kStart);
  const double share = ShareAdmitted(admission, true, now);
  CHECK(share > 0 && share < 1);
  DOUBLES_EQUAL(1, ShareAdmitted(admission, false, now), 0);
}

TEST(Admission, FlowsInFlightTellBeforeTheyEnd) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(46), Milliseconds(500), kStart);
  const double before = ExpectedSlowness(admission, 0, now);
  for (int i = 0; i < 90; ++i) {
    NoteBegun(admission, 0);
  }
  CHECK(ExpectedSlowness(admission, 0, now) > before + 0.2);
}

TEST(Admission, TheSameCallersAreRefusedWithinARound) {
  Admission one;
  Admission other;
  const TimePoint now =
      Serve(one, Milliseconds(52), Milliseconds(1500), kStart);
  Serve(other, Milliseconds(52), Milliseconds(1500), kStart);
  bool next_round_differs = false;
  for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
    one.round = 1;
    const AdmissionRequest request{.caller = caller, .repeatable = true};
    const bool admitted = Admit(one, request, now);
    other.round = 1;
    CHECK_EQUAL(admitted, Admit(other, request, now));
    one.round = 2;
    next_round_differs =
        next_round_differs || Admit(one, request, now) != admitted;
  }
  CHECK(next_round_differs);
}

TEST(Admission, AnInstanceWithNothingInFlightAdmits) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(140), Milliseconds(500), kStart);
  SetInFlight(admission, 0);
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, now), 0);
}

TEST(Admission, AQueueThatHasGoneIsNotBelievedForLong) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(140), Milliseconds(500), kStart);
  SetInFlight(admission, 5);
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, now), 0);
}

TEST(Admission, WhatWasSlowIsForgottenWhenNoFlowEndsAnyMore) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(140), Milliseconds(500), kStart);
  CHECK(ShareAdmitted(admission, true, now) < 0.1);
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, now + Milliseconds(400)), 0);
}

TEST(Admission, OldMeasurementsRefuseNobody) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(140), Milliseconds(500), kStart);
  CHECK(ShareAdmitted(admission, true, now) < 0.1);
  DOUBLES_EQUAL(
      1, ShareAdmitted(admission, true, now + std::chrono::seconds(2)), 0);
  ForgetMeasured(admission);
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, now), 0);
}

TEST(Admission, RecoversWithin200MillisecondsOfTheLoad) {
  Admission admission;
  TimePoint now =
      Serve(admission, Milliseconds(140), Milliseconds(500), kStart);
  CHECK(ShareAdmitted(admission, true, now) < 0.1);
  now = Serve(admission, Milliseconds(35), Milliseconds(200), now);
  DOUBLES_EQUAL(1, ShareAdmitted(admission, true, now), 0);
}

TEST(Admission, ServicesDoNotAnswerForEachOther) {
  Admission admission;
  const TimePoint now =
      Serve(admission, Milliseconds(140), Milliseconds(500), kStart);
  CHECK(Admit(admission, {.service = 1, .repeatable = true}, now));
}

TEST_GROUP(Overload){};

TEST(Overload, HardlyAnythingIsRefusedWithinWhatServersCanDo) {
  for (const double load : {0.5, 0.7}) {
    const OverloadOutcome outcome =
        PlayOverload({.surge_load = load, .surge_s = 10}, kNow);
    CHECK(InTime(outcome) >= 0.99);
    CHECK(outcome.refused <= outcome.asked / 1000);
  }
}

TEST(Overload, TwiceAsManyInTimeAsWithoutRefusals) {
  for (const double load : {1.5, 2.0}) {
    const OverloadScenario scenario{.surge_load = load, .surge_s = 10};
    CHECK(InTime(PlayOverload(scenario, kNow)) >=
          2 * InTime(PlayOverload(scenario, kBefore)));
  }
}

TEST(Overload, OrdersAreServedAsLongAsTheyFitAlone) {
  const OverloadOutcome outcome =
      PlayOverload({.surge_load = 1.2, .surge_s = 10}, kNow);
  CHECK(outcome.orders_in_time >= 0.95 * outcome.orders);
}

TEST(Overload, ServersHardlyShed) {
  const OverloadOutcome outcome =
      PlayOverload({.surge_load = 1.5, .surge_s = 10}, kNow);
  CHECK(outcome.shed <= outcome.asked / 100);
}

TEST(Overload, NothingIsRefusedOnceTheLoadHasFallen) {
  const OverloadOutcome outcome =
      PlayOverload({.surge_load = 1.2, .surge_s = 4, .calm_s = 4}, kNow);
  CHECK(outcome.refused_when_calm <= outcome.asked / 100);
}
