#include <string>
#include <vector>

#include "Bench/HedgingEmulator.h"
#include "Requests/Hedging.h"
#include "Requests/RequestTier.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

AttemptResult Answered(std::uint32_t status, bool not_run = false) {
  AttemptResult result{.kind = AttemptResult::Kind::kAnswered};
  result.answer.set_status(status);
  if (not_run) {
    wire::HeaderField& field = *result.answer.add_headers();
    field.set_name("Filbertwall-Not-Run");
    field.set_value("true");
  }
  return result;
}

}  // namespace

/// One instance and three servers of two slots. Requests take 30 ms, except
/// those of a test.
TEST_GROUP(Hedging) {
  Rules rules;
  Directory directory;
  std::set<std::uint32_t> silent;
  RequestTier tier;
  TimePoint now{std::chrono::hours(1)};
  std::vector<StartAttempt> started;
  std::vector<std::uint64_t> cancelled;
  std::vector<AnswerCaller> answers;
  std::uint64_t next_id = 1;
  std::uint64_t sequence = 0;

  void setup() override {
    this->rules.services["shop"] = ServiceRule{.name = "shop"};
    this->rules.requests = {RequestRule{
        .service = "shop", .method = "*", .path = "/", .retries = 1}};
    this->tier.self = 1;
    this->tier.recorder_pool = {1};
    this->tier.hedge_share = 0.5;
    this->Announce();
    this->now += std::chrono::seconds(5);
  }

  /// All servers announce themselves, which renews their leases.
  void Announce() {
    this->sequence += 1;
    for (const char* address : {"1.1.1.1:9", "1.1.1.2:9", "1.1.1.3:9"}) {
      wire::BackendRecord record;
      record.mutable_announcement()->set_address(address);
      record.mutable_announcement()->set_service("shop");
      record.mutable_announcement()->set_sequence(this->sequence);
      record.mutable_announcement()->set_phase(wire::READY);
      record.mutable_announcement()->set_slots(2);
      ApplyAnnouncement(this->directory, record, this->now);
    }
  }

  void Run(const RequestEvent& event) {
    const RequestEnvironment environment{.rules = this->rules,
                                         .directory = this->directory,
                                         .silent = this->silent,
                                         .now = this->now};
    for (const RequestEffect& effect : Reduce(this->tier, event, environment)) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->started.push_back(*start);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        this->cancelled.push_back(cancel->attempt);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        this->answers.push_back(*answer);
      }
    }
  }

  std::uint64_t Arrive(const std::string& method = "GET") {
    const std::uint64_t id = this->next_id++;
    this->Run(RequestArrived{
        .id = id,
        .request = {.method = method, .path = "/stock", .host = "shop"}});
    return id;
  }
  void End(std::size_t attempt, const AttemptResult& result) {
    this->Run(AttemptEnded{.attempt = this->started[attempt].attempt,
                           .result = result});
  }
  void Advance(int time_ms) {
    for (int i = 0; i < time_ms; ++i) {
      this->now += Milliseconds(1);
      this->Run(RequestTick{});
    }
  }
  std::uint64_t Counter(const std::string& name) {
    return this->tier.counters[name];
  }
  std::uint32_t InFlight() const {
    std::uint32_t sum = 0;
    for (const auto& [address, backend] : this->directory.backends) {
      sum += backend.own_in_flight;
    }
    return sum;
  }

  /// Lets the instance observe usual durations, then forgets the effects.
  void Observe() {
    this->Announce();
    for (int i = 0; i < 100; ++i) {
      this->Arrive();
      this->Advance(30);
      this->End(this->started.size() - 1, Answered(200));
    }
    this->started.clear();
    this->answers.clear();
  }

  /// Starts a request whose second attempt is sent.
  std::uint64_t ArriveAndHedge() {
    this->Observe();
    const std::uint64_t id = this->Arrive();
    this->Advance(45);
    LONGS_EQUAL(2, this->started.size());
    CHECK(this->started[0].backend != this->started[1].backend);
    return id;
  }
};

/// The order of the answers must not matter: one answer, the other attempt is
/// cancelled, and its late answer is discarded.
TEST(Hedging, TheFirstAnswerCountsAndTheOtherAttemptIsCancelled) {
  for (const std::size_t first : {0U, 1U}) {
    this->tier.counters.clear();
    this->cancelled.clear();
    const std::uint64_t id = this->ArriveAndHedge();
    this->End(first, Answered(200));
    LONGS_EQUAL(1, this->answers.size());
    CHECK_EQUAL(id, this->answers[0].id);
    LONGS_EQUAL(1, this->cancelled.size());
    CHECK_EQUAL(this->started[1 - first].attempt, this->cancelled[0]);
    this->End(1 - first, Answered(200));
    LONGS_EQUAL(1, this->answers.size());
    CHECK_EQUAL(first == 1 ? 1 : 0, this->Counter("hedges_won"));
    CHECK_EQUAL(first == 0 ? 1 : 0, this->Counter("hedges_lost"));
    CHECK(this->Counter("hedges_extra_ms") > 0);
    LONGS_EQUAL(0, this->InFlight());
    CHECK(this->tier.open.empty());
    CHECK(this->tier.attempts.empty());
  }
}

