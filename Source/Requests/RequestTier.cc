#include "Requests/RequestTier.h"

#include <algorithm>

#include "Base/Text.h"
#include "Requests/Balancer.h"
#include "Requests/RequestContext.h"

namespace filbertwall {
namespace {

/// Number of attempts after which a request is not dispatched again, if the
/// last attempt was not sent.
constexpr std::uint32_t kMaxUnsentAttempts = 6;
/// The same if the server refused the last attempt before running it.
constexpr std::uint32_t kMaxRefusedAttempts = 16;

constexpr int kStatusNotRun = 503;
constexpr int kStatusUnknown = 504;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxRecordedBodyBytes = 64UL * 1024UL;

std::string GetHeader(const HttpRequest& request, std::string_view name) {
  for (const wire::HeaderField& field : request.headers) {
    if (EqualsIgnoringCase(field.name(), name)) {
      return field.value();
    }
  }
  return "";
}

wire::Answer BuildPlainAnswer(int status, std::string_view outcome,
                              const std::string& reason) {
  wire::Answer answer;
  answer.set_status(status);
  wire::HeaderField& field = *answer.add_headers();
  field.set_name(std::string(kOutcomeHeader));
  field.set_value(std::string(outcome));
  answer.set_body(std::string(outcome) + ": " + reason + "\n");
  return answer;
}

/// Removes the request. Sends the response unless the caller disconnected.
void CloseRequest(RequestContext& context, OpenRequest& open,
                  const wire::Answer& answer) {
  if (!open.caller_disconnected) {
    context.effects.emplace_back(AnswerCaller{.id = open.id, .answer = answer});
  }
  context.tier.attempts.erase(open.attempt);
  context.tier.attempts.erase(open.claim.attempt);
  context.tier.open.erase(open.id);
}

void Reject(RequestContext& context, const RequestArrived& event, int status,
            const std::string& reason) {
  Count(context, "refused");
  context.effects.emplace_back(AnswerCaller{
      .id = event.id, .answer = BuildRefusal(event.request, status, reason)});
}

void ApplyRequestRule(OpenRequest& open, const RequestRule* rule,
                      TimePoint now) {
  const RequestRule defaults;
  const RequestRule& applied = rule == nullptr ? defaults : *rule;
  if (rule != nullptr) {
    open.rule = rule->method + " " + rule->path;
  }
  open.idempotent = IsIdempotent(rule, open.request.method);
  open.retries_left = open.idempotent ? applied.retries : 0;
  open.queue_limit = applied.queue;
  open.traffic_class = applied.traffic_class;
  Milliseconds allowed = applied.deadline;
  const auto asked =
      ParseNumber(GetHeader(open.request, kDeadlineHeader), 0, 3600000);
  if (asked) {
    allowed = std::min(allowed, Milliseconds(*asked));
  }
  open.deadline = now + allowed;
}

void HandleArrived(RequestContext& context, const RequestArrived& event) {
  Count(context, "requests");
  if (context.tier.stopping) {
    Reject(context, event, kStatusNotRun, "this instance is stopping");
    return;
  }
  const ServiceRule* service =
      FindServiceByHost(context.environment.rules, event.request.host);
  if (service == nullptr) {
    Reject(context, event, 421, "no service has the name in Host");
    return;
  }
  OpenRequest open{.id = event.id,
                   .request = event.request,
                   .service = service->name,
                   .arrived_at = context.environment.now};
  const RequestRule* rule =
      FindRequestRule(context.environment.rules, service->name,
                      open.request.method, open.request.path);
  ApplyRequestRule(open, rule, context.environment.now);
  const std::string key = GetHeader(open.request, kKeyHeader);
  if (key.size() > kMaxKeyBytes) {
    Reject(context, event, 400, "Idempotency-Key is over 256 bytes");
    return;
  }
  const auto generation =
      ParseNumber(GetHeader(open.request, kGenerationHeader), 1, 1000000);
  open.generation = static_cast<std::uint32_t>(generation.value_or(1));
  const bool needs_claim = !open.idempotent && !key.empty();
  if (needs_claim) {
    open.key = service->name + "\n" + key;
  }
  ServiceLoad& load = context.tier.services[open.service];
  constexpr double kRetryTokensPerRequest = 0.1;
  constexpr double kMaxRetryTokens = 20.0;
  load.retry_tokens =
      std::min(load.retry_tokens + kRetryTokensPerRequest, kMaxRetryTokens);
  load.hedge_budget.share = context.tier.hedge_share;
  EarnExtraWork(load.hedge_budget);
  OpenRequest& stored =
      context.tier.open.emplace(event.id, std::move(open)).first->second;
  if (needs_claim) {
    StartClaim(context, stored);
  } else {
    Dispatch(context, stored);
  }
}

void RemoveFromQueue(RequestContext& context, const OpenRequest& open) {
  ServiceLoad& load = context.tier.services[open.service];
  std::erase(load.interactive, open.id);
  std::erase(load.bulk, open.id);
}

/// Releases the slot held by the current attempt.
void ReleaseSlot(RequestContext& context, const OpenRequest& open) {
  ReleaseAttempt(context, open.service, open.attempt, open.backend);
}

void RecordAttemptHealth(RequestContext& context, const OpenRequest& open,
                         bool success) {
  const auto found = context.environment.directory.backends.find(open.backend);
  if (found == context.environment.directory.backends.end()) {
    return;
  }
  Backend& backend = found->second;
  if (success) {
    backend.consecutive_failures = 0;
    backend.consecutive_refusals = 0;
    backend.last_success = context.environment.now;
    return;
  }
  backend.consecutive_failures += 1;
  backend.last_failure = context.environment.now;
}

/// Marks the server as full: for 10 ms after its first refusal, and twice as
/// long after each consecutive one, up to 80 ms. A refusal means that other
/// instances use its slots.
void RecordRefusal(RequestContext& context, const OpenRequest& open) {
  constexpr Milliseconds kInitialPause{10};
  constexpr std::uint32_t kMaxDoublings = 3;
  context.tier.services[open.service].last_refusal_at = context.environment.now;
  const auto found = context.environment.directory.backends.find(open.backend);
  if (found == context.environment.directory.backends.end()) {
    return;
  }
  Backend& backend = found->second;
  const std::uint32_t doublings =
      std::min(backend.consecutive_refusals, kMaxDoublings);
  backend.consecutive_refusals += 1;
  backend.full_until =
      context.environment.now + kInitialPause * (1U << doublings);
}

void RecordServiceTime(RequestContext& context, const OpenRequest& open) {
  constexpr double kSmoothingFactor = 0.1;
  ServiceLoad& load = context.tier.services[open.service];
  const auto elapsed_ms = static_cast<double>(
      MillisecondsBetween(open.attempt_started_at, context.environment.now));
  load.mean_service_ms +=
      (elapsed_ms - load.mean_service_ms) * kSmoothingFactor;
  if (context.tier.hedge_share > 0) {
    // A hedged request counts from its first attempt on: it would otherwise
    // look fast, and the delay would fall from hedge to hedge.
    AddRequestDuration(load.durations, open.rule,
                       std::chrono::duration_cast<Milliseconds>(
                           context.environment.now - open.first_attempt_at));
  }
}

void CancelRunning(RequestContext& context, OpenRequest& open) {
  context.effects.emplace_back(CancelAttempt{.attempt = open.attempt});
  ReleaseSlot(context, open);
}

void HandleCallerDisconnected(RequestContext& context,
                              const CallerDisconnected& event) {
  const auto found = context.tier.open.find(event.id);
  if (found == context.tier.open.end()) {
    return;
  }
  OpenRequest& open = found->second;
  open.caller_disconnected = true;
  Count(context, "callers_left");
  if (open.phase == RequestPhase::kRunning) {
    if (open.idempotent) {
      CancelOtherAttempt(context, open);
      CancelRunning(context, open);
      CloseRequest(context, open, {});
    }
    // The server may already run a non-idempotent request, so the attempt is
    // left to end and its outcome is recorded.
    return;
  }
  if (open.phase == RequestPhase::kRecording) {
    CloseRequest(context, open, {});
    return;
  }
  FinishNotRun(context, open, "the caller left");
}

bool IsRefusedBeforeRunning(const wire::Answer& answer) {
  if (answer.status() != kStatusNotRun) {
    return false;
  }
  return std::any_of(answer.headers().begin(), answer.headers().end(),
                     [](const wire::HeaderField& field) {
                       return EqualsIgnoringCase(field.name(), kNotRunHeader) &&
                              field.value() == "true";
                     });
}

bool TakeRetryToken(RequestContext& context, const OpenRequest& open) {
  ServiceLoad& load = context.tier.services[open.service];
  if (load.retry_tokens < 1.0) {
    Count(context, "retries_over_budget");
    return false;
  }
  load.retry_tokens -= 1.0;
  return true;
}

/// Dispatches the request again after an attempt that did not run. This does
/// not consume a retry token.
void RetryOnOtherServer(RequestContext& context, OpenRequest& open,
                        std::uint32_t max_attempts) {
  open.tried.insert(open.backend);
  if (open.attempts >= max_attempts ||
      context.environment.now >= open.deadline) {
    FinishNotRun(context, open, "the backend servers refused it");
    return;
  }
  Dispatch(context, open);
}

/// Dispatches the request again after an attempt that may have run, if it is
/// idempotent and has a retry and a retry token left. Otherwise finishes it.
void RetryOrGiveUp(RequestContext& context, OpenRequest& open,
                   const std::string& reason) {
  open.tried.insert(open.backend);
  open.may_have_run = true;
  const bool may_retry = open.idempotent && open.retries_left > 0 &&
                         context.environment.now < open.deadline;
  if (may_retry && TakeRetryToken(context, open)) {
    open.retries_left -= 1;
    Count(context, "retries");
    Dispatch(context, open);
    return;
  }
  FinishUnknown(context, open, reason);
}

/// Cancels the attempt that has taken too long. Its request goes on with the
/// other attempt, if there is one, and is otherwise dispatched again.
void HandleAttemptTimeout(RequestContext& context, OpenRequest& open) {
  RecordAttemptHealth(context, open, false);
  CancelRunning(context, open);
  if (context.environment.now >= open.deadline) {
    CancelOtherAttempt(context, open);
  }
  open.may_have_run = true;
  if (!ContinueWithOtherAttempt(open)) {
    RetryOrGiveUp(context, open, "no answer came in time");
  }
}

void HandleAttemptEnded(RequestContext& context, const AttemptEnded& event) {
  const auto request = context.tier.attempts.find(event.attempt);
  if (request == context.tier.attempts.end()) {
    return;  // The attempt was cancelled; its late response is discarded.
  }
  OpenRequest& open = context.tier.open.at(request->second);
  if (event.attempt == open.hedge.other_attempt) {
    SwapAttempts(open);
  }
  ReleaseSlot(context, open);
  switch (event.result.kind) {
    case AttemptResult::Kind::kAnswered:
      if (IsRefusedBeforeRunning(event.result.answer)) {
        Count(context, "refused_by_backend");
        RecordRefusal(context, open);
        if (!ContinueWithOtherAttempt(open)) {
          RetryOnOtherServer(context, open, kMaxRefusedAttempts);
        }
        break;
      }
      RecordAttemptHealth(context, open, event.result.answer.status() < 500);
      RecordServiceTime(context, open);
      RecordWinner(context, open);
      CancelOtherAttempt(context, open);
      FinishComplete(context, open, event.result.answer);
      break;
    case AttemptResult::Kind::kNotSent:
      RecordAttemptHealth(context, open, false);
      Count(context, "attempts_not_sent");
      if (!ContinueWithOtherAttempt(open)) {
        RetryOnOtherServer(context, open, kMaxUnsentAttempts);
      }
      break;
    case AttemptResult::Kind::kLost:
      RecordAttemptHealth(context, open, false);
      Count(context, "attempts_lost");
      open.may_have_run = true;
      if (!ContinueWithOtherAttempt(open)) {
        RetryOrGiveUp(context, open,
                      "the connection to the backend server failed");
      }
      break;
  }
  DrainQueues(context);
}

/// Handles the deadline and time-outs of a request. May close the request.
void ExpireRequest(RequestContext& context, OpenRequest& open) {
  const TimePoint now = context.environment.now;
  switch (open.phase) {
    case RequestPhase::kClaiming:
    case RequestPhase::kClaimBackoff:
      if (now >= open.deadline) {
        WithdrawClaim(context, open);
        open.claim.recorders.clear();
        FinishUnknown(context, open,
                      "the order's recorders did not settle it in time");
        return;
      }
      AdvanceClaim(context, open);
      return;
    case RequestPhase::kQueued:
      if (now >= open.deadline) {
        FinishNotRun(context, open, "no slot was free in time");
      }
      return;
    case RequestPhase::kRunning:
      if (now >= open.deadline || now >= open.attempt_deadline) {
        HandleAttemptTimeout(context, open);
      } else if (now >= open.hedge.due_at) {
        SendHedgeIfAllowed(context, open);
      }
      return;
    case RequestPhase::kRecording:
      if (now >= open.recording.ends_at) {
        Count(context, "answered_unrecorded");
        FinishRecording(context, open);
      }
      return;
  }
}

void HandleTick(RequestContext& context) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, open] : context.tier.open) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    const auto open = context.tier.open.find(id);
    if (open != context.tier.open.end()) {
      ExpireRequest(context, open->second);
    }
  }
  constexpr Milliseconds kWithdrawnRetention{30000};
  std::erase_if(context.tier.withdrawn, [&](const auto& item) {
    return context.environment.now - item.second > kWithdrawnRetention;
  });
  DrainQueues(context);
}

