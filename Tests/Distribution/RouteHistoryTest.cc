#include <string>

#include "Distribution/RouteHistory.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

Rules MakeRules(std::uint64_t version, std::uint16_t first_port,
                std::uint16_t last_port, int timeout_ms) {
  Rules rules{.version = version};
  for (std::uint16_t port = first_port; port <= last_port; ++port) {
    AddressRule rule{.address = {.ip = 5, .port = port}, .service = "proof"};
    rule.shares.push_back(WeightedService{.service = "proof"});
    rule.route_settings.timeout = Milliseconds(timeout_ms);
    rules.addresses[rule.address] = rule;
  }
  return rules;
}

}  // namespace

TEST_GROUP(RouteHistory) { RouteHistory history; };

TEST(RouteHistory, SendsOnlyTheDifference) {
  AddVersion(this->history, MakeRules(3, 1, 1000, 900));
  AddVersion(this->history, MakeRules(7, 2, 1001, 900));
  const wire::RoutesUpdate update = RoutesSince(this->history, 3);
  CHECK_EQUAL(3, update.base_version());
  CHECK_EQUAL(7, update.version());
  LONGS_EQUAL(1, update.set_size());
  LONGS_EQUAL(1001, update.set(0).port());
  LONGS_EQUAL(1, update.removed_size());
}

TEST(RouteHistory, SendsEveryRouteToAnUnknownVersion) {
  AddVersion(this->history, MakeRules(3, 1, 10, 900));
  const wire::RoutesUpdate update = RoutesSince(this->history, 2);
  CHECK_EQUAL(0, update.base_version());
  LONGS_EQUAL(10, update.set_size());
}

TEST(RouteHistory, SendsNothingToTheNewestVersion) {
  AddVersion(this->history, MakeRules(3, 1, 10, 900));
  CHECK_EQUAL(0, RoutesSince(this->history, 3).version());
  CHECK_EQUAL(0, RoutesSince(this->history, 4).version());
}

TEST(RouteHistory, RemovesOldVersions) {
  for (std::uint64_t version = 1; version <= 100; ++version) {
    AddVersion(this->history, MakeRules(version, 1, 2, 900));
  }
  CHECK(this->history.versions.size() < 20);
  CHECK_EQUAL(0, RoutesSince(this->history, 1).base_version());
}

TEST(RouteHistory, ServiceThatIsNoTextIsNotSentAndHidesNoRoute) {
  Rules rules = MakeRules(3, 1, 10, 900);
  rules.addresses.begin()->second.shares[0].service = "\xff\xfe";
  AddVersion(this->history, rules);
  const wire::RoutesUpdate update = RoutesSince(this->history, 0);
  LONGS_EQUAL(10, update.set_size());
  STRCMP_EQUAL("", update.set(0).shares(0).service().c_str());
  STRCMP_EQUAL("proof", update.set(1).shares(0).service().c_str());
}
