#include "Warmup/WarmupBudget.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kServer = 3;
constexpr std::uint64_t kIncarnation = 17;

}  // namespace

TEST_GROUP(WarmupBudget) {
  WarmupBudget budget;

  void Lease(std::uint32_t flows_per_second, TimePoint requested_at,
             TimePoint now) {
    TakeWarmupLease(this->budget, kServer, kIncarnation, flows_per_second,
                    requested_at, now);
  }

  /// Sends a flow if there is budget, and returns whether there was.
  bool Send(TimePoint now) {
    const bool has = HasWarmupBudget(this->budget, kServer, kIncarnation, now);
    if (has) {
      SpendWarmupBudget(this->budget, kServer, now);
    }
    return has;
  }

  /// Holds a lease for as long as it lasts and returns the largest number of
  /// flows sent in any second.
  std::size_t MaxFlowsInASecond(std::uint32_t flows_per_second) {
    std::deque<TimePoint> second;
    std::size_t most = 0;
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(10);
         now += Milliseconds(1)) {
      this->Lease(flows_per_second, now, now);
      if (this->Send(now)) {
        second.push_back(now);
      }
      while (!second.empty() && second.front() + Milliseconds(1000) <= now) {
        second.pop_front();
      }
      most = std::max(most, second.size());
    }
    return most;
  }
};

// Guards against flows to a cold server that no lease allows.
TEST(WarmupBudget, NothingIsSentWithoutALease) {
  CHECK_FALSE(this->Send(kStart));
  this->Lease(0, kStart, kStart);
  CHECK_FALSE(this->Send(kStart));
}

// Guards against a budget that is counted by fixed seconds, which allows twice
// the rate around their boundaries.
TEST(WarmupBudget, NoSlidingSecondHasMoreFlowsThanTheLease) {
  LONGS_EQUAL(5, this->MaxFlowsInASecond(5));
}

TEST(WarmupBudget, ALeaseOfOneFlowASecondAllowsOneAWindow) {
  LONGS_EQUAL(1, this->MaxFlowsInASecond(1));
}

// Guards against an instance that spends a lease which the leader has given to
// others, for example after it was suspended.
TEST(WarmupBudget, ALeaseEndsOneSecondAfterItsRequest) {
  this->Lease(5, kStart, kStart + Milliseconds(300));
  CHECK_TRUE(this->Send(kStart + Milliseconds(999)));
  CHECK_FALSE(this->Send(kStart + Milliseconds(1000)));
}

TEST(WarmupBudget, ALeaseThatComesTooLateIsIgnored) {
  this->Lease(5, kStart, kStart + Milliseconds(1000));
  CHECK_FALSE(this->Send(kStart + Milliseconds(1000)));
  this->Lease(5, kStart + Milliseconds(2000), kStart + Milliseconds(1500));
  CHECK_FALSE(this->Send(kStart + Milliseconds(2000)));
}

// Guards against more than one flow in a window to a server that may have
// started unheard, and against a limit while its state is confirmed.
TEST(WarmupBudget, AnUnconfirmedServerGetsOneFlowAWindow) {
  const TimePoint sent = kStart + Milliseconds(300);
  this->budget.confirmed_until = sent + Milliseconds(1);
  RecordLastFlow(this->budget, kServer, sent);
  CHECK_TRUE(MayBeSentFlow(this->budget, kServer, sent));
  CHECK_FALSE(MayBeSentFlow(this->budget, kServer, sent + Milliseconds(1)));
  CHECK_FALSE(MayBeSentFlow(this->budget, kServer, sent + Milliseconds(1199)));
  CHECK_TRUE(MayBeSentFlow(this->budget, kServer, sent + Milliseconds(1200)));
  CHECK_TRUE(MayBeSentFlow(this->budget, kServer + 1, sent + Milliseconds(1)));
}

// Guards against reordered grants: an older, larger one must not replace a
// newer one on which the leader counts.
TEST(WarmupBudget, AnEarlierLeaseDoesNotReplaceALaterOne) {
  const TimePoint now = kStart + Milliseconds(500);
  this->Lease(1, kStart + Milliseconds(400), now);
  this->Lease(5, kStart, now);
  CHECK_TRUE(this->Send(now));
  CHECK_FALSE(this->Send(now));
}

