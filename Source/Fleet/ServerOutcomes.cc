#include <algorithm>

#include "Fleet/ControlTurn.h"

/// Which backend servers fail their callers: from what entry instances saw of
/// their flows to a mark in the server's record.
namespace filbertwall {
namespace {

constexpr Milliseconds kJudgeInterval{250};
/// Counts of servers that hardly fail are not passed on.
constexpr double kLeastFailuresTold = 0.5;

/// Each control instance hears only the entry instances that follow it; the
/// others are told of servers that fail.
void PassOn(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  wire::FleetMessage message;
  wire::Outcomes& outcomes = *message.mutable_outcomes();
  outcomes.set_passed_on(true);
  for (const auto& [id, outcome] : instance.outcomes.not_passed_on) {
    const OutcomeCounts counts =
        CountsOf(instance.outcomes.ledger, id, turn.now);
    if (counts.failed >= kLeastFailuresTold) {
      *outcomes.add_servers() = outcome;
    }
  }
  instance.outcomes.not_passed_on.clear();
  if (outcomes.servers().empty()) {
    return;
  }
  for (const InstanceAddress other :
       OtherControlInstances(instance, turn.now)) {
    turn.effects.emplace_back(SendMessage{.to = other, .message = message});
  }
}

/// Ready servers by service.
std::map<std::string, std::vector<std::string>> ServicesOf(
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

void Mark(ControlTurn& turn, const std::string& id, bool failing) {
  ControlInstance& instance = turn.instance;
  SetFailing(instance.registry, id, failing);
  const OutcomeCounts counts = CountsOf(instance.outcomes.ledger, id, turn.now);
  Log(turn, EventId::kServerJudged,
      "server=" + id + " failing=" + std::to_string(failing) +
          " served=" + std::to_string(counts.served) +
          " failed=" + std::to_string(counts.failed),
      failing ? Severity::kWarning : Severity::kInfo);
  PushSoon(turn);
}

void Judge(ControlTurn& turn) {
  ControlInstance& instance = turn.instance;
  ServerOutcomes& outcomes = instance.outcomes;
  std::set<std::string> failing;
  for (const auto& [service, servers] : ServicesOf(instance.registry)) {
    failing.merge(
        FindFailing(outcomes.ledger, servers, outcomes.failing, turn.now));
  }
  for (const std::string& id : failing) {
    if (!outcomes.failing.contains(id)) {
      Mark(turn, id, true);
    }
  }
  for (const std::string& id : outcomes.failing) {
    if (!failing.contains(id)) {
      Mark(turn, id, false);
    }
  }
  outcomes.failing = std::move(failing);
}

}  // namespace

void HandleOutcomes(ControlTurn& turn, const wire::Outcomes& outcomes) {
  ServerOutcomes& held = turn.instance.outcomes;
  for (const wire::ServerOutcome& outcome : outcomes.servers()) {
    if (!turn.instance.registry.servers.contains(outcome.id())) {
      continue;  // Forgotten here, or not heard of yet.
    }
    AddOutcomes(held.ledger, outcome.id(), outcome.served(), outcome.failed(),
                turn.now);
    if (!outcomes.passed_on()) {
      wire::ServerOutcome& sum = held.not_passed_on[outcome.id()];
      sum.set_id(outcome.id());
      sum.set_served(sum.served() + outcome.served());
      sum.set_failed(sum.failed() + outcome.failed());
    }
  }
  if (!held.ledger.servers.empty()) {
    held.judge_at = std::min(held.judge_at, turn.now + kJudgeInterval);
  }
}

void StepOutcomes(ControlTurn& turn) {
  ServerOutcomes& outcomes = turn.instance.outcomes;
  if (turn.now < outcomes.judge_at) {
    return;
  }
  PassOn(turn);
  ForgetOutcomes(outcomes.ledger, turn.now);
  const bool any_failed = std::any_of(
      outcomes.ledger.servers.begin(), outcomes.ledger.servers.end(),
      [](const auto& item) { return item.second.failed >= 1; });
  if (any_failed || !outcomes.failing.empty()) {
    Judge(turn);
  }
  outcomes.judge_at =
      outcomes.ledger.servers.empty() ? kNever : turn.now + kJudgeInterval;
}

}  // namespace filbertwall
