#include "Requests/Hedging.h"

#include <algorithm>

#include "Requests/Balancer.h"
#include "Requests/RequestContext.h"

namespace filbertwall {
namespace {

constexpr std::size_t kMaxRules = 256;
constexpr double kMinObservations = 50;
/// The share of requests that are slow enough to be hedged is this multiple of
/// the budget, between these limits. With the budget itself, 2 % of hedges did
/// not reach 3 % of slow requests before most of their time had passed.
constexpr double kSlowShareFactor = 2;
constexpr double kMinSlowShare = 0.02;
constexpr double kMaxSlowShare = 0.05;
/// No hedge is sent for this long after the service shed a request, or one of
/// its servers refused one. A single server may be full by chance.
constexpr Milliseconds kPauseAfterShedding{1000};
constexpr Milliseconds kPauseAfterRefusal{50};
/// Between two checks of a request whose hedge could not be sent.
constexpr Milliseconds kCheckInterval{10};

const RecentDurations* FindDurations(const RequestDurations& durations,
                                     const std::string& rule) {
  const auto own = durations.by_rule.find(rule);
  const auto found =
      own == durations.by_rule.end() ? durations.by_rule.find("") : own;
  return found == durations.by_rule.end() ? nullptr : &found->second;
}

/// Returns the server for a second attempt: one that the request has not tried,
/// warm, with a free slot and without a recent failure; empty if there is none.
std::optional<Endpoint> ChooseHedgeBackend(RequestContext& context,
                                           const OpenRequest& open) {
  ChoiceRequest request{.service = open.service,
                        .seed = MakeChoiceSeed(context.tier),
                        .already_tried = open.tried};
  request.already_tried.insert(open.backend);
  const TimePoint now = context.environment.now;
  const Directory& directory = context.environment.directory;
  const Choice choice =
      ChooseBackend(directory, context.environment.rules, request, now);
  if (choice.kind != Choice::Kind::kChosen ||
      request.already_tried.contains(choice.backend)) {
    return std::nullopt;
  }
  const Backend& backend = directory.backends.at(choice.backend);
  const bool healthy = IsWarm(backend, now) &&
                       backend.consecutive_failures == 0 &&
                       backend.consecutive_refusals == 0;
  return healthy ? std::optional(choice.backend) : std::nullopt;
}

/// Whether the service has capacity for requests beyond those of its callers,
/// and the caller's deadline leaves time for one.
bool HasSpareCapacity(const RequestContext& context, const OpenRequest& open) {
  const TimePoint now = context.environment.now;
  const ServiceLoad& load = context.tier.services.at(open.service);
  const bool shed =
      (load.last_shed_at && now - *load.last_shed_at < kPauseAfterShedding) ||
      (load.last_refusal_at &&
       now - *load.last_refusal_at < kPauseAfterRefusal);
  return !shed && load.interactive.empty() && load.bulk.empty() &&
         now + GetMedianDuration(load.durations, open.rule) < open.deadline;
}

}  // namespace

void AddRequestDuration(RequestDurations& durations, const std::string& rule,
                        Milliseconds duration) {
  const bool has_place =
      durations.by_rule.contains(rule) || durations.by_rule.size() < kMaxRules;
  AddDuration(durations.by_rule[has_place ? rule : ""], duration);
}

std::optional<Milliseconds> GetHedgeDelay(const RequestDurations& durations,
                                          const std::string& rule,
                                          double share) {
  const RecentDurations* const recent = FindDurations(durations, rule);
  if (recent == nullptr || recent->total < kMinObservations) {
    return std::nullopt;
  }
  const double slow_share =
      std::clamp(kSlowShareFactor * share, kMinSlowShare, kMaxSlowShare);
  return std::chrono::ceil<Milliseconds>(QuantileOf(*recent, 1 - slow_share));
}

Milliseconds GetMedianDuration(const RequestDurations& durations,
                               const std::string& rule) {
  constexpr double kMedian = 0.5;
  const RecentDurations* const recent = FindDurations(durations, rule);
  return recent == nullptr
             ? Milliseconds(0)
             : std::chrono::ceil<Milliseconds>(QuantileOf(*recent, kMedian));
}

void ScheduleHedge(RequestContext& context, OpenRequest& open) {
  open.hedge.due_at = TimePoint::max();
  const double share = context.tier.hedge_share;
  if (share <= 0 || !open.idempotent || open.hedge.sent_attempt != 0) {
    return;
  }
  const auto delay = GetHedgeDelay(
      context.tier.services[open.service].durations, open.rule, share);
  if (delay) {
    open.hedge.due_at = context.environment.now + *delay;
  }
}

void SendHedgeIfAllowed(RequestContext& context, OpenRequest& open) {
  std::optional<Endpoint> backend;
  if (HasSpareCapacity(context, open)) {
    backend = ChooseHedgeBackend(context, open);
  }
  ExtraWorkBudget& budget = context.tier.services[open.service].hedge_budget;
  if (!backend || !AllowsExtraWork(budget)) {
    if (!open.hedge.put_off) {
      open.hedge.put_off = true;
      Count(context, backend ? "hedges_over_budget" : "hedges_withheld");
    }
    open.hedge.due_at = context.environment.now + kCheckInterval;
    return;
  }
  open.hedge.due_at = TimePoint::max();
  SpendExtraWork(budget);
  Count(context, "hedges_sent");
  const LaunchedAttempt hedge = LaunchAttempt(context, open, *backend);
  open.hedge.sent_attempt = hedge.attempt;
  open.hedge.other_attempt = hedge.attempt;
  open.hedge.other_backend = *backend;
  open.hedge.other_started_at = context.environment.now;
  open.hedge.other_deadline = hedge.deadline;
}

void SwapAttempts(OpenRequest& open) {
  std::swap(open.attempt, open.hedge.other_attempt);
  std::swap(open.backend, open.hedge.other_backend);
  std::swap(open.attempt_started_at, open.hedge.other_started_at);
  std::swap(open.attempt_deadline, open.hedge.other_deadline);
}

bool ContinueWithOtherAttempt(OpenRequest& open) {
  if (open.hedge.other_attempt == 0) {
    return false;
  }
  open.tried.insert(open.backend);
  SwapAttempts(open);
  open.hedge.other_attempt = 0;
  return true;
}

void CancelOtherAttempt(RequestContext& context, OpenRequest& open) {
  if (open.hedge.other_attempt == 0) {
    return;
  }
  context.tier.counters["hedges_extra_ms"] += static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, MillisecondsBetween(open.hedge.other_started_at,
                                                    context.environment.now)));
  context.effects.emplace_back(
      CancelAttempt{.attempt = open.hedge.other_attempt});
  ReleaseAttempt(context, open.service, open.hedge.other_attempt,
                 open.hedge.other_backend);
  open.hedge.other_attempt = 0;
}

void RecordWinner(RequestContext& context, const OpenRequest& open) {
  if (open.hedge.sent_attempt != 0) {
    Count(context, open.attempt == open.hedge.sent_attempt ? "hedges_won"
                                                           : "hedges_lost");
  }
}

}  // namespace filbertwall
