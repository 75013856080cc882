#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Forwarding/Forwarder.h"

#include <CppUTest/TestHarness.h>

/// Backend servers whose ids give the same token. An instance learns of servers
/// in an order of its own, so it must not depend on that order to which of them
/// it sends the packets of a flow that another instance opened.
using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Endpoint kAddress{.ip = 100, .port = 443};

/// Ids with the same last 8 hexadecimal digits, with the same number, without
/// digits, and with a number whose last digits are zeros.
const std::vector<std::vector<std::string>> kIdsWithOneToken = {
    {"i-017f3a91c2", "i-027f3a91c2"},
    {"i-017f3a91c2", "i-027f3a91c2", "i-037f3a91c2"},
    {"i-7f3a91c2", "i-17f3a91c2", "i-00000000117f3a91c2", "j-7f3a91c2"},
    {"x-7f3a91c2", "y-7f3a91c2"},
    {"xyz", "zyx"},
    {"i-0100000000", "i-0200000000"}};

/// The server at position `index` of a set; `index` also gives its address and
/// the order of the starts.
wire::ServerRecord MakeRecord(const std::string& id, std::size_t index) {
  wire::ServerRecord record;
  record.set_id(id);
  record.set_service("proof");
  record.set_ip(static_cast<std::uint32_t>(1 + index));
  record.set_port(80);
  record.set_slots(3);
  record.set_data_centre("here");
  record.set_incarnation(1 + index);
  return record;
}

std::vector<wire::ServerRecord> MakeRecords(
    const std::vector<std::string>& ids) {
  std::vector<wire::ServerRecord> records;
  for (const std::string& id : ids) {
    records.push_back(MakeRecord(id, records.size()));
  }
  return records;
}

void Update(Forwarder& forwarder, const wire::ServerRecord& record) {
  UpdateServer(forwarder.placement, record, kStart);
  RefreshUsable(forwarder.placement);
}

Forwarder MakeForwarder(const std::vector<wire::ServerRecord>& records) {
  Forwarder forwarder;
  forwarder.placement.config = {.data_centre = "here", .seed = 1};
  forwarder.serving = true;
  for (const wire::ServerRecord& record : records) {
    Update(forwarder, record);
  }
  wire::RoutesUpdate update;
  update.set_version(1);
  wire::Route& route = *update.add_set();
  route.set_ip(kAddress.ip);
  route.set_port(kAddress.port);
  route.set_timeout_ms(1000);
  wire::RouteShare& share = *route.add_shares();
  share.set_service("proof");
  share.set_weight(1);
  ApplyRoutes(forwarder.routes, update, forwarder.placement);
  return forwarder;
}

FlowKey KeyOfPort(std::uint16_t port) {
  return {.caller = {.ip = 7, .port = port}, .address = kAddress};
}

/// A flow as its two ends know it.
struct Flow {
  std::uint16_t port = 0;
  std::string server;
  std::uint32_t token = 0;
};

/// Opens a flow. Its server is empty if it was not opened.
Flow Open(Forwarder& forwarder, std::uint16_t port) {
  const Decision decision =
      DecidePacket(forwarder, {.key = KeyOfPort(port), .opens = true}, kStart);
  if (decision.verdict != Verdict::kForward) {
    return {.port = port};
  }
  const PlacedServer& server = forwarder.placement.servers[decision.server];
  return {.port = port, .server = server.id, .token = server.token};
}

/// Returns the server to which a packet of the flow is sent; empty if none.
std::string ServerOf(Forwarder& forwarder, const Flow& flow,
                     bool closes = false) {
  const Decision decision = DecidePacket(
      forwarder,
      {.key = KeyOfPort(flow.port), .closes = closes, .token = flow.token},
      kStart);
  return decision.verdict == Verdict::kForward
             ? forwarder.placement.servers[decision.server].id
             : "";
}

