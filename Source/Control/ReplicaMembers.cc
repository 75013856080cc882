#include <algorithm>

#include "Control/ReplicaTurn.h"
#include "Control/VoterChange.h"

/// Membership: which instances vote, and which stand by.
namespace filbertwall {
namespace {

/// A standby that was not heard for this long is not sent anything.
constexpr Milliseconds kStandbyLifetime{1000};
/// Without a leader's heartbeat for this long, all are asked.
constexpr Milliseconds kLeaderSilence{500};

VoterSituation SituationOf(const ReplicaTurn& turn) {
  const Replica& replica = turn.replica;
  VoterSituation situation{.living_standbys = replica.standbys.size(),
                           .least_voters = replica.config.least_voters};
  for (const wire::Member& member : replica.committed.members()) {
    const auto heard = replica.heard.find(member.instance());
    const bool known = heard != replica.heard.end();
    situation.voters.push_back(
        VoterStatus{.instance = member.instance(),
                    .silence = known ? std::chrono::duration_cast<Milliseconds>(
                                           turn.now - heard->second)
                                     : Milliseconds(0),
                    .leads = member.instance() == replica.config.self});
  }
  for (const auto& [instance, standby] : replica.standbys) {
    if (standby.committed_seq >= replica.committed.seq()) {
      situation.standbys.push_back(StandbyStatus{
          .instance = instance, .incarnation = standby.incarnation});
    }
  }
  return situation;
}

void ProposeMemberChange(ReplicaTurn& turn, const wire::MemberChange& change) {
  PendingChange pending;
  *pending.change.mutable_member() = change;
  Propose(turn, pending);
}

void NoteStandby(ReplicaTurn& turn, const JoinRequest& request) {
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

void AskToJoin(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  if (turn.now < replica.join_at) {
    return;
  }
  replica.join_at = turn.now + replica.config.join_interval;
  const bool follows = replica.leader != 0 &&
                       turn.now - replica.leader_heard_at <= kLeaderSilence;
  if (follows) {
    SendJoin(turn, replica.leader);
    return;
  }
  std::set<std::uint32_t> asked = replica.config.control_instances;
  for (const wire::Member& member : replica.committed.members()) {
    asked.insert(member.instance());
  }
  asked.erase(replica.config.self);
  for (const std::uint32_t instance : asked) {
    SendJoin(turn, instance);
  }
}

void StepMembership(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  std::erase_if(replica.standbys, [&](const auto& item) {
    return turn.now - item.second.heard_at > kStandbyLifetime;
  });
  if (!replica.config.open_membership || replica.proposing ||
      !HasLease(replica, turn.now)) {
    return;
  }
  if (const auto change = PlanVoterChange(SituationOf(turn))) {
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
      SendInstall(turn, request.instance);  // It takes a new incarnation.
    }
    return;
  }
  const bool allowed =
      replica.config.open_membership ||
      replica.config.control_instances.contains(request.instance);
  if (!allowed) {
    return;
  }
  const bool already =
      IsVoter(replica.committed, request.instance, request.incarnation);
  const bool caught_up =
      request.has_state && request.committed_seq >= replica.committed.seq();
  if (already || !caught_up) {
    // Also as a candidate: a voter that does not know that it is one can't
    // promise anything.
    SendInstall(turn, request.instance);
    return;
  }
  if (replica.role != ReplicaRole::kLeader) {
    return;
  }
  if (replica.config.open_membership) {
    NoteStandby(turn, request);
    StepMembership(turn);
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
