#include <string>
#include <vector>

#include "Requests/Balancer.h"
#include "Requests/OrderLog.h"
#include "Requests/RequestTier.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

HttpRequest MakeOrder(const std::string& key) {
  HttpRequest request{.method = "POST", .path = "/orders", .host = "shop"};
  wire::HeaderField field;
  field.set_name("idempotency-key");
  field.set_value(key);
  request.headers.push_back(field);
  return request;
}

HttpRequest MakeLookup() {
  return {.method = "GET", .path = "/stock", .host = "shop"};
}

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

std::string GetOutcome(const wire::Answer& answer) {
  for (const wire::HeaderField& field : answer.headers()) {
    if (field.name() == kOutcomeHeader) {
      return field.value();
    }
  }
  return "";
}

}  // namespace

/// One instance, the only recorder of its orders, and simulated backend
/// servers.
TEST_GROUP(Requests) {
  Rules rules;
  Directory directory;
  std::set<std::uint32_t> silent;
  OrderLog log;
  RequestTier tier;
  TimePoint now{std::chrono::hours(1)};
  std::vector<StartAttempt> started;
  std::vector<std::uint64_t> cancelled;
  std::map<std::uint64_t, wire::Answer> answers;

  void setup() override {
    this->rules.services["shop"] = ServiceRule{.name = "shop"};
    this->rules.requests = {
        RequestRule{.service = "shop",
                    .method = "POST",
                    .path = "/orders",
                    .queue = 10},
        RequestRule{.service = "shop",
                    .method = "GET",
                    .path = "/stock",
                    .retries = 2,
                    .queue = 10,
                    .traffic_class = TrafficClass::kInteractive}};
    this->tier.self = 1;
    this->tier.recorder_pool = {1};
    this->log.self = 1;
    this->log.pool = {1};
    this->Announce("1.1.1.1:9", 1);
    this->Announce("1.1.1.2:9", 1);
    this->now += std::chrono::seconds(5);
    this->Announce("1.1.1.1:9", 2);
    this->Announce("1.1.1.2:9", 2);
  }

  void Announce(const std::string& address, std::uint64_t sequence,
                const std::string& service = "shop",
                std::uint32_t in_flight = 0) {
    wire::BackendRecord record;
    record.mutable_announcement()->set_address(address);
    record.mutable_announcement()->set_service(service);
    record.mutable_announcement()->set_sequence(sequence);
    record.mutable_announcement()->set_phase(wire::READY);
    record.mutable_announcement()->set_slots(2);
    record.mutable_announcement()->set_in_flight(in_flight);
    ApplyAnnouncement(this->directory, record, this->now);
  }

  void Run(const RequestEvent& event) {
    std::vector<RequestEvent> events = {event};
    while (!events.empty()) {
      const RequestEvent next = events.front();
      events.erase(events.begin());
      const RequestEnvironment environment{.rules = this->rules,
                                           .directory = this->directory,
                                           .silent = this->silent,
                                           .now = this->now};
      for (const RequestEffect& effect :
           Reduce(this->tier, next, environment)) {
        this->HandleEffect(effect, events);
      }
    }
  }

  void HandleEffect(const RequestEffect& effect,
                    std::vector<RequestEvent>& events) {
    if (const auto* start = std::get_if<StartAttempt>(&effect)) {
      this->started.push_back(*start);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      this->cancelled.push_back(cancel->attempt);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      this->answers[answer->id] = answer->answer;
    } else if (const auto* claim = std::get_if<SendClaim>(&effect)) {
      events.emplace_back(ClaimAnswered{
          .from = 1,
          .reply = ProcessClaim(this->log, claim->claim, this->now)});
    } else if (const auto* outcome = std::get_if<SendOutcome>(&effect)) {
      RecordOutcome(this->log, outcome->outcome.record(), this->now);
      events.emplace_back(OutcomeRecorded{
          .from = 1, .claim_attempt = outcome->outcome.record().attempt()});
    }
  }

  void Arrive(std::uint64_t id, const HttpRequest& request) {
    this->Run(RequestArrived{.id = id, .request = request});
  }
  void EndLastAttempt(const AttemptResult& result) {
    this->Run(AttemptEnded{.attempt = this->started.back().attempt,
                           .result = result});
  }
  void AdvanceTime(Milliseconds time) {
    this->now += time;
    this->Run(RequestTick{});
  }
  std::string Outcome(std::uint64_t id) {
    return GetOutcome(this->answers[id]);
  }
};

