#include <array>
#include <optional>

#include "Bench/HedgingEmulator.h"
#include "Forwarding/Forwarder.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Endpoint kSafe{.ip = 100, .port = 443};
constexpr Endpoint kUnsafe{.ip = 101, .port = 443};
constexpr std::array<std::uint8_t, 3> kBytes = {1, 2, 3};

void AddRoute(wire::RoutesUpdate& update, const Endpoint& address,
              wire::RequestKind kind) {
  wire::Route& route = *update.add_set();
  route.set_ip(address.ip);
  route.set_port(address.port);
  route.set_timeout_ms(2000);
  route.set_objective_ms(400);
  route.set_kind(kind);
  wire::RouteShare& share = *route.add_shares();
  share.set_service("proof");
  share.set_weight(1);
}

FlowKey KeyOfCaller(std::uint32_t caller, const Endpoint& address = kSafe) {
  return {.caller = {.ip = caller, .port = 1000}, .address = address};
}

}  // namespace

/// One entry instance and six servers: three in its data centre, three in
/// another one. First answers take 2 ms unless a test says otherwise.
TEST_GROUP(HedgedOpenings) {
  Forwarder forwarder;
  TimePoint now = kStart;

  void setup() override {
    this->forwarder.placement.config = {.data_centre = "here", .seed = 1};
    this->forwarder.serving = true;
    this->forwarder.hedged.budget = {.share = 0.5, .tokens = 10};
    for (std::uint32_t i = 1; i <= 6; ++i) {
      wire::ServerRecord record;
      record.set_id("a" + std::to_string(i));
      record.set_service("proof");
      record.set_ip(i);
      record.set_port(80);
      record.set_slots(2);
      record.set_data_centre(i <= 3 ? "here" : "there");
      record.set_incarnation(1);
      UpdateServer(this->forwarder.placement, record, kStart);
    }
    RefreshUsable(this->forwarder.placement);
    wire::RoutesUpdate update;
    update.set_version(4);
    AddRoute(update, kSafe, wire::REQUEST_SAFE);
    AddRoute(update, kUnsafe, wire::REQUEST_UNSAFE);
    CHECK(
        ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  }

  Decision Open(std::uint32_t caller, const Endpoint& address = kSafe,
                std::uint32_t copies = 0) {
    const FlowPacket packet{
        .key = KeyOfCaller(caller, address),
        .opens = true,
        .copies = copies,
        .retransmit_after = Milliseconds(copies == 0 ? 200 : 400),
        .since_first_copy = Milliseconds(copies == 0 ? 0 : 200)};
    const Decision decision = DecidePacket(this->forwarder, packet, this->now);
    if (decision.verdict == Verdict::kForward) {
      StoreForHedge(this->forwarder, packet, decision, kBytes, this->now);
    }
    return decision;
  }

  std::uint32_t TokenOf(ServerIndex server) {
    return this->forwarder.placement.servers[server].token;
  }

  Decision Later(std::uint32_t caller, ServerIndex by_token,
                 std::uint32_t ack_number, bool closes = false) {
    const FlowPacket packet{.key = KeyOfCaller(caller),
                            .closes = closes,
                            .token = this->TokenOf(by_token),
                            .ack_number = ack_number};
    return DecidePacket(this->forwarder, packet, this->now);
  }

  /// Runs `count` whole flows, whose servers accept them in 2 ms.
  void RunFlows(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::uint32_t caller = 5000 + i;
      const ServerIndex server = this->Open(caller).server;
      this->now += Milliseconds(2);
      this->Later(caller, server, 1000);
      this->now += Milliseconds(20);
      this->Later(caller, server, 3000, true);
    }
  }

  struct AnsweredFlow {
    std::uint32_t caller = 0;
    ServerIndex server = 0;
  };

  /// Opens flows of two callers at a server that accepts none; returns it.
  /// Flows at other servers are accepted, among them the one opened last.
  ServerIndex OpenAtSilentServer() {
    std::vector<AnsweredFlow> answered;
    const ServerIndex silent = this->Open(1).server;
    std::uint32_t caller = 100;
    for (ServerIndex server = silent + 1; server != silent; ++caller) {
      server = this->Open(caller).server;
      if (server != silent) {
        answered.push_back({caller, server});
      }
    }
    this->now += Milliseconds(1);
    const ServerIndex latest = this->Open(caller).server;
    CHECK(latest != silent);
    answered.push_back({caller, latest});
    this->now += Milliseconds(2);
    for (const auto& [other, server] : answered) {
      this->Later(other, server, 1000);
    }
    return silent;
  }

  /// Takes the next hedge that is due and decides on it.
  std::optional<std::pair<FlowKey, Decision>> Hedge() {
    const auto opening = TakeHedge(this->forwarder, this->now);
    if (!opening) {
      return std::nullopt;
    }
    FlowPacket packet{.key = opening->key, .opens = true};
    RestoreTimes(packet, *opening, this->now);
    return std::pair(opening->key,
                     DecideHedge(this->forwarder, packet, this->now));
  }

  /// Advances the time by up to `limit` until a hedge is sent.
  std::optional<std::pair<FlowKey, Decision>> HedgeWithin(Milliseconds limit) {
    for (const TimePoint end = this->now + limit; this->now < end;
         this->now += Milliseconds(1)) {
      if (const auto hedge = this->Hedge()) {
        return hedge;
      }
    }
    return std::nullopt;
  }
};