struct EventVisitor {
  RequestContext& context;
  void operator()(const RequestArrived& event) {
    HandleArrived(this->context, event);
  }
  void operator()(const CallerDisconnected& event) {
    HandleCallerDisconnected(this->context, event);
  }
  void operator()(const AttemptEnded& event) {
    HandleAttemptEnded(this->context, event);
  }
  void operator()(const ClaimAnswered& event) {
    HandleClaimAnswered(this->context, event);
  }
  void operator()(const OutcomeRecorded& event) {
    HandleOutcomeRecorded(this->context, event);
  }
  void operator()(const RequestTick&) { HandleTick(this->context); }
};

}  // namespace

wire::Answer BuildRefusal(const HttpRequest& request, int status,
                          const std::string& reason) {
  // Another instance may have run a copy of a request with a key.
  const bool has_key = !GetHeader(request, kKeyHeader).empty();
  return BuildPlainAnswer(status, has_key ? "unknown" : "not-run", reason);
}

std::vector<RequestEffect> Reduce(RequestTier& tier, const RequestEvent& event,
                                  RequestEnvironment environment) {
  std::vector<RequestEffect> effects;
  RequestContext context{
      .tier = tier, .environment = environment, .effects = effects};
  std::visit(EventVisitor{.context = context}, event);
  return effects;
}

