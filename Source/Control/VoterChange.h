#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Base/Time.h"
#include "Wire/wire.pb.h"

/// Selection of the control instances that vote.
///
/// An odd number of the responsive instances are voters. The others are
/// standbys, which receive the state and do not vote. A standby replaces a
/// silent voter in one change, which restores the fault tolerance that the loss
/// of the voter reduced. A voter whose process is stopped gives its place to a
/// standby before it ends; see `ReplicaDeparture.cc`. The functions are pure
/// and thread safe.
namespace filbertwall {

/// The leader's view of a voter.
struct VoterStatus {
  std::uint32_t instance = 0;
  Milliseconds silence{0};  ///< Time since its last message.
  bool is_leader = false;
  bool is_leaving = false;  ///< Its process is about to end, or has ended.
};

/// A standby that has caught up, so that it may vote.
struct StandbyStatus {
  std::uint32_t instance = 0;
  std::uint64_t incarnation = 0;
};

/// The leader's view of the voters and standbys.
struct MembershipStatus {
  std::vector<VoterStatus> voters;
  std::vector<StandbyStatus> standbys;  ///< Up to date.
  std::size_t reachable_standbys = 0;   ///< Including outdated ones.
  std::uint32_t min_voters = 3;         ///< As in `ReplicaConfig`.
};

/// Returns the change by which a standby becomes a voter; `replaced` leaves, 0:
/// none.
wire::MemberChange BuildAdmission(const StandbyStatus& standby,
                                  std::uint32_t replaced);

/// Returns the next change to the voters, if one is due. Once there are
/// `min_voters` voters, a loss of `min_voters / 2` of them after any change
/// still leaves a majority.
std::optional<wire::MemberChange> PlanVoterChange(
    const MembershipStatus& membership);

}  // namespace filbertwall
