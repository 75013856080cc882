#include <map>
#include <string>

#include "Placement/Placement.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

wire::ServerRecord MakeRecord(const std::string& id, std::uint32_t ip,
                              const std::string& data_centre,
                              std::uint64_t incarnation = 1) {
  wire::ServerRecord record;
  record.set_id(id);
  record.set_service("catalogue");
  record.set_ip(ip);
  record.set_port(80);
  record.set_slots(3);
  record.set_data_centre(data_centre);
  record.set_incarnation(incarnation);
  return record;
}

}  // namespace

TEST_GROUP(Placement) {
  Placement placement{.config = {.data_centre = "here", .seed = 5}};

  void Add(const wire::ServerRecord& record) {
    UpdateServer(this->placement, record, kStart);
    RefreshUsable(this->placement);
  }

  PlacedServer& Server(const std::string& id) {
    return this->placement.servers[this->placement.by_id.at(id)];
  }

  ServerIndex Index(const std::string& id) {
    return this->placement.by_id.at(id);
  }

  std::string Choose(TimePoint now = kStart) {
    const auto index = ChooseServer(this->placement, PlacementRequest{}, now);
    return index ? this->placement.servers[*index].id : "";
  }
};

TEST(Placement, ParsesTheHexadecimalDigitsOfAnId) {
  CHECK_EQUAL(0x7f3a91c2U, ParseServerNumber("i-7f3a91c2"));
  CHECK_EQUAL(0x92c3923b0dU, ParseServerNumber("i-92c3923b0d"));
  CHECK_EQUAL(0xABCU, ParseServerNumber("x-ABC"));
  CHECK_EQUAL(0U, ParseServerNumber("x-yz"));
}

TEST(Placement, PrefersLocalServersUntilTheyAreBusy) {
  this->Add(MakeRecord("a1", 1, "here"));
  this->Add(MakeRecord("b2", 2, "there"));
  STRCMP_EQUAL("a1", this->Choose().c_str());
  this->Server("a1").in_flight = 6;
  STRCMP_EQUAL("b2", this->Choose().c_str());
}

TEST(Placement, DistributesFlowsOverEqualServers) {
  for (int i = 0; i < 4; ++i) {
    this->Add(MakeRecord("a" + std::to_string(i),
                         static_cast<std::uint32_t>(1 + i), "here"));
  }
  std::map<std::string, int> chosen;
  for (int i = 0; i < 400; ++i) {
    chosen[this->Choose()] += 1;
  }
  for (const auto& [id, count] : chosen) {
    CHECK(count > 60);
  }
  LONGS_EQUAL(4, chosen.size());
}

TEST(Placement, DoesNotChooseDrainingOrSilentServers) {
  this->Add(MakeRecord("a1", 1, "here"));
  wire::ServerRecord record = MakeRecord("a1", 1, "here");
  record.set_phase(wire::SERVER_DRAINING);
  this->Add(record);
  STRCMP_EQUAL("", this->Choose().c_str());
  record.set_phase(wire::SERVER_READY);
  record.set_silent(true);
  this->Add(record);
  STRCMP_EQUAL("", this->Choose().c_str());
  record.set_silent(false);
  this->Add(record);
  STRCMP_EQUAL("a1", this->Choose().c_str());
}

TEST(Placement, ChoosesTheLatestIncarnationAtAnAddress) {
  this->Add(MakeRecord("a1", 1, "here", 10));
  this->Add(MakeRecord("a2", 1, "here", 20));
  for (int i = 0; i < 50; ++i) {
    STRCMP_EQUAL("a2", this->Choose().c_str());
  }
  this->Add(MakeRecord("a3", 1, "here", 15));
  for (int i = 0; i < 50; ++i) {
    STRCMP_EQUAL("a2", this->Choose().c_str());
  }
}

TEST(Placement, ServerOfAServiceWithoutRouteHidesNoOther) {
  this->Add(MakeRecord("a1", 1, "here"));
  this->placement.routed_by_service = {true};
  wire::ServerRecord other = MakeRecord("b2", 1, "here", 99);
  other.set_service("another");
  this->Add(other);
  STRCMP_EQUAL("a1", this->Choose().c_str());
}

