#include "Requests/RequestTier.h"

#include <algorithm>

#include "Base/Text.h"
#include "Requests/Balancer.h"
#include "Requests/RequestTurn.h"

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
void CloseRequest(RequestTurn& turn, OpenRequest& open,
                  const wire::Answer& answer) {
  if (!open.caller_disconnected) {
    turn.effects.emplace_back(AnswerCaller{.id = open.id, .answer = answer});
  }
  turn.tier.attempts.erase(open.attempt);
  turn.tier.attempts.erase(open.claim.attempt);
  turn.tier.open.erase(open.id);
}

void Reject(RequestTurn& turn, const RequestArrived& event, int status,
            const std::string& reason) {
  Count(turn, "refused");
  turn.effects.emplace_back(AnswerCaller{
      .id = event.id, .answer = RefusalOf(event.request, status, reason)});
}

void ApplyRequestRule(OpenRequest& open, const RequestRule* rule,
                      TimePoint now) {
  const RequestRule defaults;
  const RequestRule& applied = rule == nullptr ? defaults : *rule;
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

void HandleArrived(RequestTurn& turn, const RequestArrived& event) {
  Count(turn, "requests");
  if (turn.tier.stopping) {
    Reject(turn, event, kStatusNotRun, "this instance is stopping");
    return;
  }
  const ServiceRule* service =
      FindServiceByHost(turn.context.rules, event.request.host);
  if (service == nullptr) {
    Reject(turn, event, 421, "no service has the name in Host");
    return;
  }
  OpenRequest open{.id = event.id,
                   .request = event.request,
                   .service = service->name,
                   .arrived_at = turn.context.now};
  const RequestRule* rule =
      FindRequestRule(turn.context.rules, service->name, open.request.method,
                      open.request.path);
  ApplyRequestRule(open, rule, turn.context.now);
  const std::string key = GetHeader(open.request, kKeyHeader);
  if (key.size() > kMaxKeyBytes) {
    Reject(turn, event, 400, "Idempotency-Key is over 256 bytes");
    return;
  }
  const auto generation =
      ParseNumber(GetHeader(open.request, kGenerationHeader), 1, 1000000);
  open.generation = static_cast<std::uint32_t>(generation.value_or(1));
  const bool needs_claim = !open.idempotent && !key.empty();
  if (needs_claim) {
    open.key = service->name + "\n" + key;
  }
  ServiceLoad& load = turn.tier.services[open.service];
  constexpr double kRetryTokensPerRequest = 0.1;
  constexpr double kMaxRetryTokens = 20.0;
  load.retry_tokens =
      std::min(load.retry_tokens + kRetryTokensPerRequest, kMaxRetryTokens);
  OpenRequest& stored =
      turn.tier.open.emplace(event.id, std::move(open)).first->second;
  if (needs_claim) {
    StartClaim(turn, stored);
  } else {
    Dispatch(turn, stored);
  }
}

void RemoveFromQueue(RequestTurn& turn, const OpenRequest& open) {
  ServiceLoad& load = turn.tier.services[open.service];
  std::erase(load.interactive, open.id);
  std::erase(load.bulk, open.id);
}

/// Releases the slot held by the current attempt.
void ReleaseSlot(RequestTurn& turn, OpenRequest& open) {
  turn.tier.attempts.erase(open.attempt);
  ServiceLoad& load = turn.tier.services[open.service];
  load.running -= load.running > 0 ? 1 : 0;
  const auto backend = turn.context.directory.backends.find(open.backend);
  if (backend != turn.context.directory.backends.end() &&
      backend->second.own_in_flight > 0) {
    backend->second.own_in_flight -= 1;
  }
}

void RecordAttemptHealth(RequestTurn& turn, const OpenRequest& open,
                         bool success) {
  const auto found = turn.context.directory.backends.find(open.backend);
  if (found == turn.context.directory.backends.end()) {
    return;
  }
  Backend& backend = found->second;
  if (success) {
    backend.consecutive_failures = 0;
    backend.consecutive_refusals = 0;
    backend.last_success = turn.context.now;
    return;
  }
  backend.consecutive_failures += 1;
  backend.last_failure = turn.context.now;
}

/// Marks the server as full: for 10 ms after its first refusal, and twice as
/// long after each consecutive one, up to 80 ms. A refusal means that other
/// instances use its slots.
void RecordRefusal(RequestTurn& turn, const OpenRequest& open) {
  constexpr Milliseconds kInitialPause{10};
  constexpr std::uint32_t kMaxDoublings = 3;
  const auto found = turn.context.directory.backends.find(open.backend);
  if (found == turn.context.directory.backends.end()) {
    return;
  }
  Backend& backend = found->second;
  const std::uint32_t doublings =
      std::min(backend.consecutive_refusals, kMaxDoublings);
  backend.consecutive_refusals += 1;
  backend.full_until = turn.context.now + kInitialPause * (1U << doublings);
}

void RecordServiceTime(RequestTurn& turn, const OpenRequest& open) {
  constexpr double kSmoothingFactor = 0.1;
  ServiceLoad& load = turn.tier.services[open.service];
  const auto elapsed_ms = static_cast<double>(
      MillisecondsBetween(open.attempt_started_at, turn.context.now));
  load.mean_service_ms +=
      (elapsed_ms - load.mean_service_ms) * kSmoothingFactor;
}

void CancelRunning(RequestTurn& turn, OpenRequest& open) {
  turn.effects.emplace_back(CancelAttempt{.attempt = open.attempt});
  ReleaseSlot(turn, open);
}

void HandleCallerDisconnected(RequestTurn& turn, const CallerLeft& event) {
  const auto found = turn.tier.open.find(event.id);
  if (found == turn.tier.open.end()) {
    return;
  }
  OpenRequest& open = found->second;
  open.caller_disconnected = true;
  Count(turn, "callers_left");
  if (open.phase == RequestPhase::kRunning) {
    if (open.idempotent) {
      CancelRunning(turn, open);
      CloseRequest(turn, open, {});
    }
    // The server may already run a non-idempotent request, so the attempt is
    // left to end and its outcome is recorded.
    return;
  }
  FinishNotRun(turn, open, "the caller left");
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

bool TakeRetryToken(RequestTurn& turn, const OpenRequest& open) {
  ServiceLoad& load = turn.tier.services[open.service];
  if (load.retry_tokens < 1.0) {
    Count(turn, "retries_over_budget");
    return false;
  }
  load.retry_tokens -= 1.0;
  return true;
}

/// Dispatches the request again after an attempt that did not run. This does
/// not consume a retry token.
void RetryOnOtherServer(RequestTurn& turn, OpenRequest& open,
                        std::uint32_t max_attempts) {
  open.tried.insert(open.backend);
  if (open.attempts >= max_attempts || turn.context.now >= open.deadline) {
    FinishNotRun(turn, open, "the backend servers refused it");
    return;
  }
  Dispatch(turn, open);
}

/// Dispatches the request again after an attempt that may have run, if it is
/// idempotent and has a retry and a retry token left. Otherwise finishes it.
void RetryOrGiveUp(RequestTurn& turn, OpenRequest& open,
                   const std::string& reason) {
  open.tried.insert(open.backend);
  open.may_have_run = true;
  const bool may_retry = open.idempotent && open.retries_left > 0 &&
                         turn.context.now < open.deadline;
  if (may_retry && TakeRetryToken(turn, open)) {
    open.retries_left -= 1;
    Count(turn, "retries");
    Dispatch(turn, open);
    return;
  }
  FinishUnknown(turn, open, reason);
}

void HandleAttemptEnded(RequestTurn& turn, const AttemptEnded& event) {
  const auto request = turn.tier.attempts.find(event.attempt);
  if (request == turn.tier.attempts.end()) {
    return;  // The attempt was cancelled; its late response is discarded.
  }
  OpenRequest& open = turn.tier.open.at(request->second);
  ReleaseSlot(turn, open);
  switch (event.result.kind) {
    case AttemptResult::Kind::kAnswered:
      if (IsRefusedBeforeRunning(event.result.answer)) {
        Count(turn, "refused_by_backend");
        RecordRefusal(turn, open);
        RetryOnOtherServer(turn, open, kMaxRefusedAttempts);
        break;
      }
      RecordAttemptHealth(turn, open, event.result.answer.status() < 500);
      RecordServiceTime(turn, open);
      FinishComplete(turn, open, event.result.answer);
      break;
    case AttemptResult::Kind::kNotSent:
      RecordAttemptHealth(turn, open, false);
      Count(turn, "attempts_not_sent");
      RetryOnOtherServer(turn, open, kMaxUnsentAttempts);
      break;
    case AttemptResult::Kind::kLost:
      RecordAttemptHealth(turn, open, false);
      Count(turn, "attempts_lost");
      RetryOrGiveUp(turn, open, "the connection to the backend server failed");
      break;
  }
  DrainQueues(turn);
}

/// Handles the deadline and time-outs of a request. May close the request.
void ExpireRequest(RequestTurn& turn, OpenRequest& open) {
  const TimePoint now = turn.context.now;
  switch (open.phase) {
    case RequestPhase::kClaiming:
    case RequestPhase::kClaimBackoff:
      if (now >= open.deadline) {
        WithdrawClaim(turn, open);
        open.claim.recorders.clear();
        FinishUnknown(turn, open,
                      "the order's recorders did not settle it in time");
        return;
      }
      AdvanceClaim(turn, open);
      return;
    case RequestPhase::kQueued:
      if (now >= open.deadline) {
        FinishNotRun(turn, open, "no slot was free in time");
      }
      return;
    case RequestPhase::kRunning:
      if (now >= open.deadline || now >= open.attempt_deadline) {
        RecordAttemptHealth(turn, open, false);
        CancelRunning(turn, open);
        RetryOrGiveUp(turn, open, "no answer came in time");
      }
      return;
  }
}

void HandleTick(RequestTurn& turn) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, open] : turn.tier.open) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    const auto open = turn.tier.open.find(id);
    if (open != turn.tier.open.end()) {
      ExpireRequest(turn, open->second);
    }
  }
  constexpr Milliseconds kWithdrawnRetention{30000};
  std::erase_if(turn.tier.withdrawn, [&](const auto& item) {
    return turn.context.now - item.second > kWithdrawnRetention;
  });
  DrainQueues(turn);
}