TEST(HedgedOpenings, AServerThatIsSilentToTwoCallersIsHedgedBeforeTheyRepeat) {
  this->RunFlows(60);
  const TimePoint opened = this->now;
  const ServerIndex silent = this->OpenAtSilentServer();
  const auto hedge = this->HedgeWithin(Milliseconds(170));
  CHECK(hedge.has_value());
  CHECK(hedge->second.verdict == Verdict::kForward);
  CHECK(hedge->second.server != silent);
  CHECK(this->now - opened >= Milliseconds(50));
  CHECK(this->now - opened < Milliseconds(130));
  CHECK_EQUAL(1, this->forwarder.hedged.counters.sent);
}

/// Guards against hedges for flows that their server has accepted, while their
/// callers' packets take another way: nothing tells these from silent ones.
TEST(HedgedOpenings, TheSilenceOfOneFlowIsNoReason) {
  this->RunFlows(60);
  this->Open(1);
  this->now += Milliseconds(1);
  this->RunFlows(2);
  CHECK_FALSE(this->HedgeWithin(Milliseconds(300)).has_value());
  CHECK_EQUAL(0, this->forwarder.hedged.counters.sent);
  CHECK_EQUAL(1, this->forwarder.hedged.counters.withheld);
}

/// The same caller may open many flows and go away.
TEST(HedgedOpenings, SeveralFlowsOfOneCallerAreNoReason) {
  this->RunFlows(60);
  const std::uint32_t caller = 1;
  FlowPacket packet{.key = KeyOfCaller(caller),
                    .opens = true,
                    .retransmit_after = Milliseconds(200)};
  for (std::uint16_t port = 1; port <= 20; ++port) {
    packet.key.caller.port = port;
    const Decision decision = DecidePacket(this->forwarder, packet, this->now);
    StoreForHedge(this->forwarder, packet, decision, kBytes, this->now);
  }
  this->now += Milliseconds(1);
  this->RunFlows(2);
  CHECK_FALSE(this->HedgeWithin(Milliseconds(150)).has_value());
}

/// Guards against hedges of an instance that gets no packets any more: other
/// instances do.
TEST(HedgedOpenings, NothingIsHedgedWhileNoLaterFlowIsAnsweredHere) {
  this->RunFlows(60);
  for (std::uint32_t caller = 1; caller <= 30; ++caller) {
    this->Open(caller);
  }
  CHECK_FALSE(this->HedgeWithin(Milliseconds(300)).has_value());
}

TEST(HedgedOpenings, NothingIsHedgedAfterAStall) {
  this->RunFlows(60);
  this->OpenAtSilentServer();
  this->now += Milliseconds(150);
  CHECK_FALSE(this->HedgeWithin(Milliseconds(100)).has_value());
}

TEST(HedgedOpenings, RequestsThatMayRunOnceAreNeverHedged) {
  this->RunFlows(60);
  this->OpenAtSilentServer();
  while (this->HedgeWithin(Milliseconds(150))) {
  }
  const std::uint64_t sent = this->forwarder.hedged.counters.sent;
  for (std::uint32_t caller = 1; caller <= 60; ++caller) {
    this->Open(caller, kUnsafe);
  }
  this->now += Milliseconds(1);
  this->RunFlows(2);
  CHECK_FALSE(this->HedgeWithin(Milliseconds(150)).has_value());
  CHECK_EQUAL(sent, this->forwarder.hedged.counters.sent);
}

