#pragma once

#include <set>
#include <string>
#include <vector>

#include "Fleet/ControlInstance.h"

/// Internal to Fleet: functions shared by the source files that implement the
/// reducer of a control instance.
namespace filbertwall {

inline constexpr TimePoint kNever = TimePoint::max();

/// Number of report intervals after which an instance that has just started
/// considers its registry complete: each backend server has reported by then.
inline constexpr int kIntervalsUntilSettled = 2;

/// Context of one reducer call.
struct ControlTurn {
  ControlInstance& instance;
  TimePoint now;
  std::vector<ControlInstanceEffect>& effects;
};

void Log(ControlTurn& turn, EventId id, const std::string& text,
         Severity severity = Severity::kInfo);
void Answer(ControlTurn& turn, AnswerCall answer);
/// Applies an event to the replica and handles the effects. Does nothing while
/// the disk has failed.
void RunReplica(ControlTurn& turn, const ControlEvent& event);

/// Returns the leader to which a call can be redirected: another instance from
/// which a heartbeat arrived recently. Returns 0 when there is none.
InstanceAddress RedirectTarget(const ControlTurn& turn);

/// Sends updates to all subscribers that lack changes.
void PushUpdates(ControlTurn& turn);
/// Schedules `PushUpdates` after a short delay, to batch changes.
void SchedulePush(ControlTurn& turn);
/// Sends updates to the subscribed control instances without delay: one of them
/// must have the record of a server that is not ready before the server's
/// report is answered.
void PushToControlInstances(ControlTurn& turn);
/// Sends a summary, without contents, to all entry instances that are active
/// subscribers and, shortly after a start, to those that were subscribers
/// before it.
void SendSummaryToFollowers(ControlTurn& turn);
/// Returns the entry instances that subscribed recently.
std::set<InstanceAddress> ActiveFollowers(const ControlInstance& instance,
                                          TimePoint now);
/// Returns the other known control instances. Includes non-voters, since
/// servers and entry instances connect to them as well.
std::set<InstanceAddress> OtherControlInstances(const ControlInstance& instance,
                                                TimePoint now);
/// Requests records and knowledge from the other control instances.
void SubscribeToOthers(ControlTurn& turn);
void HandleSubscribe(ControlTurn& turn, InstanceAddress from,
                     const wire::Subscribe& subscribe);
/// Answers queued requests of entry instances, as many as the queue allows.
void AnswerFollowerRequests(ControlTurn& turn);
void HandleUpdate(ControlTurn& turn, InstanceAddress from,
                  const wire::Update& update);

void LogServer(ControlTurn& turn, const wire::ServerRecord& record,
               const std::string& source);
void HandleReport(ControlTurn& turn, const ServerReported& event);
/// Answers the reports that another control instance has confirmed, and those
/// that expired.
void AnswerPendingReports(ControlTurn& turn);

/// Adds flow outcomes received from an entry instance or another control
/// instance.
void HandleOutcomes(ControlTurn& turn, const wire::Outcomes& outcomes);
/// When due, forwards outcomes to the other control instances and updates which
/// servers are marked as failing.
void ProcessOutcomes(ControlTurn& turn);

void HandleSubmitted(ControlTurn& turn, const RulesSubmitted& event);
void HandleRead(ControlTurn& turn, const RulesRead& event);
void HandleVerdict(ControlTurn& turn, const ControlVerdict& verdict);
/// Retries the submissions that wait for a leader and answers expired ones as
/// unavailable.
void RetrySubmissions(ControlTurn& turn);

}  // namespace filbertwall
