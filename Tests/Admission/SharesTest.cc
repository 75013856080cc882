#include <array>
#include <cstdint>
#include <random>

#include "Admission/Admission.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Milliseconds kObjective{100};
constexpr FlowClass kUrgent{.priority = 0, .retryable = true};
constexpr FlowClass kOrders{.priority = 1, .retryable = false};
constexpr FlowClass kLookups{.priority = 2, .retryable = true};
constexpr FlowClass kReports{.priority = 3, .retryable = true};

/// One service at one instance, with flows that end once a millisecond.
struct EmulatedService : public Utest {
  Admission admission;
  TimePoint now = kStart;
  std::mt19937 random;

  bool Ask(const FlowClass& flow_class, std::uint32_t caller) {
    return Admit(this->admission,
                 {.caller = caller,
                  .priority = flow_class.priority,
                  .retryable = flow_class.retryable,
                  .flow = this->random()},
                 this->now);
  }

  bool Ask(const FlowClass& flow_class) {
    return this->Ask(flow_class, this->random());
  }

  /// Ends one flow a millisecond for `time`, and asks for `per_ms` flows of the
  /// class. As many flows are in flight as follow from Little's law.
  void Simulate(Milliseconds duration, Milliseconds time,
                const FlowClass& flow_class = kLookups, int per_ms = 1) {
    while (this->InFlight() > duration.count()) {
      RemoveFlowInFlight(this->admission, 0);
    }
    while (this->InFlight() < duration.count()) {
      AddFlowInFlight(this->admission, 0);
    }
    for (Milliseconds passed{0}; passed < time; passed += Milliseconds(1)) {
      this->now += Milliseconds(1);
      RecordFlowDuration(this->admission, 0, duration, kObjective, this->now);
      for (int i = 0; i < per_ms; ++i) {
        this->Ask(flow_class);
      }
    }
  }

  std::int64_t InFlight() const {
    return this->admission.services.empty()
               ? 0
               : this->admission.services[0].in_flight;
  }

  double Share(const FlowClass& flow_class) const {
    return AdmittedShare(this->admission, 0, flow_class, this->now);
  }
};

}  // namespace

TEST_GROUP_BASE(Shares, EmulatedService){};

/// Guards against capacity that goes to a class while a more urgent one is
/// refused, in states of all kinds.
TEST(Shares, AClassGetsNothingWhileAMoreUrgentOneIsRefused) {
  const FlowClass classes[] = {kUrgent,
                               kOrders,
                               {.priority = 1, .retryable = true},
                               {.priority = 2, .retryable = false},
                               kLookups,
                               kReports};
  int shared = 0;
  for (int state = 0; state < 3000; ++state) {
    this->admission = {};
    this->now += std::chrono::seconds(10);
    this->Simulate(Milliseconds(20 + this->random() % 110), Milliseconds(100));
    std::array<bool, 6> asked{};
    for (std::uint32_t i = this->random() % 200; i > 0; --i) {
      const std::size_t index = this->random() % 6;
      this->Ask(classes[index]);
      asked.at(index) = true;
    }
    for (std::size_t less = 1; less < 6; ++less) {
      const double share = this->Share(classes[less]);
      shared += share > 0 && share < 1 ? 1 : 0;
      for (std::size_t more = 0; share > 0 && more < less; ++more) {
        // A class that does not ask for anything needs no share.
        if (asked.at(more)) {
          DOUBLES_EQUAL(1, this->Share(classes[more]), 0);
        }
      }
    }
  }
  CHECK(shared > 50);
}

TEST(Shares, PriorityPrecedesOrders) {
  this->Simulate(Milliseconds(80), Milliseconds(500), kUrgent, 2);
  for (int i = 0; i < 100; ++i) {
    this->Ask(kOrders);
  }
  CHECK(this->Share(kUrgent) > 0.3);
  DOUBLES_EQUAL(0, this->Share(kOrders), 0);
}

