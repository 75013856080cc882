#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "Wire/wire.pb.h"

/// The state that the control instances agree on, as a pure state machine.
namespace filbertwall {

/// Versions whose digest and submitter stay known after they are superseded.
constexpr int kHistoryLimit = 100000;

/// What is already decided about a rules file.
struct Ruling {
  enum class Kind { kOpen, kAccepted, kRefused, kForgotten };
  Kind kind = Kind::kOpen;
  std::string reason;
};

/// Applies a committed entry. Precondition: `entry.seq() == state.seq() + 1`.
void ApplyEntry(wire::ControlState& state, const wire::Entry& entry);

/// Decides from committed history alone. kOpen: the file may be proposed.
/// Accepted and refused are final, whichever instance says them.
Ruling RuleOn(const wire::ControlState& state, const wire::RulesFile& file);

bool IsVoter(const wire::ControlState& state, std::uint32_t instance,
             std::uint64_t incarnation);

/// Whether this incarnation was a voter once and may not come back.
bool WasRemoved(const wire::ControlState& state, std::uint32_t instance,
                std::uint64_t incarnation);

/// Whether `instances` hold a majority of the voters.
bool IsMajority(const wire::ControlState& state,
                const std::set<std::uint32_t>& instances);

}  // namespace filbertwall
