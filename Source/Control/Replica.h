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
/// `Reduce` uses no clock, socket, disk or random source. At most one entry
/// is uncommitted at any time; see docs/design/0002-control.md.
namespace filbertwall {

/// Settings of a replica. All but `self` must be equal at all control
/// instances.
struct ReplicaConfig {
  std::uint32_t self = 0;
  std::set<std::uint32_t> control_instances;  ///< May become voters.
  /// If set, any instance that sends a join request may become a voter, also
  /// outside `control_instances`, and the leader replaces silent voters; see
  /// `VoterChange.h`.
  bool open_membership = false;
  /// With open membership, the leader aims for at least this many voters and
  /// removes none if fewer would remain.
  std::uint32_t min_voters = 3;
  Milliseconds heartbeat_interval{100};  ///< Of the leader.
  /// A voter that follows a leader grants no vote to another instance for this
  /// long. The leader holds its lease while a majority of the voters has
  /// acknowledged recent heartbeats; see `HasLease`.
  Milliseconds lease{1000};
  Milliseconds join_interval{300};  ///< Between join requests.
  /// Upper bound of the pseudo-random delay before an election, which makes
  /// simultaneous elections of several replicas rare. Must be positive.
  Milliseconds election_jitter{1000};
};

enum class ReplicaRole { kFollower, kCandidate, kLeader };

/// A change to propose. The submitter chose the token to match the verdict with
/// the change.
struct PendingChange {
  std::uint64_t token = 0;  ///< 0: no verdict is wanted.
  wire::Change change;
  /// When the change was submitted; `max` if its age does not matter.
  TimePoint submitted_at = TimePoint::max();
};

/// The leader's record of a standby: an instance that receives the committed
/// state but does not vote.
///
/// It catches up in rounds (Ongaro, "Consensus: Bridging Theory and Practice",
/// section 4.2.1): a round ends when the standby reports the entries that the
/// leader had committed at the start of the round. While changes are committed
/// in quick succession, its report never states the newest one.
struct Standby {
  std::uint64_t incarnation = 0;
  std::uint64_t committed_seq = 0;     ///< As last reported.
  TimePoint heard_at;                  ///< When its last message was received.
  std::uint64_t round_target_seq = 0;  ///< Reported at the end of the round.
  TimePoint round_started_at;
  bool caught_up = false;  ///< A round has ended.
};

/// Counts of a leader that show why an instance does not become a voter.
struct MembershipCounters {
  /// Join requests of instances that lacked committed entries.
  std::uint64_t joins_behind = 0;
  /// Join requests of instances that had all committed entries.
  std::uint64_t joins_up_to_date = 0;
  /// How often a change to the voters was due and had to wait, as another
  /// change was being proposed. It is proposed next.
  std::uint64_t changes_deferred = 0;
};

/// The search, after a restart, for leases that may still be in force. It ends
/// when the replica follows a leader or takes part in an election.
struct LeaseRecovery {
  std::uint64_t start = 0;  ///< `ControlStarted::start`.
  /// Next queries to the other voters; `max` when the search has ended.
  TimePoint next_query_at = TimePoint::max();
  /// Voters that reported that they may vote for this replica.
  std::set<std::uint32_t> may_vote;
  /// `LeaseQuery.start` of the last query from each instance.
  std::map<std::uint32_t, std::uint64_t> queried_by;
};

/// How the departure of a replica ended.
enum class DepartureResult {
  kPending,    ///< Not yet.
  kNoVote,     ///< It does not vote, and a majority of the voters knows that.
  kNoStandby,  ///< No standby can take over its vote, which it keeps.
  kAlone,      ///< All other voters leave as well.
  kNoLeader,   ///< No leader replied; it may be of a build that does not.
  kTimeLimit,  ///< The vote was not taken over in time.
};

/// The end of a replica whose process is stopped. A standby takes over its vote
/// before the process ends, since nobody can tell whether it will be started
/// again.
struct Departure {
  bool requested = false;
  DepartureResult result = DepartureResult::kPending;
  std::uint64_t incarnation = 0;  ///< With which it voted at the request.
  TimePoint resign_by;            ///< When a leader resigns at the latest.
  TimePoint reply_by;             ///< `kNoLeader` if no reply arrives by then.
  TimePoint limit;                ///< `kTimeLimit` from then on.
  TimePoint next_request_at;
};

struct Replica {
  ReplicaConfig config;

