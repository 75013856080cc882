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
  std::uint64_t seed = 0;            ///< For the random picks.
  std::set<Endpoint> already_tried;  ///< By earlier attempts of the request.
};

/// The result of a selection.
struct Choice {
  enum class Kind {
    kChosen,  ///< `backend` is the selected server.
    kFull,    ///< No candidate outside backoff has a free slot.
    kNone     ///< No candidate is known for the service.
  };
  Kind kind = Kind::kNone;
  Endpoint backend;
};

/// Picks two random candidates with a free slot and returns the one with the
/// lower estimated load per effective slot and weight. Prefers servers that the
/// request has not tried, then servers of this data centre. Leaves out servers
/// that failed recently (in backoff), unless all candidates did.
Choice ChooseBackend(const Directory& directory, const Rules& rules,
                     const ChoiceRequest& request, TimePoint now);

/// Returns the estimated number of requests in flight at the server: those of
/// this instance plus those of other instances by the last announcement. The
/// latter number decays exponentially with the age of the announcement.
double EstimatedLoad(const Backend& backend, TimePoint now);

/// Returns whether the server has been READY long enough to use all its slots.
bool IsWarm(const Backend& backend, TimePoint now);

/// Returns the number of slots usable now: the announced slots, capped by the
/// rules. After the server became READY, the number rises linearly from 1.
double EffectiveSlots(const Backend& backend, const Rules& rules,
                      TimePoint now);

}  // namespace filbertwall