/// Guards against unneeded refusals: as long as answers are in time, a less
/// urgent class is not refused.
TEST(Shares, NoClassIsRefusedWhileServersAreFree) {
  this->Simulate(Milliseconds(35), Milliseconds(500), kUrgent, 4);
  DOUBLES_EQUAL(1, this->Share(kReports), 0);
  UpdateCapacity(this->admission, 0, 200, this->now);
  UpdateCapacity(this->admission, 0, 100, this->now);
  DOUBLES_EQUAL(1, this->Share(kReports), 0);
}

/// Guards against a class that never gets a flow while more urgent ones ask for
/// the whole capacity.
TEST(Shares, NoClassIsStarvedForLongerThanTheBound) {
  TimePoint refused_since;
  int admitted = 0;
  for (int i = 0; i < 2000; ++i) {
    this->Simulate(Milliseconds(140), Milliseconds(10), kUrgent, 5);
    if (this->Ask(kReports)) {
      admitted += 1;
      refused_since = TimePoint();
    } else if (refused_since == TimePoint()) {
      refused_since = this->now;
    }
    CHECK(refused_since == TimePoint() ||
          this->now - refused_since < kMaxStarvation + Milliseconds(10));
  }
  CHECK(admitted >= 3);
  CHECK(admitted <= 10);
  CHECK(this->admission.counters.starved >= 3);
}

TEST(Shares, ManyPrioritiesNeedBoundedMemory) {
  for (std::uint32_t priority = 0; priority < 1000; ++priority) {
    this->Ask({.priority = priority, .retryable = true});
  }
  LONGS_EQUAL(kMaxClasses, this->admission.services[0].classes.size());
}

/// Guards against a loss of servers that is only seen once queues have grown.
TEST(Shares, TheAdmittedRateFallsWithTheCapacity) {
  UpdateCapacity(this->admission, 0, 200, this->now);
  this->Simulate(Milliseconds(20), Milliseconds(1000));
  this->Simulate(Milliseconds(38), Milliseconds(500));
  DOUBLES_EQUAL(1, this->Share(kLookups), 0);
  UpdateCapacity(this->admission, 0, 100, this->now);
  CHECK(this->Share(kLookups) < 0.95);
  CHECK(this->Share(kLookups) > 0.5);
  UpdateCapacity(this->admission, 0, 200, this->now);
  DOUBLES_EQUAL(1, this->Share(kLookups), 0);
}

/// Guards against refusals because measured speeds, and thus the slots, vary.
TEST(Shares, SmallChangesOfTheCapacityAreIgnored) {
  UpdateCapacity(this->admission, 0, 200, this->now);
  this->Simulate(Milliseconds(20), Milliseconds(1000));
  this->Simulate(Milliseconds(55), Milliseconds(500), kLookups, 2);
  const double before = this->Share(kLookups);
  CHECK(before > 0.3 && before < 0.7);
  for (int i = 0; i < 10; ++i) {
    UpdateCapacity(this->admission, 0, i % 2 == 0 ? 192 : 200, this->now);
  }
  DOUBLES_EQUAL(before, this->Share(kLookups), 0);
}

TEST(Shares, TheAdmittedRateOfAnOverloadFallsByTheFactor) {
  UpdateCapacity(this->admission, 0, 200, this->now);
  this->Simulate(Milliseconds(20), Milliseconds(1000));
  this->Simulate(Milliseconds(55), Milliseconds(500), kLookups, 2);
  const double before = this->Share(kLookups);
  UpdateCapacity(this->admission, 0, 100, this->now);
  CHECK(before > 0.3 && before < 0.7);
  CHECK(this->Share(kLookups) <= before / 2);
}

/// Guards against a bound that stays after the measured durations show that the
/// remaining servers can process all flows.
TEST(Shares, TheBoundAfterALossEnds) {
  UpdateCapacity(this->admission, 0, 200, this->now);
  this->Simulate(Milliseconds(20), Milliseconds(1000));
  this->Simulate(Milliseconds(38), Milliseconds(500));
  UpdateCapacity(this->admission, 0, 20, this->now);
  CHECK(this->Share(kLookups) < 0.5);
  this->Simulate(Milliseconds(30), Milliseconds(1100));
  DOUBLES_EQUAL(1, this->Share(kLookups), 0);
}