TEST(Requests, LostOrderIsUnknownAndNotRetried) {
  this->Arrive(1, MakeOrder("k"));
  this->EndLastAttempt({.kind = AttemptResult::Kind::kLost});
  STRCMP_EQUAL("unknown", this->Outcome(1).c_str());
  this->Arrive(2, MakeOrder("k"));
  this->AdvanceTime(Milliseconds(3000));
  STRCMP_EQUAL("unknown", this->Outcome(2).c_str());
  CHECK_EQUAL(1, this->started.size());
}

TEST(Requests, ServerErrorWithoutNotRunHeaderIsFinal) {
  this->Arrive(1, MakeOrder("k"));
  this->EndLastAttempt(Answered(503));
  CHECK_EQUAL(503, this->answers[1].status());
  STRCMP_EQUAL("complete", this->Outcome(1).c_str());
  CHECK_EQUAL(1, this->started.size());
}

TEST(Requests, OrderRefusedBeforeRunningIsRetriedOnAnotherServer) {
  this->Arrive(1, MakeOrder("k"));
  this->EndLastAttempt(Answered(503, true));
  CHECK_EQUAL(2, this->started.size());
  CHECK(this->started[0].backend != this->started[1].backend);
  this->EndLastAttempt(Answered(200));
  CHECK_EQUAL(200, this->answers[1].status());
}

TEST(Requests, OrderRefusedByAllServersIsQueuedUntilASlotIsFree) {
  this->Arrive(1, MakeOrder("k"));
  this->EndLastAttempt(Answered(503, true));
  this->EndLastAttempt(Answered(503, true));
  CHECK_EQUAL(2, this->started.size());
  CHECK_FALSE(this->answers.contains(1));
  this->AdvanceTime(Milliseconds(10));
  CHECK_EQUAL(3, this->started.size());
  this->EndLastAttempt(Answered(200));
  CHECK_EQUAL(200, this->answers[1].status());
}

/// Later copies get the recorded outcome until one asks for a new generation.
TEST(Requests, NotRunIsFinalForLaterCopies) {
  for (int i = 0; i < 6; ++i) {
    if (i == 0) {
      this->Arrive(1, MakeOrder("k"));
    }
    this->EndLastAttempt({.kind = AttemptResult::Kind::kNotSent});
  }
  STRCMP_EQUAL("not-run", this->Outcome(1).c_str());
  const std::size_t before = this->started.size();
  this->Arrive(2, MakeOrder("k"));
  STRCMP_EQUAL("not-run", this->Outcome(2).c_str());
  CHECK_EQUAL(before, this->started.size());
  HttpRequest again = MakeOrder("k");
  wire::HeaderField field;
  field.set_name(std::string(kGenerationHeader));
  field.set_value("2");
  again.headers.push_back(field);
  this->now += std::chrono::seconds(9);
  this->Announce("1.1.1.1:9", 3);
  this->Arrive(3, again);
  CHECK_EQUAL(before + 1, this->started.size());
}

/// No server is left for the last retry, but the request may have run in one of
/// the lost attempts.
TEST(Requests, LookupThatMayHaveRunIsNotReportedAsNotRun) {
  this->Arrive(1, MakeLookup());
  this->EndLastAttempt({.kind = AttemptResult::Kind::kLost});
  this->directory.backends.clear();
  this->Announce("1.1.1.3:9", 1, "other");
  this->Run(AttemptEnded{.attempt = this->started.back().attempt,
                         .result = {.kind = AttemptResult::Kind::kLost}});
  STRCMP_EQUAL("unknown", this->Outcome(1).c_str());
}

