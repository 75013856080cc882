#include <benchmark/benchmark.h>

#include <string>

#include "Placement/Placement.h"

/// Measures the time to choose a server for a new flow.
namespace filbertwall::bench {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr std::uint32_t kDataCentres = 4;

Placement MakePlacement(std::uint32_t servers, bool by_load) {
  Placement placement{
      .config = {.data_centre = "dc0", .seed = 7, .balance_by_load = by_load}};
  for (std::uint32_t i = 0; i < servers; ++i) {
    wire::ServerRecord record;
    record.set_id(std::to_string(1000 + i));
    record.set_service("desk");
    record.set_ip(1000 + i);
    record.set_port(80);
    record.set_slots(2);
    record.set_incarnation(1);
    record.set_data_centre("dc" + std::to_string(i % kDataCentres));
    UpdateServer(placement, record, kNow);
  }
  RefreshUsable(placement);
  return placement;
}

/// Each flow is chosen a server, is accepted and ends after 20 others.
void PlaceFlows(benchmark::State& state, bool by_load) {
  Placement placement =
      MakePlacement(static_cast<std::uint32_t>(state.range(0)), by_load);
  constexpr std::size_t kOpen = 20;
  std::vector<ServerIndex> open(kOpen, 0);
  TimePoint now = kNow;
  std::size_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    now += Microseconds(2000);
    const ServerIndex chosen =
        *ChooseServer(placement, PlacementRequest{.retryable = true}, now);
    RecordOpening(placement.servers[chosen], now);
    RecordAnswered(placement, chosen, now);
    RecordFlowEnd(placement, open[next], true, Milliseconds(40), now);
    open[next] = chosen;
    next = (next + 1) % kOpen;
  }
}

void ChooseForNewFlows(benchmark::State& state) { PlaceFlows(state, false); }
void ChooseByLoad(benchmark::State& state) { PlaceFlows(state, true); }

BENCHMARK(ChooseByLoad)->Arg(14)->Arg(120)->Arg(1000);
BENCHMARK(ChooseForNewFlows)->Arg(14)->Arg(120)->Arg(1000);

}  // namespace
}  // namespace filbertwall::bench

BENCHMARK_MAIN();
