#include <cstdio>
#include <initializer_list>

#include "Bench/HedgingEmulator.h"

/// Measures what hedged requests and hedged openings cut of the slowest
/// answers, and what they cost. Prints tab-separated lines.
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

void PrintOpenings(const char* fault, const HedgedOpeningsScenario& scenario) {
  const HedgedOpeningsOutcome one = SimulateHedgedOpenings(scenario);
  std::printf(
      "%s\t%u\t%.2f\t%.1f\t%.0f\t%.0f\t%u\t%u\t%llu\t%llu\t%u\t%u\t%u\t%llu\n",
      fault, scenario.instances, scenario.hedge_openings, one.p50_ms,
      one.p99_ms, one.p999_ms, one.flows - one.opened, one.opened_late,
      static_cast<unsigned long long>(one.hedges),
      static_cast<unsigned long long>(one.hedges_won), one.accepted_twice,
      one.diverted, one.diverted_after_hedge,
      static_cast<unsigned long long>(one.kept_packets));
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

std::vector<SilentServer> SilentServers(std::uint32_t count, bool reads_later,
                                        double until_ms) {
  constexpr double kFromMs = 10000;
  std::vector<SilentServer> silent;
  for (std::uint32_t i = 0; i < count; ++i) {
    silent.push_back({.server = 3 * i,
                      .from_ms = kFromMs,
                      .until_ms = until_ms,
                      .reads_later = reads_later});
  }
  return silent;
}

void PrintAllOpenings() {
  std::printf(
      "fault\tinstances\tshare\tp50 ms\tp99 ms\tp99.9 ms\tnot opened\topened "
      "late\thedges\twon\taccepted twice\tdiverted\tof hedged\tkept\n");
  for (const std::uint32_t instances : {1U, 8U, 76U}) {
    for (const double share : {0.0, 0.05}) {
      const HedgedOpeningsScenario base{.instances = instances,
                                        .hedge_openings = share};
      HedgedOpeningsScenario one = base;
      one.silent = SilentServers(1, false, 16000);
      PrintOpenings("one server lost for 6 s", one);
      one.silent = SilentServers(8, false, 16000);
      PrintOpenings("a data centre cut off for 6 s", one);
      one.silent = SilentServers(8, true, 10090);
      PrintOpenings("its servers frozen for 90 ms", one);
      one.silent = SilentServers(8, true, 10300);
      PrintOpenings("its servers frozen for 300 ms", one);
      one.jitter = 0.5;
      one.silent = SilentServers(8, true, 10090);
      PrintOpenings("frozen for 90 ms, packets overtake", one);
      one = base;
      one.loss = 0.001;
      PrintOpenings("0.1 % of the packets lost", one);
      one.loss = 0.01;
      PrintOpenings("1 % of the packets lost", one);
      one = base;
      constexpr int kFirstMs = 5000;
      constexpr int kStepMs = 100;
      constexpr int kRespreads = 150;
      for (int i = 0; i < kRespreads; ++i) {
        one.respread_at_ms.push_back(kFirstMs + kStepMs * i);
      }
      PrintOpenings("callers spread anew 150 times", one);
      constexpr double kDownloadMs = 1000;
      one.work_ms = kDownloadMs;
      PrintOpenings("the same, work of 1 s", one);
      one.work_ms = base.work_ms;
      one.silent = SilentServers(8, true, 10300);
      PrintOpenings("the same, frozen for 300 ms", one);
    }
  }
}

}  // namespace
}  // namespace filbertwall

int main() {
  filbertwall::PrintAllRequests();
  filbertwall::PrintAllOpenings();
  return 0;
}
