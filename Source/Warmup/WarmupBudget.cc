#include "Warmup/WarmupBudget.h"

#include <algorithm>

namespace filbertwall {
namespace {

constexpr Milliseconds kSecond{1000};
constexpr std::uint32_t kMaxDemand = 1'000'000;

bool IsValid(const WarmupBudget& budget, const WarmupServerBudget& lease,
             TimePoint now) {
  return now < lease.requested_at + budget.timing.lease;
}

/// Returns the valid lease on a server; null when there is none or it allows no
/// flow.
const WarmupServerBudget* FindLease(const WarmupBudget& budget,
                                    std::uint32_t server,
                                    std::uint64_t incarnation, TimePoint now) {
  const auto found = budget.servers.find(server);
  const bool usable = found != budget.servers.end() &&
                      found->second.incarnation == incarnation &&
                      found->second.flows_per_second > 0 &&
                      IsValid(budget, found->second, now);
  return usable ? &found->second : nullptr;
}

/// Returns the flows a second since the demand was last taken, rounded up.
std::uint32_t MeasureDemand(const WarmupBudget& budget, std::uint32_t flows,
                            TimePoint now) {
  const std::int64_t elapsed_ms = std::clamp<std::int64_t>(
      MillisecondsBetween(budget.demand_taken_at, now),
      kMinWarmupRequestInterval.count(), kSecond.count());
  const std::int64_t flows_per_second =
      (flows * kSecond.count() + elapsed_ms - 1) / elapsed_ms;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(flows_per_second, kMaxDemand));
}

}  // namespace

void SetWarmupLimits(WarmupBudget& budget, std::vector<WarmupLimit> limits) {
  const bool any_limit = std::any_of(
      limits.begin(), limits.end(),
      [](const WarmupLimit& limit) { return limit.flows_per_second > 0; });
  if (!any_limit) {
    budget.limits.clear();
    budget.demands.clear();
    budget.next_request_at = TimePoint::max();
    budget.unanswered_since = TimePoint::max();
    return;
  }
  budget.demands.resize(limits.size());
  budget.limits = std::move(limits);
}

bool HasWarmupBudget(const WarmupBudget& budget, std::uint32_t server,
                     std::uint64_t incarnation, TimePoint now) {
  const WarmupServerBudget* lease = FindLease(budget, server, incarnation, now);
  if (lease == nullptr) {
    return false;
  }
  if (lease->sent.size() < lease->flows_per_second) {
    return true;
  }
  // The earliest of as many flows as the lease allows must have left the
  // window.
  const TimePoint earliest =
      lease->sent[lease->sent.size() - lease->flows_per_second];
  return earliest + budget.timing.window <= now;
}

WarmupAllowance WarmupAllowanceOf(const WarmupBudget& budget,
                                  std::uint32_t server,
                                  std::uint64_t incarnation, TimePoint now) {
  const WarmupServerBudget* lease = FindLease(budget, server, incarnation, now);
  if (lease == nullptr) {
    return {};
  }
  const auto in_window = static_cast<std::uint32_t>(std::count_if(
      lease->sent.begin(), lease->sent.end(),
      [&](TimePoint sent_at) { return sent_at + budget.timing.window > now; }));
  return {.flows_per_second = lease->flows_per_second,
          .flows_left = lease->flows_per_second -
                        std::min(in_window, lease->flows_per_second)};
}

void SpendWarmupBudget(WarmupBudget& budget, std::uint32_t server,
                       TimePoint now) {
  std::deque<TimePoint>& sent = budget.servers.at(server).sent;
  while (!sent.empty() && sent.front() + budget.timing.window <= now) {
    sent.pop_front();
  }
  sent.push_back(now);
  budget.counters.placed += 1;
}

void RecordLastFlow(WarmupBudget& budget, std::uint32_t server, TimePoint now) {
  if (server >= budget.last_flow_at.size()) {
    budget.last_flow_at.resize(server + 1);
  }
  budget.last_flow_at[server] = now;
}

void RecordWarmupDemand(WarmupBudget& budget, std::uint32_t service,
                        TimePoint now) {
  WarmupServiceDemand& demand = budget.demands[service];
  demand.flows += 1;
  demand.last_flow_at = now;
}

void ScheduleWarmupRequest(WarmupBudget& budget, Milliseconds interval,
                           TimePoint now) {
  const TimePoint earliest = std::max(now, budget.last_request_at + interval);
  budget.next_request_at = std::min(budget.next_request_at, earliest);
}

void TakeWarmupLease(WarmupBudget& budget, std::uint32_t server,
                     std::uint64_t incarnation, std::uint32_t flows_per_second,
                     TimePoint requested_at, TimePoint now) {
  const bool expired = now >= requested_at + budget.timing.lease;
  if (expired || requested_at > now) {
    return;
  }
  WarmupServerBudget& lease = budget.servers[server];
  if (requested_at < lease.requested_at) {
    return;
  }
  lease.incarnation = incarnation;
  lease.flows_per_second = flows_per_second;
  lease.requested_at = requested_at;
  budget.counters.leases += 1;
}

std::vector<WarmupDemandItem> TakeWarmupDemand(WarmupBudget& budget,
                                               TimePoint now) {
  std::vector<WarmupDemandItem> items;
  for (std::uint32_t service = 0; service < budget.demands.size(); ++service) {
    WarmupServiceDemand& demand = budget.demands[service];
    const std::uint32_t measured = MeasureDemand(budget, demand.flows, now);
    demand.flows = 0;
    demand.flows_per_second =
        std::max({measured, demand.flows_per_second / 2, 1U});
    const bool recent = demand.last_flow_at != TimePoint() &&
                        now < demand.last_flow_at + kWarmupDemandLifetime;
    if (recent && now < demand.cold_until &&
        FindWarmupLimit(budget, service) != nullptr) {
      items.push_back(WarmupDemandItem{
          .service = service, .flows_per_second = demand.flows_per_second});
    }
  }
  budget.demand_taken_at = now;
  return items;
}

bool LacksWarmupGrants(const WarmupBudget& budget, TimePoint now) {
  return budget.unanswered_since != TimePoint::max() &&
         now >= budget.unanswered_since + budget.timing.lease;
}

std::uint64_t CountLeasedFlows(const WarmupBudget& budget, TimePoint now) {
  std::uint64_t total = 0;
  for (const auto& [server, lease] : budget.servers) {
    total += IsValid(budget, lease, now) ? lease.flows_per_second : 0;
  }
  return total;
}

}  // namespace filbertwall
