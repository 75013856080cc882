#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "Wire/wire.pb.h"

/// The replicated state of the control instances: the voters, the current rules
/// file and the history of accepted versions. The functions are pure.
namespace filbertwall {

/// Upper bound of the accepted rules file versions kept in the history.
constexpr int kHistoryLimit = 100000;

/// The decision on a submitted rules file, as found in the committed history.
struct RulesDecision {
  enum class Kind { kUndecided, kAccepted, kRefused, kOutsideHistory };
  Kind kind = Kind::kUndecided;
  std::string reason;
};

/// Applies a committed entry. Precondition: `entry.seq() == state.seq() + 1`.
void ApplyEntry(wire::ControlState& state, const wire::Entry& entry);

/// Looks up the decision on a rules file in the committed history only.
/// kAccepted and kRefused are final, whichever instance returns them.
/// kUndecided: no decision was made yet and the file may be proposed.
/// kOutsideHistory: the version is older than the retained history, so the
/// decision is no longer known.
RulesDecision DecideRulesFile(const wire::ControlState& state,
                              const wire::RulesFile& file);

/// Whether `incarnation` of `instance` is a voter in `state`.
bool IsVoter(const wire::ControlState& state, std::uint32_t instance,
             std::uint64_t incarnation);

/// Whether `incarnation` of `instance` was a voter and has been removed. It
/// cannot become a voter again.
bool WasRemoved(const wire::ControlState& state, std::uint32_t instance,
                std::uint64_t incarnation);

/// Whether `instances` include a majority of the voters.
bool IsMajority(const wire::ControlState& state,
                const std::set<std::uint32_t>& instances);

}  // namespace filbertwall
