#include <algorithm>

#include "Base/Hash.h"
#include "Requests/OrderLog.h"
#include "Requests/RequestTurn.h"

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

void SendNextClaim(RequestTurn& turn, OpenRequest& open) {
  ClaimState& claim = open.claim;
  wire::Claim message;
  *message.mutable_record() = BuildRecord(open);
  turn.effects.emplace_back(
      SendClaim{.to = claim.recorders[claim.asked], .claim = message});
  claim.asked += 1;
  claim.next_action_at = turn.context.now + kRecorderTimeout;
}

/// Sends the claim to the recorders that have not received it yet. They are
/// contacted only after the first recorder has granted the claim or timed out,
/// so that the first one decides between concurrent claims.
void SendRemainingClaims(RequestTurn& turn, OpenRequest& open) {
  while (open.claim.asked < open.claim.recorders.size()) {
    SendNextClaim(turn, open);
  }
}

std::size_t Majority(const ClaimState& claim) {
  return claim.recorders.size() / 2 + 1;
}

void ScheduleClaimRetry(RequestTurn& turn, OpenRequest& open) {
  WithdrawClaim(turn, open);
  const std::uint64_t jitter =
      MixHash(open.claim.attempt, open.claim.claim_attempts);
  open.phase = RequestPhase::kClaimBackoff;
  open.claim.next_action_at =
      turn.context.now + kClaimRetryDelay * (1 + jitter % 4);
}

void HandleExistingRecord(RequestTurn& turn, OpenRequest& open,
                          const wire::OrderRecord& existing) {
  if (existing.request_digest() != BuildRecord(open).request_digest()) {
    WithdrawClaim(turn, open);
    wire::Answer answer;
    answer.set_status(422);
    answer.set_body("the Idempotency-Key was used for another request\n");
    wire::OrderRecord record;
    *record.mutable_answer() = answer;
    FinishFromRecord(turn, open, record);
    return;
  }
  if (existing.phase() == wire::INTENT ||
      existing.generation() > open.generation) {
    ScheduleClaimRetry(turn, open);
    return;
  }
  WithdrawClaim(turn, open);
  FinishFromRecord(turn, open, existing);
}

void SendWithdrawal(RequestTurn& turn, std::uint32_t to, const std::string& key,
                    std::uint64_t attempt) {
  wire::Outcome outcome;
  outcome.mutable_record()->set_key(key);
  outcome.mutable_record()->set_attempt(attempt);
  outcome.mutable_record()->set_phase(wire::NOT_RUN);
  turn.effects.emplace_back(SendOutcome{.to = to, .outcome = outcome});
}

OpenRequest* FindClaim(RequestTier& tier, const wire::ClaimReply& reply) {
  const auto request = tier.attempts.find(reply.attempt());
  if (request == tier.attempts.end()) {
    return nullptr;
  }
  const auto open = tier.open.find(request->second);
  return open == tier.open.end() ? nullptr : &open->second;
}

}  // namespace

void StartClaim(RequestTurn& turn, OpenRequest& open) {
  ClaimState& claim = open.claim;
  const std::uint32_t claim_attempts = claim.claim_attempts + 1;
  claim = ClaimState{
      .recorders = SelectRecorders(turn.tier.recorder_pool, open.key),
      .attempt = NewAttemptId(turn.tier),
      .started_at = turn.context.now,
      .claim_attempts = claim_attempts};
  turn.tier.attempts[claim.attempt] = open.id;
  open.phase = RequestPhase::kClaiming;
  // Recorders considered down are contacted last but not left out, since the
  // set of recorders must be the same at all instances.
  std::stable_partition(claim.recorders.begin(), claim.recorders.end(),
                        [&](std::uint32_t instance) {
                          return !turn.context.silent.contains(instance);
                        });
  SendNextClaim(turn, open);
}

void HandleClaimAnswered(RequestTurn& turn, const ClaimAnswered& event) {
  const wire::ClaimReply& reply = event.reply;
  OpenRequest* open = FindClaim(turn.tier, reply);
  const bool current = open != nullptr &&
                       open->claim.attempt == reply.attempt() &&
                       open->phase == RequestPhase::kClaiming;
  if (!current) {
    // The claim was withdrawn before its grant arrived: withdraw it again, so
    // that the late grant does not block other claims on the key.
    if (reply.granted() && turn.tier.withdrawn.contains(reply.attempt())) {
      SendWithdrawal(turn, event.from, reply.key(), reply.attempt());
    }
    return;
  }
  if (!reply.granted()) {
    if (reply.has_existing()) {
      HandleExistingRecord(turn, *open, reply.existing());
    }
    return;
  }
  open->claim.stored.insert(event.from);
  if (!reply.amnesiac()) {
    open->claim.granted.insert(event.from);
  }
  SendRemainingClaims(turn, *open);
  const bool in_time =
      turn.context.now - open->claim.started_at < kClaimTimeout;
  if (open->claim.granted.size() >= Majority(open->claim) && in_time) {
    Dispatch(turn, *open);
  }
}

void AdvanceClaim(RequestTurn& turn, OpenRequest& open) {
  if (turn.context.now < open.claim.next_action_at) {
    return;
  }
  if (open.phase == RequestPhase::kClaimBackoff) {
    StartClaim(turn, open);
    return;
  }
  if (open.claim.asked < open.claim.recorders.size()) {
    SendRemainingClaims(turn, open);
    return;
  }
  ScheduleClaimRetry(turn, open);
}

void WithdrawClaim(RequestTurn& turn, OpenRequest& open) {
  for (std::size_t i = 0; i < open.claim.asked; ++i) {
    SendWithdrawal(turn, open.claim.recorders[i], open.key, open.claim.attempt);
  }
  turn.tier.attempts.erase(open.claim.attempt);
  turn.tier.withdrawn[open.claim.attempt] = turn.context.now;
}

void SendOutcomes(RequestTurn& turn, const OpenRequest& open,
                  wire::OrderPhase phase, const wire::Answer& answer) {
  wire::Outcome outcome;
  *outcome.mutable_record() = BuildRecord(open);
  outcome.mutable_record()->set_phase(phase);
  *outcome.mutable_record()->mutable_answer() = answer;
  for (const std::uint32_t recorder : open.claim.recorders) {
    turn.effects.emplace_back(SendOutcome{.to = recorder, .outcome = outcome});
  }
}

}  // namespace filbertwall