TEST(Requests, RetriesStayWithinTheBudget) {
  constexpr std::uint64_t kRequests = 200;
  for (std::uint64_t id = 1; id <= kRequests; ++id) {
    this->Arrive(id, MakeLookup());
    while (!this->answers.contains(id)) {
      this->EndLastAttempt({.kind = AttemptResult::Kind::kLost});
    }
  }
  const auto first = static_cast<std::uint64_t>(kInitialRetryTokens);
  CHECK(this->started.size() <= kRequests + kRequests / 10 + first);
}

TEST(Requests, LateAnswerOfACancelledAttemptIsDiscarded) {
  this->Arrive(1, MakeLookup());
  const std::uint64_t first = this->started.back().attempt;
  this->AdvanceTime(Milliseconds(700));
  CHECK_EQUAL(1, this->cancelled.size());
  this->Run(AttemptEnded{.attempt = first, .result = Answered(200)});
  CHECK_FALSE(this->answers.contains(1));
}

TEST(Requests, SlotLimitHoldsAndInteractiveRequestsGoFirst) {
  for (std::uint64_t id = 1; id <= 4; ++id) {
    this->Arrive(id, MakeOrder("k" + std::to_string(id)));
  }
  CHECK_EQUAL(4, this->started.size());
  this->Arrive(5, MakeOrder("k5"));
  this->Arrive(6, MakeLookup());
  CHECK_EQUAL(4, this->started.size());
  this->EndLastAttempt(Answered(200));
  CHECK_EQUAL(5, this->started.size());
  STRCMP_EQUAL("GET", this->started.back().request.method.c_str());
}

TEST(Requests, RequestBeyondTheQueueLimitIsRefusedAtOnce) {
  for (std::uint64_t id = 1; id <= 14; ++id) {
    this->Arrive(id, MakeOrder("k" + std::to_string(id)));
  }
  this->Arrive(15, MakeOrder("late"));
  STRCMP_EQUAL("not-run", this->Outcome(15).c_str());
}

TEST(Requests, AnnouncedLoadOfOtherInstancesDecays) {
  this->Announce("1.1.1.1:9", 9, "shop", 2);
  const Backend& backend =
      this->directory.backends.at(*ParseEndpoint("1.1.1.1:9"));
  DOUBLES_EQUAL(2.0, EstimatedLoad(backend, this->now), 0.01);
  DOUBLES_EQUAL(0.5, EstimatedLoad(backend, this->now + Milliseconds(2000)),
                0.01);
}

TEST(Requests, ReannouncedServerGetsNoRequestsOfTheOldService) {
  this->Announce("1.1.1.1:9", 9, "other");
  this->Announce("1.1.1.2:9", 9, "other");
  this->Arrive(1, MakeLookup());
  STRCMP_EQUAL("not-run", this->Outcome(1).c_str());
  CHECK(this->started.empty());
}

TEST(Requests, ServersWithLapsedLeaseAreTriedWhenNoOthersRemain) {
  this->now += std::chrono::seconds(40);
  this->Arrive(1, MakeLookup());
  CHECK_EQUAL(1, this->started.size());
}

TEST(Requests, KeyReusedForAnotherRequestIsRefused) {
  this->Arrive(1, MakeOrder("k"));
  this->EndLastAttempt(Answered(200));
  HttpRequest other = MakeOrder("k");
  other.body = "something else";
  this->Arrive(2, other);
  CHECK_EQUAL(422, this->answers[2].status());
}

/// Another instance may have run a copy of the order, so a stopping instance
/// must not report it as not run.
TEST(Requests, CopyRefusedByAStoppingInstanceIsUnknown) {
  this->tier.stopping = true;
  this->Arrive(1, MakeOrder("k"));
  STRCMP_EQUAL("unknown", this->Outcome(1).c_str());
  this->Arrive(2, MakeLookup());
  STRCMP_EQUAL("not-run", this->Outcome(2).c_str());
}

