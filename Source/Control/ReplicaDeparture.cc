#include <algorithm>

#include "Control/ReplicaContext.h"

/// Departure: what a replica does before its process ends.
///
/// A leader resigns first. The replica then asks the leader to give its vote to
/// a standby, and waits until a majority of the new voters has stored that, so
/// that the next loss meets as many voters as before. See
/// docs/design/0002-control.md.
namespace filbertwall {
namespace {

constexpr Milliseconds kLeaveInterval{50};
/// Longer than an election takes after the loss of a leader.
constexpr Milliseconds kMaxReplyTime{1500};
/// A leader completes the change that it is proposing before it resigns, but
/// does not wait longer than this.
constexpr Milliseconds kMaxResignDelay{200};
/// The voters that may follow a leader that has resigned start their elections
/// in turn, with this time between them: longer than an election takes.
constexpr Milliseconds kElectionInterval{30};
/// A standby asks to join the next leader after this time.
constexpr Milliseconds kJoinDelay{100};

/// Returns whether no other voter stays.
bool LeavesAlone(const Replica& replica) {
  const auto& members = replica.committed.members();
  return std::all_of(members.begin(), members.end(),
                     [&](const wire::Member& member) {
                       return member.instance() == replica.config.self ||
                              IsLeaving(replica, member);
                     });
}

/// Returns the result if nothing more is to be waited for, else `kPending`.
DepartureResult CurrentResult(const ReplicaContext& context) {
  const Replica& replica = context.replica;
  const Departure& departure = replica.departure;
  if (LeavesAlone(replica)) {
    return DepartureResult::kAlone;
  }
  if (context.now >= departure.limit) {
    return DepartureResult::kTimeLimit;
  }
  return context.now >= departure.reply_by ? DepartureResult::kNoLeader
                                           : DepartureResult::kPending;
}

/// Steps down and tells the others that its lease has ended. No lease is held
/// under this ballot again, as the next election takes a higher round.
void Resign(ReplicaContext& context) {
  wire::ControlMessage message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  *heartbeat.mutable_ballot() = context.replica.ballot;
  heartbeat.set_committed_seq(context.replica.committed.seq());
  heartbeat.set_inherited_seq(context.replica.inherited_seq);
  heartbeat.set_resigned(true);
  SendToVoters(context, message);
  for (const auto& [instance, standby] : context.replica.standbys) {
    Send(context, instance, message);
  }
  StepDown(context);
}

void SendLeave(ReplicaContext& context) {
  wire::ControlMessage message;
  message.mutable_leave()->set_incarnation(
      context.replica.departure.incarnation);
  SendToVoters(context, message);
}

}  // namespace

bool IsLeaving(const Replica& replica, const wire::Member& member) {
  const auto found = replica.leaving.find(member.instance());
  return found != replica.leaving.end() &&
         found->second == member.incarnation();
}

std::size_t CountLeavingVoters(const Replica& replica) {
  const auto& members = replica.committed.members();
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [&](const wire::Member& member) { return IsLeaving(replica, member); }));
}

bool HasDeparted(const Replica& replica) {
  return replica.departure.result != DepartureResult::kPending;
}

void StartDeparture(ReplicaContext& context, const ControlLeave& event) {
  Replica& replica = context.replica;
  Departure& departure = replica.departure;
  if (departure.requested) {
    return;
  }
  departure = Departure{.requested = true,
                        .incarnation = replica.incarnation,
                        .resign_by = context.now + kMaxResignDelay,
                        .reply_by = context.now + kMaxReplyTime,
                        .limit = context.now + event.limit,
                        .next_request_at = context.now};
  if (!replica.config.open_membership || replica.committed.cluster() == 0) {
    // The voters are not to change, or this replica does not know them.
    departure.result = DepartureResult::kNoStandby;
    return;
  }
  ContinueDeparture(context);
}

void ContinueDeparture(ReplicaContext& context) {
  Replica& replica = context.replica;
  Departure& departure = replica.departure;
  if (!departure.requested || HasDeparted(replica) ||
      context.now < departure.next_request_at) {
    return;
  }
  departure.result = CurrentResult(context);
  if (HasDeparted(replica)) {
    return;
  }
  departure.next_request_at = context.now + kLeaveInterval;
  const bool may_resign =
      !replica.proposing || context.now >= departure.resign_by;
  if (replica.role == ReplicaRole::kLeader && may_resign) {
    if (KeepsVoteOnLeaving(context)) {
      departure.result = DepartureResult::kNoStandby;
    }
    Resign(context);
  }
  SendLeave(context);
}

void HandleLeaveReply(ReplicaContext& context, const wire::LeaveReply& reply) {
  Departure& departure = context.replica.departure;
  const bool is_current = departure.requested &&
                          !HasDeparted(context.replica) &&
                          reply.incarnation() == departure.incarnation;
  if (!is_current) {
    return;
  }
  departure.reply_by = context.now + kMaxReplyTime;
  if (reply.status() == wire::LEAVE_DONE) {
    departure.result = DepartureResult::kNoVote;
  } else if (reply.status() == wire::LEAVE_NO_STANDBY) {
    departure.result = DepartureResult::kNoStandby;
  }
}

void HandleResignation(ReplicaContext& context, std::uint32_t from) {
  Replica& replica = context.replica;
  replica.lease_granted_until = context.now;
  if (!IsVoter(replica)) {
    replica.leader = 0;
    replica.next_join_at = context.now + kJoinDelay;
    return;
  }
  Milliseconds delay{0};
  for (const wire::Member& member : replica.committed.members()) {
    if (member.instance() == replica.config.self) {
      replica.next_election_at = context.now + delay;
    }
    if (member.instance() != from && !IsLeaving(replica, member)) {
      delay += kElectionInterval;
    }
  }
}

}  // namespace filbertwall
