#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Log records of what changes in the replica: its role, the voters, and the
/// end of its departure.
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

/// Logs that an instance with this incarnation is no standby any more.
void LogRemovedStandby(ControlContext& context, std::uint32_t instance,
                       const LoggedStandby& logged) {
  const auto& standbys = context.instance.replica.standbys;
  const auto known = standbys.find(instance);
  if (known == standbys.end() ||
      known->second.incarnation != logged.incarnation) {
    Log(context, EventId::kStandbyRemoved,
        "standby=" + FormatIp(instance) +
            " incarnation=" + std::to_string(logged.incarnation));
  }
}

/// Logs that a standby is new, and whether it is up to date if that has
/// changed. Returns what was logged.
LoggedStandby LogStandby(ControlContext& context, std::uint32_t instance,
                         const Standby& standby, const LoggedStandby& logged) {
  const LoggedStandby current{.incarnation = standby.incarnation,
                              .up_to_date = IsUpToDate(standby, context.now)};
  const bool added = logged.incarnation != current.incarnation;
  const std::string text =
      "standby=" + FormatIp(instance) +
      " incarnation=" + std::to_string(standby.incarnation) +
      " seq=" + std::to_string(standby.committed_seq) +
      " leader_seq=" + std::to_string(context.instance.replica.committed.seq());
  if (added) {
    Log(context, EventId::kStandbyAdded, text);
  }
  if (current.up_to_date != (!added && logged.up_to_date)) {
    Log(context, EventId::kStandbyProgress,
        text + " up_to_date=" + std::to_string(current.up_to_date));
  }
  return current;
}

std::string FormatResult(DepartureResult result) {
  switch (result) {
    case DepartureResult::kPending:
      return "pending";
    case DepartureResult::kNoVote:
      return "no_vote";
    case DepartureResult::kNoStandby:
      return "no_standby";
    case DepartureResult::kAlone:
      return "alone";
    case DepartureResult::kNoLeader:
      return "no_leader";
    case DepartureResult::kTimeLimit:
      return "time_limit";
  }
  return "";
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

void LogDeparture(ControlContext& context) {
  const Replica& replica = context.instance.replica;
  const bool late = replica.departure.result == DepartureResult::kNoLeader ||
                    replica.departure.result == DepartureResult::kTimeLimit;
  Log(context, EventId::kDeparture,
      "result=" + FormatResult(replica.departure.result) +
          " voter=" + std::to_string(IsVoter(replica)) +
          " voters=" + FormatVoters(replica.committed) +
          " seq=" + std::to_string(replica.committed.seq()),
      late ? Severity::kWarning : Severity::kInfo);
}

void LogStandbys(ControlContext& context) {
  std::map<std::uint32_t, LoggedStandby>& logged =
      context.instance.logged_standbys;
  for (const auto& [instance, standby] : logged) {
    LogRemovedStandby(context, instance, standby);
  }
  std::map<std::uint32_t, LoggedStandby> current;
  for (const auto& [instance, standby] : context.instance.replica.standbys) {
    const auto known = logged.find(instance);
    current[instance] =
        LogStandby(context, instance, standby,
                   known == logged.end() ? LoggedStandby() : known->second);
  }
  logged = std::move(current);
}

}  // namespace filbertwall
