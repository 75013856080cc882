#include "Control/Replica.h"

#include <algorithm>

#include "Base/Hash.h"
#include "Control/Ballot.h"
#include "Control/ReplicaTurn.h"

namespace filbertwall {
namespace {

/// Without a leader for this long, a voter asks whether it still is one.
constexpr Milliseconds kLeaderlessLimit{4000};

/// Spreads elections, so that two candidates rarely start together.
Milliseconds ElectionJitter(const Replica& replica) {
  const std::uint64_t hash =
      MixHash(MixHash(replica.config.self, replica.incarnation),
              replica.highest_round_seen);
  return Milliseconds(hash % replica.config.election_spread.count());
}

/// A frozen process may wake long after its lease; nothing else comes first.
void ExpireLeadership(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  const bool settled = turn.now >= replica.elected_at + replica.config.lease;
  if (replica.role == ReplicaRole::kLeader && settled &&
      !HasLease(replica, turn.now)) {
    StepDown(turn);
  }
}

void HandleStarted(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  replica.leaderless_since = turn.now;
  // The lease that was granted before a restart is not on disk.
  replica.lease_granted_until = turn.now + replica.config.restart_wait;
  replica.election_at = replica.lease_granted_until + ElectionJitter(replica);
  const bool alone = IsVoter(replica) && replica.committed.members_size() == 1;
  if (alone) {
    StartElection(turn);
  }
}

void HandleTick(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  if (!IsVoter(replica)) {
    AskToJoin(turn);
    return;
  }
  if (replica.role == ReplicaRole::kLeader) {
    if (turn.now >= replica.heartbeat_at) {
      SendHeartbeats(turn);
    }
    StepMembership(turn);
    return;
  }
  const bool lost = replica.config.open_membership &&
                    turn.now > replica.leaderless_since + kLeaderlessLimit;
  if (lost) {
    // It may have been removed, or know only voters that were replaced.
    AskToJoin(turn);
  }
  if (turn.now >= replica.election_at) {
    StartElection(turn);
  }
}

void HandleReceived(ReplicaTurn& turn, const ControlReceived& event) {
  Replica& replica = turn.replica;
  const wire::ControlMessage& message = event.message;
  const bool blank = replica.committed.cluster() == 0;
  if (replica.role == ReplicaRole::kLeader &&
      IsVoter(replica.committed, event.from, message.incarnation())) {
    replica.heard[event.from] = turn.now;
  }
  if (message.has_join()) {
    const bool foreign = message.cluster() != 0 &&
                         message.cluster() != replica.committed.cluster();
    if (!blank && !foreign) {
      HandleJoin(turn,
                 JoinRequest{.instance = event.from,
                             .incarnation = message.incarnation(),
                             .has_state = message.cluster() != 0,
                             .committed_seq = message.join().committed_seq()});
    }
    return;
  }
  if (blank) {
    if (message.has_install()) {
      HandleInstall(turn, event.from, message.install());
    }
    return;
  }
  if (message.cluster() != replica.committed.cluster()) {
    return;
  }
  const bool from_voter =
      IsVoter(replica.committed, event.from, message.incarnation());
  switch (message.kind_case()) {
    case wire::ControlMessage::kPrepare:
      HandlePrepare(turn, event.from, message.prepare(), from_voter);
      return;
    case wire::ControlMessage::kPromise:
      if (from_voter) {
        HandlePromise(turn, event.from, message.promise());
      }
      return;
    case wire::ControlMessage::kAccept:
      HandleAccept(turn, event.from, message.accept());
      return;
    case wire::ControlMessage::kAccepted:
      if (from_voter) {
        HandleAccepted(turn, event.from, message.accepted());
      }
      return;
    case wire::ControlMessage::kHeartbeat:
      HandleHeartbeat(turn, event.from, message.heartbeat());
      return;
    case wire::ControlMessage::kHeartbeatAck:
      if (from_voter) {
        HandleHeartbeatAck(turn, event.from, message.heartbeat_ack());
      } else {
        HandleStandbyAck(turn, event.from, message.heartbeat_ack());
      }
      return;
    case wire::ControlMessage::kInstall:
      HandleInstall(turn, event.from, message.install());
      return;
    case wire::ControlMessage::kJoin:
    case wire::ControlMessage::KIND_NOT_SET:
      return;
  }
}

struct EventVisitor {
  ReplicaTurn& turn;
  void operator()(const ControlStarted&) { HandleStarted(this->turn); }
  void operator()(const ControlTick&) { HandleTick(this->turn); }
  void operator()(const ControlReceived& event) {
    HandleReceived(this->turn, event);
  }
  void operator()(const ControlSubmitted& event) {
    HandleSubmitted(this->turn, event);
  }
};

}  // namespace

std::vector<ControlEffect> Reduce(Replica& replica, const ControlEvent& event,
                                  TimePoint now) {
  std::vector<ControlEffect> effects;
  ReplicaTurn turn{.replica = replica, .now = now, .effects = effects};
  ExpireLeadership(turn);
  std::visit(EventVisitor{.turn = turn}, event);
  return effects;
}

void Restore(Replica& replica, const wire::DurableRecord& record) {
  if (record.incarnation() != 0) {
    replica.incarnation = record.incarnation();
  }
  if (record.has_promised()) {
    replica.promised = record.promised();
  }
  if (record.has_state()) {
    replica.committed = record.state();
    replica.tip.reset();
  }
  const bool commits_tip = record.committed_seq() != 0 && replica.tip &&
                           replica.tip->seq() == record.committed_seq();
  if (commits_tip) {
    ApplyEntry(replica.committed, *replica.tip);
    replica.tip.reset();
  }
  if (record.has_tip()) {
    replica.tip = record.tip();
  }
  replica.highest_round_seen =
      std::max(replica.highest_round_seen, replica.promised.round());
}

wire::DurableRecord FullRecord(const Replica& replica) {
  wire::DurableRecord record;
  record.set_incarnation(replica.incarnation);
  *record.mutable_promised() = replica.promised;
  *record.mutable_state() = replica.committed;
  if (replica.tip) {
    *record.mutable_tip() = *replica.tip;
  }
  return record;
}

bool HasLease(const Replica& replica, TimePoint now) {
  if (replica.role != ReplicaRole::kLeader) {
    return false;
  }
  // Clocks of two instances may run at rates that differ by this share.
  const Milliseconds drift_margin = replica.config.lease / 10;
  const TimePoint oldest = now - replica.config.lease + drift_margin;
  std::set<std::uint32_t> confirmed;
  for (const wire::Member& member : replica.committed.members()) {
    const auto ack = replica.acked.find(member.instance());
    const bool own = member.instance() == replica.config.self;
    if (own || (ack != replica.acked.end() && ack->second > oldest)) {
      confirmed.insert(member.instance());
    }
  }
  return IsMajority(replica.committed, confirmed);
}

bool IsVoter(const Replica& replica) {
  return IsVoter(replica.committed, replica.config.self, replica.incarnation);
}

bool KnowsNewest(const Replica& replica, TimePoint now, Milliseconds limit) {
  if (replica.role == ReplicaRole::kLeader) {
    return HasLease(replica, now);
  }
  return replica.leader != 0 && now - replica.leader_heard_at <= limit &&
         replica.committed.seq() >= replica.leader_committed;
}

wire::DurableRecord FoundingRecord(std::uint32_t instance,
                                   const std::set<std::uint32_t>& founders) {
  std::uint64_t cluster = 1;
  for (const std::uint32_t founder : founders) {
    cluster = MixHash(cluster, founder);
  }
  cluster |= 1U;
  wire::DurableRecord record;
  record.set_incarnation(MixHash(cluster, instance) | 1U);
  record.mutable_state()->set_cluster(cluster);
  for (const std::uint32_t founder : founders) {
    wire::Member& member = *record.mutable_state()->add_members();
    member.set_instance(founder);
    member.set_incarnation(MixHash(cluster, founder) | 1U);
  }
  return record;
}

wire::DurableRecord FormatRecord(std::uint32_t instance,
                                 std::uint64_t incarnation,
                                 std::uint64_t cluster) {
  wire::DurableRecord record;
  record.set_incarnation(incarnation);
  record.mutable_state()->set_cluster(cluster);
  wire::Member& member = *record.mutable_state()->add_members();
  member.set_instance(instance);
  member.set_incarnation(incarnation);
  return record;
}

void FollowLeader(ReplicaTurn& turn, std::uint32_t leader) {
  Replica& replica = turn.replica;
  if (replica.role != ReplicaRole::kFollower) {
    StepDown(turn);
  }
  replica.leader = leader;
  replica.leaderless_since = turn.now;
  replica.lease_granted_until = turn.now + replica.config.lease;
  replica.election_at = replica.lease_granted_until + ElectionJitter(replica);
}

void StepDown(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  const auto give_up = [&](std::uint64_t token) {
    if (token != 0) {
      turn.effects.emplace_back(ControlVerdict{
          .token = token,
          .verdict = wire::UNKNOWN,
          .reason = "no majority of the control instances was reached"});
    }
  };
  if (replica.proposing) {
    give_up(replica.proposal_token);
  }
  for (const PendingChange& pending : replica.queue) {
    give_up(pending.token);
  }
  replica.queue.clear();
  replica.proposing = false;
  replica.proposal_token = 0;
  replica.role = ReplicaRole::kFollower;
  replica.leader = 0;
  replica.leaderless_since = turn.now;
  replica.promises.clear();
  replica.acked.clear();
  replica.heard.clear();
  replica.standbys.clear();
  replica.election_at =
      turn.now + replica.config.lease + ElectionJitter(replica);
}

}  // namespace filbertwall
