#include <algorithm>

#include "Control/Ballot.h"
#include "Control/ReplicaContext.h"

/// Leader election: the prepare and promise messages and the start of
/// leadership.
namespace filbertwall {
namespace {

/// Returns the uncommitted entry with the highest ballot among this replica's
/// own and those in the promises, if any.
std::optional<wire::Entry> HighestUndecidedEntry(const Replica& replica) {
  std::optional<wire::Entry> highest = replica.uncommitted;
  for (const auto& [instance, promise] : replica.promises) {
    const bool next =
        promise.has_tip() && promise.tip().seq() == replica.committed.seq() + 1;
    if (!next) {
      continue;
    }
    if (!highest ||
        CompareBallots(promise.tip().ballot(), highest->ballot()) > 0) {
      highest = promise.tip();
    }
  }
  return highest;
}

void BecomeLeader(ReplicaContext& context) {
  Replica& replica = context.replica;
  replica.role = ReplicaRole::kLeader;
  replica.leader = replica.config.self;
  replica.elected_at = context.now;
  replica.leading_since = replica.leading_since.value_or(context.now);
  replica.last_acked_send.clear();
  replica.features.clear();
  replica.reported_seq.clear();
  for (const wire::Member& member : replica.committed.members()) {
    // The silence of a voter is measured from the start of leadership at the
    // earliest, since a new leader has not received messages of all voters yet.
    replica.voter_heard_at.try_emplace(member.instance(), context.now);
  }
  const std::optional<wire::Entry> undecided = HighestUndecidedEntry(replica);
  replica.promises.clear();
  replica.inherited_seq = replica.committed.seq() + (undecided ? 1 : 0);
  SendHeartbeats(context);
  if (undecided) {
    // A majority may have stored the entry already, so no other entry may take
    // its sequence number.
    Propose(context, PendingChange{.change = undecided->change()});
    return;
  }
  ProposeNext(context);
}

void BecomeLeaderOnMajority(ReplicaContext& context) {
  Replica& replica = context.replica;
  std::set<std::uint32_t> granted = {replica.config.self};
  for (const auto& [instance, promise] : replica.promises) {
    granted.insert(instance);
  }
  if (IsMajority(replica.committed, granted)) {
    BecomeLeader(context);
  }
}

}  // namespace

void StartElection(ReplicaContext& context) {
  Replica& replica = context.replica;
  const bool ballot_still_highest =
      replica.role == ReplicaRole::kCandidate &&
      replica.ballot.round() >= replica.highest_round_seen &&
      CompareBallots(replica.ballot, replica.promised_ballot) == 0;
  if (!ballot_still_highest) {
    // A candidate that received no higher ballot keeps its own, so that a long
    // network partition does not increase the round again and again.
    replica.highest_round_seen =
        std::max(replica.highest_round_seen, replica.promised_ballot.round()) +
        1;
    replica.ballot.set_round(replica.highest_round_seen);
    replica.ballot.set_instance(replica.config.self);
    PersistPromise(context, replica.ballot);
  }
  EndLeaseRecovery(replica);
  replica.role = ReplicaRole::kCandidate;
  replica.leader = 0;
  replica.proposing = false;
  replica.promises.clear();
  const Milliseconds retry =
      replica.config.heartbeat_interval * (2 + replica.config.self % 5);
  replica.next_election_at = context.now + retry;
  wire::ControlMessage message;
  wire::Prepare& prepare = *message.mutable_prepare();
  *prepare.mutable_ballot() = replica.ballot;
  prepare.set_committed_seq(replica.committed.seq());
  SendToVoters(context, message);
  BecomeLeaderOnMajority(context);
}

void HandlePrepare(ReplicaContext& context, std::uint32_t from,
                   const wire::Prepare& prepare, bool from_voter) {
  Replica& replica = context.replica;
  const bool candidate_is_ahead =
      prepare.committed_seq() > replica.committed.seq();
  if (!IsVoter(replica) && candidate_is_ahead) {
    // This replica may have become a voter without knowing it, and the
    // candidate may need its promise. The join request makes the candidate send
    // the newer state.
    SendJoin(context, from);
  }
  // A prepare message during a lease gets no reply, whereas one with a ballot
  // lower than the promised one gets a rejection.
  if (!IsVoter(replica) || (!from_voter && !candidate_is_ahead) ||
      !MayVoteFor(replica, from, context.now)) {
    return;
  }
  wire::ControlMessage message;
  wire::Promise& promise = *message.mutable_promise();
  *promise.mutable_ballot() = prepare.ballot();
  const int order = CompareBallots(prepare.ballot(), replica.promised_ballot);
  if (order < 0) {
    *promise.mutable_promised() = replica.promised_ballot;
    Send(context, from, std::move(message));
    return;
  }
  if (order > 0) {
    if (replica.role != ReplicaRole::kFollower) {
      StepDown(context);
    }
    PersistPromise(context, prepare.ballot());
  }
  EndLeaseRecovery(replica);
  // Gives the candidate time to win before this replica starts an election.
  replica.next_election_at = std::max(replica.next_election_at,
                                      context.now + replica.config.lease / 2);
  promise.set_granted(true);
  if (replica.uncommitted) {
    *promise.mutable_tip() = *replica.uncommitted;
  }
  if (prepare.committed_seq() < replica.committed.seq()) {
    *promise.mutable_state() = replica.committed;
  }
  Send(context, from, std::move(message));
}

void HandlePromise(ReplicaContext& context, std::uint32_t from,
                   const wire::Promise& promise) {
  Replica& replica = context.replica;
  replica.highest_round_seen =
      std::max(replica.highest_round_seen, promise.promised().round());
  const bool is_current = replica.role == ReplicaRole::kCandidate &&
                          CompareBallots(promise.ballot(), replica.ballot) == 0;
  if (!is_current) {
    return;
  }
  if (!promise.granted()) {
    return;  // The next election uses a higher round.
  }
  if (promise.state().seq() > replica.committed.seq()) {
    // The voters may have changed, which invalidates the promises received.
    InstallState(context, promise.state());
    if (IsVoter(replica)) {
      replica.highest_round_seen += 1;
      StartElection(context);
    } else {
      StepDown(context);
    }
    return;
  }
  replica.promises[from] = promise;
  BecomeLeaderOnMajority(context);
}

}  // namespace filbertwall
