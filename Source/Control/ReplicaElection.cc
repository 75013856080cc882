#include <algorithm>

#include "Control/Ballot.h"
#include "Control/ReplicaTurn.h"

/// Leader elections: candidacy, promises and the start of leadership.
namespace filbertwall {
namespace {

/// Returns the uncommitted entry of the highest ballot among the promises and
/// this replica's tip, if any.
std::optional<wire::Entry> HighestUndecidedEntry(const Replica& replica) {
  std::optional<wire::Entry> highest = replica.tip;
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

void BecomeLeader(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  replica.role = ReplicaRole::kLeader;
  replica.leader = replica.config.self;
  replica.elected_at = turn.now;
  replica.last_acked_send.clear();
  for (const wire::Member& member : replica.committed.members()) {
    // Silence counts from the start of leadership, since a new leader has not
    // received messages of all voters yet.
    replica.voter_heard_at.try_emplace(member.instance(), turn.now);
  }
  const std::optional<wire::Entry> undecided = HighestUndecidedEntry(replica);
  replica.promises.clear();
  SendHeartbeats(turn);
  if (undecided) {
    // A majority may have stored the entry already, so no other entry may take
    // its sequence number.
    Propose(turn, PendingChange{.change = undecided->change()});
    return;
  }
  ProposeNext(turn);
}

void BecomeLeaderOnMajority(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  std::set<std::uint32_t> granted = {replica.config.self};
  for (const auto& [instance, promise] : replica.promises) {
    granted.insert(instance);
  }
  if (IsMajority(replica.committed, granted)) {
    BecomeLeader(turn);
  }
}

/// Whether no lease of another leader or of this one forbids a promise. A
/// prepare message during a lease gets no reply, unlike one with a ballot lower
/// than the promised one.
bool CanPromise(const Replica& replica, TimePoint now, std::uint32_t from) {
  const bool lease_of_another =
      now < replica.lease_granted_until && replica.leader != from;
  const bool own_lease =
      replica.role == ReplicaRole::kLeader && HasLease(replica, now);
  return !lease_of_another && !own_lease;
}

}  // namespace

void StartElection(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  const bool ballot_still_highest =
      replica.role == ReplicaRole::kCandidate &&
      replica.ballot.round() >= replica.highest_round_seen &&
      CompareBallots(replica.ballot, replica.promised_ballot) == 0;
  if (!ballot_still_highest) {
    // A candidate without any reply keeps its ballot, so that a long network
    // partition does not keep raising the round.
    replica.highest_round_seen =
        std::max(replica.highest_round_seen, replica.promised_ballot.round()) +
        1;
    replica.ballot.set_round(replica.highest_round_seen);
    replica.ballot.set_instance(replica.config.self);
    PersistPromise(turn, replica.ballot);
  }
  replica.role = ReplicaRole::kCandidate;
  replica.leader = 0;
  replica.proposing = false;
  replica.promises.clear();
  const Milliseconds retry =
      replica.config.heartbeat_interval * (2 + replica.config.self % 5);
  replica.election_at = turn.now + retry;
  wire::ControlMessage message;
  wire::Prepare& prepare = *message.mutable_prepare();
  *prepare.mutable_ballot() = replica.ballot;
  prepare.set_committed_seq(replica.committed.seq());
  SendToVoters(turn, message);
  BecomeLeaderOnMajority(turn);
}

void HandlePrepare(ReplicaTurn& turn, std::uint32_t from,
                   const wire::Prepare& prepare, bool from_voter) {
  Replica& replica = turn.replica;
  const bool candidate_is_ahead =
      prepare.committed_seq() > replica.committed.seq();
  if (!IsVoter(replica) && candidate_is_ahead) {
    // This replica may have become a voter, whose promise the candidate needs;
    // the join request makes the candidate send the newer state.
    SendJoin(turn, from);
  }
  if (!IsVoter(replica) || (!from_voter && !candidate_is_ahead) ||
      !CanPromise(replica, turn.now, from)) {
    return;
  }
  wire::ControlMessage message;
  wire::Promise& promise = *message.mutable_promise();
  *promise.mutable_ballot() = prepare.ballot();
  const int order = CompareBallots(prepare.ballot(), replica.promised_ballot);
  if (order < 0) {
    *promise.mutable_promised() = replica.promised_ballot;
    Send(turn, from, std::move(message));
    return;
  }
  if (order > 0) {
    if (replica.role != ReplicaRole::kFollower) {
      StepDown(turn);
    }
    PersistPromise(turn, prepare.ballot());
  }
  // Gives the candidate time to win before this replica starts an election.
  replica.election_at =
      std::max(replica.election_at, turn.now + replica.config.lease / 2);
  promise.set_granted(true);
  if (replica.tip) {
    *promise.mutable_tip() = *replica.tip;
  }
  if (prepare.committed_seq() < replica.committed.seq()) {
    *promise.mutable_state() = replica.committed;
  }
  Send(turn, from, std::move(message));
}

void HandlePromise(ReplicaTurn& turn, std::uint32_t from,
                   const wire::Promise& promise) {
  Replica& replica = turn.replica;
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
    // The voters may have changed, which invalidates the promises so far.
    InstallState(turn, promise.state());
    if (IsVoter(replica)) {
      replica.highest_round_seen += 1;
      StartElection(turn);
    } else {
      StepDown(turn);
    }
    return;
  }
  replica.promises[from] = promise;
  BecomeLeaderOnMajority(turn);
}

}  // namespace filbertwall
