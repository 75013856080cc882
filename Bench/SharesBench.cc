#include <cstdio>
#include <string>
#include <vector>

#include "Bench/OverloadEmulator.h"

/// Measures who gets the capacity of an overloaded service: each kind of
/// request in turn, then all together, ask for a multiple of their usual load
/// while a third of the servers is evacuated. Prints tab-separated lines.
///
/// Usage: shares_bench
namespace filbertwall {
namespace {

struct NamedPolicy {
  std::string name;
  OverloadPolicy policy;
};

OverloadScenario MakeScenario(std::uint32_t instances) {
  return {.instances = instances,
          .servers = 150,
          .surge_s = 4,
          .calm_s = 8,
          .evacuated_servers = 50,
          .kinds = UsualAndOtherKinds()};
}

void Print(const NamedPolicy& policy, const OverloadScenario& scenario,
           const std::string& burst, double factor) {
  const OverloadOutcome outcome = SimulateOverload(scenario, policy.policy);
  for (std::size_t i = 0; i < scenario.kinds.size(); ++i) {
    const KindOutcome& kind = outcome.kinds[i];
    const double asked = kind.asked > 0 ? kind.asked : 1;
    std::printf("%s\t%u\t%s\t%.1f\t%s\t%u\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\n",
                policy.name.c_str(), scenario.instances, burst.c_str(), factor,
                scenario.kinds[i].name.c_str(), kind.asked,
                kind.in_time / asked, kind.late / asked, kind.refused / asked,
                kind.shed / asked, kind.worked_after_left / asked);
  }
}

void PrintBursts(const NamedPolicy& policy, std::uint32_t instances) {
  for (const double factor : {1.2, 2.0, 5.0, 7.0, 10.0}) {
    OverloadScenario scenario = MakeScenario(instances);
    for (OverloadKind& kind : scenario.kinds) {
      kind.burst = factor;
      Print(policy, scenario, kind.name, factor);
      kind.burst = 1;
    }
    for (OverloadKind& kind : scenario.kinds) {
      kind.burst = factor;
    }
    Print(policy, scenario, "all", factor);
  }
}

void PrintCallers(const NamedPolicy& policy, std::uint32_t instances) {
  OverloadScenario scenario = MakeScenario(instances);
  scenario.heavy_callers = 4;
  scenario.heavy_share = 0.6;
  for (OverloadKind& kind : scenario.kinds) {
    kind.burst = 7;
  }
  const OverloadOutcome outcome = SimulateOverload(scenario, policy.policy);
  const CallerOutcome& light = outcome.light_callers;
  const CallerOutcome& heavy = outcome.heavy_callers;
  std::printf("%s\t%u\tcallers\t%u\t%.3f\t%u\t%.3f\n", policy.name.c_str(),
              scenario.instances, light.asked,
              static_cast<double>(light.in_time) / light.asked, heavy.asked,
              static_cast<double>(heavy.in_time) / heavy.asked);
}

}  // namespace

int PrintAll() {
  const NamedPolicy policies[] = {
      {"two counters", {.admission = true}},
      {"classes", {.admission = true, .priorities = true}},
      {"and capacity",
       {.admission = true, .priorities = true, .capacity = true}},
  };
  std::printf(
      "policy\tinstances\tburst\tfactor\tkind\tasked\tin time\tlate\trefused\t"
      "shed\tworked after left\n");
  for (const std::uint32_t instances : {8U, 76U, 300U}) {
    for (const NamedPolicy& policy : policies) {
      PrintBursts(policy, instances);
    }
  }
  const NamedPolicy caller_policies[] = {
      {"unfair", {.admission = true, .priorities = true, .capacity = true}},
      {"fair_callers",
       {.admission = true,
        .priorities = true,
        .fair_callers = true,
        .capacity = true}},
  };
  std::printf(
      "policy\tinstances\tresult\tlight asked\tlight in time\theavy asked\t"
      "heavy in time\n");
  for (const std::uint32_t instances : {8U, 76U, 300U}) {
    for (const NamedPolicy& policy : caller_policies) {
      PrintCallers(policy, instances);
    }
  }
  return 0;
}

}  // namespace filbertwall

int main() { return filbertwall::PrintAll(); }
