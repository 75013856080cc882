#include "Control/ReplicaContext.h"

#include "Base/Hash.h"

namespace filbertwall {

void Send(ReplicaContext& context, std::uint32_t to,
          wire::ControlMessage message) {
  message.set_cluster(context.replica.committed.cluster());
  message.set_incarnation(context.replica.incarnation);
  context.effects.emplace_back(
      ControlSend{.to = to, .message = std::move(message)});
}

void SendToVoters(ReplicaContext& context,
                  const wire::ControlMessage& message) {
  for (const wire::Member& member : context.replica.committed.members()) {
    if (member.instance() != context.replica.config.self) {
      Send(context, member.instance(), message);
    }
  }
}

void SendInstall(ReplicaContext& context, std::uint32_t to) {
  wire::ControlMessage message;
  *message.mutable_install()->mutable_ballot() = context.replica.ballot;
  *message.mutable_install()->mutable_state() = context.replica.committed;
  Send(context, to, std::move(message));
}

std::int64_t ClockMicroseconds(const ReplicaContext& context) {
  return std::chrono::duration_cast<Microseconds>(
             context.now.time_since_epoch())
      .count();
}

std::optional<TimePoint> ReturnedTime(const ReplicaContext& context,
                                      std::int64_t microseconds) {
  if (microseconds < 0 || microseconds > ClockMicroseconds(context)) {
    return std::nullopt;
  }
  return TimePoint(Microseconds(microseconds));
}

void SendHeartbeat(ReplicaContext& context, std::uint32_t to) {
  const Replica& replica = context.replica;
  wire::ControlMessage message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  *heartbeat.mutable_ballot() = replica.ballot;
  heartbeat.set_committed_seq(replica.committed.seq());
  heartbeat.set_inherited_seq(replica.inherited_seq);
  heartbeat.set_sent_us(ClockMicroseconds(context));
  const auto ack = replica.last_ack_sent.find(to);
  if (ack != replica.last_ack_sent.end()) {
    heartbeat.set_echoed_us(ack->second.count());
  }
  Send(context, to, std::move(message));
}

void SendHeartbeats(ReplicaContext& context) {
  Replica& replica = context.replica;
  replica.next_heartbeat_at = context.now + replica.config.heartbeat_interval;
  for (const wire::Member& member : replica.committed.members()) {
    if (member.instance() != replica.config.self) {
      SendHeartbeat(context, member.instance());
    }
  }
  for (const auto& [instance, standby] : replica.standbys) {
    if (!IsVoter(replica.committed, instance, standby.incarnation)) {
      SendHeartbeat(context, instance);
    }
  }
}

void RecordAck(ReplicaContext& context, std::uint32_t from,
               const wire::HeartbeatAck& ack) {
  context.replica.features[from] = ack.features();
  // The latest one counts, also if it states an earlier time: the clock of its
  // sender starts anew when the machine does.
  const bool is_first = context.replica.last_ack_sent
                            .insert_or_assign(from, Microseconds(ack.sent_us()))
                            .second;
  if (is_first) {
    SendHeartbeat(context, from);
  }
}

void PersistPromise(ReplicaContext& context, const wire::Ballot& ballot) {
  context.replica.promised_ballot = ballot;
  wire::DurableRecord record;
  *record.mutable_promised() = ballot;
  context.effects.emplace_back(ControlPersist{.record = std::move(record)});
}

void PersistTip(ReplicaContext& context) {
  wire::DurableRecord record;
  *record.mutable_tip() = *context.replica.uncommitted;
  context.effects.emplace_back(ControlPersist{.record = std::move(record)});
}

void CommitTip(ReplicaContext& context) {
  Replica& replica = context.replica;
  wire::DurableRecord record;
  record.set_committed_seq(replica.uncommitted->seq());
  ApplyEntry(replica.committed, *replica.uncommitted);
  replica.uncommitted.reset();
  context.effects.emplace_back(ControlPersist{.record = std::move(record)});
  context.effects.emplace_back(ControlStateChanged{});
}

void InstallState(ReplicaContext& context, const wire::ControlState& state) {
  Replica& replica = context.replica;
  replica.committed = state;
  const bool removed =
      replica.config.open_membership &&
      WasRemoved(state, replica.config.self, replica.incarnation);
  if (removed) {
    // The promises of the old incarnation no longer count, as after the loss of
    // a disk.
    replica.incarnation = MixHash(replica.incarnation, state.seq()) | 1U;
    replica.promised_ballot.Clear();
  }
  if (replica.uncommitted && replica.uncommitted->seq() <= state.seq()) {
    replica.uncommitted.reset();
  }
  context.effects.emplace_back(
      ControlPersist{.record = SnapshotRecord(replica)});
  context.effects.emplace_back(ControlStateChanged{});
}

}  // namespace filbertwall
