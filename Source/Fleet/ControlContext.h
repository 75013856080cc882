#pragma once

#include <set>
#include <string>
#include <vector>

#include "Fleet/ControlInstance.h"
#include "Rules/Rules.h"

/// Internal to Fleet: functions shared by the source files that implement the
/// reducer of a control instance.
namespace filbertwall {

inline constexpr TimePoint kNever = TimePoint::max();

/// Number of report intervals after which an instance that has just started
/// considers its registry complete: each backend server has reported by then.
inline constexpr int kIntervalsUntilSettled = 2;
/// Number of report intervals without a report after which a server is silent.
inline constexpr int kIntervalsUntilSilent = 5;
/// Another control instance that is neither a seed nor a voter is removed from
/// the known ones when it was not known to be running for this long.
inline constexpr Milliseconds kSourceLifetime{5000};
/// Maximum number of instances that are told of changes.
inline constexpr std::size_t kMaxSubscribers = 4096;
/// Interval between two requests to the other control instances.
inline constexpr Milliseconds kSubscribeInterval{1000};
/// RulesStatus of other control instances is forwarded for this long after it
/// was received.
inline constexpr Milliseconds kRulesStatusLifetime{1200};

inline constexpr char kDiskFailedReason[] = "writes to the disk fail";

/// The event being handled: state, time and the effects so far.
struct ControlContext {
  ControlInstance& instance;
  TimePoint now;
  std::vector<ControlInstanceEffect>& effects;
};

void Log(ControlContext& context, EventId id, const std::string& text,
         Severity severity = Severity::kInfo);
void Answer(ControlContext& context, AnswerCall answer);
/// Counts and logs records that were set aside. Does nothing if there are none.
void ReportSetAside(ControlContext& context, const SetAsideRecords& records,
                    const std::string& source);
/// Returns what is known of another control instance, and adds it if it is
/// new. Returns null for this instance, for address 0, and when there is no
/// room for a new one.
RegistrySource* AddSource(ControlContext& context, InstanceAddress address);
/// Applies an event to the replica and handles the effects. Does nothing while
/// the disk has failed.
void RunReplica(ControlContext& context, const ControlEvent& event);

/// Logs that this instance leads, or no longer does, if its role has changed
/// since it was `before`.
void LogLeadership(ControlContext& context, ReplicaRole before);
/// Logs the voters if they are not those that were logged last.
void LogVoters(ControlContext& context);
/// Logs the standbys of this leader that were added or removed, caught up or
/// fell behind since the last call.
void LogStandbys(ControlContext& context);
/// Logs how the departure of this instance ended.
void LogDeparture(ControlContext& context);

/// Returns the leader to which a call can be redirected: another instance from
/// which a heartbeat arrived recently. Returns 0 when there is none.
InstanceAddress RedirectTarget(const ControlContext& context);

/// Returns whether messages pass between this instance and a leader in both
/// directions and have told it what the leader knows: the rules and servers
/// known here are then the newest ones, but for a short delay.
bool IsInSync(const ControlInstance& instance, TimePoint now);
/// Requests the servers of the other control instances soon if this instance is
/// heard by a leader, but does not know the servers yet.
void CatchUp(ControlContext& context);
/// Updates `in_sync` and what depends on it, and logs a change.
void UpdateInSync(ControlContext& context);

/// Returns whether the subscriber sent a request recently.
bool IsActive(const Subscriber& subscriber, TimePoint now);
/// Returns what this instance states about the rules that it knows.
wire::RulesStatus BuildRulesStatus(const ControlInstance& instance);
/// Sends an update without contents, with the rules_status of this instance and
/// of the control instances from which it was received recently.
void SendSummary(ControlContext& context, InstanceAddress to);
/// Sends all changes after the subscriber's position. `position_reset` tells it
/// to take the position of the update, even if that is lower than its own.
void SendUpdate(ControlContext& context, InstanceAddress to,
                Subscriber& subscriber, bool position_reset);

/// Sends updates to all subscribers that lack changes.
void PushUpdates(ControlContext& context);
/// Schedules `PushUpdates` after a short delay, to batch changes.
void SchedulePush(ControlContext& context);
/// Sends updates to the subscribed control instances without delay. The report
/// of a server that is not ready is answered only after one of them has
/// confirmed the server's record.
void PushToControlInstances(ControlContext& context);
/// Sends a summary, without contents, to the active followers and, shortly
/// after a start, also to those saved before it.
void SendSummaryToFollowers(ControlContext& context);
/// Returns the followers, which are the entry instances that subscribed here
/// recently.
std::set<InstanceAddress> ActiveFollowers(const ControlInstance& instance,
                                          TimePoint now);
/// Returns the other known control instances. Includes non-voters, since
/// servers and entry instances connect to them as well.
std::set<InstanceAddress> OtherControlInstances(const ControlInstance& instance,
                                                TimePoint now);
/// Requests records and rules_status from the other control instances.
void SubscribeToOthers(ControlContext& context);
/// Precondition: `subscribe` has passed `CheckSubscribe`.
void HandleSubscribe(ControlContext& context, InstanceAddress from,
                     const wire::Subscribe& subscribe);
/// Answers as many queued requests of entry instances as the budget of the
/// queue allows.
void AnswerFollowerRequests(ControlContext& context);
/// Precondition: `update` was returned by `ReadUpdate`.
void HandleUpdate(ControlContext& context, InstanceAddress from,
                  const wire::Update& update);

/// Restores the saved registry with report times in the past, so that servers
/// that do not report again soon are marked silent.
void RestoreRegistry(ControlContext& context, const wire::SavedRegistry& saved);
/// Saves the registry and the known followers if they have changed since they
/// were saved last.
void SaveServers(ControlContext& context);
/// Makes the next `SaveServers` save the registry, also if it has not changed.
void RequestSave(ControlInstance& instance);

/// Logs a changed record. `source` is the control instance that sent it, or
/// "itself" for a report of the server.
void LogServer(ControlContext& context, const wire::ServerRecord& record,
               const std::string& source);
void HandleReport(ControlContext& context, const ServerReported& event);
/// Answers the reports that another control instance has confirmed, and those
/// that expired.
void AnswerPendingReports(ControlContext& context);

/// Adds flow outcomes received from an entry instance or another control
/// instance. Precondition: `outcomes` has passed `CheckOutcomes`.
void HandleOutcomes(ControlContext& context, const wire::Outcomes& outcomes);
/// When due, forwards outcomes to the other control instances and updates which
/// servers are marked as failing.
void ProcessOutcomes(ControlContext& context);

/// Takes over the warm-up limits of newly committed rules.
void ApplyWarmupLimits(ControlContext& context, const Rules& rules);
/// Returns whether a reported record is the first of a server's start. To be
/// called before the record is merged.
bool StartsNewLife(const ControlContext& context,
                   const wire::ServerRecord& record);
/// Starts the warm-up of a server that has just started, if its service has a
/// limit.
void StartWarmupOfNewServer(ControlContext& context, const std::string& id);
/// Starts the warm-up of the servers of a data centre whose evacuation was
/// withdrawn, if their services have limits.
void StartWarmupOfDataCentre(ControlContext& context,
                             const std::string& data_centre);
/// Starts the warm-ups of data centres whose evacuations were withdrawn by a
/// change of the committed state.
void NoteEvacuations(ControlContext& context);
/// Returns where leases on warm-up limits are requested; 0: nowhere.
InstanceAddress WarmupLeader(const ControlContext& context);
/// Grants leases if this instance may. Precondition: `request` has passed
/// `CheckWarmupRequest`.
void HandleWarmupRequest(ControlContext& context, InstanceAddress from,
                         const wire::WarmupRequest& request);
/// Removes expired leases.
void ExpireWarmup(ControlContext& context);

void HandleSubmitted(ControlContext& context, const RulesSubmitted& event);
void HandleRead(ControlContext& context, const RulesRead& event);
void HandleVerdict(ControlContext& context, const ControlVerdict& verdict);

void HandleEvacuationOrder(ControlContext& context,
                           const EvacuationOrdered& event);
/// Retries the commands that wait for a leader and answers expired ones as
/// unavailable.
void RetryEvacuationOrders(ControlContext& context);
/// Answers the command whose change got the verdict. Precondition:
/// `proposal.evacuation` is set.
void HandleEvacuationVerdict(ControlContext& context, const Proposal& proposal,
                             const ControlVerdict& verdict);
/// Logs a change of the committed evacuations and sends it to the followers.
void ApplyCommittedEvacuations(ControlContext& context);
/// Adds the evacuations to an update once there was any.
void AddEvacuations(const ControlInstance& instance, wire::Update& update);
/// Notes whether this process did not run for a while before this event, so
/// that commands which arrived meanwhile are recognized.
void DetectStall(ControlContext& context);
/// Returns when `RetryEvacuationOrders` is to be called next.
TimePoint NextDue(const EvacuationOrders& orders);

/// Retries the submissions that wait for a leader and answers expired ones as
/// unavailable.
void RetrySubmissions(ControlContext& context);

}  // namespace filbertwall
