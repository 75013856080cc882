#include <cstdio>
#include <string>
#include <vector>

#include "Bench/OverloadEmulator.h"

/// Measures who gets the capacity of an overloaded service: each kind of
/// request in turn, then all together, ask for a multiple of their usual load
/// while a third of the servers is evacuated. Then a loss of servers without
/// bursts, and callers of different demand. Prints tab-separated lines.
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

/// Prints results of one kind, whose callers differ in demand.
void PrintCallers(const NamedPolicy& policy, std::uint32_t instances,
                  std::uint32_t heavy_callers) {
  OverloadScenario scenario = MakeScenario(instances);
  scenario.heavy_callers = heavy_callers;
  scenario.heavy_share = 0.6;
  scenario.kinds = {scenario.kinds[2]};
  scenario.kinds[0].usual_load = 0.2;
  scenario.kinds[0].burst = 7;
  const OverloadOutcome outcome = SimulateOverload(scenario, policy.policy);
  const CallerOutcome& light = outcome.light_callers;
  const CallerOutcome& heavy = outcome.heavy_callers;
  std::printf("%s\t%u\t%u\t%u\t%.3f\t%u\t%.3f\n", policy.name.c_str(),
              scenario.instances, heavy_callers, light.asked,
              static_cast<double>(light.in_time) / light.asked, heavy.asked,
              static_cast<double>(heavy.in_time) / heavy.asked);
}

/// Prints results of the first second after a loss of servers, without bursts,
/// summed over seeds.
void PrintLoss(const NamedPolicy& policy, std::uint32_t instances,
               std::uint32_t evacuated) {
  constexpr std::uint64_t kSeeds = 5;
  OverloadScenario scenario = MakeScenario(instances);
  scenario.surge_s = 1;
  scenario.evacuated_servers = evacuated;
  for (OverloadKind& kind : scenario.kinds) {
    kind.usual_load *= 3.25;
  }
  std::vector<KindOutcome> sum(scenario.kinds.size());
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const OverloadOutcome outcome = SimulateOverload(scenario, policy.policy);
    for (std::size_t i = 0; i < sum.size(); ++i) {
      sum[i].asked += outcome.kinds[i].asked;
      sum[i].in_time += outcome.kinds[i].in_time;
      sum[i].late += outcome.kinds[i].late;
      sum[i].refused += outcome.kinds[i].refused;
      sum[i].shed += outcome.kinds[i].shed;
    }
  }
  for (std::size_t i = 0; i < sum.size(); ++i) {
    const double asked = sum[i].asked;
    std::printf("%s\t%u\t%u\t%s\t%u\t%.3f\t%.3f\t%.3f\t%.3f\n",
                policy.name.c_str(), scenario.instances, evacuated,
                scenario.kinds[i].name.c_str(), sum[i].asked,
                sum[i].in_time / asked, sum[i].late / asked,
                sum[i].refused / asked, sum[i].shed / asked);
  }
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
  const NamedPolicy loss_policies[] = {
      {"two counters", {.admission = true}},
      {"slots of the start",
       {.admission = true,
        .priorities = true,
        .capacity = true,
        .capacity_falls = false}},
      {"slots at once",
       {.admission = true, .priorities = true, .capacity = true}},
  };
  std::printf(
      "policy\tinstances\tevacuated\tkind\tasked\tin time\tlate\trefused\t"
      "shed\n");
  for (const std::uint32_t instances : {8U, 76U, 300U}) {
    for (const std::uint32_t evacuated : {30U, 75U, 100U}) {
      for (const NamedPolicy& policy : loss_policies) {
        PrintLoss(policy, instances, evacuated);
      }
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
      "policy\tinstances\theavy callers\tlight asked\tlight in time\theavy "
      "asked\t"
      "heavy in time\n");
  for (const std::uint32_t instances : {8U, 76U, 300U}) {
    for (const std::uint32_t heavy_callers : {1U, 4U, 40U}) {
      for (const NamedPolicy& policy : caller_policies) {
        PrintCallers(policy, instances, heavy_callers);
      }
    }
  }
  return 0;
}

}  // namespace filbertwall

int main() { return filbertwall::PrintAll(); }
