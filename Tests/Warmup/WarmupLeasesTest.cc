#include <algorithm>
#include <random>

#include "Warmup/WarmupLeases.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
const std::string kService = "proof";

ColdServer MakeCold(const std::string& id, std::uint32_t flows_per_second) {
  return {.id = id, .incarnation = 1, .flows_per_second = flows_per_second};
}

}  // namespace

TEST_GROUP(WarmupLeases) {
  /// Without a collection of the first demands, so that a single holder is
  /// granted all at once; see `TheFirstHolderLeavesTheOthersTheirShares`.
  WarmupLeases leases{.timing = {.collection = Milliseconds(0)}};

  std::uint64_t Grant(const WarmupHolder& holder, std::uint32_t demand,
                      TimePoint now) {
    std::uint64_t total = 0;
    for (const GrantedLease& lease :
         GrantWarmupLeases(this->leases, kService, holder, demand, now)) {
      total += lease.flows_per_second;
    }
    return total;
  }
};

// Guards against instances that have no lease in the first seconds, since those
// whose requests came first hold all.
TEST(WarmupLeases, TheFirstHolderLeavesTheOthersTheirShares) {
  this->leases.timing = WarmupTiming();
  SetColdServers(this->leases, kService,
                 {MakeCold("a", 10), MakeCold("b", 10), MakeCold("c", 10)});
  for (std::uint32_t i = 1; i <= 10; ++i) {
    CHECK_EQUAL(1U, this->Grant({.instance = i}, 100, kStart));
  }
  for (std::uint32_t i = 1; i <= 10; ++i) {
    CHECK_EQUAL(3U,
                this->Grant({.instance = i}, 100, kStart + Milliseconds(400)));
  }
}

TEST(WarmupLeases, TheSumOfTheLeasesIsTheLimit) {
  SetColdServers(this->leases, kService, {MakeCold("a", 3)});
  std::uint64_t total = 0;
  for (std::uint32_t i = 1; i <= 10; ++i) {
    total += this->Grant({.instance = i}, 5, kStart);
  }
  CHECK_EQUAL(3U, total);
}

// Guards against a lease that is given to a second holder while flows of the
// first may still arrive.
TEST(WarmupLeases, ALeaseIsHeldUntilItsFlowsHaveLeftTheWindow) {
  SetColdServers(this->leases, kService, {MakeCold("a", 2)});
  CHECK_EQUAL(2U, this->Grant({.instance = 1}, 5, kStart));
  CHECK_EQUAL(0U, this->Grant({.instance = 2}, 5, kStart + Milliseconds(2199)));
  CHECK_EQUAL(2U, this->Grant({.instance = 2}, 5, kStart + Milliseconds(2200)));
}

// Guards against a smaller renewal that frees at once what its holder may
// already have sent.
TEST(WarmupLeases, ASmallerRenewalFreesTheRestOnlyLater) {
  SetColdServers(this->leases, kService, {MakeCold("a", 4)});
  CHECK_EQUAL(4U, this->Grant({.instance = 1}, 8, kStart));
  CHECK_EQUAL(2U, this->Grant({.instance = 1}, 1, kStart + Milliseconds(400)));
  CHECK_EQUAL(0U, this->Grant({.instance = 2}, 1, kStart + Milliseconds(500)));
  CHECK_EQUAL(2U, this->Grant({.instance = 2}, 1, kStart + Milliseconds(2200)));
}

// Guards against a restarted instance that spends its lease a second time.
TEST(WarmupLeases, ARestartedInstanceDoesNotGetWhatItsEarlierLifeHolds) {
  SetColdServers(this->leases, kService, {MakeCold("a", 2)});
  CHECK_EQUAL(2U, this->Grant({.instance = 1, .incarnation = 1}, 5, kStart));
  CHECK_EQUAL(0U, this->Grant({.instance = 1, .incarnation = 2}, 5,
                              kStart + Milliseconds(900)));
}

// Guards against a server that restarts and gets the flows of two leases: the
// holder may not know of the restart yet.
TEST(WarmupLeases, LeasesOnAnEarlierStartOfTheServerCount) {
  SetColdServers(this->leases, kService, {MakeCold("a", 2)});
  CHECK_EQUAL(2U, this->Grant({.instance = 1}, 5, kStart));
  ColdServer restarted = MakeCold("a", 2);
  restarted.incarnation = 2;
  SetColdServers(this->leases, kService, {restarted});
  CHECK_EQUAL(0U, this->Grant({.instance = 2}, 5, kStart));
}

