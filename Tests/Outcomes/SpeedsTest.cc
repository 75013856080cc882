#include <cmath>
#include <random>
#include <string>

#include "Outcomes/Speeds.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kSlots = 2;

}  // namespace

/// Servers in two data centres, each flow of which is reported on its own.
TEST_GROUP(Speeds) {
  SpeedStats stats;
  std::vector<SpeedCandidate> servers;
  TimePoint now = kStart;
  std::mt19937 random{11};
  std::uint32_t changes = 0;

  void setup() override {
    for (int i = 0; i < 12; ++i) {
      this->servers.push_back({.id = "s" + std::to_string(i),
                               .data_centre = i < 6 ? "dc0" : "dc1"});
    }
  }

  std::uint32_t Slowness(const std::string& id) const {
    for (const SpeedCandidate& server : this->servers) {
      if (server.id == id) {
        return server.slowness_percent;
      }
    }
    return 0;
  }

  std::uint32_t MarkedServers() const {
    std::uint32_t marked = 0;
    for (const SpeedCandidate& server : this->servers) {
      marked += server.slowness_percent > 0 ? 1 : 0;
    }
    return marked;
  }

  void Evaluate() {
    const auto slow = FindSlowServers(this->stats, this->servers, this->now);
    for (SpeedCandidate& server : this->servers) {
      const auto found = slow.find(server.id);
      const std::uint32_t percent = found == slow.end() ? 0 : found->second;
      this->changes += percent != server.slowness_percent ? 1 : 0;
      server.slowness_percent = percent;
    }
  }

  /// Ends flows of all servers. `duration_of` returns the mean duration of a
  /// server's flows in milliseconds, `rate_of` how many end in a second.
  template <typename Duration, typename Rate>
  void RunFlows(Milliseconds time, Duration duration_of, Rate rate_of) {
    constexpr Milliseconds kStep{10};
    std::uniform_real_distribution<double> draw(0, 1);
    std::lognormal_distribution<double> spread(-0.125, 0.5);
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      this->now += kStep;
      for (const SpeedCandidate& server : this->servers) {
        if (draw(this->random) < rate_of(server) * 0.01) {
          const double duration = duration_of(server) * spread(this->random);
          AddDurations(this->stats, server.id, kSlots, 1,
                       static_cast<std::uint64_t>(duration), this->now);
        }
      }
      if (passed % Milliseconds(500) == Milliseconds(0)) {
        this->Evaluate();
      }
    }
  }

  template <typename Duration>
  void RunFlows(Milliseconds time, Duration duration_of) {
    this->RunFlows(time, duration_of,
                   [](const SpeedCandidate&) { return 13.0; });
  }
};

/// Two of twelve servers with 13 flows a second take five times as long.
TEST(Speeds, FindsSlowServersWithinSeconds) {
  const auto duration_of = [](const SpeedCandidate& server) {
    return server.id == "s3" || server.id == "s8" ? 150.0 : 30.0;
  };
  this->RunFlows(Milliseconds(4000),
                 [](const SpeedCandidate&) { return 30.0; });
  LONGS_EQUAL(0, this->MarkedServers());
  this->RunFlows(Milliseconds(4000), duration_of);
  CHECK(this->Slowness("s3") >= 300);
  CHECK(this->Slowness("s8") >= 300);
  LONGS_EQUAL(2, this->MarkedServers());
}

/// Slow servers get few flows, which must suffice to see that they are well.
TEST(Speeds, ClearsARecoveredServerThatGetsFewFlows) {
  const auto rate_of = [this](const SpeedCandidate& server) {
    return this->Slowness(server.id) > 0 ? 1.2 : 13.0;
  };
  this->RunFlows(
      Milliseconds(6000),
      [](const SpeedCandidate& server) {
        return server.id == "s3" ? 150.0 : 30.0;
      },
      rate_of);
  CHECK(this->Slowness("s3") >= 300);
  this->RunFlows(
      Milliseconds(8000), [](const SpeedCandidate&) { return 30.0; }, rate_of);
  LONGS_EQUAL(0, this->MarkedServers());
}

/// A server at the edge of a step would be marked and cleared without end, and
/// each change is sent to all instances.
TEST(Speeds, AServerAtTheEdgeOfAStepChangesSeldom) {
  this->RunFlows(Milliseconds(60000), [](const SpeedCandidate& server) {
    return server.id == "s3" ? 60.0 : 30.0;
  });
  CHECK(this->changes < 24);
}