TEST(Hedging, RequestsThatMayRunOnceAreNeverHedged) {
  this->Observe();
  this->Arrive("POST");
  this->Advance(500);
  LONGS_EQUAL(1, this->started.size());
  CHECK_EQUAL(0, this->Counter("hedges_sent"));
}

TEST(Hedging, NothingIsHedgedWhenOff) {
  this->tier.hedge_share = 0;
  this->Observe();
  this->Arrive();
  this->Advance(500);
  LONGS_EQUAL(1, this->started.size());
  CHECK(this->tier.services["shop"].durations.by_rule.empty());
}

TEST(Hedging, NothingIsHedgedBeforeDurationsAreKnown) {
  this->Arrive();
  this->Advance(500);
  LONGS_EQUAL(1, this->started.size());
}

/// A hedge must not take a slot that a queued request waits for.
TEST(Hedging, NothingIsHedgedWhileTheServiceQueues) {
  this->Observe();
  for (int i = 0; i < 7; ++i) {
    this->Arrive();
  }
  this->Advance(100);
  LONGS_EQUAL(6, this->started.size());
  CHECK_EQUAL(0, this->Counter("hedges_sent"));
  CHECK_EQUAL(6, this->Counter("hedges_withheld"));
}

TEST(Hedging, NothingIsHedgedWithoutAFreeServer) {
  this->Observe();
  for (int i = 0; i < 6; ++i) {
    this->Arrive();
  }
  this->Advance(100);
  LONGS_EQUAL(6, this->started.size());
  CHECK_EQUAL(0, this->Counter("hedges_sent"));
}

/// A server that has just become ready is slow itself.
TEST(Hedging, ColdServersGetNoHedges) {
  this->Observe();
  this->directory.backends.clear();
  this->Announce();
  this->Arrive();
  this->Advance(500);
  LONGS_EQUAL(1, this->started.size());
}

TEST(Hedging, NothingIsHedgedRightAfterTheServiceShedRequests) {
  this->Observe();
  this->rules.requests[0].queue = 0;
  for (int i = 0; i < 7; ++i) {
    this->Arrive();
  }
  CHECK_EQUAL(1, this->Counter("shed"));
  for (std::size_t i = 1; i < 6; ++i) {
    this->End(i, Answered(200));
  }
  this->Advance(500);
  CHECK_EQUAL(0, this->Counter("hedges_sent"));
  this->Advance(490);
  CHECK_EQUAL(0, this->Counter("hedges_sent"));
}

/// A refused, unsent or lost attempt must not end the request, or start a third
/// attempt, while the other one runs.
TEST(Hedging, AFailedAttemptLeavesTheRequestToTheOther) {
  const std::vector<AttemptResult> failures = {
      Answered(503, true),
      {.kind = AttemptResult::Kind::kNotSent},
      {.kind = AttemptResult::Kind::kLost}};
  for (const AttemptResult& failure : failures) {
    for (const std::size_t failed : {0U, 1U}) {
      this->now += std::chrono::seconds(1);
      const std::uint64_t id = this->ArriveAndHedge();
      this->End(failed, failure);
      CHECK(this->answers.empty());
      LONGS_EQUAL(2, this->started.size());
      LONGS_EQUAL(1, this->InFlight());
      this->End(1 - failed, Answered(200));
      LONGS_EQUAL(1, this->answers.size());
      CHECK_EQUAL(id, this->answers[0].id);
      CHECK_EQUAL(200, this->answers[0].answer.status());
      LONGS_EQUAL(0, this->InFlight());
    }
  }
}

/// A lost attempt may have run, so the request is not reported as not run when
/// the other attempt is refused and no server is left.
TEST(Hedging, ARequestWithALostAttemptIsNotReportedAsNotRun) {
  this->ArriveAndHedge();
  this->End(0, {.kind = AttemptResult::Kind::kLost});
  this->directory.backends.clear();
  this->End(1, Answered(503, true));
  LONGS_EQUAL(1, this->answers.size());
  CHECK_EQUAL(504, this->answers[0].answer.status());
}

TEST(Hedging, ACallerThatLeavesCancelsBothAttempts) {
  const std::uint64_t id = this->ArriveAndHedge();
  this->Run(CallerDisconnected{.id = id});
  LONGS_EQUAL(2, this->cancelled.size());
  LONGS_EQUAL(0, this->InFlight());
  this->End(0, Answered(200));
  this->End(1, Answered(200));
  CHECK(this->answers.empty());
  CHECK(this->tier.open.empty());
}

TEST(Hedging, TheDeadlineEndsBothAttempts) {
  this->rules.requests[0].retries = 0;
  this->ArriveAndHedge();
  this->Advance(2000);
  LONGS_EQUAL(1, this->answers.size());
  LONGS_EQUAL(2, this->started.size());
  LONGS_EQUAL(2, this->cancelled.size());
  LONGS_EQUAL(0, this->InFlight());
}

