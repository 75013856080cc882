#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Fleet/Fleet.h"
#include "Placement/Placement.h"

/// The evacuations that an entry instance knows. Plain state; not thread safe.
namespace filbertwall {

struct EntryEvacuations {
  std::uint64_t seq = 0;  ///< Of the newest change that was received.
  std::set<std::string> by_command;
  /// The version of the newest rules of which `by_rules` is known.
  std::uint64_t rules_version = 0;
  std::set<std::string> by_rules;
};

/// Takes the evacuations of an update if they are newer than those held, and
/// applies them to the placement. Returns the log records of what has changed.
/// Precondition: `update` was returned by `ReadUpdate`.
std::vector<LogRecord> ApplyEvacuations(EntryEvacuations& evacuations,
                                        const wire::Update& update,
                                        Placement& placement, TimePoint now);

}  // namespace filbertwall