struct EventVisitor {
  RequestTurn& turn;
  void operator()(const RequestArrived& event) {
    HandleArrived(this->turn, event);
  }
  void operator()(const CallerLeft& event) {
    HandleCallerDisconnected(this->turn, event);
  }
  void operator()(const AttemptEnded& event) {
    HandleAttemptEnded(this->turn, event);
  }
  void operator()(const ClaimAnswered& event) {
    HandleClaimAnswered(this->turn, event);
  }
  void operator()(const RequestTick&) { HandleTick(this->turn); }
};

}  // namespace

wire::Answer RefusalOf(const HttpRequest& request, int status,
                       const std::string& reason) {
  // Another instance may have run a copy of a request with a key.
  const bool has_key = !GetHeader(request, kKeyHeader).empty();
  return BuildPlainAnswer(status, has_key ? "unknown" : "not-run", reason);
}

std::vector<RequestEffect> Reduce(RequestTier& tier, const RequestEvent& event,
                                  RequestContext context) {
  std::vector<RequestEffect> effects;
  RequestTurn turn{.tier = tier, .context = context, .effects = effects};
  std::visit(EventVisitor{.turn = turn}, event);
  return effects;
}

void Count(RequestTurn& turn, const std::string& counter) {
  turn.tier.counters[counter] += 1;
}

