#include "Forwarding/FlowExplanation.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Endpoint kAddress{.ip = 100, .port = 443};

wire::ServerRecord MakeRecord(const std::string& id, std::uint32_t ip,
                              const std::string& data_centre) {
  wire::ServerRecord record;
  record.set_id(id);
  record.set_service("catalogue");
  record.set_ip(ip);
  record.set_port(80);
  record.set_slots(2);
  record.set_data_centre(data_centre);
  record.set_incarnation(1);
  return record;
}

/// A route to the north whose service limits cold servers to two flows a
/// second.
wire::RoutesUpdate MakeRoutes() {
  wire::RoutesUpdate update;
  update.set_version(4);
  wire::Route& route = *update.add_set();
  route.set_ip(kAddress.ip);
  route.set_port(kAddress.port);
  route.set_timeout_ms(1000);
  route.set_objective_ms(500);
  route.set_priority(2);
  route.set_kind(wire::REQUEST_SAFE);
  route.add_regions("north");
  wire::RouteShare& share = *route.add_shares();
  share.set_service("catalogue");
  share.set_weight(1);
  wire::ServiceWarmup& warmup = *update.add_services();
  warmup.set_service("catalogue");
  warmup.set_warmup_ms(8000);
  warmup.set_flows_per_second(2);
  return update;
}

const ExplainedServer* Find(const FlowExplanation& explanation,
                            const std::string& id) {
  for (const ExplainedServer& item : explanation.servers) {
    if (item.id == id) {
      return &item;
    }
  }
  return nullptr;
}

DataCentreState StateOf(const FlowExplanation& explanation,
                        const std::string& name) {
  for (const ExplainedDataCentre& item : explanation.data_centres) {
    if (item.name == name) {
      return item.state;
    }
  }
  FAIL("data centre not shown");
  return DataCentreState::kIn;
}

}  // namespace

TEST_GROUP(FlowExplanation) {
  Forwarder forwarder;

  void setup() override {
    this->forwarder.placement.config = {
        .data_centre = "n1",
        .seed = 1,
        .regions = {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}},
        .balance_by_load = true};
    this->forwarder.serving = true;
    CHECK(ApplyRoutes(this->forwarder.routes, MakeRoutes(),
                      this->forwarder.placement));
    this->Add(MakeRecord("a1", 1, "n1"));  // Evacuated.
    wire::ServerRecord cold = MakeRecord("b2", 2, "n2");
    cold.set_warmup_ms(8000);
    this->Add(cold);
    wire::ServerRecord slow = MakeRecord("c3", 3, "n2");
    slow.set_slowness_percent(500);
    this->Add(slow);
    this->Add(MakeRecord("d4", 4, "n2"));
    this->Add(MakeRecord("e5", 5, "s1"));  // In the wrong region.
    SetEvacuated(this->forwarder.placement, {"n1"}, kStart);
    RefreshUsable(this->forwarder.placement);
    TakeWarmupLease(this->forwarder.placement.warmup,
                    this->forwarder.placement.by_id.at("b2"), 1, 2, kStart,
                    kStart);
  }

  void Add(const wire::ServerRecord& record) {
    UpdateServer(this->forwarder.placement, record, kStart);
  }

  static FlowQuery Query(std::uint16_t port) {
    return {.key = {.caller = {.ip = 7, .port = port}, .address = kAddress}};
  }

  /// Sends a packet of a flow that is open.
  static void Continue(Forwarder & at, std::uint16_t port, bool closes,
                       TimePoint now) {
    const auto open = at.flows.find(Query(port).key);
    if (open != at.flows.end()) {
      const PlacedServer& server = at.placement.servers[open->second.server];
      DecidePacket(
          at, {.key = Query(port).key, .closes = closes, .token = server.token},
          now);
    }
  }

  /// Opens a flow. Earlier flows are answered, and end after 400 ms, so that
  /// the service becomes slow and flows are refused.
  static Decision Open(Forwarder & at, std::uint16_t port, TimePoint now) {
    const Decision decision =
        DecidePacket(at, {.key = Query(port).key, .opens = true}, now);
    Continue(at, port - 5, false, now);
    Continue(at, port - 200, true, now);
    return decision;
  }

  FlowExplanation Explain() {
    return ExplainFlow(this->forwarder, Query(9), kStart);
  }
};