  // Durable state, restored from the control log.
  std::uint64_t incarnation = 0;
  /// Messages of a leader or candidate with a lower ballot are rejected.
  wire::Ballot promised_ballot;
  wire::ControlState committed;
  /// The entry after the last committed one, if this replica has stored it. It
  /// is not yet known to be committed.
  std::optional<wire::Entry> uncommitted;

  // Volatile state.
  ReplicaRole role = ReplicaRole::kFollower;
  wire::Ballot ballot;  ///< Of this replica's own latest election.
  std::uint64_t highest_round_seen = 0;
  /// Votes granted to this candidate, by voter.
  std::map<std::uint32_t, wire::Promise> promises;
  std::set<std::uint32_t> accepted_by;  ///< Voters that stored `uncommitted`.
  bool proposing = false;  ///< `uncommitted` is this leader's proposal.
  std::uint64_t proposal_token = 0;  ///< Of the proposed change.
  /// Changes to propose once the current proposal is committed.
  std::deque<PendingChange> queue;
  /// Send time of the latest heartbeat that each voter acknowledged.
  std::map<std::uint32_t, TimePoint> last_acked_send;
  /// Send time, by the clock of each voter and standby, of its latest
  /// acknowledgement of a heartbeat. Leader only.
  std::map<std::uint32_t, Microseconds> last_ack_sent;
  /// `HeartbeatAck.features` of each voter and standby that has acknowledged a
  /// heartbeat of this leadership.
  std::map<std::uint32_t, std::uint32_t> features;
  /// When the leader last received a message from each voter.
  std::map<std::uint32_t, TimePoint> voter_heard_at;
  std::map<std::uint32_t, Standby> standbys;  ///< Leader only.
  MembershipCounters membership;
  /// Committed entries that each voter reported in this leadership, as the
  /// sequence number of the last one. Leader only.
  std::map<std::uint32_t, std::uint64_t> reported_seq;
  /// Incarnations of the instances that said that they leave and were not heard
  /// of as staying since then.
  std::map<std::uint32_t, std::uint64_t> leaving;
  Departure departure;
  /// Number of the entry that this leader took over uncommitted, or else of its
  /// last committed one when it was elected. An earlier leader may have
  /// committed the entries up to it.
  std::uint64_t inherited_seq = 0;
  TimePoint elected_at;
  /// Since when this replica has led, through the elections that follow changes
  /// to the voters. Empty if it does not lead.
  std::optional<TimePoint> leading_since;
  /// Until then this replica votes for no instance but `lease_holder`.
  TimePoint lease_granted_until;
  /// The leader that this replica followed last, possibly before a restart.
  std::uint32_t lease_holder = 0;
  LeaseRecovery recovery;
  TimePoint leader_heard_at;  ///< When the last heartbeat was received.
  /// Send time of the latest acknowledgement that a leader has confirmed to
  /// have received.
  TimePoint confirmed_ack_sent_at;
  /// Highest sequence number of which a heartbeat said that the entry is
  /// committed, or that an earlier leader may have committed it.
  std::uint64_t leader_newest_seq = 0;
  /// When this replica started, last stepped down or last received a message
  /// from a leader.
  TimePoint leaderless_since;
  TimePoint next_election_at;   ///< Next election; leader messages delay it.
  TimePoint next_heartbeat_at;  ///< Next heartbeats. Leader only.
  TimePoint next_join_at;       ///< Earliest next join requests.
  std::uint32_t leader = 0;     ///< 0 if unknown.
};

struct ControlStarted {
  /// Must differ between the starts of a replica.
  std::uint64_t start = 0;
};
struct ControlTick {};
struct ControlReceived {
  std::uint32_t from = 0;
  wire::ControlMessage message;
};
/// Submits a change. The verdict carries the same `token`.
struct ControlSubmitted {
  std::uint64_t token = 0;
  wire::Change change;
  TimePoint submitted_at = TimePoint::max();  ///< See `PendingChange`.
};
/// The process is about to end: a leader resigns, and a standby takes over the
/// vote within `limit`, if there is one. See `HasDeparted`.
struct ControlLeave {
  Milliseconds limit{0};
};
using ControlEvent = std::variant<ControlStarted, ControlTick, ControlReceived,
                                  ControlSubmitted, ControlLeave>;

struct ControlSend {
  std::uint32_t to = 0;
  wire::ControlMessage message;
};
/// The record must be synced to disk before any later effect of the same list
/// is executed.
struct ControlPersist {
  wire::DurableRecord record;
};
/// Reports to the caller that the committed state has changed.
struct ControlStateChanged {};
struct ControlVerdict {
  std::uint64_t token = 0;
  wire::Verdict verdict = wire::UNKNOWN;
  std::string reason;
};
using ControlEffect = std::variant<ControlSend, ControlPersist,
                                   ControlStateChanged, ControlVerdict>;

/// Applies one event and returns its effects in order. Precondition: `now` does
/// not decrease between calls.
std::vector<ControlEffect> Reduce(Replica& replica, const ControlEvent& event,
                                  TimePoint now);

/// Applies one record of the control log. Records are applied in write order.
void Restore(Replica& replica, const wire::DurableRecord& record);

/// Returns one record that contains the complete durable state.
wire::DurableRecord SnapshotRecord(const Replica& replica);

/// Whether this replica is the leader and a majority of the voters, itself
/// included, has acknowledged a heartbeat that it sent within the last
/// `lease`, less a margin of a tenth for clock drift.
bool HasLease(const Replica& replica, TimePoint now);

/// Whether this replica is the leader, holds its lease and has every entry that
/// may have been committed: only then does its committed state answer reads. A
/// new leader cannot tell whether an entry that it took over uncommitted was
/// committed, and so acknowledged, by an earlier leader (Ongaro, "Consensus:
/// Bridging Theory and Practice", section 6.4). No entry of its own is needed
/// if it took over none, as at most one entry is uncommitted at any time.
bool HasNewestState(const Replica& replica, TimePoint now);

bool IsVoter(const Replica& replica);

/// Whether the process may end after `ControlLeave`: waiting any longer does
/// not make a standby take over the vote.
bool HasDeparted(const Replica& replica);

/// Returns how many voters have said that they leave, and were not heard of as
/// staying since then.
std::size_t CountLeavingVoters(const Replica& replica);

/// Whether a standby is able to vote: it has caught up, and is not known to
/// have fallen behind since.
bool IsUpToDate(const Standby& standby, TimePoint now);

/// Returns when the next `ControlTick` event is needed.
TimePoint NextDue(const Replica& replica);

/// Whether the committed state is known to be the newest one. See
/// `HasNewestState` for a leader. Another replica must have received a
/// heartbeat of a leader within `limit` and hold every entry that the
/// heartbeats reported as committed or possibly committed.
bool HasFreshState(const Replica& replica, TimePoint now, Milliseconds limit);

/// Whether messages pass between this replica and a leader in both directions:
/// it is a leader with a lease, or a leader has confirmed that it received an
/// acknowledgement that this replica sent within `limit`. A replica that only
/// receives lacks what the others tell those that subscribe to them.
bool IsHeardByLeader(const Replica& replica, TimePoint now, Milliseconds limit);

/// Returns the initial record of a founder of a new cluster. All founders get
/// the same state if they pass the same set. Precondition: the replica that
/// the record is applied to has promised no ballot yet.
wire::DurableRecord FoundingRecord(std::uint32_t instance,
                                   const std::set<std::uint32_t>& founders);

/// Returns the initial record of a new cluster whose only voter is `instance`.
wire::DurableRecord SingleVoterRecord(std::uint32_t instance,
                                      std::uint64_t incarnation,
                                      std::uint64_t cluster);

}  // namespace filbertwall