TEST(Placement, AvoidsAnUnansweringServerForALimitedTime) {
  this->Add(MakeRecord("a1", 1, "here"));
  this->Add(MakeRecord("b2", 2, "here"));
  RecordOpening(this->Server("a1"), kStart);
  const TimePoint after_timeout = kStart + Milliseconds(60);
  for (int i = 0; i < 50; ++i) {
    STRCMP_EQUAL("b2", this->Choose(after_timeout).c_str());
  }
  RecordUnanswered(this->placement, this->Index("a1"), after_timeout);
  this->Server("b2").in_flight = 2;
  STRCMP_EQUAL("b2", this->Choose(after_timeout).c_str());
  STRCMP_EQUAL("a1", this->Choose(after_timeout + Milliseconds(400)).c_str());
}

TEST(Placement, ChoosesAnAvoidedServerWithoutAlternative) {
  this->Add(MakeRecord("a1", 1, "here"));
  RecordOpening(this->Server("a1"), kStart);
  RecordUnanswered(this->placement, this->Index("a1"), kStart);
  STRCMP_EQUAL("a1", this->Choose(kStart + Milliseconds(1)).c_str());
}

TEST(Placement, ARestartEndsTheAvoidanceOfAServer) {
  this->Add(MakeRecord("a1", 1, "here"));
  RecordOpening(this->Server("a1"), kStart);
  RecordUnanswered(this->placement, this->Index("a1"), kStart);
  this->Add(MakeRecord("a1", 1, "here", 2));
  CHECK(this->Server("a1").avoid_until == TimePoint());
}

TEST(Placement, PlacesFewerFlowsOnAServerThatOthersLoad) {
  // Flows of other instances load the local server, which this instance can
  // detect only by the duration of its own flows.
  this->Add(MakeRecord("a1", 1, "here"));
  this->Add(MakeRecord("b2", 2, "there"));
  for (int i = 0; i < 200; ++i) {
    RecordFlowEnd(this->placement, this->placement.by_id.at("b2"), true,
                  Milliseconds(60), kStart);
  }
  for (int i = 0; i < 10; ++i) {
    RecordFlowEnd(this->placement, this->placement.by_id.at("a1"), true,
                  Milliseconds(200), kStart);
  }
  STRCMP_EQUAL("b2", this->Choose().c_str());
  // The server is used again once the measurement is outdated.
  STRCMP_EQUAL("a1", this->Choose(kStart + Milliseconds(4000)).c_str());
}

TEST(Placement, ProbesAnUnreachableDataCentreWithOneFlowPerSecond) {
  // A network partition: only opening packets to "here" are answered.
  for (int i = 0; i < 8; ++i) {
    this->Add(MakeRecord("b" + std::to_string(i),
                         static_cast<std::uint32_t>(10 + i), "there"));
  }
  this->Add(MakeRecord("a1", 1, "here"));
  int lost = 0;
  for (int i = 0; i < 500; ++i) {
    const TimePoint now = kStart + Milliseconds(10 * i);
    const ServerIndex index =
        *ChooseServer(this->placement, PlacementRequest{}, now);
    RecordOpening(this->placement.servers[index], now);
    if (this->placement.servers[index].local) {
      RecordAnswered(this->placement, index, now);
      // The local server is busy, so that the remote ones have lower costs.
      this->placement.servers[index].in_flight = 5;
    } else {
      RecordUnanswered(this->placement, index, now);
      lost += 1;
    }
  }
  CHECK(lost >= 3);
  CHECK(lost <= 3 + 6);
  // The data centre is used again after its first answer.
  const ServerIndex recovered = this->Index("b0");
  RecordOpening(this->placement.servers[recovered], kStart);
  RecordAnswered(this->placement, recovered, kStart + std::chrono::seconds(6));
  CHECK(this->Choose(kStart + std::chrono::seconds(7)) != "a1");
}