/// A recorder that lost its records in a restart must not confirm a key as new
/// before it has pulled the records of the key's other recorders, since the
/// order would run twice.
TEST(Requests, RecorderConfirmsOnlyKeysItHasPulled) {
  OrderLog fresh{.self = 1, .pool = {1, 2, 3}, .unsure_with = {2, 3}};
  wire::Claim claim;
  claim.mutable_record()->set_key("k");
  claim.mutable_record()->set_attempt(5);
  CHECK(ProcessClaim(fresh, claim, this->now).amnesiac());
  MergeRecords(fresh, 2, {}, this->now);
  CHECK(ProcessClaim(fresh, claim, this->now).granted());
  CHECK_FALSE(HasCompleteRecords(fresh, "k"));
  wire::RecordsPage lost_at_both_recorders;
  lost_at_both_recorders.add_unsure_with(1);
  MergeRecords(fresh, 3, lost_at_both_recorders, this->now);
  CHECK_FALSE(HasCompleteRecords(fresh, "k"));
  MergeRecords(fresh, 3, {}, this->now);
  CHECK(HasCompleteRecords(fresh, "k"));
}

TEST(Requests, StoredResponseBytesAreBounded) {
  OrderLog small{.answer_byte_limit = 1000};
  wire::OrderRecord record;
  record.set_phase(wire::DONE);
  record.mutable_answer()->set_status(200);
  record.mutable_answer()->set_body(std::string(300, 'x'));
  for (std::uint64_t i = 1; i <= 10; ++i) {
    record.set_key(std::to_string(i));
    record.set_attempt(i);
    RecordOutcome(small, record, this->now);
    RecordOutcome(small, record, this->now);
  }
  CHECK_EQUAL(900, small.answer_bytes);
  CHECK_EQUAL(10, small.records.size());
  CHECK_EQUAL(wire::INTENT, small.records.at("10").record.phase());
  RemoveExpiredOrders(small, this->now + std::chrono::hours(1));
  CHECK_EQUAL(0, small.answer_bytes);
}

TEST(Requests, OrderRecordCountIsBounded) {
  OrderLog small{.limit = 10};
  wire::Claim claim;
  for (int i = 0; i < 20; ++i) {
    claim.mutable_record()->set_key(std::to_string(i));
    const wire::ClaimReply reply = ProcessClaim(small, claim, this->now);
    CHECK_EQUAL(i < 10, reply.granted());
  }
  RemoveExpiredOrders(small, this->now + std::chrono::hours(1));
  CHECK(small.records.empty());
}