/// Guards against an explanation that follows other rules than the decision,
/// and against one that changes the state: a later draw, spent warm-up budget,
/// recorded demand.
TEST(FlowExplanation, SaysWhatIsDecidedNextAndChangesNothing) {
  Forwarder unasked = this->forwarder;
  int refused = 0;
  int forwarded = 0;
  for (std::uint16_t port = 1; port <= 1000; ++port) {
    const TimePoint now = kStart + Milliseconds(2 * port);
    ExpireFlows(this->forwarder, now);
    FlowQuery query = Query(port);
    query.refusal_interval = port / 50;
    const FlowExplanation first = ExplainFlow(this->forwarder, query, now);
    const FlowExplanation again = ExplainFlow(this->forwarder, query, now);
    STRCMP_EQUAL(first.server.c_str(), again.server.c_str());
    LONGS_EQUAL(unasked.placement.draw_count,
                this->forwarder.placement.draw_count);
    STRCMP_EQUAL("", first.open_at.c_str());
    // As a packet does whose time lies in a new interval.
    unasked.admission.refusal_interval = query.refusal_interval;
    this->forwarder.admission.refusal_interval = query.refusal_interval;
    const Decision expected = Open(unasked, port, now);
    const Decision decision = Open(this->forwarder, port, now);
    CHECK(decision.verdict == expected.verdict);
    LONGS_EQUAL(expected.server, decision.server);
    CHECK(first.verdict == decision.verdict);
    CHECK(first.reason == decision.reason);
    refused += decision.reason == ForwardReason::kOverload ? 1 : 0;
    if (decision.verdict == Verdict::kForward) {
      forwarded += 1;
      STRCMP_EQUAL(
          this->forwarder.placement.servers[decision.server].id.c_str(),
          first.server.c_str());
      STRCMP_EQUAL(first.server.c_str(),
                   ExplainFlow(this->forwarder, query, now).open_at.c_str());
    }
    CHECK_EQUAL(decision.reason != ForwardReason::kOverload,
                IsAdmitted(first.admission->decision.reason));
  }
  CHECK(refused > 20);
  CHECK(forwarded > 20);
  LONGS_EQUAL(unasked.counters.overload, this->forwarder.counters.overload);
  LONGS_EQUAL(unasked.placement.warmup.counters.placed,
              this->forwarder.placement.warmup.counters.placed);
  LONGS_EQUAL(unasked.admission.counters.refused,
              this->forwarder.admission.counters.refused);
}

/// Guards against a part that is left out or shown with another cause.
TEST(FlowExplanation, ShowsEachPart) {
  const FlowExplanation explanation = this->Explain();
  STRCMP_EQUAL("catalogue", explanation.route->service.c_str());
  LONGS_EQUAL(2, explanation.route->priority);
  CHECK(StateOf(explanation, "n1") == DataCentreState::kEvacuated);
  CHECK(StateOf(explanation, "n2") == DataCentreState::kIn);
  CHECK(StateOf(explanation, "s1") == DataCentreState::kOutOfRegion);
  POINTERS_EQUAL(nullptr, Find(explanation, "a1"));
  CHECK(Find(explanation, "e5")->state == ServerState::kOutOfRegion);
  DOUBLES_EQUAL(5, Find(explanation, "c3")->slowness, 0.001);
  const ExplainedServer& cold = *Find(explanation, "b2");
  CHECK(cold.limited);
  LONGS_EQUAL(8000, cold.warmup_left.count());
  LONGS_EQUAL(2, cold.allowance.flows_left);
  CHECK(explanation.draws.load);
  CHECK(!explanation.draws.service);
  CHECK(explanation.admission->decision.reason ==
        AdmissionReason::kWithinShare);
  CHECK(explanation.verdict == Verdict::kForward);
  STRCMP_EQUAL(explanation.server.c_str(), explanation.servers[0].id.c_str());
}

/// Guards against a reset whose cause is not told.
TEST(FlowExplanation, SaysWhyAFlowIsResetOrHeld) {
  for (const char* id : {"c3", "d4"}) {
    wire::ServerRecord gone = MakeRecord(id, 9, "n2");
    gone.set_silent(true);
    gone.set_sequence(2);
    this->Add(gone);
  }
  RefreshUsable(this->forwarder.placement);
  const TimePoint expired = kStart + Milliseconds(1500);
  const FlowExplanation no_budget =
      ExplainFlow(this->forwarder, Query(9), expired);
  CHECK(no_budget.verdict == Verdict::kReset);
  CHECK(no_budget.lacks_budget);
  CHECK(Find(no_budget, "b2")->state == ServerState::kNoBudget);
  LONGS_EQUAL(0, Find(no_budget, "b2")->allowance.flows_per_second);
  FlowQuery unknown = this->Query(9);
  unknown.key.address.port = 80;
  const FlowExplanation no_route =
      ExplainFlow(this->forwarder, unknown, kStart);
  CHECK(!no_route.route);
  CHECK(no_route.reason == ForwardReason::kNoRoute);
  this->forwarder.serving = false;
  CHECK(this->Explain().verdict == Verdict::kHold);
  CHECK(this->Explain().reason == ForwardReason::kNotServing);
}

/// Guards against a reset by an instance out of contact that is put down to
/// cold servers.
TEST(FlowExplanation, ShowsServersThatAreNotConfirmed) {
  WarmupBudget& budget = this->forwarder.placement.warmup;
  const ServerIndex warm = this->forwarder.placement.by_id.at("d4");
  RecordLastFlow(budget, warm, kStart);
  CHECK(Find(this->Explain(), "d4")->state == ServerState::kCandidate);
  budget.confirmed_until = kStart;
  CHECK(Find(this->Explain(), "d4")->state == ServerState::kUnconfirmed);
  CHECK(!this->Explain().lacks_budget);
  RecordLastFlow(budget, this->forwarder.placement.by_id.at("c3"), kStart);
  budget.servers.clear();
  CHECK(this->Explain().verdict == Verdict::kReset);
  CHECK(this->Explain().lacks_budget);
}

/// Guards against an answer that grows with the fleet, and one in which the
/// chosen server is among those left out.
TEST(FlowExplanation, IsBounded) {
  for (int i = 0; i < 200; ++i) {
    this->Add(MakeRecord("f" + std::to_string(1000 + i), 1000 + i, "n2"));
  }
  RefreshUsable(this->forwarder.placement);
  const FlowExplanation explanation = this->Explain();
  LONGS_EQUAL(kMaxExplained, explanation.servers.size());
  LONGS_EQUAL(204 - kMaxExplained, explanation.servers_left_out);
  STRCMP_EQUAL(explanation.server.c_str(), explanation.servers[0].id.c_str());
}
