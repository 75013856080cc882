#include <random>
#include <string>

#include "Outcomes/Outcomes.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_GROUP(Outcomes) {
  OutcomeStats stats;
  std::vector<std::string> server_ids;
  std::set<std::string> failing;
  TimePoint now = kStart;
  std::mt19937 random{7};

  void setup() override {
    for (int i = 0; i < 14; ++i) {
      this->server_ids.push_back("s" + std::to_string(i));
    }
  }

  /// Simulates flows at the same rate for each server; a failing server gets a
  /// twelfth of that rate. `failure_rate_of` returns the probability that a
  /// flow of a server fails.
  template <typename Share>
  void SimulateFlows(Milliseconds time, double flows_per_second,
                     Share failure_rate_of) {
    constexpr Milliseconds kStep{50};
    std::uniform_real_distribution<double> draw(0, 1);
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      this->now += kStep;
      for (const std::string& id : this->server_ids) {
        const double rate_factor = this->failing.contains(id) ? 1.0 / 12 : 1.0;
        if (draw(this->random) > rate_factor * flows_per_second * 0.05) {
          continue;
        }
        const bool failed = draw(this->random) < failure_rate_of(id);
        AddOutcomes(this->stats, id, failed ? 0 : 1, failed ? 1 : 0, this->now);
      }
      this->failing = FindFailingServers(this->stats, this->server_ids,
                                         this->failing, this->now);
    }
  }
};

/// Two of 14 servers with 15 flows per second each fail 45 % of their requests
/// for some seconds while they report that they are healthy.
TEST(Outcomes, FindsServersThatFailPartOfTheirRequests) {
  const auto failure_rate_of = [](const std::string& id) {
    return id == "s3" || id == "s8" ? 0.45 : 0.002;
  };
  this->SimulateFlows(Milliseconds(3000), 15,
                      [](const std::string&) { return 0.002; });
  CHECK(this->failing.empty());
  this->SimulateFlows(Milliseconds(2000), 15, failure_rate_of);
  CHECK((this->failing == std::set<std::string>{"s3", "s8"}));
  this->SimulateFlows(Milliseconds(5000), 15, failure_rate_of);
  CHECK((this->failing == std::set<std::string>{"s3", "s8"}));
}

TEST(Outcomes, ClearsARecoveredServer) {
  this->SimulateFlows(Milliseconds(3000), 15, [](const std::string& id) {
    return id == "s3" ? 0.5 : 0.0;
  });
  CHECK(this->failing.contains("s3"));
  this->SimulateFlows(Milliseconds(9000), 15,
                      [](const std::string&) { return 0.0; });
  CHECK(this->failing.empty());
}

TEST(Outcomes, IgnoresASingleFailure) {
  this->SimulateFlows(Milliseconds(2000), 15,
                      [](const std::string&) { return 0.0; });
  AddOutcomes(this->stats, "s1", 0, 1, this->now);
  CHECK(
      FindFailingServers(this->stats, this->server_ids, {}, this->now).empty());
}

TEST(Outcomes, IgnoresACauseOutsideTheServers) {
  this->SimulateFlows(Milliseconds(5000), 15,
                      [](const std::string&) { return 0.4; });
  CHECK(this->failing.size() <= 1);
}

/// Guards against excluding servers by chance. In a busy service some flows of
/// every server take too long, and each control instance sees only a few flows
/// of each server. Excluding servers would increase the load of the others
/// further.
TEST(Outcomes, FindsFewServersByChanceInABusyService) {
  std::size_t marked = 0;
  int rounds = 0;
  for (; rounds < 60; ++rounds) {
    this->SimulateFlows(Milliseconds(500), 2,
                        [](const std::string&) { return 0.04; });
    marked += this->failing.size();
  }
  CHECK(marked * 100 < rounds * this->server_ids.size() * 2);  // 2 %
}

TEST(Outcomes, FindsAtMostAThirdOfTheServers) {
  this->SimulateFlows(Milliseconds(5000), 15, [](const std::string& id) {
    return id > "s3" ? 0.9 : 0.0;  // s4 to s9
  });
  LONGS_EQUAL(4, this->failing.size());
}

TEST(Outcomes, ClearsAFailingServerWithoutFlows) {
  AddOutcomes(this->stats, "s1", 0, 5, this->now);
  AddOutcomes(this->stats, "s2", 5, 0, this->now);
  CHECK_EQUAL(
      1,
      FindFailingServers(this->stats, this->server_ids, {}, this->now).size());
  const TimePoint later = this->now + std::chrono::seconds(30);
  CHECK(
      FindFailingServers(this->stats, this->server_ids, {"s1"}, later).empty());
  RemoveExpiredOutcomes(this->stats, later);
  CHECK(this->stats.servers.empty());
}
