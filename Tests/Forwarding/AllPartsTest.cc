#include <map>
#include <string>
#include <vector>

#include "Forwarding/Forwarder.h"
#include "Placement/Capacity.h"

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

/// A route to the north whose service limits cold servers to one flow a second.
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
  warmup.set_flows_per_second(1);
  return update;
}

}  // namespace

/// All decisions on one new flow: regions, evacuation, warm-up limit,
/// admission, placement by load.
TEST_GROUP(AllParts) {
  Forwarder forwarder;
  std::uint16_t next_port = 1;

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
  }

  void Add(const wire::ServerRecord& record) {
    UpdateServer(this->forwarder.placement, record, kStart);
  }

  ServerIndex Index(const std::string& id) {
    return this->forwarder.placement.by_id.at(id);
  }

  Decision Open(TimePoint now) {
    return DecidePacket(
        this->forwarder,
        FlowPacket{.key = {.caller = {.ip = 7, .port = this->next_port++},
                           .address = kAddress},
                   .opens = true},
        now);
  }

  /// Opens flows that end after 30 ms, and counts them by server.
  std::map<std::string, int> OpenFlows(int count, TimePoint now) {
    std::map<std::string, int> flows;
    for (int i = 0; i < count; ++i) {
      const TimePoint at = now + Milliseconds(2 * i);
      const Decision decision = this->Open(at);
      if (decision.verdict != Verdict::kForward) {
        continue;
      }
      PlacedServer& server = this->forwarder.placement.servers[decision.server];
      flows[server.id] += 1;
      FlowPacket last{.key = {.caller = {.ip = 7,
                                         .port = static_cast<std::uint16_t>(
                                             this->next_port - 1)},
                              .address = kAddress},
                      .closes = true,
                      .token = server.token};
      DecidePacket(this->forwarder, last, at + Milliseconds(1));
    }
    return flows;
  }
};

/// Guards against a part that brings back a server which an earlier one
/// excludes.
TEST(AllParts, EachPartChoosesAmongWhatTheEarlierOnesLeave) {
  std::map<std::string, int> flows = this->OpenFlows(300, kStart);
  LONGS_EQUAL(0, flows["a1"]);
  LONGS_EQUAL(0, flows["b2"]);
  LONGS_EQUAL(0, flows["e5"]);
  CHECK(flows["d4"] > flows["c3"]);
  LONGS_EQUAL(300, flows["c3"] + flows["d4"]);
}

/// Guards against a lease that is spent on more flows than it allows, while the
/// other servers that may be chosen do not answer.
TEST(AllParts, AColdServerTakesWhatItsLeaseAllows) {
  for (const char* id : {"c3", "d4"}) {
    PlacedServer& server = this->forwarder.placement.servers[this->Index(id)];
    server.avoid_until = kStart + std::chrono::seconds(60);
  }
  TakeWarmupLease(this->forwarder.placement.warmup, this->Index("b2"), 1, 1,
                  kStart, kStart);
  std::map<std::string, int> flows = this->OpenFlows(100, kStart);
  LONGS_EQUAL(1, flows["b2"]);
  LONGS_EQUAL(0, flows["a1"] + flows["e5"]);
}

/// Guards against callers that wait although nobody can serve them, and against
/// capacity that is counted where no flow may go.
TEST(AllParts, WithoutAServerCallersAreToldAtOnce) {
  SetEvacuated(this->forwarder.placement, {"n1", "n2"}, kStart);
  RefreshUsable(this->forwarder.placement);
  const Decision decision = this->Open(kStart);
  CHECK(decision.verdict == Verdict::kReset);
  CHECK(decision.reason == ForwardReason::kNoServerInRegion);
  const ServiceIndex service =
      this->forwarder.placement.services.at("catalogue");
  // e5 is in the wrong region.
  DOUBLES_EQUAL(0, CapacityOf(this->forwarder.placement, service, kStart), 0);
  SetEvacuated(this->forwarder.placement, {"n1", "n2", "s1"}, kStart);
  RefreshUsable(this->forwarder.placement);
  CHECK(this->Open(kStart).reason == ForwardReason::kNoServer);
  DOUBLES_EQUAL(0, CapacityOf(this->forwarder.placement, service, kStart), 0);
}

/// Guards against capacity of a service that counts servers which no route may
/// use, or leaves out those which some route may.
TEST(AllParts, CapacityCountsTheRegionsOfAllRoutes) {
  const ServiceIndex service =
      this->forwarder.placement.services.at("catalogue");
  // d4, and c3 by its speed; b2 is cold, and no duration is known.
  constexpr double kNorth = 2.4;
  const auto capacity = [&] {
    return CapacityOf(this->forwarder.placement, service, kStart);
  };
  DOUBLES_EQUAL(kNorth, capacity(), 0.001);
  wire::RoutesUpdate update = MakeRoutes();
  const auto apply = [&] {
    update.set_base_version(update.version());
    update.set_version(update.version() + 1);
    CHECK(
        ApplyRoutes(this->forwarder.routes, update, this->forwarder.placement));
  };
  wire::Route& second = *update.mutable_set(0);
  second.set_port(kAddress.port + 1);
  second.mutable_regions()->Clear();
  second.add_regions("south");
  apply();
  DOUBLES_EQUAL(kNorth + 2, capacity(), 0.001);
  second.mutable_regions()->Clear();
  second.add_regions("north");
  apply();
  DOUBLES_EQUAL(kNorth, capacity(), 0.001);
  second.mutable_regions()->Clear();
  apply();
  DOUBLES_EQUAL(kNorth + 2, capacity(), 0.001);
}