// Guards against renewals that forget what was sent under the last lease.
TEST(WarmupBudget, FlowsOfAnEarlierLeaseCountForTheNextOne) {
  this->Lease(2, kStart, kStart);
  CHECK_TRUE(this->Send(kStart));
  CHECK_TRUE(this->Send(kStart));
  const TimePoint renewed = kStart + Milliseconds(400);
  this->Lease(2, renewed, renewed);
  CHECK_FALSE(this->Send(renewed));
  this->Lease(2, kStart + Milliseconds(1200), kStart + Milliseconds(1200));
  CHECK_TRUE(this->Send(kStart + Milliseconds(1200)));
}

// Guards against a smaller lease that is spent on top of a larger one.
TEST(WarmupBudget, FlowsOfALargerLeaseCountForASmallerOne) {
  this->Lease(3, kStart, kStart);
  for (int i = 0; i < 3; ++i) {
    CHECK_TRUE(this->Send(kStart));
  }
  const TimePoint renewed = kStart + Milliseconds(400);
  this->Lease(1, renewed, renewed);
  CHECK_FALSE(this->Send(renewed + Milliseconds(700)));
}

TEST(WarmupBudget, ALeaseIsForOneStartOfTheServer) {
  this->Lease(5, kStart, kStart);
  CHECK_FALSE(HasWarmupBudget(this->budget, kServer, kIncarnation + 1, kStart));
}

TEST(WarmupBudget, ServicesWithoutLimitHaveNone) {
  SetWarmupLimits(this->budget, {WarmupLimit{}, WarmupLimit{}});
  CHECK_TRUE(this->budget.limits.empty());
  SetWarmupLimits(this->budget,
                  {WarmupLimit{}, WarmupLimit{.flows_per_second = 2}});
  POINTERS_EQUAL(nullptr, FindWarmupLimit(this->budget, 0));
  LONGS_EQUAL(2, FindWarmupLimit(this->budget, 1)->flows_per_second);
  POINTERS_EQUAL(nullptr, FindWarmupLimit(this->budget, 2));
}

// Guards against requests without cold servers or without callers.
TEST(WarmupBudget, DemandIsStatedOnlyForColdServersWithFlows) {
  SetWarmupLimits(this->budget, {WarmupLimit{.flows_per_second = 2},
                                 WarmupLimit{.flows_per_second = 2}});
  for (int i = 0; i < 4; ++i) {
    RecordWarmupDemand(this->budget, 0, kStart);
  }
  this->budget.demand_taken_at = kStart - Milliseconds(400);
  CHECK_TRUE(TakeWarmupDemand(this->budget, kStart).empty());
  this->budget.demands[0].cold_until = kStart + std::chrono::hours(1);
  this->budget.demands[1].cold_until = kStart + std::chrono::hours(1);
  RecordWarmupDemand(this->budget, 0, kStart);
  RecordWarmupDemand(this->budget, 0, kStart);
  this->budget.demand_taken_at = kStart - Milliseconds(400);
  this->budget.demands[0].flows_per_second = 0;
  const auto demands = TakeWarmupDemand(this->budget, kStart);
  LONGS_EQUAL(1, demands.size());
  LONGS_EQUAL(0, demands[0].service);
  LONGS_EQUAL(5, demands[0].flows_per_second);  // Two in 0.4 s.
  CHECK_TRUE(
      TakeWarmupDemand(this->budget, kStart + kWarmupDemandLifetime).empty());
}

// Guards against a report that says other than what is decided.
TEST(WarmupBudget, TheAllowanceAgreesWithWhatMayBeSent) {
  for (int i = 0; i < 3000; i += 7) {
    const TimePoint now = kStart + Milliseconds(i);
    if (i < 1500) {
      this->Lease(1 + i % 5, now, now);
    }
    const WarmupAllowance allowance =
        WarmupAllowanceOf(this->budget, kServer, kIncarnation, now);
    CHECK_EQUAL(this->Send(now), allowance.flows_left > 0);
    CHECK(allowance.flows_left <= allowance.flows_per_second);
  }
}
