#include <array>
#include <map>
#include <string>

#include "Forwarding/Forwarder.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Endpoint kAddress{.ip = 100, .port = 443};

wire::ServerRecord MakeRecord(const std::string& id, std::uint32_t ip,
                              const std::string& service) {
  wire::ServerRecord record;
  record.set_id(id);
  record.set_service(service);
  record.set_ip(ip);
  record.set_port(80);
  record.set_slots(3);
  record.set_data_centre("here");
  record.set_incarnation(1);
  return record;
}

wire::RoutesUpdate MakeRoutes(std::uint64_t base, std::uint64_t version,
                              const std::string& service) {
  wire::RoutesUpdate update;
  update.set_base_version(base);
  update.set_version(version);
  wire::Route& route = *update.add_set();
  route.set_ip(kAddress.ip);
  route.set_port(kAddress.port);
  route.set_timeout_ms(1000);
  wire::RouteShare& share = *route.add_shares();
  share.set_service(service);
  share.set_weight(1);
  return update;
}

FlowPacket OpeningPacket(std::uint16_t port, std::uint32_t copies = 0) {
  return FlowPacket{
      .key = {.caller = {.ip = 7, .port = port}, .address = kAddress},
      .opens = true,
      .copies = copies};
}

FlowPacket LaterPacket(std::uint16_t port, std::uint32_t token) {
  return FlowPacket{
      .key = {.caller = {.ip = 7, .port = port}, .address = kAddress},
      .token = token};
}

}  // namespace

TEST_GROUP(Forwarder) {
  Forwarder forwarder;

  void setup() override {
    this->forwarder.placement.config = {.data_centre = "here", .seed = 1};
    this->forwarder.serving = true;
    this->Add("a1", 1, "proof");
    this->Add("a2", 2, "proof");
    CHECK(ApplyRoutes(this->forwarder.routes, MakeRoutes(0, 4, "proof"),
                      this->forwarder.placement));
  }

  void Add(const std::string& id, std::uint32_t ip,
           const std::string& service) {
    UpdateServer(this->forwarder.placement, MakeRecord(id, ip, service),
                 kStart);
    RefreshUsable(this->forwarder.placement);
  }

  PlacedServer& At(ServerIndex index) {
    return this->forwarder.placement.servers[index];
  }

  Decision Decide(const FlowPacket& packet, TimePoint now = kStart) {
    return DecidePacket(this->forwarder, packet, now);
  }
};

TEST(Forwarder, LaterPacketsFollowTheTokenAtAnyInstance) {
  const Decision opened = this->Decide(OpeningPacket(1));
  CHECK(opened.verdict == Verdict::kForward);
  const std::uint32_t token = this->At(opened.server).token;
  Forwarder other;  // An instance without any record of the flow.
  UpdateServer(other.placement, MakeRecord("a2", 2, "proof"), kStart);
  UpdateServer(other.placement, MakeRecord("a1", 1, "proof"), kStart);
  RefreshUsable(other.placement);
  const Decision later = DecidePacket(other, LaterPacket(1, token), kStart);
  CHECK(later.verdict == Verdict::kForward);
  CHECK(other.placement.servers[later.server].token == token);
}

TEST(Forwarder, FlowsStayWithADrainingServer) {
  const Decision opened = this->Decide(OpeningPacket(1));
  const std::uint32_t token = this->At(opened.server).token;
  wire::ServerRecord record = MakeRecord(
      this->At(opened.server).id, this->At(opened.server).address.ip, "proof");
  for (const wire::ServerPhase phase :
       {wire::SERVER_DRAINING, wire::SERVER_GONE}) {
    record.set_phase(phase);
    UpdateServer(this->forwarder.placement, record, kStart);
    RefreshUsable(this->forwarder.placement);
    const Decision later = this->Decide(LaterPacket(1, token));
    CHECK(later.verdict == Verdict::kForward);
    CHECK(later.server == opened.server);
  }
}

TEST(Forwarder, FlowsStayThroughNewRules) {
  const Decision opened = this->Decide(OpeningPacket(1));
  const std::uint32_t token = this->At(opened.server).token;
  this->Add("c1", 9, "catalogue");
  CHECK(ApplyRoutes(this->forwarder.routes, MakeRoutes(4, 9, "catalogue"),
                    this->forwarder.placement));
  CHECK(this->Decide(LaterPacket(1, token)).server == opened.server);
  const Decision fresh = this->Decide(OpeningPacket(2));
  STRCMP_EQUAL("c1", this->At(fresh.server).id.c_str());
}

