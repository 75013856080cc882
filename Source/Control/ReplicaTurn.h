#pragma once

#include <vector>

#include "Control/Replica.h"

/// Internal to Control: the reducer's context and its steps.
namespace filbertwall {

/// Context of one call of `Reduce`.
struct ReplicaTurn {
  Replica& replica;
  TimePoint now;
  std::vector<ControlEffect>& effects;
};

/// A request of a replica to become a voter or standby.
struct JoinRequest {
  std::uint32_t instance = 0;
  std::uint64_t incarnation = 0;
  bool has_state = false;  ///< False if its disk is empty.
  std::uint64_t committed_seq = 0;
};

void Send(ReplicaTurn& turn, std::uint32_t to, wire::ControlMessage message);
/// Sends a message to every other voter.
void SendToVoters(ReplicaTurn& turn, const wire::ControlMessage& message);
/// Sends the complete committed state.
void SendInstall(ReplicaTurn& turn, std::uint32_t to);
void SendHeartbeats(ReplicaTurn& turn);

void PersistPromise(ReplicaTurn& turn, const wire::Ballot& ballot);
void PersistTip(ReplicaTurn& turn);

/// Becomes a follower without a leader. Changes that wait get the verdict
/// "unknown".
void StepDown(ReplicaTurn& turn);
void StartElection(ReplicaTurn& turn);

/// Becomes a follower of `leader` and renews the lease granted to it.
void FollowLeader(ReplicaTurn& turn, std::uint32_t leader);

/// Applies the tip to the committed state. Precondition: there is a tip.
void CommitTip(ReplicaTurn& turn);
/// Replaces the committed state. A replica that the state names as removed
/// takes a new incarnation.
void InstallState(ReplicaTurn& turn, const wire::ControlState& state);

void HandlePrepare(ReplicaTurn& turn, std::uint32_t from,
                   const wire::Prepare& prepare, bool from_voter);
void HandlePromise(ReplicaTurn& turn, std::uint32_t from,
                   const wire::Promise& promise);

void Propose(ReplicaTurn& turn, const PendingChange& pending);
void ProposeNext(ReplicaTurn& turn);
void HandleSubmitted(ReplicaTurn& turn, const ControlSubmitted& event);
void HandleAccept(ReplicaTurn& turn, std::uint32_t from,
                  const wire::Accept& accept);
void HandleAccepted(ReplicaTurn& turn, std::uint32_t from,
                    const wire::Accepted& accepted);
void HandleHeartbeat(ReplicaTurn& turn, std::uint32_t from,
                     const wire::Heartbeat& heartbeat);
void HandleHeartbeatAck(ReplicaTurn& turn, std::uint32_t from,
                        const wire::HeartbeatAck& ack);
void HandleInstall(ReplicaTurn& turn, std::uint32_t from,
                   const wire::Install& install);
void HandleJoin(ReplicaTurn& turn, const JoinRequest& request);

/// Sends a join request to one instance.
void SendJoin(ReplicaTurn& turn, std::uint32_t to);
/// Sends join requests at the configured interval: to the leader if it is
/// known, else to all known instances.
void RequestJoin(ReplicaTurn& turn);
/// Drops standbys that timed out and proposes the next change to the voters.
/// Leader only.
void UpdateMembership(ReplicaTurn& turn);
void HandleStandbyAck(ReplicaTurn& turn, std::uint32_t from,
                      const wire::HeartbeatAck& ack);

}  // namespace filbertwall