TEST(WarmupLeases, LeasesCountWhileTheServerIsNotListed) {
  SetColdServers(this->leases, kService, {MakeCold("a", 2)});
  CHECK_EQUAL(2U, this->Grant({.instance = 1}, 5, kStart));
  SetColdServers(this->leases, kService, {});
  CHECK_EQUAL(0U, this->Grant({.instance = 2}, 5, kStart));
  SetColdServers(this->leases, kService, {MakeCold("a", 2)});
  CHECK_EQUAL(0U, this->Grant({.instance = 2}, 5, kStart + Milliseconds(100)));
}

TEST(WarmupLeases, ALowerLimitHoldsForRenewals) {
  SetColdServers(this->leases, kService, {MakeCold("a", 5)});
  CHECK_EQUAL(5U, this->Grant({.instance = 1}, 5, kStart));
  SetColdServers(this->leases, kService, {MakeCold("a", 2)});
  CHECK_EQUAL(2U, this->Grant({.instance = 1}, 5, kStart + Milliseconds(400)));
}

// Guards against an instance that holds more than it can use while others get
// nothing.
TEST(WarmupLeases, LeasesFollowTheDemand) {
  std::vector<ColdServer> cold;
  for (int i = 0; i < 50; ++i) {
    cold.push_back(MakeCold("s" + std::to_string(i), 2));
  }
  SetColdServers(this->leases, kService, cold);
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(8);
       now += Milliseconds(400)) {
    this->Grant({.instance = 1}, 90, now);
    this->Grant({.instance = 2}, 30, now);
  }
  const TimePoint now = kStart + std::chrono::seconds(8);
  CHECK_EQUAL(75U, this->Grant({.instance = 1}, 90, now));
  CHECK_EQUAL(25U, this->Grant({.instance = 2}, 30, now));
}

TEST(WarmupLeases, NoMoreIsGrantedThanCanBeUsed) {
  SetColdServers(this->leases, kService, {MakeCold("a", 100)});
  // One flow a window of 1.2 s for each flow a second of the lease.
  CHECK_EQUAL(12U, this->Grant({.instance = 1}, 10, kStart));
}

TEST(WarmupLeases, NothingIsKeptOnceAllLeasesHaveEnded) {
  SetColdServers(this->leases, kService, {MakeCold("a", 2)});
  this->Grant({.instance = 1}, 5, kStart);
  SetColdServers(this->leases, kService, {});
  ExpireWarmupLeases(this->leases, kStart + std::chrono::seconds(3));
  CHECK_TRUE(this->leases.pools.empty());
}

// Guards against an index that disagrees with the leases after any sequence of
// requests, expiries and changes of the servers.
TEST(WarmupLeases, RandomHistoriesNeverExceedTheLimit) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    this->leases = {};
    std::mt19937 random(seed);
    const auto draw = [&](std::uint32_t limit) { return random() % limit; };
    struct Held {
      std::uint32_t instance;
      std::uint32_t flows_per_second;
      TimePoint until;
    };
    std::map<std::string, std::vector<Held>> held;
    TimePoint now = kStart;
    for (int step = 0; step < 4000; ++step) {
      now += Milliseconds(draw(30));
      if (draw(20) == 0) {
        std::vector<ColdServer> cold;
        for (int i = 0; i < 8; ++i) {
          if (draw(4) != 0) {
            cold.push_back(MakeCold("s" + std::to_string(i), 4));
          }
        }
        SetColdServers(this->leases, kService, cold);
      }
      const std::uint32_t instance = draw(12);
      for (const GrantedLease& lease :
           GrantWarmupLeases(this->leases, kService, {.instance = instance},
                             1 + draw(6), now)) {
        held[lease.server].push_back(
            {.instance = instance,
             .flows_per_second = lease.flows_per_second,
             .until = now + Milliseconds(2200)});
      }
      for (auto& [id, items] : held) {
        std::map<std::uint32_t, std::uint32_t> largest;
        for (const Held& item : items) {
          if (item.until > now) {
            std::uint32_t& most = largest[item.instance];
            most = std::max(most, item.flows_per_second);
          }
        }
        std::uint32_t total = 0;
        for (const auto& [holder, flows_per_second] : largest) {
          total += flows_per_second;
        }
        CHECK_TRUE(total <= 4);
        std::erase_if(items,
                      [&](const Held& item) { return item.until <= now; });
      }
    }
  }
}
