#include <algorithm>

#include "Fleet/ControlContext.h"

/// Marks backend servers as failing in their records, from the flow outcomes
/// that entry instances report.
namespace filbertwall {
namespace {

constexpr Milliseconds kEvaluationInterval{250};
/// Outcomes of servers with fewer failures are not forwarded. The failures are
/// those counted in the statistics here.
constexpr double kMinForwardedFailures = 0.5;

/// Returns the sum of two counts, at most the number that a receiver accepts.
std::uint32_t AddSaturated(std::uint32_t left, std::uint32_t right) {
  return std::min(kMaxOutcomesPerServer, left + right);
}

/// Forwards the outcomes of servers with failures to the other control
/// instances, since each receives outcomes only from the entry instances that
/// subscribed to it.
void ForwardOutcomes(ControlContext& context) {
  ControlInstance& instance = context.instance;
  wire::FleetMessage message;
  wire::Outcomes& outcomes = *message.mutable_outcomes();
  outcomes.set_passed_on(true);
  for (const auto& [id, outcome] : instance.outcomes.to_forward) {
    const OutcomeCounts counts =
        GetOutcomeCounts(instance.outcomes.stats, id, context.now);
    if (counts.failed >= kMinForwardedFailures) {
      *outcomes.add_servers() = outcome;
    }
  }
  instance.outcomes.to_forward.clear();
  if (outcomes.servers().empty()) {
    return;
  }
  for (const InstanceAddress other :
       OtherControlInstances(instance, context.now)) {
    context.effects.emplace_back(SendMessage{.to = other, .message = message});
  }
}

/// Returns the ids of the ready servers that are not silent, by service.
std::map<std::string, std::vector<std::string>> ReadyServersByService(
    const Registry& registry) {
  std::map<std::string, std::vector<std::string>> services;
  for (const auto& [id, server] : registry.servers) {
    const wire::ServerRecord& record = server.record;
    if (record.phase() == wire::SERVER_READY && !record.silent()) {
      services[record.service()].push_back(id);
    }
  }
  return services;
}

/// Sets or clears the failing mark of a server.
void SetServerFailing(ControlContext& context, const std::string& id,
                      bool failing) {
  ControlInstance& instance = context.instance;
  SetFailing(instance.registry, id, failing);
  const OutcomeCounts counts =
      GetOutcomeCounts(instance.outcomes.stats, id, context.now);
  Log(context, EventId::kServerFailingChanged,
      "server=" + id + " failing=" + std::to_string(failing) +
          " served=" + std::to_string(counts.served) +
          " failed=" + std::to_string(counts.failed),
      failing ? Severity::kWarning : Severity::kInfo);
  SchedulePush(context);
}

void EvaluateServers(ControlContext& context) {
  ControlInstance& instance = context.instance;
  ServerOutcomes& outcomes = instance.outcomes;
  std::set<std::string> failing;
  for (const auto& [service, servers] :
       ReadyServersByService(instance.registry)) {
    failing.merge(FindFailingServers(outcomes.stats, servers, outcomes.failing,
                                     context.now));
  }
  for (const std::string& id : failing) {
    if (!outcomes.failing.contains(id)) {
      SetServerFailing(context, id, true);
    }
  }
  for (const std::string& id : outcomes.failing) {
    if (!failing.contains(id)) {
      SetServerFailing(context, id, false);
    }
  }
  outcomes.failing = std::move(failing);
}

}  // namespace

void HandleOutcomes(ControlContext& context, const wire::Outcomes& outcomes) {
  ServerOutcomes& state = context.instance.outcomes;
  HandleDurations(context, outcomes);
  for (const wire::ServerOutcome& outcome : outcomes.servers()) {
    if (!context.instance.registry.servers.contains(outcome.id())) {
      continue;  // Removed from the registry, or not yet known.
    }
    if (outcome.served() == 0 && outcome.failed() == 0) {
      continue;  // It holds durations only.
    }
    AddOutcomes(state.stats, outcome.id(), outcome.served(), outcome.failed(),
                context.now);
    if (!outcomes.passed_on()) {
      wire::ServerOutcome& sum = state.to_forward[outcome.id()];
      sum.set_id(outcome.id());
      sum.set_served(AddSaturated(sum.served(), outcome.served()));
      sum.set_failed(AddSaturated(sum.failed(), outcome.failed()));
    }
  }
  if (!state.stats.servers.empty()) {
    state.next_evaluation_at =
        std::min(state.next_evaluation_at, context.now + kEvaluationInterval);
  }
}

void ProcessOutcomes(ControlContext& context) {
  ServerOutcomes& outcomes = context.instance.outcomes;
  if (context.now < outcomes.next_evaluation_at) {
    return;
  }
  ForwardOutcomes(context);
  RemoveExpiredOutcomes(outcomes.stats, context.now);
  const bool any_failed =
      std::any_of(outcomes.stats.servers.begin(), outcomes.stats.servers.end(),
                  [](const auto& item) { return item.second.failed >= 1; });
  if (any_failed || !outcomes.failing.empty()) {
    EvaluateServers(context);
  }
  outcomes.next_evaluation_at = outcomes.stats.servers.empty()
                                    ? kNever
                                    : context.now + kEvaluationInterval;
}

}  // namespace filbertwall
