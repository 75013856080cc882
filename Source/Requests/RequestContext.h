#pragma once

#include <string>
#include <vector>

#include "Requests/RequestTier.h"

/// Internal to Requests: functions shared by the sources of the reducer.
namespace filbertwall {

/// Age above which a claim no longer leads to a dispatch. A restarted recorder
/// relies on this limit: it waits 2 s before it pulls records. By then, each
/// claim that it granted before the restart has been dispatched or has expired.
inline constexpr Milliseconds kClaimTimeout{1000};

/// State, inputs and collected effects during the handling of one event.
struct RequestContext {
  RequestTier& tier;
  RequestEnvironment& environment;
  std::vector<RequestEffect>& effects;
};

/// Increments the counter.
void Count(RequestContext& context, const std::string& counter);

/// Each of the following Finish functions sends a response to the caller and
/// closes the request. The reference `open` is invalid afterwards.

/// Returns the backend server's response to the caller. For an order whose
/// response is at most 64 KiB long, first reports it to the recorders as the
/// outcome, see `StartRecording`.
void FinishComplete(RequestContext& context, OpenRequest& open,
                    const wire::Answer& answer);
/// Returns the response of an order to the caller.
/// Precondition: the phase is `kRecording`.
void FinishRecording(RequestContext& context, OpenRequest& open);
/// Reports "not-run", or "unknown" if an attempt or another copy of the order
/// may have run.
/// Precondition: no attempt of the request can still be running.
void FinishNotRun(RequestContext& context, OpenRequest& open,
                  const std::string& reason);
/// Reports "unknown". Sends no outcome, so the recorders keep the INTENT of an
/// order and its copies get "unknown" as well.
void FinishUnknown(RequestContext& context, OpenRequest& open,
                   const std::string& reason);
/// Returns the recorded outcome of another copy of the order.
void FinishFromRecord(RequestContext& context, OpenRequest& open,
                      const wire::OrderRecord& record);

struct LaunchedAttempt {
  std::uint64_t attempt = 0;
  TimePoint deadline;
};

/// Sends an attempt of the request and takes a slot of the server for it.
LaunchedAttempt LaunchAttempt(RequestContext& context, const OpenRequest& open,
                              const Endpoint& backend);
/// Forgets an attempt and releases its slot.
void ReleaseAttempt(RequestContext& context, const std::string& service,
                    std::uint64_t attempt, const Endpoint& backend);
/// Returns a seed for `ChooseBackend`.
std::uint64_t MakeChoiceSeed(const RequestTier& tier);

/// Sets when the running attempt is hedged, if its request may be.
void ScheduleHedge(RequestContext& context, OpenRequest& open);
/// Sends the second attempt that is due. Puts it off while the service lacks
/// capacity, no other healthy server has a free slot or the budget is used up.
void SendHedgeIfAllowed(RequestContext& context, OpenRequest& open);
/// Makes the other attempt the current one and the current one the other.
void SwapAttempts(OpenRequest& open);
/// After the current attempt has failed, makes the other one the only attempt.
/// Returns false when there is none.
bool ContinueWithOtherAttempt(OpenRequest& open);
/// Cancels the attempt that runs beside the current one, if there is one.
void CancelOtherAttempt(RequestContext& context, OpenRequest& open);
/// Counts which of two attempts has answered a hedged request: the current one.
void RecordWinner(RequestContext& context, const OpenRequest& open);

/// Sends the request to a backend server, queues it, or rejects it.
void Dispatch(RequestContext& context, OpenRequest& open);
/// Dispatches queued requests to free slots, interactive requests first.
void DrainQueues(RequestContext& context);

/// Sends a new claim to the first recorder of the order's key.
void StartClaim(RequestContext& context, OpenRequest& open);
void HandleClaimAnswered(RequestContext& context, const ClaimAnswered& event);
/// Handles the time-outs of a claim. When the first recorder does not reply in
/// time, sends the claim to the others; when these do not, withdraws the claim
/// and schedules a retry; when the retry is due, starts it.
void AdvanceClaim(RequestContext& context, OpenRequest& open);
/// Withdraws a claim that was not dispatched from the recorders it was sent to.
void WithdrawClaim(RequestContext& context, OpenRequest& open);
/// Sends the outcome of the order to all recorders of its key.
void SendOutcomes(RequestContext& context, const OpenRequest& open,
                  wire::OrderPhase phase, const wire::Answer& answer);
/// Sends the response of the order to all recorders of its key, and keeps it
/// until a majority has processed it or the recorder time-out passes. The
/// recorders that stay alive can then answer copies of the order, even if this
/// instance stops right after the caller has the response.
void StartRecording(RequestContext& context, OpenRequest& open,
                    const wire::Answer& answer);
void HandleOutcomeRecorded(RequestContext& context,
                           const OutcomeRecorded& event);

}  // namespace filbertwall
