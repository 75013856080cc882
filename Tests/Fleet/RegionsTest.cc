#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

CallId SubmitRoute(FleetWorld& world, InstanceAddress to, std::uint64_t version,
                   const std::string& options) {
  const CallId call = world.next_call++;
  RulesSubmitted event{.call = call};
  event.file.set_version(version);
  event.file.set_text("version " + std::to_string(version) +
                      "  # by: test\nservice proof  # by: test\n"
                      "address 10.0.0.1:80 proof" +
                      options + "  # by: test\n");
  event.file.set_digest("digest" + std::to_string(version));
  Apply(world, to, event);
  Run(world, Milliseconds(1000));
  return call;
}

CallVerdict VerdictOf(const FleetWorld& world, CallId call) {
  return world.answers.at(call).verdict;
}

}  // namespace

TEST_GROUP(Regions) {
  FleetWorld world;

  void setup() override {
    this->world.config.regions = {{"dc1", "north"}, {"dc2", "south"}};
    this->world.config.announce_interval = Milliseconds(1200);
    this->world.config.seeds = {1, 2, 3};
    for (InstanceAddress id = 1; id <= 3; ++id) {
      StartControl(this->world, id, true);
    }
    StartEntry(this->world, 101);
    Run(this->world, Milliseconds(2000));
  }
};

// A misspelt region would leave the route without servers.
TEST(Regions, ARouteToAnUnknownRegionIsRefused) {
  const InstanceAddress leader = FindLeader(this->world);
  const CallId unknown = SubmitRoute(this->world, leader, 1, " regions=nroth");
  CHECK(CallVerdict::kRefused == VerdictOf(this->world, unknown));
  CHECK(this->world.answers.at(unknown).reason.find("nroth") !=
        std::string::npos);
  const CallId known =
      SubmitRoute(this->world, leader, 2, " regions=north,south");
  CHECK(CallVerdict::kAccepted == VerdictOf(this->world, known));
}

// What was acknowledged once is never refused, whatever the settings say now.
TEST(Regions, ACommittedVersionIsAcceptedAgainAfterTheRegionsHaveChanged) {
  const InstanceAddress leader = FindLeader(this->world);
  SubmitRoute(this->world, leader, 1, " regions=north");
  this->world.controls.at(leader).config.regions = {{"dc1", "elsewhere"}};
  const CallId again = SubmitRoute(this->world, leader, 1, " regions=north");
  CHECK(CallVerdict::kAccepted == VerdictOf(this->world, again));
}

TEST(Regions, RoutesReachEntryInstancesWithTheirRegions) {
  SubmitRoute(this->world, FindLeader(this->world), 1, " regions=north");
  const Forwarder& forwarder = this->world.entries.at(101).forwarder;
  LONGS_EQUAL(1, forwarder.routes.routes.size());
  const RouteEntry& route = forwarder.routes.routes.begin()->second;
  LONGS_EQUAL(1, route.regions.size());
  STRCMP_EQUAL("north", route.regions.front().c_str());
  STRCMP_EQUAL("south", forwarder.placement.config.regions.at("dc2").c_str());
}
