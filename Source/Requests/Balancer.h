#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "Backends/Directory.h"
#include "Base/Time.h"
#include "Rules/Rules.h"

/// Load balancing: selects the backend server for one attempt of a request.
/// All functions are pure.
namespace filbertwall {

struct ChoiceRequest {
  std::string service;
  std::uint64_t seed = 0;
  std::set<Endpoint> already_tried;  ///< By earlier attempts of the request.
};

/// The result of a selection.
struct Choice {
  enum class Kind {
    kChosen,  ///< `backend` is the selected server.
    kFull,    ///< All candidates have all their slots in use.
    kNone     ///< No candidate is known for the service.
  };
  Kind kind = Kind::kNone;
  Endpoint backend;
};

/// Picks two random candidates and returns the one with the lower estimated
/// load per effective slot. Prefers servers that the request has not tried,
/// then servers of this data centre. Excludes servers that failed recently
/// while other candidates remain.
Choice ChooseBackend(const Directory& directory, const Rules& rules,
                     const ChoiceRequest& request, TimePoint now);

/// Returns the estimated number of requests in flight at the server: those of
/// this instance plus the announced ones of other instances. The announced
/// figure loses weight as it ages.
double EstimatedLoad(const Backend& backend, TimePoint now);

/// Returns the number of slots usable now: the announced slots, capped by the
/// rules, and ramped up from 1 after the server became ready.
double EffectiveSlots(const Backend& backend, const Rules& rules,
                      TimePoint now);

}  // namespace filbertwall
