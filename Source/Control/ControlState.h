#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "Wire/wire.pb.h"

/// The replicated state of the control instances, as a pure state machine.
namespace filbertwall {

/// Upper bound of the version records kept in the history.
constexpr int kHistoryLimit = 100000;

/// What the committed history says about a submitted rules file.
struct Ruling {
  enum class Kind { kOpen, kAccepted, kRefused, kForgotten };
  Kind kind = Kind::kOpen;
  std::string reason;
};

/// Applies a committed entry. Precondition: `entry.seq() == state.seq() + 1`.
void ApplyEntry(wire::ControlState& state, const wire::Entry& entry);

/// Looks a rules file up in the committed history only. kOpen: the file may be
/// proposed. kForgotten: the history no longer covers its version. kAccepted
/// and kRefused are final, whichever instance returns them.
Ruling RuleOn(const wire::ControlState& state, const wire::RulesFile& file);

/// Whether `incarnation` of `instance` is a voter in `state`.
bool IsVoter(const wire::ControlState& state, std::uint32_t instance,
             std::uint64_t incarnation);

/// Whether this incarnation is a removed voter, which cannot vote again.
bool WasRemoved(const wire::ControlState& state, std::uint32_t instance,
                std::uint64_t incarnation);

/// Whether `instances` include a majority of the voters.
bool IsMajority(const wire::ControlState& state,
                const std::set<std::uint32_t>& instances);

}  // namespace filbertwall
