#pragma once

#include <optional>
#include <vector>

#include "Control/Replica.h"

/// Internal to Control: the steps of `Reduce` and the context that they share.
namespace filbertwall {

/// Context of one call of `Reduce`.
struct ReplicaContext {
  Replica& replica;
  TimePoint now;
  std::vector<ControlEffect>& effects;
};

/// A request of a replica to become a voter or standby.
struct JoinRequest {
  std::uint32_t instance = 0;
  std::uint64_t incarnation = 0;
  bool has_state = false;  ///< False if it has no committed state yet.
  std::uint64_t committed_seq = 0;
};

void Send(ReplicaContext& context, std::uint32_t to,
          wire::ControlMessage message);
/// Sends a message to every other voter.
void SendToVoters(ReplicaContext& context, const wire::ControlMessage& message);
/// Sends the complete committed state, which replaces an older one at `to`.
void SendInstall(ReplicaContext& context, std::uint32_t to);
void SendHeartbeat(ReplicaContext& context, std::uint32_t to);
/// Sends a heartbeat to every other voter and every standby.
void SendHeartbeats(ReplicaContext& context);
/// Records an acknowledgement of a voter or standby, which later heartbeats to
/// it confirm. The first one is confirmed at once. Leader only.
void RecordAck(ReplicaContext& context, std::uint32_t from,
               const wire::HeartbeatAck& ack);
/// Returns the time of the event as messages state it.
std::int64_t ClockMicroseconds(const ReplicaContext& context);
/// Returns a time of this replica's clock that a message has returned, or
/// nothing if it cannot be one: it is negative or later than now.
std::optional<TimePoint> ReturnedTime(const ReplicaContext& context,
                                      std::int64_t microseconds);

/// Sets the promised ballot and writes it to the log.
void PersistPromise(ReplicaContext& context, const wire::Ballot& ballot);
/// Writes the uncommitted entry to the log.
void PersistTip(ReplicaContext& context);

/// Becomes a follower without a leader. The proposed change and the queued ones
/// get the verdict "unknown".
void StepDown(ReplicaContext& context);
/// Assumes the leases that were possibly granted before the restart, and starts
/// to ask the other voters about them.
void StartLeaseRecovery(ReplicaContext& context, std::uint64_t start);
/// Ends the search for leases.
void EndLeaseRecovery(Replica& replica);
/// Sends the queries that are due.
void ContinueLeaseRecovery(ReplicaContext& context);
/// Whether this replica may vote for `from`: neither a lease that it granted to
/// another instance nor its own lease as the leader is in force.
bool MayVoteFor(const Replica& replica, std::uint32_t from, TimePoint now);
void HandleLeaseQuery(ReplicaContext& context, std::uint32_t from,
                      const wire::LeaseQuery& query);
void HandleLeaseReply(ReplicaContext& context, std::uint32_t from,
                      const wire::LeaseReply& reply, bool from_voter);

/// Becomes a candidate and asks the other voters for promises. Precondition:
/// this replica is a voter.
void StartElection(ReplicaContext& context);

/// Becomes a follower of `leader` and renews the lease granted to it.
void FollowLeader(ReplicaContext& context, std::uint32_t leader);

/// Applies the uncommitted entry to the committed state. Precondition:
/// `replica.uncommitted` is set.
void CommitTip(ReplicaContext& context);
/// Replaces the committed state. With open membership, a replica that `state`
/// lists as removed takes a new incarnation, so that it may join again.
void InstallState(ReplicaContext& context, const wire::ControlState& state);

void HandlePrepare(ReplicaContext& context, std::uint32_t from,
                   const wire::Prepare& prepare, bool from_voter);
void HandlePromise(ReplicaContext& context, std::uint32_t from,
                   const wire::Promise& promise);

/// Stores the change as the uncommitted entry and sends it to the other voters.
/// Precondition: this replica is the leader and no proposal is in progress.
void Propose(ReplicaContext& context, const PendingChange& pending);
/// Submits the queued changes until one of them is proposed. Leader only.
void ProposeNext(ReplicaContext& context);
void HandleSubmitted(ReplicaContext& context, const ControlSubmitted& event);
void HandleAccept(ReplicaContext& context, std::uint32_t from,
                  const wire::Accept& accept);
void HandleAccepted(ReplicaContext& context, std::uint32_t from,
                    const wire::Accepted& accepted);
void HandleHeartbeat(ReplicaContext& context, std::uint32_t from,
                     const wire::Heartbeat& heartbeat);
void HandleHeartbeatAck(ReplicaContext& context, std::uint32_t from,
                        const wire::HeartbeatAck& ack);
void HandleInstall(ReplicaContext& context, std::uint32_t from,
                   const wire::Install& install);
void HandleJoin(ReplicaContext& context, const JoinRequest& request);

/// Sends a join request to one instance.
void SendJoin(ReplicaContext& context, std::uint32_t to);
/// Sends join requests at the configured interval: to the leader if it has sent
/// a heartbeat recently, else to all configured control instances and voters.
void RequestJoin(ReplicaContext& context);
/// Removes standbys that timed out. Proposes the next change to the voters, if
/// one is due, unless a proposal is in progress or the lease has expired. To be
/// called at the end of each proposal, before the next one. Leader only.
void UpdateMembership(ReplicaContext& context);
/// Returns whether this leader, if it leaves, keeps its vote: its successor
/// could neither replace nor have to remove it.
bool KeepsVoteOnLeaving(const ReplicaContext& context);
/// Handles the announcement of an instance that leaves.
void HandleLeave(ReplicaContext& context, std::uint32_t from,
                 const wire::Leave& leave);
/// `incarnation` is that of the sender.
void HandleStandbyAck(ReplicaContext& context, std::uint32_t from,
                      std::uint64_t incarnation, const wire::HeartbeatAck& ack);

/// Starts the departure of this replica.
void StartDeparture(ReplicaContext& context, const ControlLeave& event);
/// Resigns, asks the leader to be replaced, or ends the departure, as due.
void ContinueDeparture(ReplicaContext& context);
void HandleLeaveReply(ReplicaContext& context, const wire::LeaveReply& reply);
/// Ends the lease of a leader that has resigned and schedules an election.
void HandleResignation(ReplicaContext& context, std::uint32_t from);
/// Returns whether the instance leaves that votes with this incarnation.
bool IsLeaving(const Replica& replica, const wire::Member& member);

}  // namespace filbertwall
