#include <benchmark/benchmark.h>

#include <string>

#include "Shell/ExplainAnswer.h"

/// Measures the time to explain a flow to an operator, during which no packet
/// is forwarded.
namespace filbertwall::bench {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr Endpoint kAddress{.ip = 100, .port = 443};

FlowKey MakeKey(std::uint32_t flow) {
  return {.caller = {.ip = 1000 + flow, .port = 1}, .address = kAddress};
}

void AddRoute(Forwarder& forwarder) {
  wire::RoutesUpdate update;
  update.set_version(1);
  wire::Route& route = *update.add_set();
  route.set_ip(kAddress.ip);
  route.set_port(kAddress.port);
  route.set_timeout_ms(10000);
  route.set_objective_ms(500);
  route.set_kind(wire::REQUEST_SAFE);
  wire::RouteShare& share = *route.add_shares();
  share.set_service("desk");
  share.set_weight(1);
  ApplyRoutes(forwarder.routes, update, forwarder.placement);
}

EntryInstance MakeInstance(std::uint32_t servers, std::uint32_t flows) {
  EntryInstance instance;
  Forwarder& forwarder = instance.forwarder;
  forwarder.placement.config = {.data_centre = "dc0", .seed = 7};
  forwarder.serving = true;
  AddRoute(forwarder);
  for (std::uint32_t i = 0; i < servers; ++i) {
    wire::ServerRecord record;
    record.set_id("i-" + std::to_string(100000 + i));
    record.set_service("desk");
    record.set_ip(1000 + i);
    record.set_port(80);
    record.set_slots(2);
    record.set_incarnation(1);
    record.set_data_centre("dc" + std::to_string(i % 4));
    UpdateServer(forwarder.placement, record, kNow);
  }
  RefreshUsable(forwarder.placement);
  for (std::uint32_t flow = 1; flow <= flows; ++flow) {
    DecidePacket(forwarder, {.key = MakeKey(flow), .opens = true}, kNow);
  }
  return instance;
}

/// Arguments: servers, open flows.
void ExplainOneFlow(benchmark::State& state) {
  const EntryInstance instance =
      MakeInstance(static_cast<std::uint32_t>(state.range(0)),
                   static_cast<std::uint32_t>(state.range(1)));
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(FormatExplanationJson(
        ExplainEntryFlow(instance, {.key = MakeKey(0)}, kNow)));
  }
}

BENCHMARK(ExplainOneFlow)
    ->Args({150, 1000})
    ->Args({150, 100000})
    ->Args({3000, 1000})
    ->Args({19000, 1000})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace filbertwall::bench

BENCHMARK_MAIN();
