#pragma once

#include <string>
#include <vector>

#include "Requests/RequestTier.h"

/// Internal to Requests: functions shared by the sources of the reducer.
namespace filbertwall {

/// Time after the start of a claim within which it may lead to a dispatch. A
/// restarted recorder relies on this limit: it waits 2 s before it pulls
/// records, by when claims granted before the restart are dispatched or
/// expired.
inline constexpr Milliseconds kClaimTimeout{1000};

/// State, inputs and collected effects during the handling of one event.
struct RequestTurn {
  RequestTier& tier;
  RequestContext& context;
  std::vector<RequestEffect>& effects;
};

/// Increments the counter.
void Count(RequestTurn& turn, const std::string& counter);

/// The Finish functions send the response to the caller and close the request,
/// after which `open` is dangling.

/// Returns the backend server's response to the caller and, for an order,
/// reports it to the recorders as the outcome, unless its body is over 64 KiB.
void FinishComplete(RequestTurn& turn, OpenRequest& open,
                    const wire::Answer& answer);
/// Reports "not-run", or "unknown" if an attempt or another copy of the order
/// may have run.
/// Precondition: no attempt of the request can still be running.
void FinishNotRun(RequestTurn& turn, OpenRequest& open,
                  const std::string& reason);
/// Reports "unknown". Sends no outcome, so the recorders keep the INTENT of an
/// order and its copies get "unknown" as well.
void FinishUnknown(RequestTurn& turn, OpenRequest& open,
                   const std::string& reason);
/// Returns the recorded outcome of another copy of the order.
void FinishFromRecord(RequestTurn& turn, OpenRequest& open,
                      const wire::OrderRecord& record);

/// Sends the request to a backend server, queues it, or rejects it.
void Dispatch(RequestTurn& turn, OpenRequest& open);
/// Dispatches queued requests to free slots, interactive requests first.
void DrainQueues(RequestTurn& turn);

/// Sends a new claim to the first recorder of the order's key.
void StartClaim(RequestTurn& turn, OpenRequest& open);
void HandleClaimAnswered(RequestTurn& turn, const ClaimAnswered& event);
/// Handles the time-outs of a claim: sends it to the remaining recorders,
/// schedules a retry, or starts the retry.
void AdvanceClaim(RequestTurn& turn, OpenRequest& open);
/// Withdraws a claim that was not dispatched from the recorders it was sent to.
void WithdrawClaim(RequestTurn& turn, OpenRequest& open);
/// Sends the outcome of the order to all recorders of its key.
void SendOutcomes(RequestTurn& turn, const OpenRequest& open,
                  wire::OrderPhase phase, const wire::Answer& answer);

}  // namespace filbertwall