TEST(Shares, LosingAndRegainingAllCapacityIsRecovered) {
  UpdateCapacity(this->admission, 0, 200, this->now);
  this->Simulate(Milliseconds(20), Milliseconds(500));
  UpdateCapacity(this->admission, 0, 0, this->now);
  UpdateCapacity(this->admission, 0, 200, this->now + Milliseconds(100));
  this->Simulate(Milliseconds(20), Milliseconds(500));
  DOUBLES_EQUAL(1, this->Share(kLookups), 0);
}

/// Guards against rejections by full servers, which know no classes, when the
/// queues are much shorter than the latency objective.
TEST(Shares, FullQueuesAreAnOverloadEvenIfAnswersAreInTime) {
  this->Simulate(Milliseconds(5), Milliseconds(500));
  this->Simulate(Milliseconds(25), Milliseconds(500), kLookups, 3);
  DOUBLES_EQUAL(1, this->Share(kLookups), 0);
  UpdateCapacity(this->admission, 0, 200, this->now);
  CHECK(this->Share(kLookups) < 0.5);
}

TEST_GROUP_BASE(FairCallers, EmulatedService) {
  static constexpr std::uint32_t kHeavy = 7;
  static constexpr std::uint32_t kLightCallers = 100;

  /// Asks for as many flows of a heavy caller as of 100 light ones together, at
  /// half of the capacity that they need. Returns the share of light ones that
  /// is admitted; sets `heavy_admitted` to that of the heavy one.
  double AskAll(double& heavy_admitted) {
    this->Simulate(Milliseconds(60), Milliseconds(500), kLookups, 2);
    double light = 0;
    double heavy = 0;
    constexpr int kRounds = 2000;
    for (int i = 0; i < kRounds; ++i) {
      this->now += Milliseconds(1);
      RecordFlowDuration(this->admission, 0, Milliseconds(60), kObjective,
                         this->now);
      heavy += this->Ask(kLookups, kHeavy) ? 1 : 0;
      light +=
          this->Ask(kLookups, 1000 + this->random() % kLightCallers) ? 1 : 0;
    }
    heavy_admitted = heavy / kRounds;
    return light / kRounds;
  }
};

/// Guards against one caller that crowds out many that ask for little.
TEST(FairCallers, CallersThatAskForLittleAreAdmitted) {
  this->admission.fair_callers = true;
  double heavy = 0;
  CHECK(this->AskAll(heavy) > 0.7);
  CHECK(heavy < 0.2);
}

TEST(FairCallers, WithoutTheSettingCallersGetTheSameShare) {
  this->admission.refusal_interval = 3;
  double heavy = 0;
  CHECK(this->AskAll(heavy) < 0.6);
}

/// Guards against an address of many users whose flows are all refused for a
/// whole interval.
TEST(FairCallers, AnAddressOfManyUsersIsNotRefusedAsAWhole) {
  this->admission.fair_callers = true;
  double heavy = 0;
  this->AskAll(heavy);
  CHECK(heavy > 0.01);
}

TEST(FairCallers, EqualCallersAreDrawnByAddress) {
  CallerDemand demand;
  for (int i = 0; i < 2000; ++i) {
    RecordCaller(demand, i % 100, this->now + Milliseconds(i));
  }
  const CallerShare share = ShareOfCaller(demand, 5, 0.5);
  CHECK_FALSE(share.heavy);
  DOUBLES_EQUAL(0.5, share.share, 0.1);
}

/// Guards against unbounded memory when an attacker uses many addresses, and
/// against forgetting the caller that asks for the most.
TEST(FairCallers, ManyCallersNeedBoundedMemory) {
  CallerDemand demand;
  for (std::uint32_t i = 0; i < 100000; ++i) {
    RecordCaller(demand, i % 4 == 0 ? kHeavy : 1000 + i, kStart);
  }
  LONGS_EQUAL(kMaxTrackedCallers, demand.callers.size());
  CHECK(ShareOfCaller(demand, kHeavy, 0.5).heavy);
  CHECK(ShareOfCaller(demand, kHeavy, 0.5).share < 0.3);
}
