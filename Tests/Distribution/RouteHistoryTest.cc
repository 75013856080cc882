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

TEST(RouteHistory, NamesServicesWithAWarmupLimit) {
  Rules rules = MakeRules(3, 1, 1, 900);
  rules.services["fast"].warmup = {.duration = Milliseconds(7500),
                                   .flows_per_second = 2.9};
  rules.services["slow"].warmup = {.duration = Milliseconds(7500),
                                   .flows_per_second = 0.1};
  rules.services["free"].warmup = {.duration = Milliseconds(7500)};
  AddVersion(this->history, rules);
  const wire::RoutesUpdate update = RoutesSince(this->history, 0);
  LONGS_EQUAL(2, update.services_size());
  STRCMP_EQUAL("fast", update.services(0).service().c_str());
  LONGS_EQUAL(7500, update.services(0).warmup_ms());
  LONGS_EQUAL(2, update.services(0).flows_per_second());
  LONGS_EQUAL(1, update.services(1).flows_per_second());
}

// Guards against bytes for all who do not use the limit.
TEST(RouteHistory, AServiceWithoutALimitAddsNoByte) {
  RouteHistory plain;
  AddVersion(plain, MakeRules(3, 1, 10, 900));
  Rules rules = MakeRules(3, 1, 10, 900);
  rules.services["free"].warmup.duration = Milliseconds(7500);
  AddVersion(this->history, rules);
  CHECK_EQUAL(RoutesSince(plain, 0).SerializeAsString().size(),
              RoutesSince(this->history, 0).SerializeAsString().size());
}
