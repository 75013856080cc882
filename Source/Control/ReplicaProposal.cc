#include <algorithm>

#include "Control/Ballot.h"
#include "Control/Evacuations.h"
#include "Control/ReplicaContext.h"

/// Proposals: a submitted change is stored by a majority of the voters and then
/// committed.
namespace filbertwall {
namespace {

void CommitOnMajority(ReplicaContext& context) {
  Replica& replica = context.replica;
  if (!replica.proposing ||
      !IsMajority(replica.committed, replica.accepted_by)) {
    return;
  }
  const bool member_change = replica.uncommitted->change().has_member();
  const std::uint32_t changed =
      replica.uncommitted->change().member().instance();
  const std::uint32_t replaced =
      replica.uncommitted->change().member().replaced();
  const std::uint64_t token = replica.proposal_token;
  replica.proposing = false;
  replica.proposal_token = 0;
  CommitTip(context);
  if (token != 0) {
    context.effects.emplace_back(ControlVerdict{
        .token = token,
        .verdict = wire::ACCEPTED,
        .reason = "stored by a majority of the control instances"});
  }
  if (!member_change) {
    SendHeartbeats(context);
    // Before the queued changes, which would defer a change to the voters for
    // as long as there are any.
    UpdateMembership(context);
    ProposeNext(context);
    return;
  }
  // Every voter must know the new set of voters before it gets a prepare
  // message.
  replica.standbys.erase(changed);
  replica.voter_heard_at.erase(changed);
  SendHeartbeats(context);
  SendInstall(context, changed);
  if (replaced != 0) {
    SendInstall(context, replaced);
  }
  if (IsVoter(replica)) {
    StartElection(context);
  } else {
    StepDown(context);
  }
}

void SendAccept(ReplicaContext& context, std::uint32_t to) {
  wire::ControlMessage message;
  *message.mutable_accept()->mutable_ballot() = context.replica.ballot;
  *message.mutable_accept()->mutable_entry() = *context.replica.uncommitted;
  Send(context, to, std::move(message));
}

/// Promises `ballot` and follows `from` as its leader. Returns false if this
/// replica has already promised a higher ballot.
bool FollowBallot(ReplicaContext& context, std::uint32_t from,
                  const wire::Ballot& ballot) {
  Replica& replica = context.replica;
  const int order = CompareBallots(ballot, replica.promised_ballot);
  if (order < 0) {
    return false;
  }
  if (order > 0) {
    PersistPromise(context, ballot);
  }
  replica.highest_round_seen =
      std::max(replica.highest_round_seen, ballot.round());
  FollowLeader(context, from);
  return true;
}

void SendAccepted(ReplicaContext& context, std::uint32_t to,
                  const wire::Accept& accept, bool stored) {
  wire::ControlMessage message;
  wire::Accepted& accepted = *message.mutable_accepted();
  *accepted.mutable_ballot() =
      stored ? accept.ballot() : context.replica.promised_ballot;
  accepted.set_seq(accept.entry().seq());
  accepted.set_stored(stored);
  accepted.set_committed_seq(context.replica.committed.seq());
  Send(context, to, std::move(message));
}

/// Starts an election with a round above that of `ballot` if `ballot` is higher
/// than this leader's, since the voter that promised it rejects this leader.
/// Returns whether it started one.
bool RestartElectionAbove(ReplicaContext& context, const wire::Ballot& ballot) {
  Replica& replica = context.replica;
  if (CompareBallots(ballot, replica.ballot) <= 0) {
    return false;
  }
  replica.highest_round_seen =
      std::max(replica.highest_round_seen, ballot.round());
  StepDown(context);
  StartElection(context);
  return true;
}

}  // namespace

void Propose(ReplicaContext& context, const PendingChange& pending) {
  Replica& replica = context.replica;
  wire::Entry entry;
  entry.set_seq(replica.committed.seq() + 1);
  *entry.mutable_ballot() = replica.ballot;
  *entry.mutable_change() = pending.change;
  replica.uncommitted = entry;
  replica.proposing = true;
  if (pending.token != 0) {
    replica.proposal_token = pending.token;
  }
  PersistTip(context);
  replica.accepted_by = {replica.config.self};
  for (const wire::Member& member : replica.committed.members()) {
    if (member.instance() != replica.config.self) {
      SendAccept(context, member.instance());
    }
  }
  CommitOnMajority(context);
}

void ProposeNext(ReplicaContext& context) {
  Replica& replica = context.replica;
  while (replica.role == ReplicaRole::kLeader && !replica.proposing &&
         !replica.queue.empty()) {
    const PendingChange pending = replica.queue.front();
    replica.queue.pop_front();
    HandleSubmitted(context,
                    ControlSubmitted{.token = pending.token,
                                     .change = pending.change,
                                     .submitted_at = pending.submitted_at});
  }
}

void HandleSubmitted(ReplicaContext& context, const ControlSubmitted& event) {
  Replica& replica = context.replica;
  const auto answer = [&](wire::Verdict verdict, const std::string& reason) {
    context.effects.emplace_back(ControlVerdict{
        .token = event.token, .verdict = verdict, .reason = reason});
  };
  if (event.change.has_rules()) {
    const RulesDecision decision =
        DecideRulesFile(replica.committed, event.change.rules());
    switch (decision.kind) {
      case RulesDecision::Kind::kAccepted:
        answer(wire::ACCEPTED, decision.reason);
        return;
      case RulesDecision::Kind::kRefused:
        answer(wire::REFUSED, decision.reason);
        return;
      case RulesDecision::Kind::kOutsideHistory:
        answer(wire::UNKNOWN, decision.reason);
        return;
      case RulesDecision::Kind::kUndecided:
        break;
    }
  }
  if (replica.role != ReplicaRole::kLeader) {
    answer(wire::UNKNOWN,
           "this instance is not the leader and cannot reach one");
    return;
  }
  if (event.change.has_evacuation()) {
    const auto decision = DecideEvacuation(replica, event, context.now);
    if (decision) {
      answer(decision->verdict, decision->reason);
      return;
    }
  }
  const PendingChange pending{.token = event.token,
                              .change = event.change,
                              .submitted_at = event.submitted_at};
  if (replica.proposing) {
    constexpr std::size_t kMaxQueuedChanges = 64;
    if (replica.queue.size() >= kMaxQueuedChanges) {
      answer(wire::UNKNOWN, "the queue of changes is full");
      return;
    }
    replica.queue.push_back(pending);
    return;
  }
  Propose(context, pending);
}

void HandleAccept(ReplicaContext& context, std::uint32_t from,
                  const wire::Accept& accept) {
  Replica& replica = context.replica;
  if (!IsVoter(replica) || !FollowBallot(context, from, accept.ballot())) {
    SendAccepted(context, from, accept, false);
    return;
  }
  const std::uint64_t seq = accept.entry().seq();
  const bool follows_tip =
      replica.uncommitted && replica.uncommitted->seq() + 1 == seq &&
      CompareBallots(replica.uncommitted->ballot(), accept.ballot()) == 0;
  if (follows_tip) {
    // The leader proposes one entry at a time, so an entry that follows
    // `uncommitted` under the same ballot implies that `uncommitted` is
    // committed.
    CommitTip(context);
  }
  if (seq == replica.committed.seq() + 1) {
    replica.uncommitted = accept.entry();
    PersistTip(context);
    SendAccepted(context, from, accept, true);
    return;
  }
  SendAccepted(context, from, accept, seq <= replica.committed.seq());
}

void HandleAccepted(ReplicaContext& context, std::uint32_t from,
                    const wire::Accepted& accepted) {
  Replica& replica = context.replica;
  if (replica.role != ReplicaRole::kLeader ||
      RestartElectionAbove(context, accepted.ballot())) {
    return;
  }
  const bool is_current =
      replica.proposing && accepted.seq() == replica.uncommitted->seq();
  if (!is_current) {
    return;
  }
  if (accepted.stored()) {
    if (CompareBallots(accepted.ballot(), replica.ballot) == 0) {
      replica.accepted_by.insert(from);
      CommitOnMajority(context);
    }
    return;
  }
  if (accepted.committed_seq() < replica.committed.seq()) {
    SendInstall(context, from);
    SendAccept(context, from);
  }
}

void HandleHeartbeat(ReplicaContext& context, std::uint32_t from,
                     const wire::Heartbeat& heartbeat) {
  Replica& replica = context.replica;
  wire::ControlMessage message;
  wire::HeartbeatAck& ack = *message.mutable_heartbeat_ack();
  if (!FollowBallot(context, from, heartbeat.ballot())) {
    *ack.mutable_ballot() = replica.promised_ballot;
    Send(context, from, std::move(message));
    return;
  }
  const bool tip_committed =
      replica.uncommitted &&
      replica.uncommitted->seq() == heartbeat.committed_seq() &&
      CompareBallots(replica.uncommitted->ballot(), heartbeat.ballot()) == 0;
  if (tip_committed) {
    CommitTip(context);
  }
  replica.leader_heard_at = context.now;
  replica.leader_newest_seq =
      std::max({replica.leader_newest_seq, heartbeat.committed_seq(),
                heartbeat.inherited_seq()});
  if (const auto sent = ReturnedTime(context, heartbeat.echoed_us())) {
    replica.confirmed_ack_sent_at =
        std::max(replica.confirmed_ack_sent_at, *sent);
  }
  if (heartbeat.resigned()) {
    HandleResignation(context, from);
    return;
  }
  *ack.mutable_ballot() = heartbeat.ballot();
  ack.set_committed_seq(replica.committed.seq());
  ack.set_echoed_us(heartbeat.sent_us());
  ack.set_sent_us(ClockMicroseconds(context));
  ack.set_features(kOwnFeatures);
  ack.set_leaving(replica.departure.requested);
  Send(context, from, std::move(message));
}

void HandleHeartbeatAck(ReplicaContext& context, std::uint32_t from,
                        const wire::HeartbeatAck& ack) {
  Replica& replica = context.replica;
  if (replica.role != ReplicaRole::kLeader ||
      RestartElectionAbove(context, ack.ballot()) ||
      CompareBallots(ack.ballot(), replica.ballot) != 0) {
    return;
  }
  if (const auto sent = ReturnedTime(context, ack.echoed_us())) {
    TimePoint& latest = replica.last_acked_send[from];
    latest = std::max(latest, *sent);
  }
  RecordAck(context, from, ack);
  replica.reported_seq[from] = ack.committed_seq();
  if (ack.committed_seq() < replica.committed.seq()) {
    SendInstall(context, from);
  }
  const bool accept_missing =
      replica.proposing && !replica.accepted_by.contains(from);
  if (accept_missing) {
    SendAccept(context, from);
  }
}

void HandleInstall(ReplicaContext& context, std::uint32_t from,
                   const wire::Install& install) {
  Replica& replica = context.replica;
  // A removed replica may have promised a higher ballot that no voter knows. It
  // installs the state nevertheless, since committed entries are valid under
  // every ballot.
  const bool removed =
      replica.config.open_membership &&
      WasRemoved(install.state(), replica.config.self, replica.incarnation);
  if (!FollowBallot(context, from, install.ballot()) && !removed) {
    return;
  }
  if (install.state().seq() > replica.committed.seq() ||
      replica.committed.cluster() == 0) {
    InstallState(context, install.state());
  }
}

}  // namespace filbertwall
