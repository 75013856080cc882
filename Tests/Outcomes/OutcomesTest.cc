#include <random>
#include <string>

#include "Outcomes/Outcomes.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_GROUP(Outcomes) {
  OutcomeLedger ledger;
  std::vector<std::string> service;
  std::set<std::string> suspects;
  TimePoint now = kStart;
  std::mt19937 random{7};

  void setup() override {
    for (int i = 0; i < 14; ++i) {
      this->service.push_back("s" + std::to_string(i));
    }
  }

  /// Plays flows at an even rate over the servers that are no suspects;
  /// suspects get a twelfth. `fails` gives a server's share of failures.
  template <typename Share>
  void Play(Milliseconds time, double flows_a_second, Share fails) {
    constexpr Milliseconds kStep{50};
    std::uniform_real_distribution<double> draw(0, 1);
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      this->now += kStep;
      for (const std::string& id : this->service) {
        const double part = this->suspects.contains(id) ? 1.0 / 12 : 1.0;
        if (draw(this->random) > part * flows_a_second * 0.05) {
          continue;
        }
        const bool failed = draw(this->random) < fails(id);
        AddOutcomes(this->ledger, id, failed ? 0 : 1, failed ? 1 : 0,
                    this->now);
      }
      this->suspects =
          FindFailing(this->ledger, this->service, this->suspects, this->now);
    }
  }
};

/// The load: 14 servers with 15 flows a second each, two of which fail 45 % of
/// their requests for some seconds while they call themselves healthy.
TEST(Outcomes, ServersThatFailPartOfTheirRequestsAreNamedSoon) {
  const auto fails = [](const std::string& id) {
    return id == "s3" || id == "s8" ? 0.45 : 0.002;
  };
  this->Play(Milliseconds(3000), 15, [](const std::string&) { return 0.002; });
  CHECK(this->suspects.empty());
  this->Play(Milliseconds(2000), 15, fails);
  CHECK((this->suspects == std::set<std::string>{"s3", "s8"}));
  this->Play(Milliseconds(5000), 15, fails);
  CHECK((this->suspects == std::set<std::string>{"s3", "s8"}));
}

TEST(Outcomes, AServerThatIsWellAgainIsCleared) {
  this->Play(Milliseconds(3000), 15,
             [](const std::string& id) { return id == "s3" ? 0.5 : 0.0; });
  CHECK(this->suspects.contains("s3"));
  this->Play(Milliseconds(9000), 15, [](const std::string&) { return 0.0; });
  CHECK(this->suspects.empty());
}

TEST(Outcomes, OneAccidentNamesNobody) {
  this->Play(Milliseconds(2000), 15, [](const std::string&) { return 0.0; });
  AddOutcomes(this->ledger, "s1", 0, 1, this->now);
  CHECK(FindFailing(this->ledger, this->service, {}, this->now).empty());
}

TEST(Outcomes, ACauseOutsideTheServersNamesNobody) {
  this->Play(Milliseconds(5000), 15, [](const std::string&) { return 0.4; });
  CHECK(this->suspects.size() <= 1);
}

/// The load: a busy service, some of whose flows last too long anywhere. Each
/// control instance sees a few flows of each server, so some servers look bad
/// by chance; leaving them out would make the others busier still.
TEST(Outcomes, ABusyServiceLosesFewServersByChance) {
  std::size_t marked = 0;
  int rounds = 0;
  for (; rounds < 60; ++rounds) {
    this->Play(Milliseconds(500), 2, [](const std::string&) { return 0.04; });
    marked += this->suspects.size();
  }
  CHECK(marked * 100 < rounds * this->service.size() * 2);  // 2 %
}

TEST(Outcomes, NoMoreThanAThirdIsNamed) {
  this->Play(Milliseconds(5000), 15, [](const std::string& id) {
    return id > "s3" ? 0.9 : 0.0;  // s4 to s9
  });
  LONGS_EQUAL(4, this->suspects.size());
}

TEST(Outcomes, WithoutFlowsASuspectIsForgotten) {
  AddOutcomes(this->ledger, "s1", 0, 5, this->now);
  AddOutcomes(this->ledger, "s2", 5, 0, this->now);
  CHECK_EQUAL(1,
              FindFailing(this->ledger, this->service, {}, this->now).size());
  const TimePoint later = this->now + std::chrono::seconds(30);
  CHECK(FindFailing(this->ledger, this->service, {"s1"}, later).empty());
  ForgetOutcomes(this->ledger, later);
  CHECK(this->ledger.servers.empty());
}
