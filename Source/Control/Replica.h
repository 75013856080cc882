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

/// One control instance's part in the replication of the control state.
///
/// A reducer without clock, socket, disk or random source. At most one entry
/// is undecided at any time; see docs/design/0002-control.md.
namespace filbertwall {

/// Settings of a replica; the same at every control instance.
struct ReplicaConfig {
  std::uint32_t self = 0;
  std::set<std::uint32_t> control_instances;  ///< May become voters.
  /// Any instance that asks may become a voter, and silent ones give their
  /// place to another; see `VoterChange.h`.
  bool open_membership = false;
  std::uint32_t least_voters = 3;  ///< Never fewer, once there were as many.
  Milliseconds heartbeat_interval{100};
  Milliseconds lease{1000};
  Milliseconds join_interval{300};
  /// After a start no vote is given for this long, so that a living leader is
  /// heard first. Less than the lease: a leader that is cut off may then still
  /// claim to lead, for what is left of its lease, beside a new one.
  Milliseconds restart_wait{1000};
  /// Elections of several replicas are spread over this time.
  Milliseconds election_spread{1000};
};

enum class ReplicaRole { kFollower, kCandidate, kLeader };

/// A proposal that waits for its turn or for its majority.
struct PendingChange {
  std::uint64_t token = 0;  ///< 0: nobody waits for a verdict.
  wire::Change change;
};

/// An instance that holds the state and does not vote, as its leader sees it.
struct Standby {
  std::uint64_t incarnation = 0;
  std::uint64_t committed_seq = 0;
  TimePoint heard_at;
};

struct Replica {
  ReplicaConfig config;

  // Durable: rebuilt from the control log.
  std::uint64_t incarnation = 0;
  wire::Ballot promised;
  wire::ControlState committed;
  std::optional<wire::Entry> tip;

  // Volatile.
  ReplicaRole role = ReplicaRole::kFollower;
  wire::Ballot ballot;
  std::uint64_t highest_round_seen = 0;
  std::map<std::uint32_t, wire::Promise> promises;
  std::set<std::uint32_t> accepted;
  bool proposing = false;
  std::uint64_t proposal_token = 0;
  std::deque<PendingChange> queue;
  std::map<std::uint32_t, TimePoint> acked;  ///< Send time of the last acked.
  /// When the leader last heard each voter; kept while it leads.
  std::map<std::uint32_t, TimePoint> heard;
  std::map<std::uint32_t, Standby> standbys;  ///< By instance, at the leader.
  TimePoint elected_at;
  TimePoint lease_granted_until;
  TimePoint leader_heard_at;           ///< Last heartbeat of the leader.
  std::uint64_t leader_committed = 0;  ///< The highest seq that it named.
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
/// Asks for a change. `token` comes back in the verdict.
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
/// Must be synced before any later effect of the same list is carried out.
struct ControlPersist {
  wire::DurableRecord record;
};
/// The committed state has advanced.
struct ControlAdvanced {};
struct ControlVerdict {
  std::uint64_t token = 0;
  wire::Verdict verdict = wire::UNKNOWN;
  std::string reason;
};
using ControlEffect =
    std::variant<ControlSend, ControlPersist, ControlAdvanced, ControlVerdict>;

/// Applies one event. Precondition: `now` never goes back.
std::vector<ControlEffect> Reduce(Replica& replica, const ControlEvent& event,
                                  TimePoint now);

/// Applies one record of the control log, in the order of writing.
void Restore(Replica& replica, const wire::DurableRecord& record);

/// The record that alone restores the replica's durable state.
wire::DurableRecord FullRecord(const Replica& replica);

/// Whether a majority has confirmed this leader within the lease.
bool HasLease(const Replica& replica, TimePoint now);

bool IsVoter(const Replica& replica);

/// Whether the committed state was confirmed as the newest one within `limit`,
/// by a majority (leader) or by a leader (voter or standby).
bool KnowsNewest(const Replica& replica, TimePoint now, Milliseconds limit);

/// The first state of a new cluster whose founders all write the same one. Each
/// founder calls it with the same list, before anything was promised.
wire::DurableRecord FoundingRecord(std::uint32_t instance,
                                   const std::set<std::uint32_t>& founders);

/// The first state of a new cluster, with this instance as its only voter.
wire::DurableRecord FormatRecord(std::uint32_t instance,
                                 std::uint64_t incarnation,
                                 std::uint64_t cluster);

}  // namespace filbertwall
