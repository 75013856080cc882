#include "Control/Evacuations.h"

#include <algorithm>
#include <set>

namespace filbertwall {
namespace {

using Evacuations = google::protobuf::RepeatedPtrField<wire::Evacuation>;

Evacuations::const_iterator Find(const wire::ControlState& state,
                                 std::string_view data_centre) {
  return std::find_if(state.evacuations().begin(), state.evacuations().end(),
                      [&](const wire::Evacuation& item) {
                        return item.data_centre() == data_centre;
                      });
}

/// Whether an evacuation change is proposed, or queued to be proposed.
bool IsOtherChangePending(const Replica& replica) {
  const bool proposed =
      replica.proposing && replica.uncommitted->change().has_evacuation();
  return proposed || std::any_of(replica.queue.begin(), replica.queue.end(),
                                 [](const PendingChange& pending) {
                                   return pending.change.has_evacuation();
                                 });
}

}  // namespace

bool IsEvacuated(const wire::ControlState& state,
                 std::string_view data_centre) {
  return Find(state, data_centre) != state.evacuations().end();
}

void ApplyEvacuation(wire::ControlState& state, std::uint64_t seq,
                     const wire::EvacuationChange& change) {
  state.set_evacuation_seq(seq);
  const auto found = Find(state, change.data_centre());
  const bool evacuated = found != state.evacuations().end();
  if (!change.active() && evacuated) {
    state.mutable_evacuations()->erase(found);
  }
  if (!change.active() || evacuated ||
      state.evacuations_size() >= kMaxEvacuations) {
    return;
  }
  wire::Evacuation& added = *state.add_evacuations();
  added.set_data_centre(change.data_centre());
  added.set_seq(seq);
  added.set_requester(change.requester());
}

bool KnowsEvacuations(const Replica& replica) {
  if (replica.role != ReplicaRole::kLeader) {
    return false;
  }
  std::set<std::uint32_t> knowing = {replica.config.self};
  for (const wire::Member& member : replica.committed.members()) {
    const auto features = replica.features.find(member.instance());
    if (features == replica.features.end()) {
      continue;  // Not heard in this leadership.
    }
    if ((features->second & kEvacuationsFeature) == 0) {
      return false;
    }
    knowing.insert(member.instance());
  }
  return IsMajority(replica.committed, knowing);
}

std::uint64_t NewestEvacuationSeq(const Replica& replica) {
  const bool stored =
      replica.uncommitted && replica.uncommitted->change().has_evacuation();
  return stored ? replica.uncommitted->seq()
                : replica.committed.evacuation_seq();
}

std::optional<EvacuationDecision> DecideEvacuation(
    const Replica& replica, const ControlSubmitted& submitted, TimePoint now) {
  const wire::EvacuationChange& change = submitted.change.evacuation();
  const bool waited_too_long =
      submitted.submitted_at < now &&
      now - submitted.submitted_at > kMaxEvacuationWait;
  if (waited_too_long) {
    return EvacuationDecision{.reason = "the command waited for too long"};
  }
  if (!KnowsEvacuations(replica)) {
    return EvacuationDecision{
        .reason =
            "not all control instances run a build that knows evacuations"};
  }
  const bool in_force =
      IsEvacuated(replica.committed, change.data_centre()) == change.active();
  const bool newest = HasNewestState(replica, now);
  if (in_force && newest && !IsOtherChangePending(replica)) {
    return EvacuationDecision{.verdict = wire::ACCEPTED,
                              .reason = "in force already"};
  }
  const bool too_many = !in_force && change.active() &&
                        replica.committed.evacuations_size() >= kMaxEvacuations;
  if (replica.proposing || !too_many) {
    return std::nullopt;
  }
  return newest ? EvacuationDecision{.verdict = wire::REFUSED,
                                     .reason = std::to_string(kMaxEvacuations) +
                                               " data centres are evacuated "
                                               "already"}
                : EvacuationDecision{.reason = "not confirmed as the leader"};
}

}  // namespace filbertwall
