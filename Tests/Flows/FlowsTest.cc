#include <map>
#include <random>
#include <string>
#include <vector>

#include "Flows/FlowTier.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr std::uint8_t kSyn = 0x02;
constexpr std::uint8_t kAck = 0x10;

std::vector<std::uint8_t> MakePacket(std::uint16_t port, std::uint8_t flags,
                                     std::uint32_t sequence,
                                     std::size_t payload = 0) {
  std::vector<std::uint8_t> bytes(8 + 20 + 20 + payload);
  bytes[2] = 0x08;
  std::uint8_t* ip = bytes.data() + 8;
  ip[0] = 0x45;
  ip[3] = static_cast<std::uint8_t>(40 + payload);
  ip[9] = 6;
  ip[12] = 192;
  ip[16] = 10;
  ip[19] = 2;
  std::uint8_t* tcp = ip + 20;
  tcp[0] = static_cast<std::uint8_t>(port >> 8);
  tcp[1] = static_cast<std::uint8_t>(port);
  tcp[3] = 80;
  tcp[6] = static_cast<std::uint8_t>(sequence >> 8);
  tcp[7] = static_cast<std::uint8_t>(sequence);
  tcp[12] = 0x50;
  tcp[13] = flags;
  return bytes;
}

PacketFlowKey MakeKey(std::uint32_t number) {
  return PacketFlowKey{.source = {.ip = number, .port = 7},
                       .destination = {.ip = 9, .port = 80},
                       .protocol = 6};
}

const Endpoint kServiceAddress{.ip = 10U << 24 | 2, .port = 80};

}  // namespace

TEST_GROUP(Flows) {
  FlowTier tier;
  Rules rules;
  Directory directory;
  std::set<std::uint32_t> silent;
  TimePoint now{std::chrono::hours(1)};

  void setup() override {
    this->tier.self = 1;
    this->rules.services["proof"] =
        ServiceRule{.name = "proof", .protocol = Protocol::kPackets};
    this->rules.services["other"] =
        ServiceRule{.name = "other", .protocol = Protocol::kPackets};
    this->rules.addresses[kServiceAddress] =
        AddressRule{.address = kServiceAddress, .service = "proof"};
    this->AddBackend("1.1.1.1:9", "proof", 1);
    this->AddBackend("1.1.1.2:9", "proof", 1);
  }

  void AddBackend(const std::string& address, const std::string& service,
                  std::uint64_t sequence,
                  wire::BackendPhase phase = wire::READY) {
    wire::BackendRecord record;
    record.mutable_announcement()->set_address(address);
    record.mutable_announcement()->set_service(service);
    record.mutable_announcement()->set_sequence(sequence);
    record.mutable_announcement()->set_phase(phase);
    record.mutable_announcement()->set_slots(10);
    ApplyAnnouncement(this->directory, record, this->now);
  }

  FlowEffects Arrive(std::vector<std::uint8_t> bytes) {
    this->bytes = std::move(bytes);
    PacketsArrived event;
    event.datagrams.push_back({.bytes = this->bytes});
    return Reduce(this->tier, event, this->Environment());
  }

  FlowEnvironment Environment() {
    return FlowEnvironment{.rules = this->rules,
                           .directory = this->directory,
                           .silent = this->silent,
                           .now = this->now};
  }

  std::vector<std::uint8_t> bytes;
};

TEST(Flows, TableMatchesAMapOverRandomOperations) {
  std::mt19937 random(7);
  FlowTable table;
  std::map<PacketFlowKey, std::uint32_t> model;
  for (std::uint32_t step = 0; step < 200000; ++step) {
    const PacketFlowKey key = MakeKey(random() % 5000);
    FlowEntry* entry = FindFlow(table, key);
    const auto known = model.find(key);
    CHECK_EQUAL(known != model.end(), entry != nullptr);
    if (entry == nullptr) {
      InsertFlow(table, key).backend = step;
      model[key] = step;
    } else {
      CHECK_EQUAL(known->second, entry->backend);
      if (random() % 2 == 0) {
        EraseFlow(table, entry);
        model.erase(known);
      }
    }
    CHECK_EQUAL(model.size(), table.size);
  }
}

TEST(Flows, TableUsesAtMost64BytesPerFlow) {
  FlowTable table;
  for (std::uint32_t i = 0; i < 300000; ++i) {
    InsertFlow(table, MakeKey(i));
    if (i >= 1000) {
      CHECK(table.slots.size() * sizeof(FlowEntry) <= 64 * table.size);
    }
  }
}

TEST(Flows, TruncatedPacketsAreMalformedAtEveryLength) {
  const std::vector<std::uint8_t> whole = MakePacket(5, kSyn, 1);
  CHECK(ReadPacket(whole).has_value());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(ReadPacket(std::span(whole).first(size)).has_value());
  }
}

TEST(Flows, RandomBytesAreParsedSafely) {
  std::mt19937 random(3);
  for (int round = 0; round < 200000; ++round) {
    std::vector<std::uint8_t> bytes = MakePacket(5, kSyn, 1, 20);
    for (int change = 0; change < 4; ++change) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    bytes.resize(random() % (bytes.size() + 1));
    ReadPacket(bytes);
  }
}

TEST(Flows, OpenFlowStaysWhenItsServerDrains) {
  const Endpoint first = [&] {
    const FlowEffects effects = this->Arrive(MakePacket(5, kSyn, 1));
    return effects.forwarded.at(0).to;
  }();
  this->AddBackend(FormatEndpoint(first), "proof", 2, wire::DRAINING);
  const FlowEffects held = this->Arrive(MakePacket(5, kAck, 2));
  CHECK(held.forwarded.at(0).to == first);
  for (std::uint16_t port = 100; port < 200; ++port) {
    const FlowEffects fresh = this->Arrive(MakePacket(port, kSyn, 1));
    CHECK(fresh.forwarded.at(0).to != first);
  }
}