TEST(Placement, AvoidsAServerThatFailsWithPendingOpenings) {
  this->Add(MakeRecord("a1", 1, "here"));
  this->Add(MakeRecord("b2", 2, "here"));
  // The server answers one of two opening packets and then fails.
  RecordOpening(this->Server("a1"), kStart);
  RecordOpening(this->Server("a1"), kStart);
  RecordAnswered(this->placement, this->Index("a1"), kStart + Milliseconds(5));
  this->Server("b2").in_flight = 6;
  STRCMP_EQUAL("a1", this->Choose(kStart + Milliseconds(30)).c_str());
  STRCMP_EQUAL("b2", this->Choose(kStart + Milliseconds(60)).c_str());
}

TEST(Placement, AFailingServerGetsFewFlowsAndOnlyRetryableOnes) {
  for (int i = 0; i < 4; ++i) {
    wire::ServerRecord record = MakeRecord(
        "a" + std::to_string(i), static_cast<std::uint32_t>(1 + i), "here");
    record.set_failing(i == 0);
    this->Add(record);
  }
  int retryable = 0;
  int others = 0;
  constexpr int kFlows = 2400;
  for (int i = 0; i < kFlows; ++i) {
    const ServerIndex failing = this->Index("a0");
    const auto first = ChooseServer(
        this->placement, PlacementRequest{.retryable = true}, kStart);
    const auto second =
        ChooseServer(this->placement, PlacementRequest{}, kStart);
    retryable += first == failing ? 1 : 0;
    others += second == failing ? 1 : 0;
  }
  LONGS_EQUAL(0, others);
  CHECK(retryable > 20);
  CHECK(retryable < kFlows / 4 / 6);
}

TEST(Placement, ChoosesAFailingServerWithoutAlternative) {
  wire::ServerRecord record = MakeRecord("a1", 1, "here");
  record.set_failing(true);
  this->Add(record);
  STRCMP_EQUAL("a1", this->Choose().c_str());
}

// Guards against flows that leave the regions of their route, also when the
// servers there are avoided, failing or gone.
TEST(Placement, ChoosesOnlyServersInTheRegionsOfTheRoute) {
  this->placement.config.regions = {{"here", "north"}, {"there", "south"}};
  this->Add(MakeRecord("a1", 1, "here"));
  this->Add(MakeRecord("b2", 2, "there"));
  this->Add(MakeRecord("c3", 3, "in no region"));
  const std::vector<std::string> south = {"south"};
  const PlacementRequest flow{.retryable = true, .regions = south};
  wire::ServerRecord failing = MakeRecord("a1", 1, "here");
  failing.set_failing(true);
  this->Add(failing);
  this->Server("b2").avoid_until = kStart + std::chrono::hours(1);
  for (int i = 0; i < 200; ++i) {
    LONGS_EQUAL(this->Index("b2"),
                ChooseServer(this->placement, flow, kStart).value());
  }
  this->Server("b2").usable = false;
  RefreshUsable(this->placement);
  CHECK(!ChooseServer(this->placement, flow, kStart));
}

// Without settings on regions no data centre is in one.
TEST(Placement, ChoosesNoServerWhenNoDataCentreIsInARegion) {
  this->Add(MakeRecord("a1", 1, "here"));
  const std::vector<std::string> north = {"north"};
  CHECK(!ChooseServer(this->placement, PlacementRequest{.regions = north},
                      kStart));
  STRCMP_EQUAL("a1", this->Choose().c_str());
}

/// Guards against flows to an evacuated data centre when all other servers are
/// avoided or failing, and against a later server of it.
TEST(Placement, ChoosesNoServerOfAnEvacuatedDataCentre) {
  this->Add(MakeRecord("a1", 1, "here"));
  this->Add(MakeRecord("b2", 2, "there"));
  SetEvacuated(this->placement, {"here", "later"}, kStart);
  RefreshUsable(this->placement);
  this->Server("b2").failing = true;
  this->Server("b2").avoid_until = kStart + Milliseconds(1000);
  this->Add(MakeRecord("c3", 3, "later"));
  for (int i = 0; i < 200; ++i) {
    STRCMP_EQUAL("b2", this->Choose().c_str());
  }
  CHECK_FALSE(IsEmptiedByEvacuation(this->placement, 0));
  SetEvacuated(this->placement, {"here", "there", "later"}, kStart);
  RefreshUsable(this->placement);
  STRCMP_EQUAL("", this->Choose().c_str());
  CHECK(IsEmptiedByEvacuation(this->placement, 0));
}

