#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "Backends/Directory.h"
#include "Base/Time.h"
#include "Rules/Rules.h"

/// Chooses the backend server of one attempt. Pure functions.
namespace filbertwall {

struct ChoiceRequest {
  std::string service;
  std::uint64_t seed = 0;
  std::set<Endpoint> avoided;  ///< Tried before by the same request.
};

/// How a choice ended: a server, all slots taken, or none known at all.
struct Choice {
  enum class Kind { kChosen, kFull, kNone };
  Kind kind = Kind::kNone;
  Endpoint backend;
};

/// Two random candidates, of which the one with less estimated load per
/// effective slot is taken. Servers of this data centre come first; servers
/// that failed lately are left out while others remain.
Choice ChooseBackend(const Directory& directory, const Rules& rules,
                     const ChoiceRequest& request, TimePoint now);

/// Requests thought to run there: this instance's own, and the others' as
/// announced, which counts for less as it ages.
double EstimatedLoad(const Backend& backend, TimePoint now);

/// Slots that may be used now: the announced ones, limited by the rules, and
/// rising from 1 while the server is cold.
double EffectiveSlots(const Backend& backend, const Rules& rules,
                      TimePoint now);

}  // namespace filbertwall
