#include <algorithm>

#include "Control/ReplicaContext.h"
#include "Control/VoterChange.h"

/// Membership: the voters and the standbys.
namespace filbertwall {
namespace {

/// The leader removes a standby after this time without a message from it.
constexpr Milliseconds kStandbyTimeout{1000};
/// After this time without a heartbeat of the leader, join requests are sent to
/// all configured control instances and voters.
constexpr Milliseconds kLeaderTimeout{500};
/// A standby sends a join request to a new leader within this time: it waits
/// for the previous one for `kLeaderTimeout` and then for its next request.
constexpr Milliseconds kDiscoveryTime{1000};
/// A standby whose round of catching up takes longer may be unable to receive
/// the state, so it does not become a voter.
constexpr Milliseconds kMaxRoundTime{3000};

MembershipStatus BuildMembershipStatus(const ReplicaContext& context) {
  const Replica& replica = context.replica;
  MembershipStatus membership{.reachable_standbys = replica.standbys.size(),
                              .min_voters = replica.config.min_voters};
  for (const wire::Member& member : replica.committed.members()) {
    const auto heard = replica.voter_heard_at.find(member.instance());
    const bool known = heard != replica.voter_heard_at.end();
    membership.voters.push_back(
        VoterStatus{.instance = member.instance(),
                    .silence = known ? std::chrono::duration_cast<Milliseconds>(
                                           context.now - heard->second)
                                     : Milliseconds(0),
                    .is_leader = member.instance() == replica.config.self,
                    .is_leaving = IsLeaving(replica, member)});
  }
  for (const auto& [instance, standby] : replica.standbys) {
    if (IsUpToDate(standby, context.now)) {
      membership.standbys.push_back(StandbyStatus{
          .instance = instance, .incarnation = standby.incarnation});
    }
  }
  return membership;
}

void ProposeMemberChange(ReplicaContext& context,
                         const wire::MemberChange& change) {
  PendingChange pending;
  *pending.change.mutable_member() = change;
  Propose(context, pending);
}

void StartRound(const ReplicaContext& context, Standby& standby) {
  standby.round_target_seq = context.replica.committed.seq();
  standby.round_started_at = context.now;
}

/// Records the committed entries that a standby reports.
void RecordProgress(const ReplicaContext& context, Standby& standby,
                    std::uint64_t committed_seq) {
  standby.committed_seq = std::max(standby.committed_seq, committed_seq);
  if (standby.committed_seq >= standby.round_target_seq) {
    standby.caught_up = true;
    StartRound(context, standby);
  }
}

/// Adds the sender as a standby if it is none with this incarnation.
void RecordJoin(ReplicaContext& context, const JoinRequest& request) {
  Standby& standby = context.replica.standbys[request.instance];
  if (standby.incarnation != request.incarnation) {
    standby = Standby{.incarnation = request.incarnation};
    StartRound(context, standby);
  }
  standby.heard_at = context.now;
  if (request.has_state) {
    RecordProgress(context, standby, request.committed_seq);
  }
}

/// Returns the next change to the voters, if one is due.
std::optional<wire::MemberChange> NextVoterChange(
    const ReplicaContext& context) {
  const MembershipStatus membership = BuildMembershipStatus(context);
  if (context.replica.config.open_membership) {
    return PlanVoterChange(membership);
  }
  return membership.standbys.empty()
             ? std::nullopt
             : std::optional(BuildAdmission(membership.standbys.front(), 0));
}

/// Returns whether no standby can take over a vote: there is none, and this
/// leader has led for long enough to know of each.
bool HasNoStandby(const ReplicaContext& context) {
  const Replica& replica = context.replica;
  return replica.standbys.empty() && replica.leading_since &&
         context.now - *replica.leading_since >= kDiscoveryTime;
}

/// Returns whether a majority of the voters has reported the state that this
/// leadership began with, which includes every earlier change to the voters.
bool HasMajorityStoredVoters(const Replica& replica) {
  std::set<std::uint32_t> stored = {replica.config.self};
  for (const auto& [instance, seq] : replica.reported_seq) {
    if (seq >= replica.inherited_seq) {
      stored.insert(instance);
    }
  }
  return IsMajority(replica.committed, stored);
}

/// Returns whether an uncommitted change to the voters is being proposed.
bool IsChangingVoters(const Replica& replica) {
  return replica.proposing && replica.uncommitted->change().has_member();
}

/// Returns what a leaving instance with this incarnation is told.
wire::LeaveStatus DecideLeave(const ReplicaContext& context, std::uint32_t from,
                              std::uint64_t incarnation) {
  const Replica& replica = context.replica;
  if (IsChangingVoters(replica)) {
    return wire::LEAVE_PENDING;
  }
  if (!IsVoter(replica.committed, from, incarnation)) {
    const bool stored = HasNewestState(replica, context.now) &&
                        HasMajorityStoredVoters(replica);
    return stored ? wire::LEAVE_DONE : wire::LEAVE_PENDING;
  }
  // A standby that is not up to date may be so in time.
  const bool keeps_vote = HasNoStandby(context) && !NextVoterChange(context);
  return keeps_vote ? wire::LEAVE_NO_STANDBY : wire::LEAVE_PENDING;
}

}  // namespace

bool IsUpToDate(const Standby& standby, TimePoint now) {
  return standby.caught_up && now - standby.round_started_at <= kMaxRoundTime;
}

void SendJoin(ReplicaContext& context, std::uint32_t to) {
  wire::ControlMessage message;
  message.mutable_join()->set_committed_seq(context.replica.committed.seq());
  Send(context, to, std::move(message));
}

void RequestJoin(ReplicaContext& context) {
  Replica& replica = context.replica;
  if (context.now < replica.next_join_at) {
    return;
  }
  replica.next_join_at = context.now + replica.config.join_interval;
  const bool follows = replica.leader != 0 &&
                       context.now - replica.leader_heard_at <= kLeaderTimeout;
  if (follows) {
    SendJoin(context, replica.leader);
    return;
  }
  std::set<std::uint32_t> recipients = replica.config.control_instances;
  for (const wire::Member& member : replica.committed.members()) {
    recipients.insert(member.instance());
  }
  recipients.erase(replica.config.self);
  for (const std::uint32_t instance : recipients) {
    SendJoin(context, instance);
  }
}

void UpdateMembership(ReplicaContext& context) {
  Replica& replica = context.replica;
  std::erase_if(replica.standbys, [&](const auto& item) {
    return context.now - item.second.heard_at > kStandbyTimeout;
  });
  if (!HasLease(replica, context.now)) {
    return;
  }
  const auto change = NextVoterChange(context);
  if (!change) {
    return;
  }
  if (replica.proposing) {
    replica.membership.changes_deferred += 1;
    return;
  }
  ProposeMemberChange(context, *change);
}

void HandleStandbyAck(ReplicaContext& context, std::uint32_t from,
                      std::uint64_t incarnation,
                      const wire::HeartbeatAck& ack) {
  Replica& replica = context.replica;
  const auto standby = replica.standbys.find(from);
  const bool known = standby != replica.standbys.end() &&
                     standby->second.incarnation == incarnation;
  if (replica.role != ReplicaRole::kLeader || !known) {
    return;
  }
  standby->second.heard_at = context.now;
  RecordProgress(context, standby->second, ack.committed_seq());
  RecordAck(context, from, ack);
  if (ack.committed_seq() < replica.committed.seq()) {
    SendInstall(context, from);
  }
  UpdateMembership(context);
}

bool KeepsVoteOnLeaving(const ReplicaContext& context) {
  MembershipStatus membership = BuildMembershipStatus(context);
  for (VoterStatus& voter : membership.voters) {
    if (voter.is_leader) {
      voter.is_leader = false;
      voter.is_leaving = true;
    }
  }
  return HasNoStandby(context) && !PlanVoterChange(membership);
}

void HandleLeave(ReplicaContext& context, std::uint32_t from,
                 const wire::Leave& leave) {
  Replica& replica = context.replica;
  std::erase_if(replica.leaving, [&](const auto& item) {
    return !IsVoter(replica.committed, item.first, item.second);
  });
  if (IsVoter(replica.committed, from, leave.incarnation())) {
    replica.leaving[from] = leave.incarnation();
  }
  replica.standbys.erase(from);
  if (replica.role != ReplicaRole::kLeader) {
    return;
  }
  UpdateMembership(context);
  if (!HasLease(replica, context.now)) {
    return;
  }
  wire::ControlMessage message;
  wire::LeaveReply& reply = *message.mutable_leave_reply();
  reply.set_incarnation(leave.incarnation());
  reply.set_status(DecideLeave(context, from, leave.incarnation()));
  Send(context, from, std::move(message));
}

void HandleJoin(ReplicaContext& context, const JoinRequest& request) {
  Replica& replica = context.replica;
  if (replica.role == ReplicaRole::kFollower || request.incarnation == 0) {
    return;
  }
  if (WasRemoved(replica.committed, request.instance, request.incarnation)) {
    if (replica.config.open_membership) {
      // Makes the instance take a new incarnation.
      SendInstall(context, request.instance);
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
  const bool has_newest =
      request.has_state && request.committed_seq >= replica.committed.seq();
  (has_newest ? replica.membership.joins_up_to_date
              : replica.membership.joins_behind) += 1;
  if (already_voter || !has_newest) {
    // A candidate sends the state as well, since an instance that does not know
    // yet that it has become a voter grants no promise.
    SendInstall(context, request.instance);
  }
  if (!already_voter && replica.role == ReplicaRole::kLeader) {
    RecordJoin(context, request);
    UpdateMembership(context);
  }
}

}  // namespace filbertwall