TEST(Flows, PacketsOfAReassignedAddressAreNotForwarded) {
  this->Arrive(MakePacket(5, kSyn, 1));
  this->rules.addresses[kServiceAddress].service = "other";
  this->directory.generation += 1;
  CHECK(this->Arrive(MakePacket(5, kAck, 2)).forwarded.empty());
}

TEST(Flows, ServerWithAChangedServiceGetsNoOldPackets) {
  const Endpoint first =
      this->Arrive(MakePacket(5, kSyn, 1)).forwarded.at(0).to;
  this->AddBackend(FormatEndpoint(first), "other", 2);
  for (const ForwardedPacket& packet :
       this->Arrive(MakePacket(5, kAck, 2)).forwarded) {
    CHECK(packet.to != first);
  }
}

TEST(Flows, EstablishedFlowsSurviveASynFlood) {
  this->tier.limit = 1000;
  for (std::uint16_t port = 1; port <= 500; ++port) {
    this->Arrive(MakePacket(port, kSyn, 1));
    this->Arrive(MakePacket(port, kAck, 2));
  }
  for (std::uint16_t port = 1000; port < 6000; ++port) {
    this->Arrive(MakePacket(port, kSyn, 1));
  }
  CHECK_EQUAL(1000, this->tier.table.size);
  const std::uint64_t opened = this->tier.counters["opened"];
  for (std::uint16_t port = 1; port <= 500; ++port) {
    CHECK_EQUAL(1, this->Arrive(MakePacket(port, kAck, 3)).forwarded.size());
  }
  CHECK_EQUAL(opened, this->tier.counters["opened"]);
}

TEST(Flows, HalfOpenAndIdleFlowsExpire) {
  this->Arrive(MakePacket(1, kSyn, 1));
  this->Arrive(MakePacket(2, kSyn, 1));
  this->Arrive(MakePacket(2, kAck, 2));
  const auto sweep = [&](std::chrono::seconds later) {
    this->now += later;
    for (int i = 0; i < 600; ++i) {
      Reduce(this->tier, FlowTick{}, this->Environment());
    }
    return this->tier.table.size;
  };
  CHECK_EQUAL(1, sweep(std::chrono::seconds(6)));
  CHECK_EQUAL(0, sweep(std::chrono::seconds(700)));
}

TEST(Flows, RetransmissionsWithoutProgressAreCountedOnce) {
  this->Arrive(MakePacket(1, kSyn, 1));
  for (int i = 0; i < 10; ++i) {
    this->Arrive(MakePacket(1, kAck, 50, 20));
  }
  CHECK_EQUAL(1, this->tier.counters["silent"]);
}

TEST(Flows, OwnerReceivesRecordsOfFlowsThatOnlyOthersReceive) {
  const Endpoint peer{.ip = 5, .port = 5};
  this->tier.packet_addresses[2] = peer;
  this->tier.instances[peer] = 2;
  std::uint16_t port = 1;
  while (this->Arrive(MakePacket(port, kSyn, 1)).forwarded.at(0).to == peer) {
    port += 1;  // Skips flows that the peer owns.
  }
  CHECK_EQUAL(1, this->Arrive(MakePacket(port, kAck, 2)).datagrams.size());
  CHECK_EQUAL(0, this->Arrive(MakePacket(port, kAck, 3)).datagrams.size());
  this->now += std::chrono::seconds(61);
  CHECK_EQUAL(1, this->Arrive(MakePacket(port, kAck, 4)).datagrams.size());
}

TEST(Flows, RecordOfAServerWithAnotherServiceIsIgnored) {
  const Endpoint peer{.ip = 5, .port = 5};
  this->tier.packet_addresses[2] = peer;
  this->tier.instances[peer] = 2;
  this->AddBackend("1.1.1.3:9", "other", 1);
  const std::vector<std::uint8_t> packet = MakePacket(5, kAck, 2);
  this->bytes = packet;
  PacketsArrived event;
  event.datagrams.push_back({.bytes = this->bytes, .from = peer});
  CHECK(Reduce(this->tier, event, this->Environment()).forwarded.empty());
  wire::FlowMessage message;
  wire::FlowRecord& record = *message.add_records();
  record.set_key(EncodeFlowKey(ReadPacket(packet)->key));
  record.set_backend_ip(0x01010103);
  record.set_backend_port(9);
  record.set_service("proof");
  this->bytes.assign(1, 0xFB);
  const std::string body = message.SerializeAsString();
  this->bytes.insert(this->bytes.end(), body.begin(), body.end());
  PacketsArrived answer;
  answer.datagrams.push_back({.bytes = this->bytes, .from = peer});
  const FlowEffects effects = Reduce(this->tier, answer, this->Environment());
  CHECK(effects.datagrams.empty());
  CHECK_EQUAL(0, this->tier.table.size);
}

TEST(Flows, RelayedPacketIsNeverRelayedAgain) {
  const Endpoint peer{.ip = 5, .port = 5};
  this->tier.packet_addresses[2] = peer;
  this->tier.instances[peer] = 2;
  for (std::uint16_t port = 1; port < 50; ++port) {
    this->bytes = MakePacket(port, kSyn, 1);
    PacketsArrived event;
    event.datagrams.push_back({.bytes = this->bytes, .from = peer});
    const FlowEffects effects = Reduce(this->tier, event, this->Environment());
    CHECK(effects.forwarded.at(0).to != peer);
    CHECK_EQUAL(1, effects.datagrams.size());  // The record for the peer.
  }
}
