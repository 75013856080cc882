#pragma once

#include <vector>

#include "Control/Replica.h"

/// Internal to Control: the steps that its reducers share.
namespace filbertwall {

/// One run of the reducer.
struct ReplicaTurn {
  Replica& replica;
  TimePoint now;
  std::vector<ControlEffect>& effects;
};

/// A replica that asks to become a voter.
struct JoinRequest {
  std::uint32_t instance = 0;
  std::uint64_t incarnation = 0;
  bool has_state = false;  ///< False for an empty disk.
  std::uint64_t committed_seq = 0;
};

void Send(ReplicaTurn& turn, std::uint32_t to, wire::ControlMessage message);
/// Sends to every other voter.
void SendToVoters(ReplicaTurn& turn, const wire::ControlMessage& message);
void SendInstall(ReplicaTurn& turn, std::uint32_t to);
void SendHeartbeats(ReplicaTurn& turn);

void PersistPromise(ReplicaTurn& turn, const wire::Ballot& ballot);
void PersistTip(ReplicaTurn& turn);

/// Gives up leadership or candidacy; waiting proposals get "unknown".
void StepDown(ReplicaTurn& turn);
void StartElection(ReplicaTurn& turn);

/// Notes a sign of life of the leader; grants it the lease.
void FollowLeader(ReplicaTurn& turn, std::uint32_t leader);

/// Makes the tip part of the committed state.
void CommitTip(ReplicaTurn& turn);
void AdoptState(ReplicaTurn& turn, const wire::ControlState& state);

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

/// Asks one instance, or all that are known, to be admitted.
void SendJoin(ReplicaTurn& turn, std::uint32_t to);
void AskToJoin(ReplicaTurn& turn);
/// The leader's part in keeping the right voters.
void StepMembership(ReplicaTurn& turn);
void HandleStandbyAck(ReplicaTurn& turn, std::uint32_t from,
                      const wire::HeartbeatAck& ack);

}  // namespace filbertwall
