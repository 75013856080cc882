#include "Control/VoterChange.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// A standby replaces a voter that has been silent for longer than this. A
/// restart takes less time, so a restarting voter is not replaced.
constexpr Milliseconds kReplaceAfter{3000};
/// If no standby can replace it and enough voters remain, a voter is removed
/// after this time of silence. The limit is longer than `kReplaceAfter`, since
/// a removal adds no other voter.
constexpr Milliseconds kRemoveAfter{5000};
/// More voters make each commit more expensive and protect only against numbers
/// of losses that are unlikely.
constexpr std::uint32_t kMaxVoters = 9;

bool IsSilent(const VoterStatus& voter, Milliseconds limit) {
  return !voter.is_leader && voter.silence > limit;
}

/// Returns the voter with the longest silence above `limit`, if any.
const VoterStatus* FindLongestSilent(const MembershipStatus& membership,
                                     Milliseconds limit) {
  const VoterStatus* longest = nullptr;
  for (const VoterStatus& voter : membership.voters) {
    const bool silent = IsSilent(voter, limit);
    if (silent && (longest == nullptr || voter.silence > longest->silence)) {
      longest = &voter;
    }
  }
  return longest;
}

bool IsLeaving(const VoterStatus& voter) {
  return voter.is_leaving && !voter.is_leader;
}

/// Returns a voter that is leaving, if any.
const VoterStatus* FindLeaving(const MembershipStatus& membership) {
  const auto found = std::find_if(membership.voters.begin(),
                                  membership.voters.end(), IsLeaving);
  return found == membership.voters.end() ? nullptr : &*found;
}

/// Returns whether the voters that stay are still a majority after a loss of
/// `min_voters / 2` of them.
bool ToleratesLosses(const MembershipStatus& membership) {
  const auto staying = static_cast<std::size_t>(std::count_if(
      membership.voters.begin(), membership.voters.end(),
      [](const VoterStatus& voter) {
        return !IsLeaving(voter) && !IsSilent(voter, kReplaceAfter);
      }));
  const std::size_t tolerated = membership.min_voters / 2;
  return 2 * staying > membership.voters.size() + 2 * tolerated;
}

/// Returns the last voter that is not the leader, or null if the leader is the
/// only voter.
const VoterStatus* FindLastNonLeader(const MembershipStatus& membership) {
  const auto found =
      std::find_if(membership.voters.rbegin(), membership.voters.rend(),
                   [](const VoterStatus& voter) { return !voter.is_leader; });
  return found == membership.voters.rend() ? nullptr : &*found;
}

/// Returns the largest odd number of voters that the responsive instances
/// allow, between `min_voters` and `kMaxVoters`.
std::uint32_t TargetVoterCount(const MembershipStatus& membership) {
  const auto responsive = static_cast<std::uint32_t>(
      membership.reachable_standbys +
      static_cast<std::size_t>(
          std::count_if(membership.voters.begin(), membership.voters.end(),
                        [](const VoterStatus& voter) {
                          return !IsSilent(voter, kRemoveAfter);
                        })));
  const std::uint32_t odd =
      responsive % 2 == 0 && responsive > 0 ? responsive - 1 : responsive;
  return std::max(membership.min_voters, std::min(odd, kMaxVoters));
}

wire::MemberChange BuildRemoval(const VoterStatus& voter) {
  wire::MemberChange change;
  change.set_instance(voter.instance);
  return change;
}

/// Returns a standby with the id of a voter, if any. The voter has lost its
/// disk and with it its promises, so it joins again under a new incarnation.
const StandbyStatus* FindStandbyWithVoterId(
    const MembershipStatus& membership) {
  for (const StandbyStatus& standby : membership.standbys) {
    const bool is_voter =
        std::any_of(membership.voters.begin(), membership.voters.end(),
                    [&](const VoterStatus& voter) {
                      return voter.instance == standby.instance;
                    });
    if (is_voter) {
      return &standby;
    }
  }
  return nullptr;
}

}  // namespace

wire::MemberChange BuildAdmission(const StandbyStatus& standby,
                                  std::uint32_t replaced) {
  wire::MemberChange change;
  change.set_instance(standby.instance);
  change.set_incarnation(standby.incarnation);
  change.set_replaced(replaced);
  return change;
}

std::optional<wire::MemberChange> PlanVoterChange(
    const MembershipStatus& membership) {
  if (const StandbyStatus* readmitted = FindStandbyWithVoterId(membership)) {
    return BuildAdmission(*readmitted, 0);
  }
  const std::size_t count = membership.voters.size();
  const std::uint32_t target = TargetVoterCount(membership);
  if (!membership.standbys.empty()) {
    const StandbyStatus& standby = membership.standbys.front();
    if (const VoterStatus* silent =
            FindLongestSilent(membership, kReplaceAfter)) {
      return BuildAdmission(standby, silent->instance);
    }
    if (const VoterStatus* leaving = FindLeaving(membership)) {
      return BuildAdmission(standby, leaving->instance);
    }
    if (count < target) {
      return BuildAdmission(standby, 0);
    }
  }
  if (const VoterStatus* leaving = FindLeaving(membership);
      leaving != nullptr && count > membership.min_voters &&
      !ToleratesLosses(membership)) {
    return BuildRemoval(*leaving);
  }
  if (count <= target) {
    return std::nullopt;
  }
  if (const VoterStatus* silent = FindLongestSilent(membership, kRemoveAfter)) {
    return BuildRemoval(*silent);
  }
  const VoterStatus* surplus = FindLastNonLeader(membership);
  return surplus == nullptr ? std::nullopt
                            : std::optional(BuildRemoval(*surplus));
}

}  // namespace filbertwall
