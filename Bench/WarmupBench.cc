#include <benchmark/benchmark.h>

#include "Base/Hash.h"
#include "Fleet/ControlInstance.h"
#include "Placement/Placement.h"
#include "Rules/RulesParser.h"

/// Measures what limits on cold servers cost: a leader's time for one request
/// for leases and its bytes, and the time to choose a server for a new flow.
namespace filbertwall::bench {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr InstanceAddress kSelf = 1;
constexpr std::uint32_t kServices = 10;

wire::ServerRecord MakeRecord(std::uint32_t number, bool cold) {
  wire::ServerRecord record;
  record.set_id("i-" + std::to_string(MixHash(1, number)));
  record.set_service("service-" + std::to_string(number % kServices));
  record.set_ip(0x0A000000 + number);
  record.set_port(8080);
  record.set_data_centre("dc" + std::to_string(number % 4));
  record.set_slots(2);
  record.set_incarnation(1780409345357 + number);
  record.set_sequence(1);
  record.set_warmup_ms(cold ? 3'000'000 : 0);
  return record;
}

std::string MakeRulesText(const std::string& options) {
  std::string text = "version 1  # by: bench\n";
  for (std::uint32_t i = 0; i < kServices; ++i) {
    text += "service service-" + std::to_string(i) + options +
            "  # by: bench\naddress 10.0.0.1:" + std::to_string(8000 + i) +
            " service-" + std::to_string(i) + "  # by: bench\n";
  }
  return text;
}

/// Returns a leader that has committed the rules and knows the servers.
ControlInstance MakeLeader(std::uint32_t servers, TimePoint& now) {
  const FleetConfig config{.self = kSelf, .seeds = {kSelf}, .incarnation = 1};
  ControlInstance leader =
      MakeControlInstance(config, {InitialRecord(config, true)});
  Reduce(leader, ControlInstanceStarted{}, now);
  const auto run = [&](Milliseconds time) {
    for (const TimePoint end = now + time; now < end; now += Milliseconds(10)) {
      Reduce(leader, ControlInstanceTick{}, now);
    }
  };
  run(Milliseconds(3000));
  RulesSubmitted submitted;
  submitted.file.set_version(1);
  submitted.file.set_text(MakeRulesText(" warmup=3000s warmup-rate=2"));
  submitted.file.set_digest("digest");
  Reduce(leader, submitted, now);
  run(Milliseconds(3000));
  for (std::uint32_t i = 0; i < servers; ++i) {
    MergeServerRecord(leader.registry, MakeRecord(i, i % 3 == 0), now);
  }
  return leader;
}

/// Arguments: entry instances, and servers, of which a third is cold. All
/// services of all instances have demand.
void GrantLeases(benchmark::State& state) {
  const auto entries = static_cast<std::uint32_t>(state.range(0));
  const auto servers = static_cast<std::uint32_t>(state.range(1));
  TimePoint now = kStart;
  ControlInstance leader = MakeLeader(servers, now);
  if (leader.warmup.limits.size() != kServices) {
    state.SkipWithError("the rules are not in force");
    return;
  }
  PeerMessage request;
  wire::WarmupRequest& content = *request.message.mutable_warmup_request();
  content.set_incarnation(1780409345357);
  content.set_sent_us(1'000'000'000'000);
  for (std::uint32_t i = 0; i < kServices; ++i) {
    wire::WarmupDemand& demand = *content.add_demands();
    demand.set_service("service-" + std::to_string(i));
    demand.set_flows_per_second(3);
  }
  // Each instance asks every 0.4 s.
  const Microseconds interval =
      std::chrono::duration_cast<Microseconds>(Milliseconds(400)) / entries;
  std::uint64_t bytes = 0;
  std::uint64_t leases = 0;
  std::uint32_t turn = 0;
  for ([[maybe_unused]] auto _ : state) {
    now += interval;
    request.from = 100 + turn++ % entries;
    for (const auto& effect : Reduce(leader, request, now)) {
      if (const auto* send = std::get_if<SendMessage>(&effect)) {
        bytes += send->message.ByteSizeLong();
        leases += static_cast<std::uint64_t>(
            send->message.warmup_grant().leases_size());
      }
    }
  }
  const auto per_request = benchmark::Counter::kAvgIterations;
  state.counters["grant_bytes"] =
      benchmark::Counter(static_cast<double>(bytes), per_request);
  state.counters["leases"] =
      benchmark::Counter(static_cast<double>(leases), per_request);
  state.counters["request_bytes"] =
      static_cast<double>(request.message.ByteSizeLong());
}
BENCHMARK(GrantLeases)
    ->Args({76, 150})
    ->Args({300, 1500})
    ->Args({1000, 18000})
    ->Args({6000, 13000});

enum class LimitCase { kNone, kOtherService, kWarm, kCold };

/// Chooses among 150 servers of one service.
void Choose(benchmark::State& state, LimitCase limit_case) {
  constexpr std::uint32_t kServers = 150;
  Placement placement{.config = {.data_centre = "dc0", .seed = 5}};
  for (std::uint32_t i = 0; i < kServers; ++i) {
    const bool cold = limit_case == LimitCase::kCold && i % 3 == 0;
    UpdateServer(placement, MakeRecord(i * kServices, cold), kStart);
  }
  RefreshUsable(placement);
  InternService(placement, "other");
  const WarmupLimit limit{.duration = Milliseconds(10000),
                          .flows_per_second = 2};
  if (limit_case == LimitCase::kOtherService) {
    SetWarmupLimits(placement.warmup, {WarmupLimit{}, limit});
  } else if (limit_case != LimitCase::kNone) {
    SetWarmupLimits(placement.warmup, {limit, WarmupLimit{}});
  }
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(
        ChooseServer(placement, PlacementRequest{}, kStart));
  }
}
BENCHMARK_CAPTURE(Choose, without_limits, LimitCase::kNone);
BENCHMARK_CAPTURE(Choose, limit_on_another_service, LimitCase::kOtherService);
BENCHMARK_CAPTURE(Choose, limit_all_warm, LimitCase::kWarm);
BENCHMARK_CAPTURE(Choose, limit_a_third_cold, LimitCase::kCold);

}  // namespace
}  // namespace filbertwall::bench

BENCHMARK_MAIN();
