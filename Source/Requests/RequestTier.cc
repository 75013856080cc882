#include "Requests/RequestTier.h"

#include <algorithm>

#include "Base/Text.h"
#include "Requests/Balancer.h"
#include "Requests/RequestTurn.h"

namespace filbertwall {
namespace {

/// Attempts of one request, by how the last one ended.
constexpr std::uint32_t kMostUnsentAttempts = 6;
constexpr std::uint32_t kMostRefusedAttempts = 16;

constexpr int kStatusNotRun = 503;
constexpr int kStatusUnknown = 504;
constexpr std::size_t kLongestKey = 256;
constexpr std::size_t kLargestRememberedBody = 64UL * 1024UL;

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  for (const wire::HeaderField& field : request.headers) {
    if (EqualsIgnoringCase(field.name(), name)) {
      return field.value();
    }
  }
  return "";
}

wire::Answer PlainAnswer(int status, std::string_view outcome,
                         const std::string& reason) {
  wire::Answer answer;
  answer.set_status(status);
  wire::HeaderField& field = *answer.add_headers();
  field.set_name(std::string(kOutcomeHeader));
  field.set_value(std::string(outcome));
  answer.set_body(std::string(outcome) + ": " + reason + "\n");
  return answer;
}

/// Takes the request off the books; the caller is answered unless it left.
void Close(RequestTurn& turn, OpenRequest& open, const wire::Answer& answer) {
  if (!open.caller_left) {
    turn.effects.emplace_back(AnswerCaller{.id = open.id, .answer = answer});
  }
  turn.tier.attempts.erase(open.attempt);
  turn.tier.attempts.erase(open.claim.attempt);
  turn.tier.open.erase(open.id);
}

void AnswerEarly(RequestTurn& turn, const RequestArrived& event, int status,
                 const std::string& reason) {
  Count(turn, "refused");
  turn.effects.emplace_back(AnswerCaller{
      .id = event.id, .answer = RefusalOf(event.request, status, reason)});
}

void ApplyRule(OpenRequest& open, const RequestRule* rule, TimePoint now) {
  const RequestRule defaults;
  const RequestRule& wish = rule == nullptr ? defaults : *rule;
  open.idempotent = IsIdempotent(rule, open.request.method);
  open.retries_left = open.idempotent ? wish.retries : 0;
  open.queue_limit = wish.queue;
  open.traffic_class = wish.traffic_class;
  Milliseconds allowed = wish.deadline;
  const auto asked =
      ParseNumber(HeaderOf(open.request, kDeadlineHeader), 0, 3600000);
  if (asked) {
    allowed = std::min(allowed, Milliseconds(*asked));
  }
  open.deadline = now + allowed;
}

void HandleArrived(RequestTurn& turn, const RequestArrived& event) {
  Count(turn, "requests");
  if (turn.tier.stopping) {
    AnswerEarly(turn, event, kStatusNotRun, "this instance is stopping");
    return;
  }
  const ServiceRule* service =
      FindServiceByHost(turn.context.rules, event.request.host);
  if (service == nullptr) {
    AnswerEarly(turn, event, 421, "no service has the name in Host");
    return;
  }
  OpenRequest open{.id = event.id,
                   .request = event.request,
                   .service = service->name,
                   .arrived_at = turn.context.now};
  const RequestRule* rule =
      FindRequestRule(turn.context.rules, service->name, open.request.method,
                      open.request.path);
  ApplyRule(open, rule, turn.context.now);
  const std::string key = HeaderOf(open.request, kKeyHeader);
  if (key.size() > kLongestKey) {
    AnswerEarly(turn, event, 400, "Idempotency-Key is over 256 bytes");
    return;
  }
  const auto generation =
      ParseNumber(HeaderOf(open.request, kGenerationHeader), 1, 1000000);
  open.generation = static_cast<std::uint32_t>(generation.value_or(1));
  const bool guarded = !open.idempotent && !key.empty();
  if (guarded) {
    open.key = service->name + "\n" + key;
  }
  ServiceLoad& load = turn.tier.services[open.service];
  constexpr double kRetryShare = 0.1;
  constexpr double kMostRetryTokens = 20.0;
  load.retry_tokens =
      std::min(load.retry_tokens + kRetryShare, kMostRetryTokens);
  OpenRequest& stored =
      turn.tier.open.emplace(event.id, std::move(open)).first->second;
  if (guarded) {
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

/// Frees the slot that an attempt held.
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

void NoteHealth(RequestTurn& turn, const OpenRequest& open, bool success) {
  const auto found = turn.context.directory.backends.find(open.backend);
  if (found == turn.context.directory.backends.end()) {
    return;
  }
  Backend& backend = found->second;
  if (success) {
    backend.consecutive_failures = 0;
    backend.refusals_in_row = 0;
    backend.last_success = turn.context.now;
    return;
  }
  backend.consecutive_failures += 1;
  backend.last_failure = turn.context.now;
}

/// Other instances have taken its slots; it is left alone for a moment.
void NoteRefusal(RequestTurn& turn, const OpenRequest& open) {
  constexpr Milliseconds kFirstPause{10};
  constexpr std::uint32_t kMostDoublings = 3;
  const auto found = turn.context.directory.backends.find(open.backend);
  if (found == turn.context.directory.backends.end()) {
    return;
  }
  Backend& backend = found->second;
  const std::uint32_t doublings =
      std::min(backend.refusals_in_row, kMostDoublings);
  backend.refusals_in_row += 1;
  backend.full_until = turn.context.now + kFirstPause * (1U << doublings);
}

void NoteServiceTime(RequestTurn& turn, const OpenRequest& open) {
  constexpr double kNewShare = 0.1;
  ServiceLoad& load = turn.tier.services[open.service];
  const auto took_ms = static_cast<double>(
      MillisecondsBetween(open.attempt_started_at, turn.context.now));
  load.mean_service_ms += (took_ms - load.mean_service_ms) * kNewShare;
}

void CancelRunning(RequestTurn& turn, OpenRequest& open) {
  turn.effects.emplace_back(CancelAttempt{.attempt = open.attempt});
  ReleaseSlot(turn, open);
}

void HandleCallerLeft(RequestTurn& turn, const CallerLeft& event) {
  const auto found = turn.tier.open.find(event.id);
  if (found == turn.tier.open.end()) {
    return;
  }
  OpenRequest& open = found->second;
  open.caller_left = true;
  Count(turn, "callers_left");
  if (open.phase == RequestPhase::kRunning) {
    if (open.idempotent) {
      CancelRunning(turn, open);
      Close(turn, open, {});
    }
    return;  // An order that may run is left to end, and to be recorded.
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

/// The request is known not to have run there; another server may take it.
void TryElsewhere(RequestTurn& turn, OpenRequest& open,
                  std::uint32_t most_attempts) {
  open.tried.insert(open.backend);
  if (open.attempts >= most_attempts || turn.context.now >= open.deadline) {
    FinishNotRun(turn, open, "the backend servers refused it");
    return;
  }
  Dispatch(turn, open);
}

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
    return;  // Cancelled before; a late answer belongs to nobody.
  }
  OpenRequest& open = turn.tier.open.at(request->second);
  ReleaseSlot(turn, open);
  switch (event.result.kind) {
    case AttemptResult::Kind::kAnswered:
      if (IsRefusedBeforeRunning(event.result.answer)) {
        Count(turn, "refused_by_backend");
        NoteRefusal(turn, open);
        TryElsewhere(turn, open, kMostRefusedAttempts);
        break;
      }
      NoteHealth(turn, open, event.result.answer.status() < 500);
      NoteServiceTime(turn, open);
      FinishComplete(turn, open, event.result.answer);
      break;
    case AttemptResult::Kind::kNotSent:
      NoteHealth(turn, open, false);
      Count(turn, "attempts_not_sent");
      TryElsewhere(turn, open, kMostUnsentAttempts);
      break;
    case AttemptResult::Kind::kLost:
      NoteHealth(turn, open, false);
      Count(turn, "attempts_lost");
      RetryOrGiveUp(turn, open, "the connection to the backend server failed");
      break;
  }
  DrainQueues(turn);
}

/// Ends what has run out of time. May close the request.
void ExpireRequest(RequestTurn& turn, OpenRequest& open) {
  const TimePoint now = turn.context.now;
  switch (open.phase) {
    case RequestPhase::kClaiming:
    case RequestPhase::kWaiting:
      if (now >= open.deadline) {
        WithdrawClaim(turn, open);
        open.claim.recorders.clear();
        FinishUnknown(turn, open,
                      "the order's recorders did not settle it in time");
        return;
      }
      StepClaim(turn, open);
      return;
    case RequestPhase::kQueued:
      if (now >= open.deadline) {
        FinishNotRun(turn, open, "no slot was free in time");
      }
      return;
    case RequestPhase::kRunning:
      if (now >= open.deadline || now >= open.attempt_deadline) {
        NoteHealth(turn, open, false);
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
  constexpr Milliseconds kWithdrawnMemory{30000};
  std::erase_if(turn.tier.withdrawn, [&](const auto& item) {
    return turn.context.now - item.second > kWithdrawnMemory;
  });
  DrainQueues(turn);
}

struct EventVisitor {
  RequestTurn& turn;
  void operator()(const RequestArrived& event) {
    HandleArrived(this->turn, event);
  }
  void operator()(const CallerLeft& event) {
    HandleCallerLeft(this->turn, event);
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
  // Another copy of a request with a key may have run elsewhere.
  const bool keyed = !HeaderOf(request, kKeyHeader).empty();
  return PlainAnswer(status, keyed ? "unknown" : "not-run", reason);
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
  if (!open.key.empty() && whole.body().size() <= kLargestRememberedBody) {
    SendOutcomes(turn, open, wire::DONE, whole);
  }
  Close(turn, open, whole);
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
      open.phase == RequestPhase::kWaiting) {
    // The claim was never dispatched, but another copy may have been.
    WithdrawClaim(turn, open);
    Close(turn, open, PlainAnswer(kStatusUnknown, "unknown", reason));
    return;
  }
  const wire::Answer answer = PlainAnswer(kStatusNotRun, "not-run", reason);
  if (!open.key.empty()) {
    SendOutcomes(turn, open, wire::NOT_RUN, answer);
  }
  Close(turn, open, answer);
}

void FinishUnknown(RequestTurn& turn, OpenRequest& open,
                   const std::string& reason) {
  Count(turn, "unknown");
  Close(turn, open, PlainAnswer(kStatusUnknown, "unknown", reason));
}

void FinishAsRecorded(RequestTurn& turn, OpenRequest& open,
                      const wire::OrderRecord& record) {
  Count(turn, "answered_from_record");
  Close(turn, open, record.answer());
}

}  // namespace filbertwall
