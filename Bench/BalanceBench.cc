#include <cstdio>
#include <string>

#include "Bench/BalanceEmulator.h"

/// Measures the results callers see under uneven demand and with uneven
/// servers, with and without `balance_by_load`. Prints tab-separated lines.
///
/// Usage: balance_bench [shares]
/// With `shares`, also prints the share of flows that leave data centre 0 in
/// each second, of the first seed.
namespace filbertwall {
namespace {

void Print(const std::string& situation, BalanceScenario scenario, bool by_load,
           bool shares) {
  constexpr std::uint64_t kSeeds = 5;
  constexpr std::size_t kSettledSeconds = 4;
  constexpr double kPercentile99 = 0.99;
  BalanceOutcome sum;
  double step = 0;
  std::vector<double> first_share;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const BalanceOutcome one = SimulateBalance(scenario, by_load);
    sum.asked += one.asked;
    sum.in_time += one.in_time;
    sum.late += one.late;
    sum.shed += one.shed;
    sum.asked_at_0 += one.asked_at_0;
    sum.in_time_at_0 += one.in_time_at_0;
    sum.marks += one.marks;
    sum.wrong_marks += one.wrong_marks;
    sum.slow_servers_marked += one.slow_servers_marked;
    sum.durations_ms.insert(sum.durations_ms.end(), one.durations_ms.begin(),
                            one.durations_ms.end());
    step += MeanStep(one.remote_share, kSettledSeconds) / kSeeds;
    first_share = scenario.seed == 1 ? one.remote_share : first_share;
  }
  std::printf("%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.0f\t%.3f\t%u\t%u\t%u\n",
              situation.c_str(), by_load ? "on" : "off",
              static_cast<double>(sum.in_time) / sum.asked,
              static_cast<double>(sum.in_time_at_0) / sum.asked_at_0,
              static_cast<double>(sum.late) / sum.asked,
              static_cast<double>(sum.shed) / sum.asked,
              DurationQuantile(sum, kPercentile99), step, sum.marks,
              sum.wrong_marks, sum.slow_servers_marked);
  for (const double share : shares ? first_share : std::vector<double>()) {
    std::printf(" %.2f", share);
  }
  std::printf("%s", shares ? "\n" : "");
}

}  // namespace

int PrintAll(bool shares) {
  std::printf(
      "situation\tby load\tin time\tin time at 0\tlate\tshed\tp99 ms\t"
      "step\tmarks\twrong\tslow marked\n");
  const std::pair<std::string, BalanceScenario> situations[] = {
      {"even 0.2", {.load = 0.2}},
      {"even 0.5", {}},
      {"even 0.8", {.load = 0.8}},
      {"heavy tail 0.3", {.heavy_share = 0.03, .load = 0.3}},
      {"heavy tail 0.6", {.heavy_share = 0.03, .load = 0.6}},
      {"half moves 0.5", {.demand = DemandPattern::kShift}},
      {"half moves 0.7", {.load = 0.7, .demand = DemandPattern::kShift}},
      {"waves 0.5", {.demand = DemandPattern::kWaves}},
      {"waves 0.7", {.load = 0.7, .demand = DemandPattern::kWaves}},
      {"3 of 9 slow, 0.2", {.load = 0.2, .slow_servers = 3}},
      {"3 of 9 slow, 0.5", {.load = 0.5, .slow_servers = 3}},
      {"3 of 9 slow, 0.65", {.load = 0.65, .slow_servers = 3}},
      {"half moves, 5 lost, 0.5",
       {.demand = DemandPattern::kShift, .lost_servers = 5}},
      {"half moves, data centre lost, 0.4",
       {.load = 0.4, .demand = DemandPattern::kShift, .lost_servers = 9}},
      {"waves, 3 slow, heavy tail, 0.4",
       {.heavy_share = 0.03,
        .load = 0.4,
        .demand = DemandPattern::kWaves,
        .slow_servers = 3}},
  };
  for (const auto& [name, scenario] : situations) {
    Print(name, scenario, false, shares);
    Print(name, scenario, true, shares);
  }
  return 0;
}

}  // namespace filbertwall

int main(int argc, char** argv) {
  return filbertwall::PrintAll(argc > 1 && std::string(argv[1]) == "shares");
}
