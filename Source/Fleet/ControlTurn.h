#pragma once

#include <string>
#include <vector>

#include "Fleet/ControlInstance.h"

/// Internal to Fleet: the steps that the reducers of a control instance share.
namespace filbertwall {

struct ControlTurn {
  ControlInstance& instance;
  TimePoint now;
  std::vector<ControlInstanceEffect>& effects;
};

void Log(ControlTurn& turn, EventId id, const std::string& text,
         Severity severity = Severity::kInfo);
void Answer(ControlTurn& turn, AnswerCall answer);
/// Runs the replica and carries its effects on.
void RunReplica(ControlTurn& turn, const ControlEvent& event);

/// The leader as far as this instance may say; 0 when there is none.
InstanceAddress KnownLeader(const ControlTurn& turn);

void HandleSubmitted(ControlTurn& turn, const RulesSubmitted& event);
void HandleRead(ControlTurn& turn, const RulesRead& event);
void HandleVerdict(ControlTurn& turn, const ControlVerdict& verdict);
/// Tries the submissions that wait for a leader; gives up on the expired.
void StepSubmissions(ControlTurn& turn);

}  // namespace filbertwall