/// The attempt that takes too long is cancelled; a retry follows only when the
/// other one has had its time as well.
TEST(Hedging, AnAttemptThatTimesOutLeavesTheRequestToTheOther) {
  this->ArriveAndHedge();
  this->Advance(960);
  LONGS_EQUAL(1, this->cancelled.size());
  CHECK_EQUAL(this->started[0].attempt, this->cancelled[0]);
  LONGS_EQUAL(2, this->started.size());
  this->End(1, Answered(200));
  LONGS_EQUAL(1, this->answers.size());
  LONGS_EQUAL(0, this->InFlight());
}

TEST(Hedging, ARequestIsHedgedOnce) {
  this->ArriveAndHedge();
  this->End(0, {.kind = AttemptResult::Kind::kNotSent});
  this->Advance(500);
  LONGS_EQUAL(2, this->started.size());
}

/// Hedged requests end early; counted by their last attempt, they would lower
/// the delay, and all requests would be hedged in the end.
TEST(Hedging, HedgesDoNotLowerTheDelay) {
  constexpr int kUsualMs = 30;
  constexpr int kSlowMs = 200;
  RequestDurations& durations = this->tier.services["shop"].durations;
  for (int i = 0; i < 400; ++i) {
    if (i % 50 == 0) {
      this->Announce();
    }
    this->started.clear();
    this->Arrive();
    const bool slow = i % 10 == 0;
    this->Advance(slow ? kSlowMs : kUsualMs);
    if (slow && i >= 100) {
      for (int j = 0; j < 2 * kSlowMs && this->started.size() == 1; ++j) {
        this->Advance(1);
      }
      LONGS_EQUAL(2, this->started.size());
      this->Advance(kUsualMs);
    }
    this->End(this->started.size() - 1, Answered(200));
  }
  CHECK(*GetHedgeDelay(durations, "* /", 0.5) >= Milliseconds(kSlowMs));
}

/// The number of rules changes with their versions.
TEST(Hedging, DurationsTakeBoundedMemory) {
  RequestDurations durations;
  for (int i = 0; i < 10000; ++i) {
    AddRequestDuration(durations, std::to_string(i), Milliseconds(30));
  }
  CHECK(durations.by_rule.size() <= 257);
  CHECK(GetHedgeDelay(durations, "9999", 0.1).has_value());
}

TEST(Hedging, QuantilesFollowRecentDurations) {
  RecentDurations durations;
  CHECK(QuantileOf(durations, 0.9) == Microseconds(0));
  for (int i = 1; i <= 100; ++i) {
    AddDuration(durations, Milliseconds(i));
  }
  for (const double share : {0.5, 0.9, 0.95, 0.99}) {
    const auto quantile_ms =
        static_cast<double>(QuantileOf(durations, share).count()) / 1000;
    CHECK(quantile_ms >= 100 * share);
    CHECK(quantile_ms <= 100 * share * 1.2);
  }
  for (int i = 0; i < 5000; ++i) {
    AddDuration(durations, Milliseconds(5));
  }
  CHECK(QuantileOf(durations, 0.99) < Milliseconds(6));
  AddDuration(durations, Milliseconds(-5));
  AddDuration(durations, std::chrono::hours(1000));
  CHECK(durations.total <= RecentDurations::kMaxWeight);
}

/// 3 % of the attempts take seven times as long.
TEST(Hedging, TheSlowestAnswersOfAHeavyTailedLoadAreCut) {
  const HedgedRequestsOutcome off = SimulateHedgedRequests({});
  const HedgedRequestsOutcome on =
      SimulateHedgedRequests({.hedge_budget = 0.05});
  CHECK_EQUAL(0, off.hedges);
  CHECK(off.p99_ms > 240);
  CHECK(on.p99_ms < 150);
  CHECK(on.p999_ms < off.p999_ms);
  DOUBLES_EQUAL(off.p50_ms, on.p50_ms, 1);
  CHECK(on.hedges <= 0.05 * 20000);
  CHECK(on.work_ms < off.work_ms * 1.06);
  CHECK_EQUAL(off.answered, on.answered);
  CHECK_EQUAL(0, on.answered_twice);
  CHECK_EQUAL(0, on.orders_run_twice);
}

/// Under overload, hedges must not add to it; under a load that is slow as a
/// whole, the budget is what limits them.
TEST(Hedging, TheBudgetHoldsUnderAnyLoad) {
  const HedgedRequestsOutcome off =
      SimulateHedgedRequests({.requests_per_s = 1200});
  const HedgedRequestsOutcome overload =
      SimulateHedgedRequests({.requests_per_s = 1200, .hedge_budget = 0.5});
  CHECK(overload.hedges < 20);
  CHECK(overload.answered >= off.answered * 0.99);
  for (const double budget : {0.005, 0.02, 0.05}) {
    const HedgedRequestsOutcome slow = SimulateHedgedRequests(
        {.slow_share = 0.4, .slow_factor = 3, .hedge_budget = budget});
    CHECK(slow.hedges <= budget * 20000);
    CHECK_EQUAL(0, slow.answered_twice);
    CHECK_EQUAL(0, slow.orders_run_twice);
  }
}
