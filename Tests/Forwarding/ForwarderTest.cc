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

FlowPacket Opening(std::uint16_t port, std::uint32_t copies = 0) {
  return FlowPacket{
      .key = {.caller = {.ip = 7, .port = port}, .address = kAddress},
      .opens = true,
      .copies = copies};
}

FlowPacket Later(std::uint16_t port, std::uint32_t token) {
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
  const Decision opened = this->Decide(Opening(1));
  CHECK(opened.verdict == Verdict::kForward);
  const std::uint32_t token = this->At(opened.server).token;
  Forwarder other;  // It has just started and holds no flow.
  UpdateServer(other.placement, MakeRecord("a2", 2, "proof"), kStart);
  UpdateServer(other.placement, MakeRecord("a1", 1, "proof"), kStart);
  RefreshUsable(other.placement);
  const Decision later = DecidePacket(other, Later(1, token), kStart);
  CHECK(later.verdict == Verdict::kForward);
  CHECK(other.placement.servers[later.server].token == token);
}

TEST(Forwarder, FlowsStayWithAServerThatLeaves) {
  const Decision opened = this->Decide(Opening(1));
  const std::uint32_t token = this->At(opened.server).token;
  wire::ServerRecord record = MakeRecord(
      this->At(opened.server).id, this->At(opened.server).address.ip, "proof");
  for (const wire::ServerPhase phase :
       {wire::SERVER_DRAINING, wire::SERVER_GONE}) {
    record.set_phase(phase);
    UpdateServer(this->forwarder.placement, record, kStart);
    RefreshUsable(this->forwarder.placement);
    const Decision later = this->Decide(Later(1, token));
    CHECK(later.verdict == Verdict::kForward);
    CHECK(later.server == opened.server);
  }
}

TEST(Forwarder, FlowsStayThroughNewRules) {
  const Decision opened = this->Decide(Opening(1));
  const std::uint32_t token = this->At(opened.server).token;
  this->Add("c1", 9, "catalogue");
  CHECK(ApplyRoutes(this->forwarder.routes, MakeRoutes(4, 9, "catalogue"),
                    this->forwarder.placement));
  CHECK(this->Decide(Later(1, token)).server == opened.server);
  const Decision fresh = this->Decide(Opening(2));
  STRCMP_EQUAL("c1", this->At(fresh.server).id.c_str());
}

TEST(Forwarder, DroppedRoutesEndTheirFlows) {
  const Decision opened = this->Decide(Opening(1));
  const std::uint32_t token = this->At(opened.server).token;
  wire::RoutesUpdate update;
  update.set_base_version(4);
  update.set_version(5);
  update.add_removed(KeyOf(kAddress));
  CHECK(ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  CHECK(this->Decide(Later(1, token)).verdict == Verdict::kReset);
  CHECK(this->Decide(Opening(2)).verdict == Verdict::kReset);
}

TEST(Forwarder, OlderRulesAreNeverObeyed) {
  CHECK_FALSE(ApplyRoutes(this->forwarder.routes, MakeRoutes(0, 4, "other"),
                          this->forwarder.placement));
  CHECK_FALSE(ApplyRoutes(this->forwarder.routes, MakeRoutes(0, 3, "other"),
                          this->forwarder.placement));
  CHECK_FALSE(ApplyRoutes(this->forwarder.routes, MakeRoutes(3, 7, "other"),
                          this->forwarder.placement));
  CHECK_EQUAL(4, this->forwarder.routes.version);
}

TEST(Forwarder, ACopyOfAnOpeningPacketGoesElsewhere) {
  const Decision first = this->Decide(Opening(1));
  const Decision second =
      this->Decide(Opening(1, 1), kStart + Milliseconds(200));
  CHECK(second.reason == ForwardReason::kPlacedAgain);
  CHECK(second.server != first.server);
  LONGS_EQUAL(0, this->At(first.server).in_flight);
  LONGS_EQUAL(1, this->At(second.server).in_flight);
}

TEST(Forwarder, ALateCopyStaysWithTheServerThatAnswered) {
  const Decision first = this->Decide(Opening(1));
  this->Decide(Later(1, this->At(first.server).token),
               kStart + Milliseconds(5));
  const Decision copy = this->Decide(Opening(1, 1), kStart + Milliseconds(200));
  CHECK(copy.server == first.server);
  LONGS_EQUAL(1, this->At(first.server).in_flight);
}

TEST(Forwarder, EndedAndExpiredFlowsAreNoLongerCounted) {
  const Decision first = this->Decide(Opening(1));
  FlowPacket last = Later(1, this->At(first.server).token);
  last.closes = true;
  this->Decide(last, kStart + Milliseconds(30));
  LONGS_EQUAL(0, this->At(first.server).in_flight);
  const Decision second = this->Decide(Opening(2));
  LONGS_EQUAL(1, this->At(second.server).in_flight);
  ExpireFlows(this->forwarder, kStart + std::chrono::seconds(2));
  LONGS_EQUAL(0, this->At(second.server).in_flight);
  LONGS_EQUAL(0, this->forwarder.flows.size());
}

TEST(Forwarder, UnknownTokensAndAddressesReachNoServer) {
  CHECK(this->Decide(Later(1, 0xdead)).verdict == Verdict::kDrop);
  FlowPacket opening = Opening(1);
  opening.key.address.port = 1;
  CHECK(this->Decide(opening).verdict == Verdict::kReset);
}

TEST(Forwarder, NothingIsOpenedBeforeTheRulesAreConfirmed) {
  this->forwarder.serving = false;
  CHECK(this->Decide(Opening(1)).verdict == Verdict::kDrop);
}

TEST(Forwarder, AServiceWithoutServersIsRefusedAtOnce) {
  CHECK(ApplyRoutes(this->forwarder.routes, MakeRoutes(0, 8, "nobody"),
                    this->forwarder.placement));
  const Decision decision = this->Decide(Opening(1));
  CHECK(decision.verdict == Verdict::kReset);
  CHECK(decision.reason == ForwardReason::kNoServer);
}

TEST(Forwarder, SharesAreKeptByWeight) {
  wire::RoutesUpdate update = MakeRoutes(0, 8, "proof");
  update.mutable_set(0)->mutable_shares(0)->set_weight(9);
  wire::RouteShare& other = *update.mutable_set(0)->add_shares();
  other.set_service("catalogue");
  other.set_weight(1);
  this->Add("c1", 9, "catalogue");
  CHECK(ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  int elsewhere = 0;
  for (std::uint16_t port = 1; port <= 2000; ++port) {
    const Decision decision = this->Decide(Opening(port));
    elsewhere += this->At(decision.server).id == "c1" ? 1 : 0;
  }
  CHECK(elsewhere > 120);
  CHECK(elsewhere < 300);
}
