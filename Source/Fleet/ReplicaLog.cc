#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Log records of what changes in the replica: its role and the voters.
namespace filbertwall {
namespace {

/// Returns the addresses of the voters in the committed state.
std::string FormatVoters(const wire::ControlState& state) {
  std::string text;
  for (const wire::Member& member : state.members()) {
    text += (text.empty() ? "" : ",") + FormatIp(member.instance());
  }
  return text;
}

/// Returns the incarnations of the leader's standbys, by instance.
std::map<std::uint32_t, std::uint64_t> StandbyIncarnations(
    const Replica& replica) {
  std::map<std::uint32_t, std::uint64_t> incarnations;
  for (const auto& [instance, standby] : replica.standbys) {
    incarnations.emplace(instance, standby.incarnation);
  }
  return incarnations;
}

}  // namespace

void LogLeadership(ControlContext& context, ReplicaRole before) {
  const Replica& replica = context.instance.replica;
  if (before == replica.role) {
    return;
  }
  const std::string text =
      "round=" + std::to_string(replica.ballot.round()) +
      " members=" + std::to_string(replica.committed.members_size()) +
      " seq=" + std::to_string(replica.committed.seq()) +
      " inherited_seq=" + std::to_string(replica.inherited_seq);
  if (replica.role == ReplicaRole::kLeader) {
    context.instance.counters.elections_won += 1;
    Log(context, EventId::kLeaderElected, text);
  } else if (before == ReplicaRole::kLeader) {
    Log(context, EventId::kLeadershipLost, text, Severity::kWarning);
  }
}

void LogVoters(ControlContext& context) {
  const wire::ControlState& state = context.instance.replica.committed;
  std::string voters = FormatVoters(state);
  if (voters == context.instance.logged_voters) {
    return;
  }
  Log(context, EventId::kVotersChanged,
      "voters=" + voters + " before=" + context.instance.logged_voters +
          " seq=" + std::to_string(state.seq()));
  context.instance.logged_voters = std::move(voters);
}

void LogStandbys(ControlContext& context) {
  const Replica& replica = context.instance.replica;
  auto& logged = context.instance.logged_standbys;
  auto standbys = StandbyIncarnations(replica);
  if (standbys == logged) {
    return;
  }
  for (const auto& [instance, incarnation] : logged) {
    const auto known = standbys.find(instance);
    if (known == standbys.end() || known->second != incarnation) {
      Log(context, EventId::kStandbyRemoved,
          "standby=" + FormatIp(instance) +
              " incarnation=" + std::to_string(incarnation));
    }
  }
  for (const auto& [instance, incarnation] : standbys) {
    const auto known = logged.find(instance);
    if (known == logged.end() || known->second != incarnation) {
      Log(context, EventId::kStandbyAdded,
          "standby=" + FormatIp(instance) +
              " incarnation=" + std::to_string(incarnation) + " seq=" +
              std::to_string(replica.standbys.at(instance).committed_seq) +
              " leader_seq=" + std::to_string(replica.committed.seq()));
    }
  }
  logged = std::move(standbys);
}

}  // namespace filbertwall