/// One instance, which is no recorder itself, and three recorders whose replies
/// the test delivers.
TEST_GROUP(OrderRecording) {
  Rules rules;
  Directory directory;
  std::set<std::uint32_t> silent;
  RequestTier tier;
  TimePoint now{std::chrono::hours(1)};
  std::vector<RequestEffect> effects;

  void setup() override {
    this->rules.services["shop"] = ServiceRule{.name = "shop"};
    this->rules.requests = {
        RequestRule{.service = "shop", .method = "POST", .path = "/orders"}};
    this->tier.self = 9;
    this->tier.recorder_pool = {1, 2, 3};
    wire::BackendRecord record;
    record.mutable_announcement()->set_address("1.1.1.1:9");
    record.mutable_announcement()->set_service("shop");
    record.mutable_announcement()->set_sequence(1);
    record.mutable_announcement()->set_phase(wire::READY);
    record.mutable_announcement()->set_slots(2);
    ApplyAnnouncement(this->directory, record, this->now);
  }

  void Run(const RequestEvent& event) {
    const RequestEnvironment environment{.rules = this->rules,
                                         .directory = this->directory,
                                         .silent = this->silent,
                                         .now = this->now};
    for (RequestEffect& effect : Reduce(this->tier, event, environment)) {
      this->effects.push_back(std::move(effect));
    }
  }

  template <typename Effect>
  std::vector<Effect> Collect() const {
    std::vector<Effect> found;
    for (const RequestEffect& effect : this->effects) {
      if (const auto* wanted = std::get_if<Effect>(&effect)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }

  /// Runs an order until its server has answered. Returns the claim's id.
  std::uint64_t RunOrder() {
    this->Run(RequestArrived{.id = 1, .request = MakeOrder("k")});
    const auto claim = this->Collect<SendClaim>().at(0);
    for (const std::uint32_t recorder : {1U, 2U}) {
      wire::ClaimReply reply;
      reply.set_key(claim.claim.record().key());
      reply.set_attempt(claim.claim.record().attempt());
      reply.set_granted(true);
      this->Run(ClaimAnswered{.from = recorder, .reply = reply});
    }
    const auto started = this->Collect<StartAttempt>();
    CHECK_EQUAL(1, started.size());
    this->Run(AttemptEnded{.attempt = started.at(0).attempt,
                           .result = Answered(200)});
    return claim.claim.record().attempt();
  }

  std::size_t Answers() const { return this->Collect<AnswerCaller>().size(); }
};

TEST(OrderRecording, CallerIsAnsweredOnceAMajorityHasTheOutcome) {
  const std::uint64_t claim = this->RunOrder();
  CHECK_EQUAL(3, this->Collect<SendOutcome>().size());
  CHECK_EQUAL(0, this->Answers());
  this->Run(OutcomeRecorded{.from = 2, .claim_attempt = claim});
  this->Run(OutcomeRecorded{.from = 2, .claim_attempt = claim});
  CHECK_EQUAL(0, this->Answers());
  this->Run(OutcomeRecorded{.from = 3, .claim_attempt = claim});
  CHECK_EQUAL(1, this->Answers());
  const wire::Answer answer = this->Collect<AnswerCaller>().at(0).answer;
  CHECK_EQUAL(200, answer.status());
  CHECK_EQUAL(std::string("complete"), GetOutcome(answer));
  CHECK(this->tier.open.empty());
  CHECK(this->tier.attempts.empty());
}

TEST(OrderRecording, SilentRecordersDelayTheResponseByTheTimeOutOnly) {
  this->RunOrder();
  this->now += Milliseconds(149);
  this->Run(RequestTick{});
  CHECK_EQUAL(0, this->Answers());
  this->now += Milliseconds(1);
  this->Run(RequestTick{});
  CHECK_EQUAL(1, this->Answers());
  CHECK_EQUAL(1, this->tier.counters["answered_unrecorded"]);
}

TEST(OrderRecording, CallerThatLeavesWhileTheOutcomeIsRecordedEndsTheRequest) {
  const std::uint64_t claim = this->RunOrder();
  this->Run(CallerDisconnected{.id = 1});
  this->Run(OutcomeRecorded{.from = 2, .claim_attempt = claim});
  this->Run(OutcomeRecorded{.from = 3, .claim_attempt = claim});
  CHECK_EQUAL(0, this->Answers());
  CHECK(this->tier.open.empty());
}

/// Guards against a request that reaches an evacuated data centre as all other
/// servers are tried already or full, or by a lapsed lease.
TEST(Requests, NoServerOfAnEvacuatedDataCentreIsACandidate) {
  for (auto& [address, backend] : this->directory.backends) {
    backend.data_centre = "here";
  }
  this->directory.backends.begin()->second.data_centre = "there";
  const Endpoint remaining = this->directory.backends.begin()->first;
  this->rules.evacuations["here"] = EvacuationRule{.data_centre = "here"};
  const TimePoint lapsed = this->now + this->directory.lease * 2;
  for (const TimePoint when : {this->now, lapsed}) {
    const auto candidates =
        FindCandidates(this->directory, this->rules, "shop", when);
    LONGS_EQUAL(1, candidates.size());
    CHECK(candidates.front()->address == remaining);
  }
  this->rules.evacuations["there"] = EvacuationRule{.data_centre = "there"};
  const Choice choice =
      ChooseBackend(this->directory, this->rules,
                    ChoiceRequest{.service = "shop", .seed = 3}, this->now);
  CHECK(choice.kind == Choice::Kind::kNone);
}
