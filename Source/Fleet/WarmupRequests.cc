#include "Fleet/WarmupRequests.h"

#include <algorithm>

#include "Base/Endpoint.h"

namespace filbertwall {
namespace {

/// A grant that is missing for this long is logged. An election and the wait
/// after it take up to about 3 s.
constexpr Milliseconds kUnansweredLimit{4000};

/// An answer to a poll that takes longer than this counts as missing. The usual
/// one takes a few milliseconds.
constexpr Milliseconds kPollAnswerTimeout{100};

std::int64_t ToMicroseconds(TimePoint time) {
  return std::chrono::duration_cast<Microseconds>(time.time_since_epoch())
      .count();
}

/// Recomputes until when each service with a limit has a cold server.
void UpdateColdUntil(Placement& placement) {
  WarmupBudget& budget = placement.warmup;
  for (ServiceIndex service = 0; service < budget.demands.size(); ++service) {
    WarmupServiceDemand& demand = budget.demands[service];
    demand.cold_until = {};
    const WarmupLimit* limit = FindWarmupLimit(budget, service);
    if (limit == nullptr) {
      continue;
    }
    for (const ServerIndex index : placement.usable_by_service[service]) {
      const PlacedServer& server = placement.servers[index];
      const TimePoint returned_at =
          placement.data_centres[server.data_centre].returned_at;
      demand.cold_until = std::max(demand.cold_until, server.warmup_ends_at);
      if (returned_at != TimePoint()) {
        demand.cold_until =
            std::max(demand.cold_until, returned_at + limit->duration);
      }
    }
  }
}

std::string FindServiceName(const Placement& placement, ServiceIndex service) {
  const auto found =
      std::find_if(placement.services.begin(), placement.services.end(),
                   [&](const auto& item) { return item.second == service; });
  return found == placement.services.end() ? "" : found->first;
}

/// Logs that flows were refused, and that no grant comes.
void LogProblems(WarmupRequester& requester, const WarmupBudget& budget,
                 TimePoint now, std::vector<LogRecord>& records) {
  const std::uint64_t refused =
      budget.counters.refused - requester.logged_refused;
  if (refused > 0) {
    requester.logged_refused = budget.counters.refused;
    records.push_back(LogRecord{
        .id = EventId::kWarmupFlowsRefused,
        .severity = Severity::kWarning,
        .text = "flows=" + std::to_string(refused) +
                " leased=" + std::to_string(CountLeasedFlows(budget, now)) +
                " leader=" + FormatIp(requester.leader)});
  }
  const bool unanswered = budget.unanswered_since != TimePoint::max() &&
                          now - budget.unanswered_since > kUnansweredLimit;
  if (unanswered && !requester.unanswered_logged) {
    requester.unanswered_logged = true;
    records.push_back(LogRecord{
        .id = EventId::kWarmupLeasesMissing,
        .severity = Severity::kWarning,
        .text =
            "leader=" + FormatIp(requester.leader) + " unanswered_ms=" +
            std::to_string(MillisecondsBetween(budget.unanswered_since, now))});
  }
}

}  // namespace

void PrepareWarmupRequest(Placement& placement, bool servers_changed,
                          TimePoint now) {
  WarmupBudget& budget = placement.warmup;
  if (budget.limits.empty()) {
    return;
  }
  if (servers_changed || budget.next_request_at == TimePoint::max()) {
    ScheduleWarmupRequest(budget, kMinWarmupRequestInterval, now);
  }
}

void ConfirmServers(WarmupBudget& budget, const RegistryPosition& position,
                    const wire::Update& update, TimePoint next_poll_at,
                    TimePoint now) {
  const bool complete = update.registry_epoch() != 0 && !update.partial() &&
                        update.registry_epoch() == position.epoch &&
                        update.registry_change() <= position.change;
  if (complete) {
    budget.confirmed_until = std::max(now, next_poll_at) + kPollAnswerTimeout;
  }
}

WarmupRequestResult RequestWarmupLeases(WarmupRequester& requester,
                                        Placement& placement,
                                        std::uint64_t incarnation,
                                        TimePoint now) {
  WarmupRequestResult result;
  WarmupBudget& budget = placement.warmup;
  if (now < budget.next_request_at) {
    return result;
  }
  budget.next_request_at = now + kWarmupRequestInterval;
  UpdateColdUntil(placement);
  const std::vector<WarmupDemandItem> demands = TakeWarmupDemand(budget, now);
  if (demands.empty()) {
    budget.unanswered_since = TimePoint::max();
    return result;
  }
  budget.unanswered_since = std::min(budget.unanswered_since, now);
  LogProblems(requester, budget, now, result.records);
  budget.last_request_at = now;
  if (requester.leader == 0) {
    return result;
  }
  wire::FleetMessage message;
  wire::WarmupRequest& request = *message.mutable_warmup_request();
  request.set_incarnation(incarnation);
  request.set_sent_us(ToMicroseconds(now));
  for (const WarmupDemandItem& demand : demands) {
    wire::WarmupDemand& item = *request.add_demands();
    item.set_service(FindServiceName(placement, demand.service));
    item.set_flows_per_second(demand.flows_per_second);
  }
  result.messages.push_back(
      SendMessage{.to = requester.leader, .message = std::move(message)});
  return result;
}

void HandleWarmupGrant(WarmupRequester& requester, Placement& placement,
                       std::uint64_t incarnation,
                       const wire::WarmupGrant& grant, TimePoint now) {
  if (grant.incarnation() != incarnation) {
    return;
  }
  // A time outside of the clock's range can't be one that was sent from here.
  const std::int64_t now_us = ToMicroseconds(now);
  if (grant.echoed_us() < 0 || grant.echoed_us() > now_us) {
    return;
  }
  const TimePoint requested_at{Microseconds(grant.echoed_us())};
  placement.warmup.unanswered_since = TimePoint::max();
  requester.unanswered_logged = false;
  for (const wire::WarmupLease& lease : grant.leases()) {
    const auto server = placement.by_id.find(lease.server());
    if (server != placement.by_id.end()) {
      TakeWarmupLease(placement.warmup, server->second, lease.incarnation(),
                      lease.flows_per_second(), requested_at, now);
    }
  }
}

}  // namespace filbertwall
