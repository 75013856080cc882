#include "Fleet/ServerSpeeds.h"

#include <algorithm>

#include "Distribution/ReceivedRecords.h"
#include "Fleet/ControlContext.h"

/// Marks backend servers as slow in their records, from the durations of flows
/// that entry instances report.
namespace filbertwall {
namespace {

/// A server's flows are few in a shorter time, and its records would change
/// more often than entry instances poll.
constexpr Milliseconds kSpeedInterval{500};

void AddToForward(ServerSpeeds& speeds, const wire::ServerOutcome& outcome) {
  wire::ServerOutcome& sum = speeds.to_forward[outcome.id()];
  if (sum.timed() + outcome.timed() > kMaxOutcomesPerServer) {
    return;  // The receivers would set the sum aside.
  }
  sum.set_id(outcome.id());
  sum.set_timed(sum.timed() + outcome.timed());
  sum.set_duration_ms(sum.duration_ms() + outcome.duration_ms());
}

void ForwardDurations(ControlContext& context) {
  ControlInstance& instance = context.instance;
  wire::FleetMessage message;
  wire::Outcomes& outcomes = *message.mutable_outcomes();
  outcomes.set_passed_on(true);
  for (const auto& [id, outcome] : instance.speeds.to_forward) {
    *outcomes.add_servers() = outcome;
  }
  instance.speeds.to_forward.clear();
  if (outcomes.servers().empty()) {
    return;
  }
  for (const InstanceAddress other :
       OtherControlInstances(instance, context.now)) {
    context.effects.emplace_back(SendMessage{.to = other, .message = message});
  }
}

/// Returns the ready servers that are not silent, by service.
std::map<std::string, std::vector<SpeedCandidate>> CandidatesByService(
    const Registry& registry) {
  std::map<std::string, std::vector<SpeedCandidate>> services;
  for (const auto& [id, server] : registry.servers) {
    const wire::ServerRecord& record = server.record;
    if (record.phase() == wire::SERVER_READY && !record.silent()) {
      services[record.service()].push_back(
          {.id = id,
           .data_centre = record.data_centre(),
           .slowness_percent = record.slowness_percent()});
    }
  }
  return services;
}

void SetServerSlowness(ControlContext& context, const std::string& id,
                       std::uint32_t percent) {
  SetSlowness(context.instance.registry, id, percent);
  Log(context, EventId::kServerSlownessChanged,
      "server=" + id + " slowness_percent=" + std::to_string(percent),
      percent > 0 ? Severity::kWarning : Severity::kInfo);
  SchedulePush(context);
}

void EvaluateSpeeds(ControlContext& context) {
  ControlInstance& instance = context.instance;
  for (const auto& [service, candidates] :
       CandidatesByService(instance.registry)) {
    const std::map<std::string, std::uint32_t> slow =
        FindSlowServers(instance.speeds.stats, candidates, context.now);
    for (const SpeedCandidate& candidate : candidates) {
      const auto found = slow.find(candidate.id);
      const std::uint32_t percent = found == slow.end() ? 0 : found->second;
      if (percent != candidate.slowness_percent) {
        SetServerSlowness(context, candidate.id, percent);
      }
    }
  }
}

}  // namespace

void HandleDurations(ControlContext& context, const wire::Outcomes& outcomes) {
  ControlInstance& instance = context.instance;
  if (!instance.config.balance_by_load) {
    return;
  }
  for (const wire::ServerOutcome& outcome : outcomes.servers()) {
    const auto server = instance.registry.servers.find(outcome.id());
    if (outcome.timed() == 0 || server == instance.registry.servers.end()) {
      continue;
    }
    AddDurations(instance.speeds.stats, outcome.id(),
                 server->second.record.slots(), outcome.timed(),
                 outcome.duration_ms(), context.now);
    if (!outcomes.passed_on()) {
      AddToForward(instance.speeds, outcome);
    }
  }
  if (!instance.speeds.stats.servers.empty()) {
    instance.speeds.next_evaluation_at = std::min(
        instance.speeds.next_evaluation_at, context.now + kSpeedInterval);
  }
}

void ProcessDurations(ControlContext& context) {
  ServerSpeeds& speeds = context.instance.speeds;
  if (context.now < speeds.next_evaluation_at) {
    return;
  }
  ForwardDurations(context);
  RemoveExpiredSpeeds(speeds.stats, context.now);
  EvaluateSpeeds(context);
  speeds.next_evaluation_at =
      speeds.stats.servers.empty() ? kNever : context.now + kSpeedInterval;
}

}  // namespace filbertwall
