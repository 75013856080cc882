#include <algorithm>
#include <iterator>

#include "Control/ReplicaContext.h"

/// Leases after a restart.
///
/// A replica does not store the leases that it grants. It stores the ballot
/// that it promised last, and it acknowledges heartbeats of no lower ballot. So
/// of the leases that it granted before a restart, only that of the instance of
/// this ballot can still be in force. The replica assumes that it is, until
/// that instance replies that it does not lead, or until the lease would have
/// expired. See docs/design/0002-control.md.
namespace filbertwall {
namespace {

/// Interval between two queries to a voter that may vote for another only.
constexpr Milliseconds kQueryInterval{40};
/// When several replicas can start an election, they start in the order of
/// their ids, with this time between them: longer than an election takes.
constexpr Milliseconds kElectionInterval{30};

bool IsRecovering(const Replica& replica) {
  return replica.recovery.next_query_at != TimePoint::max();
}

void SendLeaseQuery(ReplicaContext& context, std::uint32_t to) {
  wire::ControlMessage message;
  message.mutable_lease_query()->set_start(context.replica.recovery.start);
  Send(context, to, std::move(message));
}

void SendLeaseQueries(ReplicaContext& context) {
  Replica& replica = context.replica;
  replica.recovery.next_query_at = context.now + kQueryInterval;
  replica.recovery.may_vote.clear();
  std::set<std::uint32_t> recipients = {replica.lease_holder};
  for (const wire::Member& member : replica.committed.members()) {
    recipients.insert(member.instance());
  }
  recipients.erase(replica.config.self);
  recipients.erase(0);
  for (const std::uint32_t recipient : recipients) {
    SendLeaseQuery(context, recipient);
  }
}

/// Schedules an election when a majority may vote for this replica.
void ScheduleElection(ReplicaContext& context) {
  Replica& replica = context.replica;
  std::set<std::uint32_t> ready = replica.recovery.may_vote;
  ready.insert(replica.config.self);
  const bool can_win = MayVoteFor(replica, replica.config.self, context.now) &&
                       IsMajority(replica.committed, ready);
  if (!can_win) {
    return;
  }
  const auto position =
      std::distance(ready.begin(), ready.find(replica.config.self));
  replica.next_election_at = std::min(
      replica.next_election_at, context.now + position * kElectionInterval);
  if (context.now >= replica.next_election_at) {
    StartElection(context);
  }
}

}  // namespace

void StartLeaseRecovery(ReplicaContext& context, std::uint64_t start) {
  Replica& replica = context.replica;
  replica.recovery = LeaseRecovery{.start = start};
  replica.lease_holder = replica.promised_ballot.instance();
  const bool possible =
      replica.lease_holder != 0 && replica.lease_holder != replica.config.self;
  replica.lease_granted_until =
      possible ? context.now + replica.config.lease : context.now;
  if (IsVoter(replica)) {
    SendLeaseQueries(context);
  }
}

void EndLeaseRecovery(Replica& replica) {
  replica.recovery.next_query_at = TimePoint::max();
}

void ContinueLeaseRecovery(ReplicaContext& context) {
  if (context.now >= context.replica.recovery.next_query_at) {
    SendLeaseQueries(context);
  }
}

bool MayVoteFor(const Replica& replica, std::uint32_t from, TimePoint now) {
  const bool lease_of_another =
      now < replica.lease_granted_until && replica.lease_holder != from;
  const bool own_lease =
      replica.role == ReplicaRole::kLeader && HasLease(replica, now);
  return !lease_of_another && !own_lease;
}

void HandleLeaseQuery(ReplicaContext& context, std::uint32_t from,
                      const wire::LeaseQuery& query) {
  Replica& replica = context.replica;
  wire::ControlMessage message;
  wire::LeaseReply& reply = *message.mutable_lease_reply();
  reply.set_start(query.start());
  reply.set_leads(replica.role == ReplicaRole::kLeader);
  reply.set_may_vote(MayVoteFor(replica, from, context.now));
  Send(context, from, std::move(message));
  std::uint64_t& last_start = replica.recovery.queried_by[from];
  if (IsRecovering(replica) && last_start != query.start()) {
    // The sender has just started, so an earlier query did not reach it.
    SendLeaseQuery(context, from);
  }
  last_start = query.start();
}

void HandleLeaseReply(ReplicaContext& context, std::uint32_t from,
                      const wire::LeaseReply& reply, bool from_voter) {
  Replica& replica = context.replica;
  if (!IsRecovering(replica) || reply.start() != replica.recovery.start) {
    return;
  }
  const bool lease_assumed = context.now < replica.lease_granted_until;
  if (from == replica.lease_holder && !reply.leads() && lease_assumed) {
    replica.lease_granted_until = context.now;
    SendLeaseQueries(context);
  }
  if (from_voter && reply.may_vote()) {
    replica.recovery.may_vote.insert(from);
  }
  ScheduleElection(context);
}

}  // namespace filbertwall