/// A rule may change between the opening and the hedge.
TEST(HedgedOpenings, ARouteThatBecameUnsafeIsNotHedged) {
  this->RunFlows(60);
  this->OpenAtSilentServer();
  wire::RoutesUpdate update;
  update.set_base_version(4);
  update.set_version(5);
  AddRoute(update, kSafe, wire::REQUEST_UNSAFE);
  CHECK(ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  CHECK_FALSE(this->HedgeWithin(Milliseconds(150)).has_value());
}

TEST(HedgedOpenings, NothingIsStoredOrRecordedWhenOff) {
  this->forwarder.hedged.budget = {};
  this->RunFlows(60);
  this->OpenAtSilentServer();
  CHECK_FALSE(this->HedgeWithin(Milliseconds(190)).has_value());
  this->now += Milliseconds(10);
  CHECK(this->Open(1, kSafe, 1).reason == ForwardReason::kPlacedAgain);
  CHECK(this->forwarder.hedged.stored.empty());
  CHECK(this->forwarder.hedged.repeated.empty());
  CHECK(this->forwarder.hedged.first_answers.empty());
}

TEST(HedgedOpenings, TheBudgetHolds) {
  this->forwarder.hedged.budget = {.share = 0.01};
  this->RunFlows(60);
  this->OpenAtSilentServer();
  CHECK_FALSE(this->HedgeWithin(Milliseconds(150)).has_value());
  CHECK_EQUAL(0, this->forwarder.hedged.counters.sent);
  CHECK(this->forwarder.hedged.counters.over_budget > 0);
}

/// Both orders in which two servers may answer. The caller acknowledges the
/// numbers of the first answer, but repeats the token of the last one. Its
/// packets must go to the server that opened the flow.
TEST(HedgedOpenings, PacketsGoToTheServerThatOpenedTheFlowInEitherOrder) {
  constexpr std::uint32_t kAckOfFirst = 0x10000000;
  constexpr std::uint32_t kAckOfSecond = 0xFFFFFFF0;  // Wraps.
  for (const bool hedge_wins : {true, false}) {
    this->forwarder.hedged.counters = {};
    this->now += std::chrono::seconds(10);
    this->RunFlows(60);
    const ServerIndex first = this->OpenAtSilentServer();
    const auto hedge = this->HedgeWithin(Milliseconds(150));
    CHECK(hedge.has_value());
    const std::uint32_t caller = hedge->first.caller.ip;
    const ServerIndex second = hedge->second.server;
    const ServerIndex opener = hedge_wins ? second : first;
    const ServerIndex other = hedge_wins ? first : second;
    const std::uint32_t ack = hedge_wins ? kAckOfSecond : kAckOfFirst;
    const auto in_flight = [&](ServerIndex server) {
      return this->forwarder.placement.servers[server].in_flight;
    };
    const std::uint32_t total = in_flight(opener) + in_flight(other);
    this->now += Milliseconds(2);
    CHECK(this->Later(caller, opener, ack).server == opener);
    LONGS_EQUAL(total, in_flight(opener) + in_flight(other));
    const Decision diverted = this->Later(caller, other, ack);
    CHECK(diverted.server == opener);
    CHECK(diverted.reason == ForwardReason::kKeptServer);
    CHECK(this->Later(caller, other, ack + 700000).server == opener);
    CHECK(this->Later(caller, other, ack + 1400000).server == opener);
    CHECK(this->Later(caller, other, ack + 1400100, true).server == opener);
    // The last packet may be repeated after the flow's end.
    CHECK(this->Later(caller, other, ack + 1400100).server == opener);
    CHECK_EQUAL(hedge_wins ? 1 : 0, this->forwarder.hedged.counters.won);
    CHECK_EQUAL(hedge_wins ? 0 : 1, this->forwarder.hedged.counters.lost);
    CHECK_EQUAL(5, this->forwarder.hedged.counters.kept_packets);
    LONGS_EQUAL(total - 1, in_flight(opener) + in_flight(other));
  }
}

/// A token that no server of the flow has is not believed to name its opener.
TEST(HedgedOpenings, ATokenOfAThirdServerDoesNotSettleTheFlow) {
  this->RunFlows(60);
  const ServerIndex first = this->OpenAtSilentServer();
  const auto hedge = this->HedgeWithin(Milliseconds(150));
  CHECK(hedge.has_value());
  const ServerIndex second = hedge->second.server;
  ServerIndex third = 0;
  while (third == first || third == second) {
    ++third;
  }
  const std::uint32_t caller = hedge->first.caller.ip;
  CHECK(this->Later(caller, third, 77).server == third);
  CHECK(this->Later(caller, second, 77).server == second);
  CHECK(this->Later(caller, first, 77).server == second);
}

/// The caller's own copy, which comes when neither server has answered, goes to
/// a third one; its answer is settled like the others.
TEST(HedgedOpenings, ACopyAfterAHedgeGoesToAThirdServer) {
  this->RunFlows(60);
  const ServerIndex first = this->OpenAtSilentServer();
  const auto hedge = this->HedgeWithin(Milliseconds(100));
  CHECK(hedge.has_value());
  const std::uint32_t caller = hedge->first.caller.ip;
  this->now += Milliseconds(100);
  const Decision copy = this->Open(caller, kSafe, 1);
  CHECK(copy.reason == ForwardReason::kPlacedAgain);
  CHECK(copy.server != first);
  CHECK(copy.server != hedge->second.server);
  CHECK(this->Later(caller, copy.server, 5).server == copy.server);
  CHECK(this->Later(caller, first, 5).server == copy.server);
  CHECK_EQUAL(0, this->forwarder.hedged.counters.won);
}

/// Guards against the record of an earlier flow with the same port.
TEST(HedgedOpenings, ANewFlowOfTheSamePortIsNotKept) {
  this->RunFlows(60);
  this->OpenAtSilentServer();
  const auto hedge = this->HedgeWithin(Milliseconds(150));
  CHECK(hedge.has_value());
  const std::uint32_t caller = hedge->first.caller.ip;
  this->Later(caller, hedge->second.server, 5);
  this->Later(caller, hedge->second.server, 9, true);
  const ServerIndex fresh = this->Open(caller).server;
  CHECK(this->Later(caller, fresh, 6).server == fresh);
  CHECK(this->forwarder.hedged.repeated.empty());
}

/// A data centre that is cut off is known before any server of it is.
TEST(HedgedOpenings, ASilentDataCentreIsHedgedToAnotherOne) {
  this->RunFlows(60);
  std::vector<AnsweredFlow> there;
  std::size_t silent = 0;
  for (std::uint32_t caller = 1; caller <= 12; ++caller) {
    const ServerIndex server = this->Open(caller).server;
    if (server < 3) {
      ++silent;
    } else {
      there.push_back({caller, server});
    }
    this->now += Milliseconds(1);
    for (const AnsweredFlow& flow : there) {
      this->Later(flow.caller, flow.server, 1000);
    }
  }
  CHECK(silent >= 4);
  CHECK(!there.empty());
  const auto hedge = this->HedgeWithin(Milliseconds(150));
  CHECK(hedge.has_value());
  CHECK(hedge->second.server >= 3);
}

TEST(HedgedOpenings, TheDelayFollowsTheFirstAnswers) {
  HedgedOpenings& hedged = this->forwarder.hedged;
  const Placement& placement = this->forwarder.placement;
  CHECK_FALSE(HedgeDelayOf(hedged, placement, 0).has_value());
  const auto answer = [&](Milliseconds duration) {
    for (int i = 0; i < 200; ++i) {
      RecordFirstAnswer(hedged, placement, 0, this->now, this->now + duration);
    }
  };
  answer(Milliseconds(3));
  CHECK(*HedgeDelayOf(hedged, placement, 0) == Milliseconds(50));
  answer(Milliseconds(40));
  const Milliseconds slow = *HedgeDelayOf(hedged, placement, 0);
  CHECK(slow >= Milliseconds(80));
  CHECK(slow <= Milliseconds(96));
  answer(Milliseconds(150));
  CHECK(*HedgeDelayOf(hedged, placement, 0) == Milliseconds(120));
  CHECK_FALSE(HedgeDelayOf(hedged, placement, 3).has_value());
}

namespace {

/// The servers of one of three data centres accept nothing from 10 s on.
HedgedOpeningsScenario SilentDataCentre(std::uint32_t instances,
                                        double until_ms, bool reads_later,
                                        double hedge_openings) {
  HedgedOpeningsScenario scenario{.instances = instances,
                                  .hedge_openings = hedge_openings};
  for (std::uint32_t i = 0; i < scenario.servers; i += 3) {
    scenario.silent.push_back({.server = i,
                               .from_ms = 10000,
                               .until_ms = until_ms,
                               .reads_later = reads_later});
  }
  return scenario;
}

}  // namespace

/// While packets are neither lost nor overtake each other, hedges divert no
/// flow. The design note says why that is not enough to turn them on.
TEST(HedgedOpenings, ALostDataCentreCostsFewerCallersTheirFirstCopy) {
  for (const std::uint32_t instances : {1U, 8U}) {
    const HedgedOpeningsOutcome off =
        SimulateHedgedOpenings(SilentDataCentre(instances, 16000, false, 0.0));
    const HedgedOpeningsOutcome on =
        SimulateHedgedOpenings(SilentDataCentre(instances, 16000, false, 0.05));
    CHECK_EQUAL(0, off.hedges);
    CHECK(on.hedges > 0);
    CHECK(on.hedges <= 0.05 * on.flows);
    CHECK(on.opened_late < off.opened_late / 2);
    CHECK_EQUAL(0, on.diverted);
  }
}

/// Servers that wake up accept flows that their callers have opened at other
/// servers. Without a record of both, callers' packets followed the token of
/// the one that accepted last: 23 of this load reached it.
TEST(HedgedOpenings, ServersThatWakeUpGetNoPacketsOfFlowsOpenedElsewhere) {
  const HedgedOpeningsOutcome on =
      SimulateHedgedOpenings(SilentDataCentre(76, 10300, true, 0.05));
  CHECK(on.accepted_twice > 0);
  CHECK(on.kept_packets > 0);
  CHECK_EQUAL(0, on.diverted);
}