/// Guards against a withdrawal that is not known as such: the servers may be
/// cold.
TEST(Placement, KnowsWhenADataCentreReturned) {
  this->Add(MakeRecord("a1", 1, "here"));
  SetEvacuated(this->placement, {"here"}, kStart);
  RefreshUsable(this->placement);
  const TimePoint returned_at = kStart + Milliseconds(500);
  SetEvacuated(this->placement, {}, returned_at);
  RefreshUsable(this->placement);
  STRCMP_EQUAL("a1", this->Choose().c_str());
  const PlacedDataCentre& here =
      this->placement.data_centres[this->Server("a1").data_centre];
  CHECK(here.returned_at == returned_at);
  SetEvacuated(this->placement, {}, returned_at + Milliseconds(500));
  CHECK(here.returned_at == returned_at);
}

/// Guards against flows of a server that moved out of, or into, an evacuated
/// data centre being decided by where it was.
TEST(Placement, AnEvacuationFollowsTheDataCentreThatAServerReports) {
  SetEvacuated(this->placement, {"here"}, kStart);
  this->Add(MakeRecord("a1", 1, "here"));
  STRCMP_EQUAL("", this->Choose().c_str());
  this->Add(MakeRecord("a1", 1, "there", 2));
  STRCMP_EQUAL("a1", this->Choose().c_str());
}

// Guards against flows to a cold server beyond its leases, and against a limit
// on servers that are warm.
TEST(Placement, AColdServerOfALimitedServiceNeedsBudget) {
  wire::ServerRecord cold = MakeRecord("a1", 1, "here");
  cold.set_warmup_ms(5000);
  this->Add(cold);
  SetWarmupLimits(this->placement.warmup,
                  {{.duration = Milliseconds(5000), .flows_per_second = 2}});
  STRCMP_EQUAL("", this->Choose().c_str());
  CHECK_EQUAL(1, this->placement.warmup.counters.refused);
  TakeWarmupLease(this->placement.warmup, this->Index("a1"), 1, 2, kStart,
                  kStart);
  STRCMP_EQUAL("a1", this->Choose().c_str());
  STRCMP_EQUAL("a1", this->Choose().c_str());
  STRCMP_EQUAL("", this->Choose().c_str());
  this->Add(MakeRecord("a2", 2, "here"));
  for (int i = 0; i < 10; ++i) {
    STRCMP_EQUAL("a2", this->Choose().c_str());
  }
  this->Server("a2").in_flight = 100;
  STRCMP_EQUAL("a1", this->Choose(kStart + Milliseconds(5000)).c_str());
}

// Guards against the probes of failing servers, which are chosen by chance.
TEST(Placement, AFailingColdServerNeedsBudget) {
  wire::ServerRecord cold = MakeRecord("a1", 1, "here");
  cold.set_warmup_ms(5000);
  cold.set_failing(true);
  this->Add(cold);
  this->Add(MakeRecord("a2", 2, "here"));
  SetWarmupLimits(this->placement.warmup,
                  {{.duration = Milliseconds(5000), .flows_per_second = 2}});
  for (int i = 0; i < 500; ++i) {
    const auto index =
        ChooseServer(this->placement, {.retryable = true}, kStart);
    CHECK_TRUE(index == this->Index("a2"));
  }
}

// Guards against a restarted server whose report says nothing of a warm-up.
TEST(Placement, ANewIncarnationOfALimitedServiceIsCold) {
  this->Add(MakeRecord("a1", 1, "here"));
  SetWarmupLimits(this->placement.warmup,
                  {{.duration = Milliseconds(5000), .flows_per_second = 2}});
  STRCMP_EQUAL("a1", this->Choose().c_str());
  this->Add(MakeRecord("a1", 1, "here", 2));
  STRCMP_EQUAL("", this->Choose().c_str());
  STRCMP_EQUAL("a1", this->Choose(kStart + Milliseconds(5000)).c_str());
}
