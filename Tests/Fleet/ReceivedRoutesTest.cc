#include <string>

#include "Distribution/PackedContents.h"
#include "Forwarding/RouteTable.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

wire::Route MakeRoute(std::uint32_t port) {
  wire::Route route;
  route.set_ip(5);
  route.set_port(port);
  wire::RouteShare& share = *route.add_shares();
  share.set_service("proof");
  share.set_weight(1);
  return route;
}

/// Returns an update of version 9 with one valid route, on port 1.
wire::Update MakeUpdate() {
  wire::Update update;
  update.set_rules_version(9);
  update.mutable_routes()->set_version(9);
  *update.mutable_routes()->add_set() = MakeRoute(1);
  return update;
}

RouteKey KeyOfPort(std::uint16_t port) {
  return KeyOf(Endpoint{.ip = 5, .port = port});
}

}  // namespace

TEST_GROUP(ReceivedRoutes) {
  SetAsideRecords set_aside;
  Placement placement;
  RouteTable table;

  void Apply(wire::Update & update) {
    this->set_aside = ReadUpdate(update);
    CHECK(ApplyRoutes(this->table, update.routes(), this->placement));
  }
};

TEST(ReceivedRoutes, UnreadableRouteHidesNoOtherAndLeavesNoOlderOne) {
  wire::Update valid = MakeUpdate();
  *valid.mutable_routes()->add_set() = MakeRoute(2);
  this->Apply(valid);
  const ServiceIndex proof = InternService(this->placement, "proof");
  wire::Update update = MakeUpdate();
  update.set_rules_version(10);
  update.mutable_routes()->set_version(10);
  update.mutable_routes()->set_base_version(9);
  wire::Route unreadable = MakeRoute(2);
  unreadable.mutable_shares(0)->set_service("\xff\xfe");
  *update.mutable_routes()->add_set() = unreadable;
  this->Apply(update);
  CHECK_EQUAL(1, this->set_aside.counts.Get(InputError::kNotUtf8));
  CHECK_EQUAL(10, this->table.version);
  CHECK_EQUAL(proof, ServiceOf(this->table.routes.at(KeyOfPort(1)), 7));
  const RouteEntry& refusing = this->table.routes.at(KeyOfPort(2));
  CHECK(ServiceOf(refusing, 7) != proof);
  CHECK_FALSE(
      ChooseServer(this->placement, {.service = ServiceOf(refusing, 7)}, {})
          .has_value());
}

TEST(ReceivedRoutes, RouteWithoutWeightDividesByNoZero) {
  wire::Update update = MakeUpdate();
  update.mutable_routes()->mutable_set(0)->mutable_shares(0)->set_weight(0);
  this->Apply(update);
  CHECK_EQUAL(1, this->set_aside.counts.Get(InputError::kOutOfRange));
  ServiceOf(this->table.routes.at(KeyOfPort(1)), 7);
}

TEST(ReceivedRoutes, RouteWhoseWeightsAddUpTo2To32DividesByNoZero) {
  wire::Update update = MakeUpdate();
  wire::Route& route = *update.mutable_routes()->mutable_set(0);
  route.mutable_shares(0)->set_weight(1U << 31U);
  *route.add_shares() = route.shares(0);
  this->Apply(update);
  CHECK_EQUAL(0, this->set_aside.counts.Get(InputError::kOutOfRange));
  CHECK_EQUAL(InternService(this->placement, "proof"),
              ServiceOf(this->table.routes.at(KeyOfPort(1)), 7));
}

TEST(ReceivedRoutes, RouteWithAPortOutOfRangeReplacesNoOther) {
  wire::Update update = MakeUpdate();
  wire::Route other = MakeRoute(0x10001);
  other.mutable_shares(0)->set_service("other");
  *update.mutable_routes()->add_set() = other;
  this->Apply(update);
  LONGS_EQUAL(1, this->table.routes.size());
  CHECK_EQUAL(InternService(this->placement, "proof"),
              ServiceOf(this->table.routes.at(KeyOfPort(1)), 7));
}