void Count(RequestContext& context, const std::string& counter) {
  context.tier.counters[counter] += 1;
}

void ReleaseAttempt(RequestContext& context, const std::string& service,
                    std::uint64_t attempt, const Endpoint& backend) {
  context.tier.attempts.erase(attempt);
  ServiceLoad& load = context.tier.services[service];
  load.running -= load.running > 0 ? 1 : 0;
  const auto found = context.environment.directory.backends.find(backend);
  if (found != context.environment.directory.backends.end() &&
      found->second.own_in_flight > 0) {
    found->second.own_in_flight -= 1;
  }
}

void FinishComplete(RequestContext& context, OpenRequest& open,
                    const wire::Answer& answer) {
  Count(context, "answered");
  wire::Answer whole = answer;
  wire::HeaderField& field = *whole.add_headers();
  field.set_name(std::string(kOutcomeHeader));
  field.set_value("complete");
  const bool recorded =
      !open.key.empty() && whole.body().size() <= kMaxRecordedBodyBytes;
  if (recorded && !open.caller_disconnected) {
    StartRecording(context, open, whole);
    return;
  }
  if (recorded) {
    SendOutcomes(context, open, wire::DONE, whole);
  }
  CloseRequest(context, open, whole);
}

void FinishRecording(RequestContext& context, OpenRequest& open) {
  const wire::Answer answer = std::move(open.recording.answer);
  CloseRequest(context, open, answer);
}

