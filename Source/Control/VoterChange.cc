#include "Control/VoterChange.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// A restart takes less; a voter that is silent for longer gives its place to a
/// standby.
constexpr Milliseconds kReplaceAfter{3000};
/// Without a standby a silent voter beyond the least number stays longer, since
/// removing it admits nobody.
constexpr Milliseconds kRemoveAfter{5000};
/// More voters make each commit dearer and bear no loss that is likely.
constexpr std::uint32_t kMostVoters = 9;

bool IsSilent(const VoterStatus& voter, Milliseconds limit) {
  return !voter.leads && voter.silence > limit;
}

/// The voter that was silent for longest, if any was for `limit`.
const VoterStatus* LongestSilent(const VoterSituation& situation,
                                 Milliseconds limit) {
  const VoterStatus* longest = nullptr;
  for (const VoterStatus& voter : situation.voters) {
    const bool silent = IsSilent(voter, limit);
    if (silent && (longest == nullptr || voter.silence > longest->silence)) {
      longest = &voter;
    }
  }
  return longest;
}

/// A voter that lives and does not lead; there is one among two that live.
const VoterStatus* AnyOther(const VoterSituation& situation) {
  const auto found =
      std::find_if(situation.voters.rbegin(), situation.voters.rend(),
                   [](const VoterStatus& voter) { return !voter.leads; });
  return found == situation.voters.rend() ? nullptr : &*found;
}

/// The largest odd number of those that live, within the bounds.
std::uint32_t WantedVoters(const VoterSituation& situation) {
  const auto living = static_cast<std::uint32_t>(
      situation.living_standbys +
      static_cast<std::size_t>(
          std::count_if(situation.voters.begin(), situation.voters.end(),
                        [](const VoterStatus& voter) {
                          return !IsSilent(voter, kRemoveAfter);
                        })));
  const std::uint32_t odd = living % 2 == 0 && living > 0 ? living - 1 : living;
  return std::max(situation.least_voters, std::min(odd, kMostVoters));
}

wire::MemberChange Admit(const StandbyStatus& standby, std::uint32_t replaced) {
  wire::MemberChange change;
  change.set_instance(standby.instance);
  change.set_incarnation(standby.incarnation);
  change.set_replaced(replaced);
  return change;
}

wire::MemberChange Remove(const VoterStatus& voter) {
  wire::MemberChange change;
  change.set_instance(voter.instance);
  return change;
}

/// A standby whose instance is a voter has lost what it voted with.
const StandbyStatus* ReturnedVoter(const VoterSituation& situation) {
  for (const StandbyStatus& standby : situation.standbys) {
    const bool is_voter =
        std::any_of(situation.voters.begin(), situation.voters.end(),
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

std::optional<wire::MemberChange> PlanVoterChange(
    const VoterSituation& situation) {
  if (const StandbyStatus* returned = ReturnedVoter(situation)) {
    return Admit(*returned, 0);
  }
  const std::size_t count = situation.voters.size();
  const std::uint32_t wanted = WantedVoters(situation);
  if (!situation.standbys.empty()) {
    const StandbyStatus& standby = situation.standbys.front();
    if (const VoterStatus* silent = LongestSilent(situation, kReplaceAfter)) {
      return Admit(standby, silent->instance);
    }
    if (count < wanted) {
      return Admit(standby, 0);
    }
  }
  if (count <= wanted) {
    return std::nullopt;
  }
  if (const VoterStatus* silent = LongestSilent(situation, kRemoveAfter)) {
    return Remove(*silent);
  }
  const VoterStatus* surplus = AnyOther(situation);
  return surplus == nullptr ? std::nullopt : std::optional(Remove(*surplus));
}

}  // namespace filbertwall
