#include <array>
#include <map>
#include <random>
#include <vector>

#include "Forwarding/Forwarder.h"
#include "platform/PacketAdapter.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;
using namespace filbertwall::platform;

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kSeed = 20261205;
constexpr std::size_t kRounds = 60000;
constexpr std::size_t kFlowLimit = 500;
constexpr std::uint32_t kAddressIp = 0xc6120001;
constexpr std::uint8_t kSyn = 1;
constexpr std::uint8_t kAck = 4;

struct Field {
  std::size_t offset;
  std::size_t size;
};
constexpr std::array<Field, 9> kFields = {{{0, 4},
                                           {4, 4},
                                           {12, 4},
                                           {16, 4},
                                           {20, 2},
                                           {22, 2},
                                           {24, 2},
                                           {26, 1},
                                           {28, 4}}};
constexpr std::array<std::uint32_t, 9> kOddValues = {
    0, 1, 2, 3, 15, 0xffff, 0x7fffffff, 0x80000000, 0xffffffff};

void Put(Bytes& bytes, Field field, std::uint32_t value) {
  for (std::size_t i = 0; i < field.size; ++i) {
    bytes[field.offset + i] = static_cast<std::uint8_t>(value >> (8 * i));
  }
}

/// Returns a packet of the caller 100.64.1.1 at `port`.
Bytes MakePacket(std::uint16_t port, std::uint16_t route, std::uint8_t flags,
                 std::size_t payload = 0) {
  Bytes bytes(32 + payload);
  Put(bytes, {12, 4}, 0x64400101);
  Put(bytes, {16, 4}, kAddressIp);
  Put(bytes, {20, 2}, port);
  Put(bytes, {22, 2}, route);
  Put(bytes, {24, 2}, static_cast<std::uint32_t>(payload));
  Put(bytes, {26, 1}, flags);
  return bytes;
}

wire::RoutesUpdate MakeRoutes() {
  wire::RoutesUpdate update;
  update.set_version(4);
  for (std::uint32_t port = 1; port <= 5; ++port) {
    wire::Route& route = *update.add_set();
    route.set_ip(kAddressIp);
    route.set_port(port);
    route.set_timeout_ms(port == 1 ? UINT32_MAX : 1000);
    route.set_objective_ms(port % 2 == 0 ? 100 : 0);
    route.set_kind(port < 3 ? wire::REQUEST_UNSAFE : wire::REQUEST_SAFE);
    wire::RouteShare& share = *route.add_shares();
    share.set_service(port == 4 ? "nobody" : "alpha");
    share.set_weight(port == 5 ? 0 : UINT32_MAX);
  }
  return update;
}

}  // namespace

TEST_GROUP(RandomPackets) {
  PacketCodec codec = MakePacketCodec();
  Forwarder forwarder;
  std::mt19937 random{kSeed};
  TimePoint now = kStart;
  /// The server's token by the port of each valid flow's caller.
  std::map<std::uint16_t, std::uint32_t> tokens;
  std::size_t parsed = 0;

  void setup() override {
    this->forwarder.flow_limit = kFlowLimit;
    this->forwarder.serving = true;
    for (std::uint32_t i = 1; i <= 5; ++i) {
      wire::ServerRecord record;
      record.set_id("i-000" + std::to_string(i));
      record.set_service("alpha");
      record.set_ip(i);
      record.set_port(80);
      record.set_slots(i);
      record.set_incarnation(1);
      UpdateServer(this->forwarder.placement, record, kStart);
    }
    RefreshUsable(this->forwarder.placement);
    CHECK(ApplyRoutes(this->forwarder.routes, MakeRoutes(),
                      this->forwarder.placement));
    this->forwarder.routes.dropped[KeyOf({.ip = kAddressIp, .port = 9})] = 4;
  }

  std::uint32_t Draw(std::size_t range) {
    return static_cast<std::uint32_t>(this->random() % range);
  }

  /// Handles a datagram as an entry instance does. Returns the decision of a
  /// valid packet.
  std::optional<Decision> Process(Bytes & bytes) {
    FlowPacket packet;
    if (!this->codec.parse(bytes, packet)) {
      return std::nullopt;
    }
    this->parsed += 1;
    const Decision decision = DecidePacket(this->forwarder, packet, this->now);
    std::array<std::uint8_t, 64> out{};
    switch (decision.verdict) {
      case Verdict::kForward: {
        const PlacedServer& server =
            this->forwarder.placement.servers.at(decision.server);
        this->codec.write_token(bytes, server.token);
        LONGS_EQUAL(8, this->codec.write_header(server.number, out));
        break;
      }
      case Verdict::kReset:
        LONGS_EQUAL(32, this->codec.write_reset(bytes, out));
        break;
      case Verdict::kHold:
        HoldPacket(this->forwarder, packet, decision, bytes, this->now);
        break;
      case Verdict::kDrop:
        break;
    }
    return decision;
  }

  Bytes RandomPacket() {
    Bytes bytes(this->Draw(4) == 0 ? this->Draw(2049) : 32 + this->Draw(2));
    for (std::uint8_t& byte : bytes) {
      byte = static_cast<std::uint8_t>(this->random());
    }
    return bytes;
  }

  /// Returns a valid packet of any flow with some odd fields.
  Bytes MutatedPacket() {
    const auto port = static_cast<std::uint16_t>(1 + this->Draw(400));
    const auto route = static_cast<std::uint16_t>(1 + this->Draw(10));
    Bytes bytes =
        MakePacket(port, route, static_cast<std::uint8_t>(this->Draw(256)));
    for (std::uint32_t i = this->Draw(3); i > 0; --i) {
      Put(bytes, kFields[this->Draw(kFields.size())],
          kOddValues[this->Draw(kOddValues.size())]);
    }
    return bytes;
  }

  /// Sends a packet of a valid flow, and checks that it reaches its server.
  void SendValidPacket() {
    const auto port = static_cast<std::uint16_t>(1 + this->Draw(100));
    const auto known = this->tokens.find(port);
    Bytes bytes = MakePacket(port, 3, known == this->tokens.end() ? kSyn : kAck,
                             this->Draw(1201));
    if (known != this->tokens.end()) {
      Put(bytes, {28, 4}, known->second);
    }
    const auto decision = this->Process(bytes);
    CHECK(decision && decision->verdict == Verdict::kForward);
    const std::uint32_t token =
        this->forwarder.placement.servers[decision->server].token;
    LONGS_EQUAL(token, this->tokens.emplace(port, token).first->second);
  }
};

TEST(RandomPackets, ValidFlowsKeepTheirServersAndStateStaysBounded) {
  for (std::size_t i = 0; i < kRounds; ++i) {
    Bytes odd =
        this->Draw(2) == 0 ? this->RandomPacket() : this->MutatedPacket();
    this->Process(odd);
    this->SendValidPacket();
    TakeLateOpening(this->forwarder.late, this->now);
    this->now += Microseconds(this->Draw(2000));
    CHECK(this->forwarder.flows.size() <= kFlowLimit);
    LONGS_EQUAL(this->forwarder.flows.size(), this->forwarder.timers.size());
  }
  CHECK(this->parsed > kRounds + kRounds / 10);
  // The longest time-out of a route is 2^32 - 1 ms.
  ExpireFlows(this->forwarder, this->now + std::chrono::hours(1200));
  LONGS_EQUAL(0, this->forwarder.flows.size());
  for (const PlacedServer& server : this->forwarder.placement.servers) {
    LONGS_EQUAL(0, server.in_flight);
  }
}
