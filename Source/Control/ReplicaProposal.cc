#include <algorithm>

#include "Control/Ballot.h"
#include "Control/ReplicaTurn.h"

/// Proposals: submission, storage by a majority of the voters and commit.
namespace filbertwall {
namespace {

void CommitOnMajority(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  if (!replica.proposing ||
      !IsMajority(replica.committed, replica.accepted_by)) {
    return;
  }
  const bool member_change = replica.tip->change().has_member();
  const std::uint32_t changed = replica.tip->change().member().instance();
  const std::uint32_t replaced = replica.tip->change().member().replaced();
  const std::uint64_t token = replica.proposal_token;
  replica.proposing = false;
  replica.proposal_token = 0;
  CommitTip(turn);
  if (token != 0) {
    turn.effects.emplace_back(ControlVerdict{
        .token = token,
        .verdict = wire::ACCEPTED,
        .reason = "stored by a majority of the control instances"});
  }
  if (!member_change) {
    SendHeartbeats(turn);
    ProposeNext(turn);
    return;
  }
  // Every voter must know the new set of voters before it gets a prepare
  // message.
  replica.standbys.erase(changed);
  replica.voter_heard_at.erase(changed);
  SendHeartbeats(turn);
  SendInstall(turn, changed);
  if (replaced != 0) {
    SendInstall(turn, replaced);
  }
  if (IsVoter(replica)) {
    StartElection(turn);
  } else {
    StepDown(turn);
  }
}

void SendAccept(ReplicaTurn& turn, std::uint32_t to) {
  wire::ControlMessage message;
  *message.mutable_accept()->mutable_ballot() = turn.replica.ballot;
  *message.mutable_accept()->mutable_entry() = *turn.replica.tip;
  Send(turn, to, std::move(message));
}

/// Promises `ballot` and follows its leader. Returns false if a higher ballot
/// is promised already.
bool FollowBallot(ReplicaTurn& turn, std::uint32_t from,
                  const wire::Ballot& ballot) {
  Replica& replica = turn.replica;
  const int order = CompareBallots(ballot, replica.promised_ballot);
  if (order < 0) {
    return false;
  }
  if (order > 0) {
    PersistPromise(turn, ballot);
  }
  replica.highest_round_seen =
      std::max(replica.highest_round_seen, ballot.round());
  FollowLeader(turn, from);
  return true;
}

void SendAccepted(ReplicaTurn& turn, std::uint32_t to,
                  const wire::Accept& accept, bool stored) {
  wire::ControlMessage message;
  wire::Accepted& accepted = *message.mutable_accepted();
  *accepted.mutable_ballot() =
      stored ? accept.ballot() : turn.replica.promised_ballot;
  accepted.set_seq(accept.entry().seq());
  accepted.set_stored(stored);
  accepted.set_committed_seq(turn.replica.committed.seq());
  Send(turn, to, std::move(message));
}

/// Starts an election above `ballot` if it is higher than this leader's, since
/// the voter that promised it cannot follow this leader. Returns whether it
/// did.
bool RestartElectionAbove(ReplicaTurn& turn, const wire::Ballot& ballot) {
  Replica& replica = turn.replica;
  if (CompareBallots(ballot, replica.ballot) <= 0) {
    return false;
  }
  replica.highest_round_seen =
      std::max(replica.highest_round_seen, ballot.round());
  StepDown(turn);
  StartElection(turn);
  return true;
}

}  // namespace

void Propose(ReplicaTurn& turn, const PendingChange& pending) {
  Replica& replica = turn.replica;
  wire::Entry entry;
  entry.set_seq(replica.committed.seq() + 1);
  *entry.mutable_ballot() = replica.ballot;
  *entry.mutable_change() = pending.change;
  replica.tip = entry;
  replica.proposing = true;
  if (pending.token != 0) {
    replica.proposal_token = pending.token;
  }
  PersistTip(turn);
  replica.accepted_by = {replica.config.self};
  for (const wire::Member& member : replica.committed.members()) {
    if (member.instance() != replica.config.self) {
      SendAccept(turn, member.instance());
    }
  }
  CommitOnMajority(turn);
}

void ProposeNext(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  while (replica.role == ReplicaRole::kLeader && !replica.proposing &&
         !replica.queue.empty()) {
    const PendingChange pending = replica.queue.front();
    replica.queue.pop_front();
    HandleSubmitted(turn, ControlSubmitted{.token = pending.token,
                                           .change = pending.change});
  }
}

void HandleSubmitted(ReplicaTurn& turn, const ControlSubmitted& event) {
  Replica& replica = turn.replica;
  const auto answer = [&](wire::Verdict verdict, const std::string& reason) {
    turn.effects.emplace_back(ControlVerdict{
        .token = event.token, .verdict = verdict, .reason = reason});
  };
  if (event.change.has_rules()) {
    const Ruling decision = RuleOn(replica.committed, event.change.rules());
    switch (decision.kind) {
      case Ruling::Kind::kAccepted:
        answer(wire::ACCEPTED, decision.reason);
        return;
      case Ruling::Kind::kRefused:
        answer(wire::REFUSED, decision.reason);
        return;
      case Ruling::Kind::kForgotten:
        answer(wire::UNKNOWN, decision.reason);
        return;
      case Ruling::Kind::kOpen:
        break;
    }
  }
  if (replica.role != ReplicaRole::kLeader) {
    answer(wire::UNKNOWN,
           "this instance is not the leader and does not reach one");
    return;
  }
  const PendingChange pending{.token = event.token, .change = event.change};
  if (replica.proposing) {
    constexpr std::size_t kMaxQueuedChanges = 64;
    if (replica.queue.size() >= kMaxQueuedChanges) {
      answer(wire::UNKNOWN, "too many changes wait for their turn");
      return;
    }
    replica.queue.push_back(pending);
    return;
  }
  Propose(turn, pending);
}

void HandleAccept(ReplicaTurn& turn, std::uint32_t from,
                  const wire::Accept& accept) {
  Replica& replica = turn.replica;
  if (!IsVoter(replica) || !FollowBallot(turn, from, accept.ballot())) {
    SendAccepted(turn, from, accept, false);
    return;
  }
  const std::uint64_t seq = accept.entry().seq();
  const bool follows_tip =
      replica.tip && replica.tip->seq() + 1 == seq &&
      CompareBallots(replica.tip->ballot(), accept.ballot()) == 0;
  if (follows_tip) {
    // The leader proposes one entry at a time, so the next one shows that the
    // tip is committed.
    CommitTip(turn);
  }
  if (seq == replica.committed.seq() + 1) {
    replica.tip = accept.entry();
    PersistTip(turn);
    SendAccepted(turn, from, accept, true);
    return;
  }
  SendAccepted(turn, from, accept, seq <= replica.committed.seq());
}

void HandleAccepted(ReplicaTurn& turn, std::uint32_t from,
                    const wire::Accepted& accepted) {
  Replica& replica = turn.replica;
  if (replica.role != ReplicaRole::kLeader ||
      RestartElectionAbove(turn, accepted.ballot())) {
    return;
  }
  const bool is_current =
      replica.proposing && accepted.seq() == replica.tip->seq();
  if (!is_current) {
    return;
  }
  if (accepted.stored()) {
    if (CompareBallots(accepted.ballot(), replica.ballot) == 0) {
      replica.accepted_by.insert(from);
      CommitOnMajority(turn);
    }
    return;
  }
  if (accepted.committed_seq() < replica.committed.seq()) {
    SendInstall(turn, from);
    SendAccept(turn, from);
  }
}

void HandleHeartbeat(ReplicaTurn& turn, std::uint32_t from,
                     const wire::Heartbeat& heartbeat) {
  Replica& replica = turn.replica;
  wire::ControlMessage message;
  wire::HeartbeatAck& ack = *message.mutable_heartbeat_ack();
  if (!FollowBallot(turn, from, heartbeat.ballot())) {
    *ack.mutable_ballot() = replica.promised_ballot;
    Send(turn, from, std::move(message));
    return;
  }
  const bool tip_committed =
      replica.tip && replica.tip->seq() == heartbeat.committed_seq() &&
      CompareBallots(replica.tip->ballot(), heartbeat.ballot()) == 0;
  if (tip_committed) {
    CommitTip(turn);
  }
  replica.leader_heard_at = turn.now;
  replica.leader_committed_seq =
      std::max(replica.leader_committed_seq, heartbeat.committed_seq());
  *ack.mutable_ballot() = heartbeat.ballot();
  ack.set_committed_seq(replica.committed.seq());
  ack.set_echoed_us(heartbeat.sent_us());
  Send(turn, from, std::move(message));
}

void HandleHeartbeatAck(ReplicaTurn& turn, std::uint32_t from,
                        const wire::HeartbeatAck& ack) {
  Replica& replica = turn.replica;
  if (replica.role != ReplicaRole::kLeader ||
      RestartElectionAbove(turn, ack.ballot()) ||
      CompareBallots(ack.ballot(), replica.ballot) != 0) {
    return;
  }
  const TimePoint sent{Microseconds(ack.echoed_us())};
  TimePoint& latest = replica.last_acked_send[from];
  latest = std::max(latest, std::min(sent, turn.now));
  if (ack.committed_seq() < replica.committed.seq()) {
    SendInstall(turn, from);
  }
  const bool accept_missing =
      replica.proposing && !replica.accepted_by.contains(from);
  if (accept_missing) {
    SendAccept(turn, from);
  }
}

void HandleInstall(ReplicaTurn& turn, std::uint32_t from,
                   const wire::Install& install) {
  Replica& replica = turn.replica;
  // A removed replica may have promised ballots that the others do not know. It
  // still installs the state, since committed entries hold under every ballot.
  const bool removed =
      replica.config.open_membership &&
      WasRemoved(install.state(), replica.config.self, replica.incarnation);
  if (!FollowBallot(turn, from, install.ballot()) && !removed) {
    return;
  }
  if (install.state().seq() > replica.committed.seq() ||
      replica.committed.cluster() == 0) {
    InstallState(turn, install.state());
  }
}

}  // namespace filbertwall