/// Calls `check` with the records in each order.
template <typename Check>
void ForEachOrder(const std::vector<std::string>& ids, const Check& check) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    order.push_back(i);
  }
  do {
    std::vector<wire::ServerRecord> records;
    for (const std::size_t index : order) {
      records.push_back(MakeRecord(ids[index], index));
    }
    check(records);
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace

TEST_GROUP(SharedToken){};

/// Guards against packets of open flows that are sent to another server by an
/// instance that learned of the servers in another order.
TEST(SharedToken, FlowsStayWithTheirServersInAnyOrderOfRecords) {
  constexpr std::uint16_t kFlows = 20;
  for (const std::vector<std::string>& ids : kIdsWithOneToken) {
    Forwarder opener = MakeForwarder(MakeRecords(ids));
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
      const Flow flow = Open(opener, port);
      CHECK(!flow.server.empty());
      ForEachOrder(ids, [&](const std::vector<wire::ServerRecord>& records) {
        Forwarder other = MakeForwarder(records);
        STRCMP_EQUAL(flow.server.c_str(), ServerOf(other, flow).c_str());
      });
    }
  }
}

/// Guards against a server that gets no flows because another one has its
/// token, and so against a service without servers once that one drains.
TEST(SharedToken, EachServerGetsFlows) {
  constexpr std::uint16_t kFlows = 40;
  for (const std::vector<std::string>& ids : kIdsWithOneToken) {
    Forwarder forwarder = MakeForwarder(MakeRecords(ids));
    std::set<std::string> chosen;
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
      chosen.insert(Open(forwarder, port).server);
    }
    LONGS_EQUAL(ids.size(), chosen.size());
    CHECK_FALSE(chosen.contains(""));
  }
}

/// Guards against the flows of a server being sent to one that started later,
/// by instances that did not open them.
TEST(SharedToken, FlowsOpenedBeforeTheOtherServerStartedStay) {
  for (const std::vector<std::string>& ids : kIdsWithOneToken) {
    Forwarder opener = MakeForwarder({MakeRecord(ids[0], 0)});
    const Flow flow = Open(opener, 1);
    ForEachOrder(ids, [&](const std::vector<wire::ServerRecord>& records) {
      Forwarder other = MakeForwarder(records);
      STRCMP_EQUAL(ids[0].c_str(), ServerOf(other, flow).c_str());
      wire::ServerRecord draining = MakeRecord(ids[0], 0);
      draining.set_phase(wire::SERVER_DRAINING);
      Update(other, draining);
      STRCMP_EQUAL(ids[0].c_str(), ServerOf(other, flow).c_str());
    });
  }
}

/// Guards against a flow being sent to another server by the instance that
/// opened it, if the clocks of the servers state the order of their starts
/// wrongly.
TEST(SharedToken, FlowsOpenedHereStayWhateverTheOrderOfStarts) {
  for (const std::vector<std::string>& ids : kIdsWithOneToken) {
    Forwarder forwarder = MakeForwarder({MakeRecord(ids[1], 1)});
    const Flow flow = Open(forwarder, 1);
    Update(forwarder, MakeRecord(ids[0], 0));
    STRCMP_EQUAL(ids[1].c_str(), ServerOf(forwarder, flow).c_str());
    STRCMP_EQUAL(ids[1].c_str(), ServerOf(forwarder, flow, true).c_str());
  }
}

/// Guards against flows being lost to a server that has ended or is silent and
/// that only some instances remember.
TEST(SharedToken, FlowsStayWithALiveServerBesideAnEndedOne) {
  for (const std::vector<std::string>& ids : kIdsWithOneToken) {
    Forwarder opener = MakeForwarder({MakeRecord(ids[1], 1)});
    const Flow flow = Open(opener, 1);
    wire::ServerRecord gone = MakeRecord(ids[0], 0);
    gone.set_phase(wire::SERVER_GONE);
    wire::ServerRecord silent = MakeRecord(ids[0], 0);
    silent.set_silent(true);
    for (const wire::ServerRecord& ended : {gone, silent}) {
      Forwarder other = MakeForwarder({ended, MakeRecord(ids[1], 1)});
      STRCMP_EQUAL(ids[1].c_str(), ServerOf(other, flow).c_str());
    }
  }
}
