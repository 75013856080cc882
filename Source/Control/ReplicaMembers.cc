#include <algorithm>

#include "Control/ReplicaTurn.h"
#include "Control/VoterChange.h"

/// Membership: the voters and the standbys.
namespace filbertwall {
namespace {

/// The leader drops a standby after this time without a message from it.
constexpr Milliseconds kStandbyTimeout{1000};
/// After this time without a heartbeat of the leader, join requests go to all
/// known instances.
constexpr Milliseconds kLeaderTimeout{500};

MembershipStatus MembershipStatusOf(const ReplicaTurn& turn) {
  const Replica& replica = turn.replica;
  MembershipStatus membership{.reachable_standbys = replica.standbys.size(),
                              .least_voters = replica.config.least_voters};
  for (const wire::Member& member : replica.committed.members()) {
    const auto heard = replica.voter_heard_at.find(member.instance());
    const bool known = heard != replica.voter_heard_at.end();
    membership.voters.push_back(
        VoterStatus{.instance = member.instance(),
                    .silence = known ? std::chrono::duration_cast<Milliseconds>(
                                           turn.now - heard->second)
                                     : Milliseconds(0),
                    .is_leader = member.instance() == replica.config.self});
  }
  for (const auto& [instance, standby] : replica.standbys) {
    if (standby.committed_seq >= replica.committed.seq()) {
      membership.standbys.push_back(StandbyStatus{
          .instance = instance, .incarnation = standby.incarnation});
    }
  }
  return membership;
}

void ProposeMemberChange(ReplicaTurn& turn, const wire::MemberChange& change) {
  PendingChange pending;
  *pending.change.mutable_member() = change;
  Propose(turn, pending);
}

void RecordStandby(ReplicaTurn& turn, const JoinRequest& request) {
  turn.replica.standbys[request.instance] =
      Standby{.incarnation = request.incarnation,
              .committed_seq = request.committed_seq,
              .heard_at = turn.now};
}

}  // namespace

void SendJoin(ReplicaTurn& turn, std::uint32_t to) {
  wire::ControlMessage message;
  message.mutable_join()->set_committed_seq(turn.replica.committed.seq());
  Send(turn, to, std::move(message));
}

void RequestJoin(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  if (turn.now < replica.join_at) {
    return;
  }
  replica.join_at = turn.now + replica.config.join_interval;
  const bool follows = replica.leader != 0 &&
                       turn.now - replica.leader_heard_at <= kLeaderTimeout;
  if (follows) {
    SendJoin(turn, replica.leader);
    return;
  }
  std::set<std::uint32_t> recipients = replica.config.control_instances;
  for (const wire::Member& member : replica.committed.members()) {
    recipients.insert(member.instance());
  }
  recipients.erase(replica.config.self);
  for (const std::uint32_t instance : recipients) {
    SendJoin(turn, instance);
  }
}

void UpdateMembership(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  std::erase_if(replica.standbys, [&](const auto& item) {
    return turn.now - item.second.heard_at > kStandbyTimeout;
  });
  if (!replica.config.open_membership || replica.proposing ||
      !HasLease(replica, turn.now)) {
    return;
  }
  if (const auto change = PlanVoterChange(MembershipStatusOf(turn))) {
    ProposeMemberChange(turn, *change);
  }
}

void HandleStandbyAck(ReplicaTurn& turn, std::uint32_t from,
                      const wire::HeartbeatAck& ack) {
  Replica& replica = turn.replica;
  const auto standby = replica.standbys.find(from);
  if (replica.role != ReplicaRole::kLeader ||
      standby == replica.standbys.end()) {
    return;
  }
  standby->second.heard_at = turn.now;
  standby->second.committed_seq = ack.committed_seq();
  if (ack.committed_seq() < replica.committed.seq()) {
    SendInstall(turn, from);
  }
}

void HandleJoin(ReplicaTurn& turn, const JoinRequest& request) {
  Replica& replica = turn.replica;
  if (replica.role == ReplicaRole::kFollower || request.incarnation == 0) {
    return;
  }
  if (WasRemoved(replica.committed, request.instance, request.incarnation)) {
    if (replica.config.open_membership) {
      SendInstall(turn, request.instance);  // Renews its incarnation.
    }
    return;
  }
  const bool allowed =
      replica.config.open_membership ||
      replica.config.control_instances.contains(request.instance);
  if (!allowed) {
    return;
  }
  const bool already_voter =
      IsVoter(replica.committed, request.instance, request.incarnation);
  const bool caught_up =
      request.has_state && request.committed_seq >= replica.committed.seq();
  if (already_voter || !caught_up) {
    // A candidate sends the state too, since a voter that does not know that it
    // is a voter cannot promise anything.
    SendInstall(turn, request.instance);
    return;
  }
  if (replica.role != ReplicaRole::kLeader) {
    return;
  }
  if (replica.config.open_membership) {
    RecordStandby(turn, request);
    UpdateMembership(turn);
    return;
  }
  if (!replica.proposing && HasLease(replica, turn.now)) {
    wire::MemberChange change;
    change.set_instance(request.instance);
    change.set_incarnation(request.incarnation);
    ProposeMemberChange(turn, change);
  }
}

}  // namespace filbertwall