void FinishComplete(RequestTurn& turn, OpenRequest& open,
                    const wire::Answer& answer) {
  Count(turn, "answered");
  wire::Answer whole = answer;
  wire::HeaderField& field = *whole.add_headers();
  field.set_name(std::string(kOutcomeHeader));
  field.set_value("complete");
  if (!open.key.empty() && whole.body().size() <= kMaxRecordedBodyBytes) {
    SendOutcomes(turn, open, wire::DONE, whole);
  }
  CloseRequest(turn, open, whole);
}

void FinishNotRun(RequestTurn& turn, OpenRequest& open,
                  const std::string& reason) {
  RemoveFromQueue(turn, open);
  if (open.may_have_run) {
    FinishUnknown(turn, open, reason);
    return;
  }
  Count(turn, "not_run");
  if (open.phase == RequestPhase::kClaiming ||
      open.phase == RequestPhase::kClaimBackoff) {
    // This instance did not dispatch the order, but another instance may have
    // dispatched a copy.
    WithdrawClaim(turn, open);
    CloseRequest(turn, open,
                 BuildPlainAnswer(kStatusUnknown, "unknown", reason));
    return;
  }
  const wire::Answer answer =
      BuildPlainAnswer(kStatusNotRun, "not-run", reason);
  if (!open.key.empty()) {
    SendOutcomes(turn, open, wire::NOT_RUN, answer);
  }
  CloseRequest(turn, open, answer);
}

void FinishUnknown(RequestTurn& turn, OpenRequest& open,
                   const std::string& reason) {
  Count(turn, "unknown");
  CloseRequest(turn, open, BuildPlainAnswer(kStatusUnknown, "unknown", reason));
}

void FinishFromRecord(RequestTurn& turn, OpenRequest& open,
                      const wire::OrderRecord& record) {
  Count(turn, "answered_from_record");
  CloseRequest(turn, open, record.answer());
}

}  // namespace filbertwall
