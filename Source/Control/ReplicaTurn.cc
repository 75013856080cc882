#include "Control/ReplicaTurn.h"

#include "Base/Hash.h"

namespace filbertwall {

void Send(ReplicaTurn& turn, std::uint32_t to, wire::ControlMessage message) {
  message.set_cluster(turn.replica.committed.cluster());
  message.set_incarnation(turn.replica.incarnation);
  turn.effects.emplace_back(
      ControlSend{.to = to, .message = std::move(message)});
}

void SendToVoters(ReplicaTurn& turn, const wire::ControlMessage& message) {
  for (const wire::Member& member : turn.replica.committed.members()) {
    if (member.instance() != turn.replica.config.self) {
      Send(turn, member.instance(), message);
    }
  }
}

void SendInstall(ReplicaTurn& turn, std::uint32_t to) {
  wire::ControlMessage message;
  *message.mutable_install()->mutable_ballot() = turn.replica.ballot;
  *message.mutable_install()->mutable_state() = turn.replica.committed;
  Send(turn, to, std::move(message));
}

void SendHeartbeats(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  replica.heartbeat_at = turn.now + replica.config.heartbeat_interval;
  wire::ControlMessage message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  *heartbeat.mutable_ballot() = replica.ballot;
  heartbeat.set_committed_seq(replica.committed.seq());
  heartbeat.set_sent_us(
      std::chrono::duration_cast<Microseconds>(turn.now.time_since_epoch())
          .count());
  SendToVoters(turn, message);
  for (const auto& [instance, standby] : replica.standbys) {
    if (!IsVoter(replica.committed, instance, standby.incarnation)) {
      Send(turn, instance, message);
    }
  }
}

void PersistPromise(ReplicaTurn& turn, const wire::Ballot& ballot) {
  turn.replica.promised_ballot = ballot;
  wire::DurableRecord record;
  *record.mutable_promised() = ballot;
  turn.effects.emplace_back(ControlPersist{.record = std::move(record)});
}

void PersistTip(ReplicaTurn& turn) {
  wire::DurableRecord record;
  *record.mutable_tip() = *turn.replica.tip;
  turn.effects.emplace_back(ControlPersist{.record = std::move(record)});
}

void CommitTip(ReplicaTurn& turn) {
  Replica& replica = turn.replica;
  wire::DurableRecord record;
  record.set_committed_seq(replica.tip->seq());
  ApplyEntry(replica.committed, *replica.tip);
  replica.tip.reset();
  turn.effects.emplace_back(ControlPersist{.record = std::move(record)});
  turn.effects.emplace_back(ControlAdvanced{});
}

void InstallState(ReplicaTurn& turn, const wire::ControlState& state) {
  Replica& replica = turn.replica;
  replica.committed = state;
  const bool removed =
      replica.config.open_membership &&
      WasRemoved(state, replica.config.self, replica.incarnation);
  if (removed) {
    // As after the loss of a disk, the promises of the old incarnation are
    // void.
    replica.incarnation = MixHash(replica.incarnation, state.seq()) | 1U;
    replica.promised_ballot.Clear();
  }
  if (replica.tip && replica.tip->seq() <= state.seq()) {
    replica.tip.reset();
  }
  turn.effects.emplace_back(ControlPersist{.record = FullRecord(replica)});
  turn.effects.emplace_back(ControlAdvanced{});
}

}  // namespace filbertwall