/// 3 % of the work takes seven times as long, at all servers alike.
TEST(Speeds, HeavyTailedWorkMarksNoServer) {
  std::uniform_real_distribution<double> draw(0, 1);
  this->RunFlows(Milliseconds(120000), [&](const SpeedCandidate&) {
    return draw(this->random) < 0.03 ? 238.0 : 34.0;
  });
  LONGS_EQUAL(0, this->changes);
}

/// Chance must mark no server that has few flows.
TEST(Speeds, FewFlowsMarkNoServer) {
  this->RunFlows(
      Milliseconds(120000), [](const SpeedCandidate&) { return 30.0; },
      [](const SpeedCandidate&) { return 3.0; });
  LONGS_EQUAL(0, this->changes);
}

/// Requests that wait take long at a server of usual speed: four times the
/// usual duration, with eight requests at a server with two slots, which ends
/// 33 a second.
TEST(Speeds, AQueueMarksNoServer) {
  const auto is_busy = [](const SpeedCandidate& server) {
    return server.id == "s1" || server.id == "s2";
  };
  this->RunFlows(
      Milliseconds(20000),
      [&](const SpeedCandidate& server) { return is_busy(server) ? 240 : 60; },
      [&](const SpeedCandidate& server) { return is_busy(server) ? 33 : 8; });
  LONGS_EQUAL(0, this->MarkedServers());
}

/// The network to a data centre adds to the durations of its flows.
TEST(Speeds, ADistantDataCentreIsNotSlow) {
  this->RunFlows(Milliseconds(20000), [](const SpeedCandidate& server) {
    return server.data_centre == "dc1" ? 58.0 : 30.0;
  });
  LONGS_EQUAL(0, this->MarkedServers());
}

/// No server of a data centre stands out if all of them are slow.
TEST(Speeds, ADataCentreThatIsFarSlowerIsSlow) {
  this->RunFlows(Milliseconds(8000), [](const SpeedCandidate& server) {
    return server.data_centre == "dc1" ? 180.0 : 30.0;
  });
  LONGS_EQUAL(6, this->MarkedServers());
  CHECK(this->Slowness("s0") == 0);
  CHECK(this->Slowness("s6") >= 200);
}

/// Half of the servers are slow: the others stay the usual ones.
TEST(Speeds, FindsManySlowServers) {
  this->RunFlows(Milliseconds(8000), [](const SpeedCandidate& server) {
    return server.id.back() % 2 == 0 ? 150.0 : 30.0;
  });
  LONGS_EQUAL(6, this->MarkedServers());
}

/// Work that becomes longer for all servers is no reason to use fewer of them.
TEST(Speeds, LongerWorkOfAllMarksNoServer) {
  this->RunFlows(Milliseconds(5000),
                 [](const SpeedCandidate&) { return 30.0; });
  this->RunFlows(Milliseconds(10000),
                 [](const SpeedCandidate&) { return 120.0; });
  LONGS_EQUAL(0, this->MarkedServers());
}

/// A mark whose server had no flows since must end some day.
TEST(Speeds, AMarkWithoutFlowsExpires) {
  this->RunFlows(Milliseconds(6000), [](const SpeedCandidate& server) {
    return server.id == "s3" ? 150.0 : 30.0;
  });
  CHECK(this->Slowness("s3") > 0);
  this->RunFlows(
      Milliseconds(15000), [](const SpeedCandidate&) { return 30.0; },
      [](const SpeedCandidate& server) {
        return server.id == "s3" ? 0.0 : 13.0;
      });
  LONGS_EQUAL(0, this->Slowness("s3"));
}

TEST(Speeds, ServersWithoutFlowsTakeNoMemory) {
  AddDurations(this->stats, "s1", kSlots, 3, 90, this->now);
  LONGS_EQUAL(1, this->stats.servers.size());
  RemoveExpiredSpeeds(this->stats, this->now + std::chrono::seconds(20));
  LONGS_EQUAL(0, this->stats.servers.size());
}

/// Extreme values of a faulty instance lead to no invalid position.
TEST(Speeds, ExtremeDurationsAreBounded) {
  AddDurations(this->stats, "s1", 0, 1, 0, this->now);
  AddDurations(this->stats, "s1", kSlots, 1, 600000, this->now);
  AddDurations(this->stats, "s1", kSlots, 1000000, 600000000000, this->now);
  this->Evaluate();
  LONGS_EQUAL(0, this->MarkedServers());
}
