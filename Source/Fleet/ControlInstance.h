#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Base/Histogram.h"
#include "Control/Replica.h"
#include "Distribution/PackedContents.h"
#include "Distribution/RouteHistory.h"
#include "Fleet/Fleet.h"
#include "Fleet/FollowerQueue.h"
#include "Outcomes/Outcomes.h"
#include "Registry/Registry.h"

/// A control instance of a fleet: agrees with the others on the rules, hears
/// backend servers, and tells the entry instances of both.
///
/// A reducer without clock, socket, disk or random source. Not thread safe.
namespace filbertwall {

/// A call from outside that waits for its answer.
using CallId = std::uint64_t;

/// An instance that asked to be told of changes.
struct Subscriber {
  std::uint64_t rules_version = 0;
  std::uint64_t registry_change = 0;  ///< All up to it has arrived there.
  bool control = false;
  bool rules_wanted = false;
  TimePoint heard_at;
  TimePoint heard_told_at;  ///< When it was told which servers report here.
  TimePoint batch_until;    ///< It asks for more records before then.
};

/// Another control instance as a source of records.
struct RegistrySource {
  RegistryPosition position;
  std::string data_centre;
  TimePoint heard_at;
  wire::Knowledge knowledge;  ///< What it last said that it knows.
  TimePoint knowledge_at;
};

/// A rules file on its way to its verdict.
struct WaitingSubmission {
  CallId call = 0;
  wire::RulesFile file;
  TimePoint expires_at;
};

/// A call that is answered once another control instance has the record.
struct WaitingReport {
  CallId call = 0;
  std::uint64_t change = 0;
  TimePoint expires_at;
};

struct ControlCounters {
  std::uint64_t reports = 0;
  std::uint64_t reports_unconfirmed = 0;
  std::uint64_t submissions = 0;
  std::uint64_t elections_won = 0;
};

/// How flows of the backend servers went, and what is to be passed on of it.
struct ServerOutcomes {
  OutcomeLedger ledger;
  std::map<std::string, wire::ServerOutcome> not_passed_on;
  std::set<std::string> failing;  ///< Servers that are marked so.
  TimePoint judge_at = TimePoint::max();
};

/// A rules file that was proposed here.
struct Proposal {
  CallId call = 0;
  TimePoint proposed_at;
};

struct ControlInstance {
  FleetConfig config;
  Replica replica;
  Registry registry;
  RouteHistory history;
  PackedContents packed;
  FollowerQueue questions;
  std::map<InstanceAddress, Subscriber> subscribers;
  std::map<InstanceAddress, RegistrySource> sources;
  std::map<std::uint64_t, Proposal> proposals;  ///< By token.
  std::deque<WaitingSubmission> submissions;    ///< Until a leader is known.
  std::deque<WaitingReport> reports;
  ServerOutcomes outcomes;
  std::string voters;  ///< As last logged.
  std::uint64_t next_token = 1;
  TimePoint started_at;
  TimePoint subscribe_at;
  TimePoint push_at;  ///< Far in the future when nothing is to be pushed.
  TimePoint pushed_at;
  TimePoint housekeeping_at;
  TimePoint save_at;
  std::uint64_t saved_change = 0;  ///< The registry's change last saved.
  std::set<InstanceAddress> saved_followers;
  std::set<InstanceAddress> saved_control_instances;
  /// Entry instances that were told of changes before this start.
  std::set<InstanceAddress> former_followers;
  bool settled = false;  ///< Knows the backend servers since its start.
  bool stopping = false;
  bool disk_failed = false;  ///< Takes no part in agreement meanwhile.
  ControlCounters counters;
  Histogram commit_time;
};

/// `saved` is what the disk remembers of backend servers, if anything.
struct ControlInstanceStarted {
  wire::SavedRegistry saved;
};
struct ControlInstanceDue {};
/// A backend server says what it is and how it is.
struct ServerReported {
  CallId call = 0;
  wire::ServerRecord record;
};
struct RulesSubmitted {
  CallId call = 0;
  wire::RulesFile file;
};
struct RulesRead {
  CallId call = 0;
};
struct ControlStopRequested {};
/// The disk takes no writes; the log may end anywhere after what was synced.
struct ControlDiskFailed {};
/// The disk works again; `log` is all that it holds.
struct ControlDiskRestored {
  std::vector<wire::DurableRecord> log;
};
using ControlInstanceEvent =
    std::variant<ControlInstanceStarted, ControlInstanceDue, PeerMessage,
                 ServerReported, RulesSubmitted, RulesRead,
                 ControlStopRequested, ControlDiskFailed, ControlDiskRestored>;

enum class CallVerdict {
  kAccepted,     ///< Done, or has no effect and needs none.
  kRefused,      ///< Never will be done as asked.
  kUnavailable,  ///< Not known here; another instance may know.
  kRedirected,   ///< The instance in `leader` can tell.
};

/// Answers a call from outside.
struct AnswerCall {
  CallId call = 0;
  CallVerdict verdict = CallVerdict::kUnavailable;
  InstanceAddress leader = 0;
  wire::RulesFile rules;            ///< Answer to a read.
  InstanceAddress report_next = 0;  ///< Where a server should report next.
  std::string reason;
};
/// Must be synced before any later effect of the same list is carried out.
struct PersistRecord {
  wire::DurableRecord record;
};
/// Keeps the backend servers for the next start. Nothing relies on it: what is
/// saved counts only until the servers have had time to report.
struct SaveRegistry {
  wire::SavedRegistry saved;
};
using ControlInstanceEffect =
    std::variant<SendMessage, AnswerCall, PersistRecord, SaveRegistry,
                 LogRecord>;

/// Makes an instance from what its disk holds.
ControlInstance MakeControlInstance(
    const FleetConfig& config, const std::vector<wire::DurableRecord>& log);

/// Applies one event. Precondition: `now` never goes back.
std::vector<ControlInstanceEffect> Reduce(ControlInstance& instance,
                                          const ControlInstanceEvent& event,
                                          TimePoint now);

/// When `ControlInstanceDue` is next of use.
TimePoint NextDue(const ControlInstance& instance);

/// Records that start a log on an empty disk: a founder's when this is the
/// first start of the fleet and it is among the seeds, else a blank one.
wire::DurableRecord FirstRecord(const FleetConfig& config, bool first_start);

}  // namespace filbertwall