void FinishNotRun(RequestContext& context, OpenRequest& open,
                  const std::string& reason) {
  RemoveFromQueue(context, open);
  if (open.may_have_run) {
    FinishUnknown(context, open, reason);
    return;
  }
  Count(context, "not_run");
  if (open.phase == RequestPhase::kClaiming ||
      open.phase == RequestPhase::kClaimBackoff) {
    // This instance did not dispatch the order, but another instance may have
    // dispatched a copy.
    WithdrawClaim(context, open);
    CloseRequest(context, open,
                 BuildPlainAnswer(kStatusUnknown, "unknown", reason));
    return;
  }
  const wire::Answer answer =
      BuildPlainAnswer(kStatusNotRun, "not-run", reason);
  if (!open.key.empty()) {
    SendOutcomes(context, open, wire::NOT_RUN, answer);
  }
  CloseRequest(context, open, answer);
}

void FinishUnknown(RequestContext& context, OpenRequest& open,
                   const std::string& reason) {
  Count(context, "unknown");
  CloseRequest(context, open,
               BuildPlainAnswer(kStatusUnknown, "unknown", reason));
}

void FinishFromRecord(RequestContext& context, OpenRequest& open,
                      const wire::OrderRecord& record) {
  Count(context, "answered_from_record");
  CloseRequest(context, open, record.answer());
}

}  // namespace filbertwall
