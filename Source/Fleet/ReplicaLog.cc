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

}  // namespace filbertwall
