#pragma once

#include <set>
#include <string>
#include <vector>

#include "Fleet/ControlInstance.h"

/// Internal to Fleet: the steps that the reducers of a control instance share.
namespace filbertwall {

inline constexpr TimePoint kNever = TimePoint::max();

/// Report intervals until an instance that has just started knows the backend
/// servers, since each has reported by then.
inline constexpr int kIntervalsUntilSettled = 2;

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

/// Tells those who do not know all yet, at once or with what comes next.
void PushUpdates(ControlTurn& turn);
void PushSoon(ControlTurn& turn);
/// Tells the other control instances at once: one of them must know before a
/// leaving server is answered.
void PushToControl(ControlTurn& turn);
/// Tells entry instances what is known here, without contents: those that are
/// told of changes, and after a start those that were before it.
void TellFollowers(ControlTurn& turn);
/// Entry instances that asked lately.
std::set<InstanceAddress> LiveFollowers(const ControlInstance& instance,
                                        TimePoint now);
/// The other control instances that are known here, also those that do not
/// vote: servers and entry instances come to them as well.
std::set<InstanceAddress> OtherControlInstances(const ControlInstance& instance,
                                                TimePoint now);
/// Asks the other control instances for what they know.
void SubscribeToOthers(ControlTurn& turn);
void HandleSubscribe(ControlTurn& turn, InstanceAddress from,
                     const wire::Subscribe& subscribe);
/// Answers the entry instances whose turn it is.
void AnswerFollowers(ControlTurn& turn);
void HandleUpdate(ControlTurn& turn, InstanceAddress from,
                  const wire::Update& update);

void LogServer(ControlTurn& turn, const wire::ServerRecord& record,
               const std::string& source);
void HandleReport(ControlTurn& turn, const ServerReported& event);
/// Answers the reports that another control instance has by now.
void StepReports(ControlTurn& turn);

/// Takes how flows went, from an entry instance or another control instance.
void HandleOutcomes(ControlTurn& turn, const wire::Outcomes& outcomes);
/// Passes outcomes on and marks the servers that fail their callers, when due.
void StepOutcomes(ControlTurn& turn);

void HandleSubmitted(ControlTurn& turn, const RulesSubmitted& event);
void HandleRead(ControlTurn& turn, const RulesRead& event);
void HandleVerdict(ControlTurn& turn, const ControlVerdict& verdict);
/// Tries the submissions that wait for a leader; gives up on the expired.
void StepSubmissions(ControlTurn& turn);

}  // namespace filbertwall