TEST(Forwarder, RemovedRoutesResetTheirFlows) {
  const Decision opened = this->Decide(OpeningPacket(1));
  const std::uint32_t token = this->At(opened.server).token;
  wire::RoutesUpdate update;
  update.set_base_version(4);
  update.set_version(5);
  update.add_removed(KeyOf(kAddress));
  CHECK(ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  CHECK(this->Decide(LaterPacket(1, token)).verdict == Verdict::kReset);
  CHECK(this->Decide(OpeningPacket(2)).verdict == Verdict::kReset);
}

TEST(Forwarder, AResetIsNotAnsweredWithAReset) {
  wire::RoutesUpdate update;
  update.set_base_version(4);
  update.set_version(5);
  update.add_removed(KeyOf(kAddress));
  CHECK(ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  FlowPacket reset = LaterPacket(1, 0);
  reset.aborts = true;
  CHECK(this->Decide(reset).verdict == Verdict::kDrop);
}

TEST(Forwarder, OlderRulesAreRejected) {
  CHECK_FALSE(ApplyRoutes(this->forwarder.routes, MakeRoutes(0, 4, "other"),
                          this->forwarder.placement));
  CHECK_FALSE(ApplyRoutes(this->forwarder.routes, MakeRoutes(0, 3, "other"),
                          this->forwarder.placement));
  CHECK_FALSE(ApplyRoutes(this->forwarder.routes, MakeRoutes(3, 7, "other"),
                          this->forwarder.placement));
  CHECK_EQUAL(4, this->forwarder.routes.version);
}

TEST(Forwarder, ARetransmittedOpeningPacketGoesToAnotherServer) {
  const Decision first = this->Decide(OpeningPacket(1));
  const Decision second =
      this->Decide(OpeningPacket(1, 1), kStart + Milliseconds(200));
  CHECK(second.reason == ForwardReason::kPlacedAgain);
  CHECK(second.server != first.server);
  LONGS_EQUAL(0, this->At(first.server).in_flight);
  LONGS_EQUAL(1, this->At(second.server).in_flight);
}

/// Load: an instance stalls for less than it takes to detect, or holds an
/// opening packet until just before its copy comes. The two reach the servers
/// together. At two servers, both would accept the flow.
TEST(Forwarder, ACopyBehindItsDelayedPredecessorGoesToTheSameServer) {
  const Decision first = this->Decide(OpeningPacket(1));
  const Decision copy =
      this->Decide(OpeningPacket(1, 1), kStart + Milliseconds(1));
  CHECK(copy.verdict == Verdict::kForward);
  CHECK(copy.server == first.server);
  LONGS_EQUAL(1, this->At(first.server).in_flight);
  LONGS_EQUAL(1, this->forwarder.counters.placed);
  LONGS_EQUAL(0, this->forwarder.counters.placed_again);
}

TEST(Forwarder, ALateRetransmissionStaysWithTheServerThatAnswered) {
  const Decision first = this->Decide(OpeningPacket(1));
  this->Decide(LaterPacket(1, this->At(first.server).token),
               kStart + Milliseconds(5));
  const Decision copy =
      this->Decide(OpeningPacket(1, 1), kStart + Milliseconds(200));
  CHECK(copy.server == first.server);
  LONGS_EQUAL(1, this->At(first.server).in_flight);
}

TEST(Forwarder, EndedAndExpiredFlowsAreNoLongerCounted) {
  const Decision first = this->Decide(OpeningPacket(1));
  FlowPacket last = LaterPacket(1, this->At(first.server).token);
  last.closes = true;
  this->Decide(last, kStart + Milliseconds(30));
  LONGS_EQUAL(0, this->At(first.server).in_flight);
  const Decision second = this->Decide(OpeningPacket(2));
  LONGS_EQUAL(1, this->At(second.server).in_flight);
  ExpireFlows(this->forwarder, kStart + std::chrono::seconds(2));
  LONGS_EQUAL(0, this->At(second.server).in_flight);
  LONGS_EQUAL(0, this->forwarder.flows.size());
}

TEST(Forwarder, EndedFlowsLeaveNothingBehind) {
  for (std::uint32_t i = 0; i < 10000; ++i) {
    const auto port = static_cast<std::uint16_t>(1 + i % 100);
    const TimePoint now = kStart + Microseconds(i);
    const Decision opened = this->Decide(OpeningPacket(port), now);
    CHECK(opened.verdict == Verdict::kForward);
    FlowPacket last = LaterPacket(port, this->At(opened.server).token);
    last.aborts = true;
    this->Decide(last, now);
  }
  LONGS_EQUAL(0, this->forwarder.flows.size());
  LONGS_EQUAL(0, this->forwarder.timers.size());
}

TEST(Forwarder, FlowsOfARouteWithoutSharesAreReset) {
  wire::RoutesUpdate routes = MakeRoutes(0, 8, "proof");
  routes.mutable_set(0)->mutable_shares(0)->set_weight(0);
  CHECK(ApplyRoutes(this->forwarder.routes, routes, this->forwarder.placement));
  CHECK(this->Decide(OpeningPacket(1)).verdict == Verdict::kReset);
}

TEST(Forwarder, WeightsThatAddUpTo32BitsAreNoneTheLess) {
  wire::RoutesUpdate routes = MakeRoutes(0, 8, "proof");
  routes.mutable_set(0)->mutable_shares(0)->set_weight(1U << 31U);
  *routes.mutable_set(0)->add_shares() = routes.set(0).shares(0);
  CHECK(ApplyRoutes(this->forwarder.routes, routes, this->forwarder.placement));
  CHECK(this->Decide(OpeningPacket(1)).verdict == Verdict::kForward);
}

TEST(Forwarder, UnknownTokensAndAddressesReachNoServer) {
  CHECK(this->Decide(LaterPacket(1, 0xdead)).verdict == Verdict::kDrop);
  FlowPacket opening = OpeningPacket(1);
  opening.key.address.port = 1;
  CHECK(this->Decide(opening).verdict == Verdict::kReset);
}

TEST(Forwarder, NoFlowIsOpenedBeforeTheInstanceServes) {
  this->forwarder.serving = false;
  const Decision decision = this->Decide(OpeningPacket(1));
  CHECK(decision.verdict == Verdict::kHold);
  CHECK(decision.reason == ForwardReason::kNotServing);
  LONGS_EQUAL(0, this->forwarder.flows.size());
}

TEST_GROUP(HeldOpenings) {
  HeldOpenings held;
  std::vector<std::uint8_t> bytes = {1, 2, 3};

  /// The callers' retransmission schedule: sends at 0, 200 and 600 ms, and
  /// gives up at 1,400 ms.
  bool Hold(std::uint16_t port, std::uint32_t copies, TimePoint now = kStart) {
    constexpr std::array<Milliseconds, 4> kSchedule = {
        Milliseconds(0), Milliseconds(200), Milliseconds(600),
        Milliseconds(1400)};
    FlowPacket packet = OpeningPacket(port, copies);
    packet.since_first_copy = kSchedule[copies];
    packet.retransmit_after = kSchedule[copies + 1] - kSchedule[copies];
    return HoldOpening(this->held, packet, this->bytes, now);
  }

  /// Starts the release; callers that waited at most 100 ms may be in time.
  static void Release(HeldOpenings & held, TimePoint now) {
    StartRelease(
        held,
        [now](const HeldOpening& opening) {
          return now - opening.first_sent_at <= Milliseconds(100);
        },
        now);
  }

  /// Releases all packets; returns the release time by the caller's port.
  std::map<std::uint16_t, TimePoint> ReleaseAll(TimePoint start) {
    std::map<std::uint16_t, TimePoint> sent;
    Release(this->held, start);
    TimePoint now = start;
    while (this->held.release_at != TimePoint::max()) {
      for (const HeldOpening& item : TakeDueOpenings(this->held, now)) {
        sent[item.key.caller.port] = now;
      }
      now += Milliseconds(5);
    }
    return sent;
  }
};

TEST(HeldOpenings, PacketsAreReleasedOnce) {
  CHECK(this->Hold(1, 0));
  Release(this->held, kStart + Milliseconds(100));
  const auto due = TakeDueOpenings(this->held, kStart + Milliseconds(100));
  LONGS_EQUAL(1, due.size());
  CHECK(due[0].bytes == this->bytes);
  CHECK(TakeDueOpenings(this->held, kStart + Milliseconds(200)).empty());
  CHECK_EQUAL(1, this->held.released);
}

TEST(HeldOpenings, NoPacketIsReleasedAfterItsRetransmission) {
  CHECK(this->Hold(1, 0));
  CHECK(this->Hold(2, 2));
  const auto sent = this->ReleaseAll(kStart + Milliseconds(200));
  LONGS_EQUAL(1, sent.size());
  CHECK(sent.contains(2));
  CHECK_EQUAL(1, this->held.lapsed);
}

TEST(HeldOpenings, ALaterCopyReplacesAnEarlierOne) {
  CHECK(this->Hold(1, 0));
  CHECK(this->Hold(1, 1, kStart + Milliseconds(200)));
  LONGS_EQUAL(1, this->ReleaseAll(kStart + Milliseconds(500)).size());
}

TEST(HeldOpenings, AFloodKeepsLaterPacketsOutOnlyUntilItExpires) {
  for (std::uint16_t port = 1; port <= 5000; ++port) {
    CHECK(this->Hold(port, 0));
  }
  CHECK_FALSE(this->Hold(6000, 0));
  CHECK(this->Hold(6000, 0, kStart + Milliseconds(200)));
  LONGS_EQUAL(1, this->held.openings.size());
}

TEST(HeldOpenings, PacketsOfFlowsOpenedElsewhereAreDiscarded) {
  CHECK(this->Hold(1, 2));
  CHECK(this->Hold(2, 2));
  Forwarder forwarder;
  forwarder.held = this->held;
  DecidePacket(forwarder, LaterPacket(1, 7), kStart);
  Release(forwarder.held, kStart);
  DecidePacket(forwarder, LaterPacket(2, 7), kStart);
  CHECK(TakeDueOpenings(forwarder.held, kStart).empty());
}

TEST(HeldOpenings, PacketsWithoutAScheduleAreNotStored) {
  CHECK_FALSE(HoldOpening(this->held, OpeningPacket(1), this->bytes, kStart));
  CHECK_EQUAL(1, this->held.lapsed);
}

TEST(HeldOpenings, CallersThatMayBeServedInTimeAreReleasedFirst) {
  CHECK(this->Hold(1, 2));
  CHECK(this->Hold(2, 1));
  CHECK(this->Hold(3, 0, kStart + Milliseconds(50)));
  const auto sent = this->ReleaseAll(kStart + Milliseconds(60));
  CHECK(sent.at(3) < sent.at(1));
  CHECK(sent.at(1) < sent.at(2));
}

/// Guards against callers that wait up to 800 ms for their next retransmission,
/// and against a burst of released packets. All instances are down for 1.4 s
/// and load the rules 400 ms after their start, while 100 callers per second
/// open flows. A caller whose last copy arrives before the instance serves is
/// served only if that copy was stored.
TEST(HeldOpenings, StoredPacketsAreReleasedSoonInSmallBatches) {
  constexpr Milliseconds kOutage{1400};
  constexpr Milliseconds kStartup{400};
  constexpr Milliseconds kBetweenCallers{10};
  const std::array<Milliseconds, 3> sent_at = {
      Milliseconds(0), Milliseconds(200), Milliseconds(600)};
  const TimePoint up = kStart + kOutage;
  const TimePoint serves = up + kStartup;
  std::vector<std::uint16_t> last_copies;
  std::uint16_t caller = 0;
  for (TimePoint first = kStart; first < serves; first += kBetweenCallers) {
    caller += 1;
    for (std::uint32_t copy = 0; copy < sent_at.size(); ++copy) {
      const TimePoint at = first + sent_at[copy];
      if (at >= up && at < serves) {
        this->Hold(caller, copy, at);
        if (copy == 2) {
          last_copies.push_back(caller);
        }
      }
    }
  }
  const auto sent = this->ReleaseAll(serves);
  CHECK(last_copies.size() >= 40);
  std::map<TimePoint, int> at_once;
  for (const auto& [port, at] : sent) {
    at_once[at] += 1;
    CHECK(at_once[at] <= 10);
  }
  for (const std::uint16_t port : last_copies) {
    CHECK(sent.contains(port));
  }
}

TEST(Forwarder, FlowsOfAServiceWithoutServersAreReset) {
  CHECK(ApplyRoutes(this->forwarder.routes, MakeRoutes(0, 8, "nobody"),
                    this->forwarder.placement));
  const Decision decision = this->Decide(OpeningPacket(1));
  CHECK(decision.verdict == Verdict::kReset);
  CHECK(decision.reason == ForwardReason::kNoServer);
}

TEST(Forwarder, OverloadRefusesOnlyNewFlows) {
  wire::RoutesUpdate routes = MakeRoutes(0, 9, "proof");
  routes.mutable_set(0)->set_objective_ms(100);
  routes.mutable_set(0)->set_kind(wire::REQUEST_SAFE);
  ApplyRoutes(this->forwarder.routes, routes, this->forwarder.placement);
  TimePoint now = kStart;
  const auto open = [&](std::uint16_t port) {
    return DecidePacket(this->forwarder, OpeningPacket(port), now);
  };
  const std::uint32_t token =
      this->forwarder.placement.servers[open(1).server].token;
  DecidePacket(this->forwarder, LaterPacket(1, token), now);
  // Each flow takes 1.5 times the latency objective.
  for (std::uint16_t port = 100; port < 140; ++port) {
    if (open(port).verdict != Verdict::kForward) {
      break;
    }
    FlowPacket first = LaterPacket(port, token);
    DecidePacket(this->forwarder, first, now);
    now += Milliseconds(150);
    FlowPacket last = LaterPacket(port, token);
    last.closes = true;
    last.ack_number = 1000;
    DecidePacket(this->forwarder, last, now);
  }
  const Decision refused = open(500);
  CHECK(refused.verdict == Verdict::kReset);
  CHECK(refused.reason == ForwardReason::kOverload);
  CHECK(DecidePacket(this->forwarder, OpeningPacket(501, 1), now).verdict ==
        Verdict::kForward);
  CHECK(DecidePacket(this->forwarder, LaterPacket(1, token), now).verdict ==
        Verdict::kForward);
  this->forwarder.refuses_overload = false;
  CHECK(open(502).verdict == Verdict::kForward);
}

/// Guards against routes whose priority does not reach admission control or the
/// order of late openings.
TEST(Forwarder, AdmissionAndLateOpeningsGetThePriorityOfTheRoute) {
  wire::RoutesUpdate routes = MakeRoutes(0, 9, "proof");
  routes.mutable_set(0)->set_objective_ms(100);
  routes.mutable_set(0)->set_kind(wire::REQUEST_SAFE);
  routes.mutable_set(0)->set_priority(3);
  ApplyRoutes(this->forwarder.routes, routes, this->forwarder.placement);
  const FlowClass expected{.priority = 3, .retryable = true};
  const ServiceIndex service =
      this->forwarder.placement.servers[this->Decide(OpeningPacket(1)).server]
          .service;
  const auto& classes = this->forwarder.admission.services[service].classes;
  LONGS_EQUAL(1, classes.size());
  CHECK(classes[0].flow_class == expected);
  FlowPacket late = OpeningPacket(2, 1);
  late.since_first_copy = Milliseconds(200);
  Decision decision = this->Decide(late);
  for (; decision.verdict == Verdict::kForward; decision = this->Decide(late)) {
    late.key.caller.port += 1;
  }
  CHECK(decision.reason == ForwardReason::kLate);
  CHECK(decision.late_order.flow_class == expected);
}

TEST(Forwarder, LateOpeningsWaitForCapacityThatOthersLeave) {
  wire::RoutesUpdate routes = MakeRoutes(0, 9, "proof");
  routes.mutable_set(0)->set_objective_ms(100);
  ApplyRoutes(this->forwarder.routes, routes, this->forwarder.placement);
  FlowPacket late = OpeningPacket(1, 1);
  late.since_first_copy = Milliseconds(200);
  late.retransmit_after = Milliseconds(400);
  Decision decision = this->Decide(late);
  const ServerIndex first_server = decision.server;
  for (; decision.verdict == Verdict::kForward; decision = this->Decide(late)) {
    late.key.caller.port += 1;
  }
  CHECK(decision.verdict == Verdict::kHold);
  CHECK(decision.reason == ForwardReason::kLate);
  CHECK(this->Decide(OpeningPacket(500)).verdict == Verdict::kForward);

  const std::array<std::uint8_t, 1> bytes = {1};
  HoldPacket(this->forwarder, late, decision, bytes, kStart);
  CHECK(!TakeLateOpening(this->forwarder.late, kStart));
  const std::uint32_t token = this->At(first_server).token;
  this->Decide(LaterPacket(1, token));
  FlowPacket last = LaterPacket(1, token);
  last.closes = true;
  this->Decide(last, kStart + Milliseconds(30));
  const auto released =
      TakeLateOpening(this->forwarder.late, kStart + Milliseconds(30));
  CHECK(released.has_value());
  CHECK(released->key == late.key);
  RestoreTimes(late, *released, kStart + Milliseconds(30));
  CHECK(this->Decide(late, kStart + Milliseconds(30)).verdict ==
        Verdict::kForward);
}

TEST(Forwarder, AFlowEndIsCountedForTheServiceOfItsOpening) {
  const Decision opened = this->Decide(OpeningPacket(1));
  const PlacedServer server = this->At(opened.server);
  this->Decide(LaterPacket(1, server.token));
  LONGS_EQUAL(1,
              this->forwarder.admission.services.at(server.service).in_flight);
  // The same server restarts with another service.
  wire::ServerRecord record = MakeRecord(server.id, 1, "catalogue");
  record.set_incarnation(2);
  UpdateServer(this->forwarder.placement, record, kStart);
  FlowPacket last = LaterPacket(1, server.token);
  last.closes = true;
  this->Decide(last);
  LONGS_EQUAL(0,
              this->forwarder.admission.services.at(server.service).in_flight);
}

TEST(Forwarder, FlowsAreSplitByWeight) {
  wire::RoutesUpdate update = MakeRoutes(0, 8, "proof");
  update.mutable_set(0)->mutable_shares(0)->set_weight(9);
  wire::RouteShare& other = *update.mutable_set(0)->add_shares();
  other.set_service("catalogue");
  other.set_weight(1);
  this->Add("c1", 9, "catalogue");
  CHECK(ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  int elsewhere = 0;
  for (std::uint16_t port = 1; port <= 2000; ++port) {
    const Decision decision = this->Decide(OpeningPacket(port));
    elsewhere += this->At(decision.server).id == "c1" ? 1 : 0;
  }
  CHECK(elsewhere > 120);
  CHECK(elsewhere < 300);
}

TEST_GROUP_BASE(FlowOutcomes, TEST_GROUP_CppUTestGroupForwarder){
    /// Runs a flow whose answer has `length` bytes; returns its server.
    ServerIndex RunFlow(std::uint16_t port, std::uint32_t length,
                        TimePoint now = kStart){
        const Decision decision = this->Decide(OpeningPacket(port), now);
const std::uint32_t token = this->At(decision.server).token;
FlowPacket first = LaterPacket(port, token);
first.ack_number = 0xFFFFFF00;  // Sequence numbers wrap.
this->Decide(first, now + Milliseconds(2));
FlowPacket last = LaterPacket(port, token);
last.ack_number = first.ack_number + length;
last.closes = true;
this->Decide(last, now + Milliseconds(40));
return decision.server;
}

OutcomeDelta Unreported(ServerIndex server) {
  return this->forwarder.outcomes.unreported[server];
}
}
;

TEST(FlowOutcomes, AnAnswerFarShorterThanAverageIsAFailure) {
  for (std::uint16_t port = 1; port <= 40; ++port) {
    this->RunFlow(port, 400 + 40U * port);
  }
  this->forwarder.outcomes.unreported.clear();
  const ServerIndex healthy = this->RunFlow(100, 700);
  CHECK_EQUAL(1, this->Unreported(healthy).served);
  this->forwarder.outcomes.unreported.clear();
  const ServerIndex failing = this->RunFlow(101, 179);
  CHECK_EQUAL(1, this->Unreported(failing).failed);
  CHECK_EQUAL(0, this->Unreported(failing).served);
}

TEST(FlowOutcomes, AnswersOfTwoServersOrReorderedPacketsAreNoFailure) {
  for (std::uint16_t port = 1; port <= 40; ++port) {
    this->RunFlow(port, 1000);
  }
  this->forwarder.outcomes.unreported.clear();
  // A large step in the acknowledgement number: a second server has answered,
  // with sequence numbers of its own.
  this->RunFlow(100, 0xC0000000);
  this->RunFlow(101, 0x70000000);
  CHECK(this->forwarder.outcomes.average_length.begin()->second < 2000);
  // The closing packet is delayed and carries a lower acknowledgement number.
  const Decision decision = this->Decide(OpeningPacket(102));
  const std::uint32_t token = this->At(decision.server).token;
  this->Decide(LaterPacket(102, token));
  FlowPacket whole = LaterPacket(102, token);
  whole.ack_number = 1000;
  this->Decide(whole);
  FlowPacket last = LaterPacket(102, token);
  last.ack_number = 42;
  last.closes = true;
  this->Decide(last);
  for (const auto& [server, delta] : this->forwarder.outcomes.unreported) {
    CHECK_EQUAL(0, delta.failed);
  }
}

TEST(FlowOutcomes, AnOverdueFlowIsOneFailure) {
  wire::RoutesUpdate update = MakeRoutes(0, 8, "proof");
  update.mutable_set(0)->set_objective_ms(250);
  CHECK(ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  const Decision decision = this->Decide(OpeningPacket(1));
  this->Decide(LaterPacket(1, this->At(decision.server).token));
  ExpireFlows(this->forwarder, kStart + Milliseconds(499));
  CHECK_EQUAL(0, this->Unreported(decision.server).failed);
  ExpireFlows(this->forwarder, kStart + Milliseconds(500));
  CHECK_EQUAL(1, this->Unreported(decision.server).failed);
  ExpireFlows(this->forwarder, kStart + Milliseconds(5000));
  CHECK_EQUAL(1, this->Unreported(decision.server).failed);
  CHECK(this->forwarder.flows.empty());
}

TEST(FlowOutcomes, AResetByTheCallerIsAFailure) {
  const Decision decision = this->Decide(OpeningPacket(1));
  const std::uint32_t token = this->At(decision.server).token;
  this->Decide(LaterPacket(1, token));
  FlowPacket reset = LaterPacket(1, token);
  reset.aborts = true;
  this->Decide(reset);
  CHECK_EQUAL(1, this->Unreported(decision.server).failed);
}

TEST(FlowOutcomes, AnUnansweredOpeningPacketIsNoFailure) {
  const Decision decision = this->Decide(OpeningPacket(1));
  ExpireFlows(this->forwarder, kStart + std::chrono::seconds(5));
  CHECK_EQUAL(0, this->Unreported(decision.server).failed);
}

/// Guards against an evacuation that breaks open flows, or sends a copy of an
/// opening packet away from the server that has accepted the flow.
TEST(Forwarder, FlowsStayWithAnEvacuatedServer) {
  const Decision opened = this->Decide(OpeningPacket(1));
  const std::uint32_t token = this->At(opened.server).token;
  this->Decide(LaterPacket(1, token));
  Placement& placement = this->forwarder.placement;
  const std::string data_centre =
      placement.data_centres[this->At(opened.server).data_centre].name;
  SetEvacuated(placement, {data_centre}, kStart);
  RefreshUsable(placement);
  const TimePoint later = kStart + Milliseconds(300);
  CHECK(this->Decide(LaterPacket(1, token), later).server == opened.server);
  const Decision copy = this->Decide(OpeningPacket(1), later);
  CHECK(copy.verdict == Verdict::kForward);
  CHECK(copy.server == opened.server);
}

/// Guards against a caller that waits for a service without servers: also one
/// whose answer is late already is told at once.
TEST(Forwarder, NewFlowsAreResetWhenAllDataCentresAreEvacuated) {
  wire::RoutesUpdate update = MakeRoutes(4, 5, "proof");
  update.mutable_set(0)->set_objective_ms(250);
  Placement& placement = this->forwarder.placement;
  CHECK(ApplyRoutes(this->forwarder.routes, update, placement));
  LateServiceOf(this->forwarder.late, placement.services.at("proof"))
      .window.in_flight = 5;
  std::set<std::string> all;
  for (const PlacedDataCentre& data_centre : placement.data_centres) {
    all.insert(data_centre.name);
  }
  SetEvacuated(placement, all, kStart);
  RefreshUsable(placement);
  for (const Milliseconds waited : {Milliseconds(0), Milliseconds(1400)}) {
    FlowPacket packet = OpeningPacket(waited.count() == 0 ? 2 : 3);
    packet.since_first_copy = waited;
    packet.copies = waited.count() == 0 ? 0 : 2;
    const Decision decision = this->Decide(packet);
    CHECK(decision.verdict == Verdict::kReset);
    CHECK(decision.reason == ForwardReason::kNoServer);
  }
  SetEvacuated(placement, {}, kStart);
  RefreshUsable(placement);
  CHECK(this->Decide(OpeningPacket(4)).verdict == Verdict::kForward);
}
