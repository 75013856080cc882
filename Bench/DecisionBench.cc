#include <benchmark/benchmark.h>

#include <unordered_map>

#include "Base/Hash.h"
#include "Bench/BenchPacket.h"

/// Compares the time to decide on one packet with a plain hash-table lookup.
namespace filbertwall::bench {
namespace {

constexpr std::size_t kBatch = 64;
constexpr TimePoint kNow{std::chrono::hours(1)};

struct Fixture {
  Rules rules = MakeRules();
  Directory directory;
  std::set<std::uint32_t> silent;
  FlowTier tier{.self = 1, .limit = 4000000};

  FlowEnvironment Environment() {
    return {.rules = this->rules,
            .directory = this->directory,
            .silent = this->silent,
            .now = kNow};
  }
};

Fixture MakeFixture(std::uint32_t flows, std::uint32_t backends) {
  Fixture fixture;
  for (std::uint32_t i = 0; i < backends; ++i) {
    Announce(fixture.directory, i, wire::READY, 1, kNow);
  }
  for (std::uint32_t flow = 0; flow < flows; ++flow) {
    std::vector<std::uint8_t> packet = MakePacket(flow, kSyn);
    PacketsArrived event;
    event.datagrams.push_back({.bytes = packet});
    Reduce(fixture.tier, event, fixture.Environment());
  }
  return fixture;
}

/// Returns the flow of the next packet, in an order that defeats prefetching.
std::uint32_t NextFlow(std::uint32_t& state, std::uint32_t flows) {
  state = state * 1664525U + 1013904223U;
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(state) * flows >>
                                    32);
}

void HeldFlow(benchmark::State& state) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  Fixture fixture = MakeFixture(flows, 14);
  std::vector<std::vector<std::uint8_t>> packets;
  std::uint32_t random = 1;
  constexpr std::size_t kDistinct = 64UL * 1024UL;
  for (std::size_t i = 0; i < kDistinct; ++i) {
    packets.push_back(MakePacket(NextFlow(random, flows), kAck));
  }
  std::size_t next = 0;
  PacketsArrived event;
  event.datagrams.resize(kBatch);
  for ([[maybe_unused]] auto _ : state) {
    for (Datagram& datagram : event.datagrams) {
      datagram.bytes = packets[next];
      next = (next + 1) % kDistinct;
    }
    benchmark::DoNotOptimize(
        Reduce(fixture.tier, event, fixture.Environment()));
  }
  state.SetItemsProcessed(state.iterations() *
                          static_cast<std::int64_t>(kBatch));
  state.counters["bytes_per_flow"] =
      static_cast<double>(fixture.tier.table.slots.size() * sizeof(FlowEntry)) /
      static_cast<double>(flows);
}

struct KeyHash {
  std::size_t operator()(const PacketFlowKey& key) const {
    return HashFlow(key);
  }
};

void BareLookup(benchmark::State& state) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  std::unordered_map<PacketFlowKey, Endpoint, KeyHash> table;
  for (std::uint32_t flow = 0; flow < flows; ++flow) {
    const auto info = ReadPacket(MakePacket(flow, kSyn));
    table[info->key] = BackendNumber(flow % 14);
  }
  std::uint32_t random = 1;
  std::vector<PacketFlowKey> keys;
  constexpr std::size_t kDistinct = 64UL * 1024UL;
  for (std::size_t i = 0; i < kDistinct; ++i) {
    keys.push_back(ReadPacket(MakePacket(NextFlow(random, flows), kAck))->key);
  }
  std::size_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(table.find(keys[next]));
    next = (next + 1) % kDistinct;
  }
  state.SetItemsProcessed(state.iterations());
}

void NewFlowChoice(benchmark::State& state) {
  Fixture fixture = MakeFixture(0, static_cast<std::uint32_t>(state.range(0)));
  const FlowEnvironment environment = fixture.Environment();
  const ServiceRule& service = fixture.rules.services.at("proof");
  PacketFlowKey key{.destination = kVirtual, .protocol = 6};
  for ([[maybe_unused]] auto _ : state) {
    key.source.ip += 1;
    benchmark::DoNotOptimize(
        ChooseFlowBackend(fixture.tier, environment, service, key));
  }
}

BENCHMARK(HeldFlow)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(1000000);
BENCHMARK(BareLookup)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(1000000);
BENCHMARK(NewFlowChoice)->Arg(4)->Arg(14)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace filbertwall::bench

BENCHMARK_MAIN();
