#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

/// Flows of backend servers whose ids give the same token, while the instances
/// of a fleet are restarted in turn.
using namespace filbertwall;

namespace {

constexpr InstanceAddress kControls = 3;
constexpr InstanceAddress kFirstEntry = 101;
constexpr InstanceAddress kEntries = 3;
constexpr std::uint16_t kFlowsAtEachEntry = 10;
constexpr Endpoint kAddress{.ip = 0x0a000001, .port = 80};
const std::vector<std::string> kServers = {"i-017f3a91c2", "i-027f3a91c2",
                                           "i-037f3a91c2"};

/// A flow as its two ends know it.
struct Flow {
  FlowKey key;
  std::string server;
  std::uint32_t token = 0;
};

struct SharedTokenWorld {
  FleetWorld world = MakeWorld(kControls, kEntries);
  std::map<std::string, std::uint64_t> sequences;
  std::map<std::string, wire::ServerPhase> phases;
  std::vector<Flow> flows;
};

/// Lets a server report to a control instance, and all servers from then on.
void ReportServer(SharedTokenWorld& shared, std::size_t index,
                  wire::ServerPhase phase) {
  const std::string& id = kServers[index];
  shared.phases[id] = phase;
  ServerReported event{.call = shared.world.next_call++};
  event.record.set_id(id);
  event.record.set_service("proof");
  event.record.set_ip(static_cast<std::uint32_t>(500 + index));
  event.record.set_port(80);
  event.record.set_slots(2);
  event.record.set_incarnation(1 + index);
  event.record.set_sequence(++shared.sequences[id]);
  event.record.set_phase(phase);
  Apply(shared.world, static_cast<InstanceAddress>(1 + index % kControls),
        event);
}

/// Runs while the known servers report each second.
void RunWithReports(SharedTokenWorld& shared, int seconds) {
  for (int i = 0; i < seconds; ++i) {
    for (std::size_t index = 0; index < kServers.size(); ++index) {
      const auto known = shared.phases.find(kServers[index]);
      if (known != shared.phases.end()) {
        ReportServer(shared, index, known->second);
      }
    }
    Run(shared.world, Milliseconds(1000));
  }
}

void OpenFlows(SharedTokenWorld& shared) {
  for (InstanceAddress id = kFirstEntry; id < kFirstEntry + kEntries; ++id) {
    Forwarder& forwarder = shared.world.entries.at(id).forwarder;
    for (std::uint16_t i = 0; i < kFlowsAtEachEntry; ++i) {
      const FlowKey key{.caller = {.ip = id,
                                   .port = static_cast<std::uint16_t>(
                                       1 + shared.flows.size())},
                        .address = kAddress};
      const Decision decision = DecidePacket(
          forwarder, {.key = key, .opens = true}, shared.world.now);
      CHECK(decision.verdict == Verdict::kForward);
      const PlacedServer& server = forwarder.placement.servers[decision.server];
      shared.flows.push_back(
          {.key = key, .server = server.id, .token = server.token});
    }
  }
}

/// Checks that each entry instance sends the packets of each flow to its
/// server.
void CheckFlows(SharedTokenWorld& shared) {
  for (InstanceAddress id = kFirstEntry; id < kFirstEntry + kEntries; ++id) {
    Forwarder& forwarder = shared.world.entries.at(id).forwarder;
    for (const Flow& flow : shared.flows) {
      const Decision decision = DecidePacket(
          forwarder, {.key = flow.key, .token = flow.token}, shared.world.now);
      CHECK(decision.verdict == Verdict::kForward);
      STRCMP_EQUAL(flow.server.c_str(),
                   forwarder.placement.servers[decision.server].id.c_str());
    }
  }
}

/// Stops and starts the control instances, then the entry instances, each one
/// after the other, and checks the flows after each start.
void RestartAllInTurn(SharedTokenWorld& shared, bool lose_disks) {
  for (InstanceAddress id = 1; id <= kControls; ++id) {
    shared.world.down.insert(id);
    RunWithReports(shared, 1);
    if (lose_disks) {
      shared.world.disks[id].clear();
      shared.world.saved[id].Clear();
    }
    StartControl(shared.world, id, false);
    RunWithReports(shared, 6);
    CheckFlows(shared);
  }
  for (InstanceAddress id = kFirstEntry; id < kFirstEntry + kEntries; ++id) {
    shared.world.down.insert(id);
    RunWithReports(shared, 1);
    StartEntry(shared.world, id);
    RunWithReports(shared, 3);
    CHECK(IsReady(shared.world.entries.at(id)));
    CheckFlows(shared);
  }
}

SharedTokenWorld MakeSharedTokenWorld() {
  SharedTokenWorld shared;
  Run(shared.world, Milliseconds(2000));
  CHECK(SubmitUntilAccepted(shared.world, 1));
  return shared;
}

}  // namespace

TEST_GROUP(SharedToken){};

/// Guards against packets of open flows that reach another server once the
/// instances were restarted while the flows' server drains.
TEST(SharedToken, FlowsStayWithTheirServersThroughRestartsInTurn) {
  for (const bool lose_disks : {false, true}) {
    for (std::size_t draining = 0; draining < kServers.size(); ++draining) {
      SharedTokenWorld shared = MakeSharedTokenWorld();
      for (std::size_t index = 0; index < kServers.size(); ++index) {
        ReportServer(shared, index, wire::SERVER_READY);
        RunWithReports(shared, 1);
      }
      RunWithReports(shared, 3);
      OpenFlows(shared);
      CheckFlows(shared);
      ReportServer(shared, draining, wire::SERVER_DRAINING);
      RestartAllInTurn(shared, lose_disks);
    }
  }
}

/// Guards against the same for flows that were opened before the other servers
/// with the token had started.
TEST(SharedToken, FlowsOpenedBeforeTheOthersStartedStayThroughRestarts) {
  SharedTokenWorld shared = MakeSharedTokenWorld();
  ReportServer(shared, 0, wire::SERVER_READY);
  RunWithReports(shared, 4);
  OpenFlows(shared);
  ReportServer(shared, 1, wire::SERVER_READY);
  ReportServer(shared, 2, wire::SERVER_READY);
  RunWithReports(shared, 1);
  CheckFlows(shared);
  ReportServer(shared, 0, wire::SERVER_DRAINING);
  RestartAllInTurn(shared, false);
}
