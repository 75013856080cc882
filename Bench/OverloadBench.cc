#include <cstdio>
#include <string>

#include "Bench/OverloadEmulator.h"

/// Measures the results callers see when a service is overloaded, by policy,
/// load and number of entry instances. Prints tab-separated lines.
///
/// Usage: overload_bench
namespace filbertwall {
namespace {

struct NamedPolicy {
  std::string name;
  OverloadPolicy policy;
};

void Print(const NamedPolicy& policy, const std::string& situation,
           OverloadScenario scenario) {
  constexpr std::uint64_t kSeeds = 5;
  OverloadOutcome sum;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const OverloadOutcome one = SimulateOverload(scenario, policy.policy);
    sum.asked += one.asked;
    sum.in_time += one.in_time;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.shed += one.shed;
    sum.orders += one.orders;
    sum.orders_in_time += one.orders_in_time;
    sum.refused_when_calm += one.refused_when_calm;
    sum.capacity += one.capacity;
  }
  const double possible = std::min<double>(sum.capacity, sum.asked);
  std::printf("%s\t%s\t%u\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%u\n",
              policy.name.c_str(), situation.c_str(), scenario.instances,
              scenario.surge_load, sum.in_time / possible,
              static_cast<double>(sum.late) / sum.asked,
              static_cast<double>(sum.refused) / sum.asked,
              static_cast<double>(sum.shed) / sum.asked,
              static_cast<double>(sum.orders_in_time) / sum.orders,
              sum.refused_when_calm);
}

}  // namespace

int PrintAll() {
  std::printf(
      "policy\tsituation\tinstances\tload\tin time of possible\tlate\trefused\t"
      "shed\torders in time\trefused when calm\n");
  const NamedPolicy policies[] = {
      {"before", {}},
      {"admission", {.admission = true}},
  };
  for (const double load : {0.7, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0}) {
    for (const NamedPolicy& policy : policies) {
      Print(policy, "surge", {.surge_load = load});
    }
  }
  for (const NamedPolicy& policy : policies) {
    Print(policy, "5 of 14 lost", {.lost_servers = 5, .surge_load = 1.0});
    Print(policy, "7 of 14 cold", {.cold_servers = 7, .surge_load = 0.9});
    Print(policy, "30 s", {.surge_load = 1.2, .surge_s = 30});
    Print(policy, "fleet",
          {.instances = 80,
           .servers = 150,
           .work_ms = 60,
           .objective_ms = 400,
           .timeout_ms = 2000,
           .surge_load = 1.2});
    Print(policy, "fleet",
          {.instances = 300,
           .servers = 480,
           .work_ms = 60,
           .objective_ms = 400,
           .timeout_ms = 2000,
           .surge_load = 1.2});
  }
  return 0;
}

}  // namespace filbertwall

int main() { return filbertwall::PrintAll(); }
