#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Base/Time.h"
#include "Control/ControlState.h"
#include "Wire/wire.pb.h"

/// Consensus replica of the control state at one control instance.
///
/// The reducer uses no clock, socket, disk or random source. At most one entry
/// is uncommitted at any time; see docs/design/0002-control.md.
namespace filbertwall {

/// Settings of a replica. All but `self` are equal at all control instances.
struct ReplicaConfig {
  std::uint32_t self = 0;
  std::set<std::uint32_t> control_instances;  ///< Instances that may vote.
  /// Any instance that sends a join request may become a voter, and the leader
  /// replaces silent voters; see `VoterChange.h`.
  bool open_membership = false;
  std::uint32_t least_voters = 3;  ///< Lower bound once reached.
  Milliseconds heartbeat_interval{100};
  Milliseconds lease{1000};
  Milliseconds join_interval{300};
  /// After a start the replica grants no vote for this long, so that it first
  /// hears from an existing leader. If this is shorter than the lease, a
  /// partitioned leader may hold its lease beside a new leader until it
  /// expires.
  Milliseconds restart_wait{1000};
  /// Upper bound of the delay that staggers the elections of the replicas.
  Milliseconds election_spread{1000};
};

enum class ReplicaRole { kFollower, kCandidate, kLeader };

/// A change to propose, with the token of its submission.
struct PendingChange {
  std::uint64_t token = 0;  ///< 0: no verdict is returned.
  wire::Change change;
};

/// The leader's record of a non-voting instance that holds the state.
struct Standby {
  std::uint64_t incarnation = 0;
  std::uint64_t committed_seq = 0;
  TimePoint heard_at;
};

struct Replica {
  ReplicaConfig config;

  // Durable state, restored from the control log.
  std::uint64_t incarnation = 0;
  wire::Ballot promised_ballot;  ///< No lower ballot is followed.
  wire::ControlState committed;
  std::optional<wire::Entry> tip;  ///< The uncommitted entry, if any.

  // Volatile state.
  ReplicaRole role = ReplicaRole::kFollower;
  wire::Ballot ballot;
  std::uint64_t highest_round_seen = 0;
  std::map<std::uint32_t, wire::Promise> promises;
  std::set<std::uint32_t> accepted_by;  ///< Voters that stored the tip.
  bool proposing = false;
  std::uint64_t proposal_token = 0;
  std::deque<PendingChange> queue;
  /// Send time of the latest heartbeat that each voter acknowledged.
  std::map<std::uint32_t, TimePoint> last_acked_send;
  /// When the leader last received a message of each voter.
  std::map<std::uint32_t, TimePoint> voter_heard_at;
  std::map<std::uint32_t, Standby> standbys;  ///< Leader only.
  TimePoint elected_at;
  TimePoint lease_granted_until;
  TimePoint leader_heard_at;               ///< Last heartbeat of the leader.
  std::uint64_t leader_committed_seq = 0;  ///< Highest one in a heartbeat.
  TimePoint leaderless_since;
  TimePoint election_at;
  TimePoint heartbeat_at;
  TimePoint join_at;
  std::uint32_t leader = 0;
};

struct ControlStarted {};
struct ControlTick {};
struct ControlReceived {
  std::uint32_t from = 0;
  wire::ControlMessage message;
};
/// Submits a change. The verdict carries the same `token`.
struct ControlSubmitted {
  std::uint64_t token = 0;
  wire::Change change;
};
using ControlEvent = std::variant<ControlStarted, ControlTick, ControlReceived,
                                  ControlSubmitted>;

struct ControlSend {
  std::uint32_t to = 0;
  wire::ControlMessage message;
};
/// The record must be synced to disk before any later effect of the same list
/// is executed.
struct ControlPersist {
  wire::DurableRecord record;
};
/// Tells that the committed state has changed.
struct ControlAdvanced {};
struct ControlVerdict {
  std::uint64_t token = 0;
  wire::Verdict verdict = wire::UNKNOWN;
  std::string reason;
};
using ControlEffect =
    std::variant<ControlSend, ControlPersist, ControlAdvanced, ControlVerdict>;

/// Applies one event and returns its effects in order. Precondition: `now` does
/// not decrease between calls.
std::vector<ControlEffect> Reduce(Replica& replica, const ControlEvent& event,
                                  TimePoint now);

/// Applies one record of the control log. Records are applied in write order.
void Restore(Replica& replica, const wire::DurableRecord& record);

/// Returns one record that restores the complete durable state.
wire::DurableRecord FullRecord(const Replica& replica);

/// Whether this replica is the leader and a majority of the voters has
/// acknowledged it within the lease.
bool HasLease(const Replica& replica, TimePoint now);

bool IsVoter(const Replica& replica);

/// Whether the committed state was confirmed as the newest one: at a leader by
/// its lease, at other replicas by a leader's heartbeat within `limit` and
/// without a newer entry known.
bool KnowsNewest(const Replica& replica, TimePoint now, Milliseconds limit);

/// Returns the initial record of a founder of a new cluster. All founders get
/// the same state if they pass the same list. Precondition: the replica has
/// promised no ballot yet.
wire::DurableRecord FoundingRecord(std::uint32_t instance,
                                   const std::set<std::uint32_t>& founders);

/// Returns the initial record of a new cluster whose only voter is `instance`.
wire::DurableRecord FormatRecord(std::uint32_t instance,
                                 std::uint64_t incarnation,
                                 std::uint64_t cluster);

}  // namespace filbertwall
