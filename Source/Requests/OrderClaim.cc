#include <algorithm>

#include "Base/Hash.h"
#include "Requests/OrderLog.h"
#include "Requests/RequestContext.h"

/// Claims give one instance the exclusive right to dispatch an order.
namespace filbertwall {
namespace {

constexpr Milliseconds kRecorderTimeout{150};
constexpr Milliseconds kClaimRetryDelay{20};

std::uint64_t NewAttemptId(RequestTier& tier) {
  const std::uint64_t number = tier.next_attempt++;
  return MixHash(MixHash(tier.incarnation, tier.self), number);
}

wire::OrderRecord BuildRecord(const OpenRequest& open) {
  wire::OrderRecord record;
  record.set_key(open.key);
  record.set_generation(open.generation);
  record.set_attempt(open.claim.attempt);
  record.set_request_digest(
      MixHash(Hash64(open.request.method + " " + open.request.path),
              Hash64(open.request.body)));
  return record;
}

void SendNextClaim(RequestContext& context, OpenRequest& open) {
  ClaimState& claim = open.claim;
  wire::Claim message;
  *message.mutable_record() = BuildRecord(open);
  context.effects.emplace_back(
      SendClaim{.to = claim.recorders[claim.asked], .claim = message});
  claim.asked += 1;
  claim.next_action_at = context.environment.now + kRecorderTimeout;
}

/// Sends the claim to the recorders that have not received it yet. They are
/// contacted only after the first recorder has granted the claim or timed out,
/// so that the first one decides between concurrent claims.
void SendRemainingClaims(RequestContext& context, OpenRequest& open) {
  while (open.claim.asked < open.claim.recorders.size()) {
    SendNextClaim(context, open);
  }
}

std::size_t Majority(const ClaimState& claim) {
  return claim.recorders.size() / 2 + 1;
}

void ScheduleClaimRetry(RequestContext& context, OpenRequest& open) {
  WithdrawClaim(context, open);
  const std::uint64_t jitter =
      MixHash(open.claim.attempt, open.claim.claim_attempts);
  open.phase = RequestPhase::kClaimBackoff;
  open.claim.next_action_at =
      context.environment.now + kClaimRetryDelay * (1 + jitter % 4);
}

void HandleExistingRecord(RequestContext& context, OpenRequest& open,
                          const wire::OrderRecord& existing) {
  if (existing.request_digest() != BuildRecord(open).request_digest()) {
    WithdrawClaim(context, open);
    wire::Answer answer;
    answer.set_status(422);
    answer.set_body("the Idempotency-Key was used for another request\n");
    wire::OrderRecord record;
    *record.mutable_answer() = answer;
    FinishFromRecord(context, open, record);
    return;
  }
  if (existing.phase() == wire::INTENT ||
      existing.generation() > open.generation) {
    ScheduleClaimRetry(context, open);
    return;
  }
  WithdrawClaim(context, open);
  FinishFromRecord(context, open, existing);
}

void SendWithdrawal(RequestContext& context, std::uint32_t to,
                    const std::string& key, std::uint64_t attempt) {
  wire::Outcome outcome;
  outcome.mutable_record()->set_key(key);
  outcome.mutable_record()->set_attempt(attempt);
  outcome.mutable_record()->set_phase(wire::NOT_RUN);
  context.effects.emplace_back(SendOutcome{.to = to, .outcome = outcome});
}

/// Returns the open request of a claim or attempt; null when there is none.
OpenRequest* FindByAttempt(RequestTier& tier, std::uint64_t attempt) {
  const auto request = tier.attempts.find(attempt);
  if (request == tier.attempts.end()) {
    return nullptr;
  }
  const auto open = tier.open.find(request->second);
  return open == tier.open.end() ? nullptr : &open->second;
}

}  // namespace

void StartClaim(RequestContext& context, OpenRequest& open) {
  ClaimState& claim = open.claim;
  const std::uint32_t claim_attempts = claim.claim_attempts + 1;
  claim = ClaimState{
      .recorders = SelectRecorders(context.tier.recorder_pool, open.key),
      .attempt = NewAttemptId(context.tier),
      .started_at = context.environment.now,
      .claim_attempts = claim_attempts};
  context.tier.attempts[claim.attempt] = open.id;
  open.phase = RequestPhase::kClaiming;
  // Recorders considered down are contacted last but not left out, since the
  // set of recorders must be the same at all instances.
  std::stable_partition(claim.recorders.begin(), claim.recorders.end(),
                        [&](std::uint32_t instance) {
                          return !context.environment.silent.contains(instance);
                        });
  SendNextClaim(context, open);
}

void HandleClaimAnswered(RequestContext& context, const ClaimAnswered& event) {
  const wire::ClaimReply& reply = event.reply;
  OpenRequest* open = FindByAttempt(context.tier, reply.attempt());
  const bool current = open != nullptr &&
                       open->claim.attempt == reply.attempt() &&
                       open->phase == RequestPhase::kClaiming;
  if (!current) {
    // The claim was withdrawn before its grant arrived: withdraw it again, so
    // that the late grant does not block other claims on the key.
    if (reply.granted() && context.tier.withdrawn.contains(reply.attempt())) {
      SendWithdrawal(context, event.from, reply.key(), reply.attempt());
    }
    return;
  }
  if (!reply.granted()) {
    if (reply.has_existing()) {
      HandleExistingRecord(context, *open, reply.existing());
    }
    return;
  }
  open->claim.stored.insert(event.from);
  if (!reply.amnesiac()) {
    open->claim.granted.insert(event.from);
  }
  SendRemainingClaims(context, *open);
  const bool in_time =
      context.environment.now - open->claim.started_at < kClaimTimeout;
  if (open->claim.granted.size() >= Majority(open->claim) && in_time) {
    Dispatch(context, *open);
  }
}

void AdvanceClaim(RequestContext& context, OpenRequest& open) {
  if (context.environment.now < open.claim.next_action_at) {
    return;
  }
  if (open.phase == RequestPhase::kClaimBackoff) {
    StartClaim(context, open);
    return;
  }
  if (open.claim.asked < open.claim.recorders.size()) {
    SendRemainingClaims(context, open);
    return;
  }
  ScheduleClaimRetry(context, open);
}

void WithdrawClaim(RequestContext& context, OpenRequest& open) {
  for (std::size_t i = 0; i < open.claim.asked; ++i) {
    SendWithdrawal(context, open.claim.recorders[i], open.key,
                   open.claim.attempt);
  }
  context.tier.attempts.erase(open.claim.attempt);
  context.tier.withdrawn[open.claim.attempt] = context.environment.now;
}

void SendOutcomes(RequestContext& context, const OpenRequest& open,
                  wire::OrderPhase phase, const wire::Answer& answer) {
  wire::Outcome outcome;
  *outcome.mutable_record() = BuildRecord(open);
  outcome.mutable_record()->set_phase(phase);
  *outcome.mutable_record()->mutable_answer() = answer;
  for (const std::uint32_t recorder : open.claim.recorders) {
    context.effects.emplace_back(
        SendOutcome{.to = recorder, .outcome = outcome});
  }
}

void StartRecording(RequestContext& context, OpenRequest& open,
                    const wire::Answer& answer) {
  open.phase = RequestPhase::kRecording;
  open.recording.answer = answer;
  open.recording.ends_at =
      std::min(open.deadline, context.environment.now + kRecorderTimeout);
  SendOutcomes(context, open, wire::DONE, answer);
}

void HandleOutcomeRecorded(RequestContext& context,
                           const OutcomeRecorded& event) {
  OpenRequest* open = FindByAttempt(context.tier, event.claim_attempt);
  if (open == nullptr || open->phase != RequestPhase::kRecording) {
    return;
  }
  std::set<std::uint32_t>& recorded_by = open->recording.recorded_by;
  recorded_by.insert(event.from);
  if (recorded_by.size() >= Majority(open->claim)) {
    FinishRecording(context, *open);
  }
}

}  // namespace filbertwall
