#include "Requests/Balancer.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// Time over which the usable slots of a server rise to the full number after
/// it became READY.
constexpr Milliseconds kColdStartRamp{3000};
/// Age of an announcement at which its load of other instances counts half.
constexpr Milliseconds kAnnouncedLoadHalfLife{1000};
/// Number of consecutive failures after which a server is in backoff. Each
/// further failure doubles the backoff.
constexpr std::uint32_t kFailuresBeforeBackoff = 3;
constexpr Milliseconds kInitialBackoff{500};
constexpr Milliseconds kMaxBackoff{8000};

bool IsInBackoff(const Backend& backend, TimePoint now) {
  if (backend.consecutive_failures < kFailuresBeforeBackoff) {
    return false;
  }
  const std::uint32_t doublings =
      std::min(backend.consecutive_failures - kFailuresBeforeBackoff, 4U);
  const Milliseconds backoff =
      std::min(kInitialBackoff * (1U << doublings), kMaxBackoff);
  return now - backend.last_failure < backoff;
}

using Candidates = std::vector<const Backend*>;

/// Returns the candidates that satisfy `preferred`, or all if none does.
template <typename Predicate>
Candidates FilterIfAny(const Candidates& candidates, Predicate preferred) {
  Candidates kept;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept),
               preferred);
  return kept.empty() ? candidates : kept;
}

bool HasFreeSlot(const Backend& backend, const Rules& rules, TimePoint now) {
  const double slots = EffectiveSlots(backend, rules, now);
  return now >= backend.full_until && backend.own_in_flight + 1.0 <= slots &&
         EstimatedLoad(backend, now) + 0.5 <= slots;
}

double LoadPerWeightedSlot(const Backend& backend, const Rules& rules,
                           TimePoint now) {
  const std::uint32_t weight =
      GetBackendWeight(rules, backend.announcement.service(), backend.address);
  return (EstimatedLoad(backend, now) + 1.0) /
         (EffectiveSlots(backend, rules, now) * std::max(weight, 1U));
}

}  // namespace

double EstimatedLoad(const Backend& backend, TimePoint now) {
  const auto announced = backend.announcement.in_flight();
  const double others =
      std::max<double>(0.0, static_cast<double>(announced) -
                                backend.own_in_flight_when_announced);
  const auto age_ms =
      static_cast<double>(MillisecondsBetween(backend.announced_at, now));
  const double decay =
      std::exp2(-age_ms / static_cast<double>(kAnnouncedLoadHalfLife.count()));
  return backend.own_in_flight + others * decay;
}

bool IsWarm(const Backend& backend, TimePoint now) {
  return now - backend.ready_since >= kColdStartRamp;
}

double EffectiveSlots(const Backend& backend, const Rules& rules,
                      TimePoint now) {
  double slots = backend.announcement.slots();
  const auto limit = rules.limits.find(backend.announcement.service());
  if (limit != rules.limits.end() && limit->second.slots > 0) {
    slots = std::min<double>(slots, limit->second.slots);
  }
  const auto ready_ms =
      static_cast<double>(MillisecondsBetween(backend.ready_since, now));
  const double warm_fraction =
      ready_ms / static_cast<double>(kColdStartRamp.count());
  return std::max(1.0, slots * std::clamp(warm_fraction, 0.0, 1.0));
}

Choice ChooseBackend(const Directory& directory, const Rules& rules,
                     const ChoiceRequest& request, TimePoint now) {
  Candidates all = FindCandidates(directory, rules, request.service, now);
  if (all.empty()) {
    return {};
  }
  all = FilterIfAny(
      all, [&](const Backend* backend) { return !IsInBackoff(*backend, now); });
  Candidates free;
  std::copy_if(all.begin(), all.end(), std::back_inserter(free),
               [&](const Backend* backend) {
                 return HasFreeSlot(*backend, rules, now);
               });
  if (free.empty()) {
    return {.kind = Choice::Kind::kFull};
  }
  free = FilterIfAny(free, [&](const Backend* backend) {
    return !request.already_tried.contains(backend->address);
  });
  free = FilterIfAny(free, [&](const Backend* backend) {
    return backend->data_centre == directory.data_centre;
  });
  const Backend* first = free[request.seed % free.size()];
  const Backend* second =
      free[MixHash(request.seed, free.size()) % free.size()];
  const bool prefer_second = LoadPerWeightedSlot(*second, rules, now) <
                             LoadPerWeightedSlot(*first, rules, now);
  return {.kind = Choice::Kind::kChosen,
          .backend = (prefer_second ? second : first)->address};
}

}  // namespace filbertwall
