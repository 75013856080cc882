#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Base/Time.h"
#include "Wire/wire.pb.h"

/// Decides which control instances vote.
///
/// The voters are an odd number of the instances that live; the rest are
/// standbys, which hold the state and do not vote. A voter that is silent gives
/// its place to a standby in one change, so that each loss costs the tolerance
/// for another one only until then. Pure function; thread safe.
namespace filbertwall {

/// A voter as its leader sees it.
struct VoterStatus {
  std::uint32_t instance = 0;
  Milliseconds silence{0};  ///< Since it was last heard.
  bool leads = false;
};

/// An instance that holds the newest committed state and may become a voter.
struct StandbyStatus {
  std::uint32_t instance = 0;
  std::uint64_t incarnation = 0;
};

struct VoterSituation {
  std::vector<VoterStatus> voters;
  std::vector<StandbyStatus> standbys;  ///< Those that may be admitted now.
  std::size_t living_standbys = 0;      ///< Also those that lag behind.
  std::uint32_t least_voters = 3;       ///< Never fewer.
};

/// The next change to the voters, if any. One change at a time; each leaves a
/// set of voters that bears `least_voters / 2` losses.
std::optional<wire::MemberChange> PlanVoterChange(
    const VoterSituation& situation);

}  // namespace filbertwall
