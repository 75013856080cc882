#include <cstdio>
#include <initializer_list>

#include "Bench/HedgingEmulator.h"

/// Measures what hedged requests cut of the slowest answers, and what they
/// cost. Prints tab-separated lines.
///
/// Usage: hedging_bench
namespace filbertwall {
namespace {

void PrintRequests(const char* load, const HedgedRequestsScenario& scenario) {
  const HedgedRequestsOutcome one = SimulateHedgedRequests(scenario);
  std::printf("%s\t%.3f\t%.0f\t%.0f\t%.0f\t%.4f\t%.0f\t%u\t%u\n", load,
              scenario.hedge_budget, one.p50_ms, one.p99_ms, one.p999_ms,
              static_cast<double>(one.hedges) / scenario.requests, one.work_ms,
              one.refused, one.answered_twice + one.orders_run_twice);
}

void PrintAllRequests() {
  std::printf(
      "load\tbudget\tp50 ms\tp99 ms\tp99.9 ms\thedges\twork ms\trefused\tat "
      "most once broken\n");
  for (const double budget : {0.0, 0.01, 0.02, 0.05, 0.1}) {
    PrintRequests("0.4", {.hedge_budget = budget});
    PrintRequests("0.7", {.requests_per_s = 700, .hedge_budget = budget});
    PrintRequests("1.2", {.requests_per_s = 1200, .hedge_budget = budget});
    PrintRequests("0.4, slow requests",
                  {.slow_by_request = true, .hedge_budget = budget});
  }
}

}  // namespace
}  // namespace filbertwall

int main() {
  filbertwall::PrintAllRequests();
  return 0;
}
