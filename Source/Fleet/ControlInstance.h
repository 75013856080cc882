#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Base/Histogram.h"
#include "Base/InputError.h"
#include "Control/Replica.h"
#include "Distribution/PackedContents.h"
#include "Distribution/RouteHistory.h"
#include "Fleet/Fleet.h"
#include "Fleet/FollowerQueue.h"
#include "Fleet/ServerSpeeds.h"
#include "Fleet/WarmupGrants.h"
#include "Outcomes/Outcomes.h"
#include "Registry/Registry.h"

/// A control instance of a fleet: agrees with the other control instances on
/// the rules, receives the reports of backend servers, and distributes the
/// rules and the server records to the entry instances.
///
/// A reducer without clock, socket, disk or random source. Not thread safe.
namespace filbertwall {

/// Identifies an external call that waits for its answer.
using CallId = std::uint64_t;

/// An instance that subscribed to changes.
struct Subscriber {
  std::uint64_t rules_version = 0;
  std::uint64_t registry_change = 0;  ///< All changes up to it were received.
  bool control = false;               ///< Whether it is a control instance.
  bool rules_wanted = false;  ///< Whether updates to it include the rules.
  TimePoint heard_at;         ///< When its last `Subscribe` was processed.
  /// When it was last sent `Update.heard`, the list of servers that reported
  /// here.
  TimePoint heard_list_sent_at;
  /// Time until which its request for the next records is expected after a
  /// partial update.
  TimePoint next_request_by;
};

/// Another control instance, from which records are received.
struct RegistrySource {
  RegistryPosition position;
  std::string data_centre;
  TimePoint heard_at;  ///< When it was last known to be running.
  /// When its whole registry was last known here.
  TimePoint complete_at;
  wire::RulesStatus rules_status;  ///< As last received; `instance` 0 if never.
  TimePoint rules_status_at;       ///< When `rules_status` was received.
};

/// A submitted rules file that waits for a leader.
struct PendingSubmission {
  CallId call = 0;
  wire::RulesFile file;
  TimePoint expires_at;
};

/// A server's report that is answered once another control instance has the
/// record.
struct PendingReport {
  CallId call = 0;
  std::uint64_t change = 0;  ///< Registry change to be confirmed.
  TimePoint expires_at;
};

struct ControlCounters {
  InputErrorCounts set_aside;  ///< Records that could not be used.
  std::uint64_t reports = 0;
  std::uint64_t reports_unconfirmed = 0;
  /// Reports that could be read, but are invalid or contradict others.
  InputErrorCounts refused_reports;
  std::uint64_t submissions = 0;
  std::uint64_t evacuations_accepted = 0;     ///< Commands, as the leader.
  std::uint64_t evacuations_refused = 0;      ///< Invalid commands.
  std::uint64_t evacuations_unavailable = 0;  ///< Commands answered so.
  /// Reads that a leader refused as it had not committed the entry that it took
  /// over from an earlier one.
  std::uint64_t reads_undecided = 0;
  std::uint64_t elections_won = 0;
};

/// Flow outcomes of the backend servers. Those received from entry instances
/// are also forwarded to the other control instances, since each entry instance
/// reports to only one.
struct ServerOutcomes {
  OutcomeStats stats;
  /// Received from entry instances since the last forwarding; by server id.
  std::map<std::string, wire::ServerOutcome> to_forward;
  std::set<std::string> failing;  ///< Servers marked as failing.
  TimePoint next_evaluation_at = TimePoint::max();
};

/// A change that this instance proposed as leader.
struct Proposal {
  CallId call = 0;
  TimePoint proposed_at;
  /// Set if the change is not a rules file.
  std::optional<wire::EvacuationChange> evacuation;
};

/// A command to evacuate a data centre, or to withdraw that, which waits for a
/// leader that may propose it.
struct EvacuationOrder {
  CallId call = 0;
  wire::EvacuationChange change;
  TimePoint arrived_at;
};

/// The evacuations at a control instance, and the commands for them.
struct EvacuationOrders {
  std::deque<EvacuationOrder> waiting;
  /// The evacuations of the committed state, as last announced to followers.
  std::uint64_t announced_seq = 0;
  std::set<std::string> in_force;
  std::set<std::string> by_rules;  ///< By the newest committed rules.
  /// Commands that arrive earlier waited while the process did not run.
  TimePoint refused_until;
};

/// What the log says of a standby.
struct LoggedStandby {
  std::uint64_t incarnation = 0;
  bool up_to_date = false;
};

struct ControlInstance {
  FleetConfig config;
  Replica replica;
  Registry registry;
  /// Names of the services in the newest committed rules.
  std::set<std::string> named_services;
  RouteHistory history;
  PackedContents packed_contents;
  FollowerQueue follower_queue;
  std::map<InstanceAddress, Subscriber> subscribers;
  std::map<InstanceAddress, RegistrySource> sources;
  std::map<std::uint64_t, Proposal> proposals;  ///< By token.
  std::deque<PendingSubmission> submissions;    ///< Waiting for a leader.
  EvacuationOrders evacuations;
  std::deque<PendingReport> reports;
  ServerOutcomes outcomes;
  WarmupGrants warmup;
  ServerSpeeds speeds;
  std::string logged_voters;  ///< Voters as last logged.
  /// Standbys of this leader as last logged, by instance.
  std::map<std::uint32_t, LoggedStandby> logged_standbys;
  std::uint64_t next_token = 1;
  TimePoint started_at;
  /// Next request to the other control instances.
  TimePoint next_subscribe_at;
  TimePoint last_subscribe_at;
  TimePoint next_push_at;  ///< Next push; `kNever` when none is scheduled.
  TimePoint last_push_at;  ///< When `PushUpdates` last ran.
  TimePoint next_housekeeping_at;  ///< Next removal of expired state.
  TimePoint next_save_at;  ///< Earliest time of the next `SaveRegistry`.
  std::uint64_t saved_change = 0;  ///< Registry change last saved.
  /// When the registry is saved again, as the saved warm-up times have become
  /// outdated.
  TimePoint warmups_outdated_at = TimePoint::max();
  std::set<InstanceAddress> saved_followers;
  std::set<InstanceAddress> saved_control_instances;
  /// Entry instances that were subscribed before this start.
  std::set<InstanceAddress> previous_followers;
  /// Whether the registry is considered complete: it was restored from the
  /// disk, received from a control instance with a complete one, or each server
  /// has had time to report.
  bool settled = false;
  bool in_sync = false;             ///< `IsInSync` at the last tick.
  TimePoint in_sync_until;          ///< Last tick with `in_sync`, or the start.
  bool disk_failed = false;         ///< The replica is not run while set.
  std::uint64_t disk_restores = 0;  ///< `ControlDiskRestored` events so far.
  ControlCounters counters;
  Histogram commit_time;
};

/// `saved` is the registry saved before the start; empty if there was none.
struct ControlInstanceStarted {
  wire::SavedRegistry saved;
};
/// The time of `NextDue` was reached.
struct ControlInstanceTick {};
/// A backend server reported its record.
struct ServerReported {
  CallId call = 0;
  wire::ServerRecord record;
};
/// A client submitted a rules file.
struct RulesSubmitted {
  CallId call = 0;
  wire::RulesFile file;
};
/// A client requested the current rules file.
struct RulesRead {
  CallId call = 0;
};
/// An operator commands that a data centre be evacuated, or no longer.
struct EvacuationOrdered {
  CallId call = 0;
  wire::EvacuationChange change;  ///< Its data centre is a valid name.
};
/// The process is about to end. A standby takes over the vote of this instance
/// within `limit`, if there is one; see `MayEnd`.
struct ControlStopRequested {
  Milliseconds limit{0};
};
/// Writes to the disk fail. Records appended after the last sync may be missing
/// from the log or incomplete.
struct ControlDiskFailed {};
/// The disk accepts writes again; `log` is its whole content.
struct ControlDiskRestored {
  std::vector<wire::DurableRecord> log;
};
/// The last `SaveRegistry` failed.
struct RegistryNotSaved {};
using ControlInstanceEvent =
    std::variant<ControlInstanceStarted, ControlInstanceTick, PeerMessage,
                 ServerReported, RulesSubmitted, RulesRead, EvacuationOrdered,
                 ControlStopRequested, ControlDiskFailed, ControlDiskRestored,
                 RegistryNotSaved>;

enum class CallVerdict {
  kAccepted,     ///< Done, or nothing was left to do.
  kRefused,      ///< Invalid; a retry will not succeed.
  kUnavailable,  ///< Can't be answered here; another instance may.
  kRedirected,   ///< The instance in `leader` can answer.
};

/// Answers an external call.
struct AnswerCall {
  CallId call = 0;
  CallVerdict verdict = CallVerdict::kUnavailable;
  InstanceAddress leader = 0;
  wire::RulesFile rules;  ///< Answer to a read.
  InstanceAddress next_report_address =
      0;  ///< Where a server should report next.
  std::string reason;
};
/// Appends a record to the log. It must be synced before any later effect of
/// the same list is carried out.
struct PersistRecord {
  wire::DurableRecord record;
};
/// Saves the backend servers for the next start. Correctness does not depend on
/// the saved data, which serves only until the servers have reported again.
struct SaveRegistry {
  wire::SavedRegistry saved;
};
using ControlInstanceEffect =
    std::variant<SendMessage, AnswerCall, PersistRecord, SaveRegistry,
                 LogRecord>;

/// Returns what is executed of an effect that follows a failed `PersistRecord`
/// in the same list. Its calls are answered as unavailable; nothing else that
/// may rely on the record is said.
std::optional<ControlInstanceEffect> EffectAfterFailedWrite(
    const ControlInstanceEffect& effect);

/// Creates an instance from the log on its disk.
ControlInstance MakeControlInstance(
    const FleetConfig& config, const std::vector<wire::DurableRecord>& log);

/// Applies one event. Precondition: `now` does not decrease between calls.
std::vector<ControlInstanceEffect> Reduce(ControlInstance& instance,
                                          const ControlInstanceEvent& event,
                                          TimePoint now);

/// Whether the process may end after `ControlStopRequested`. Becomes true
/// within the limit of the request if `NextDue` is followed.
bool MayEnd(const ControlInstance& instance);

/// Returns when `ControlInstanceTick` is to be applied next.
TimePoint NextDue(const ControlInstance& instance);

/// Returns the record with which the log on an empty disk starts. On the first
/// start of the fleet, the record of a seed lists the seeds as the initial
/// voters. In all other cases it contains only the incarnation, and the
/// instance joins the existing voters later.
wire::DurableRecord InitialRecord(const FleetConfig& config, bool first_start);

}  // namespace filbertwall
