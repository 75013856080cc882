#pragma once

#include <string>
#include <vector>

#include "Requests/RequestTier.h"

/// Internal to Requests: the steps that its reducers share.
namespace filbertwall {

/// An instance dispatches within this time of a claim's start or never.
inline constexpr Milliseconds kClaimLimit{1000};

struct RequestTurn {
  RequestTier& tier;
  RequestContext& context;
  std::vector<RequestEffect>& effects;
};

void Count(RequestTurn& turn, const std::string& counter);

/// Answers the caller and closes the request; tells the recorders how it ended.
void FinishComplete(RequestTurn& turn, OpenRequest& open,
                    const wire::Answer& answer);
/// Precondition: no attempt of the request can run any more.
void FinishNotRun(RequestTurn& turn, OpenRequest& open,
                  const std::string& reason);
void FinishUnknown(RequestTurn& turn, OpenRequest& open,
                   const std::string& reason);
/// Answers with an outcome that another copy of the same order had.
void FinishAsRecorded(RequestTurn& turn, OpenRequest& open,
                      const wire::OrderRecord& record);

/// Sends the request to a backend server, or queues or refuses it.
void Dispatch(RequestTurn& turn, OpenRequest& open);
/// Gives free slots to queued requests.
void DrainQueues(RequestTurn& turn);

void StartClaim(RequestTurn& turn, OpenRequest& open);
void HandleClaimAnswered(RequestTurn& turn, const ClaimAnswered& event);
/// Goes on with a claim whose recorders do not answer.
void StepClaim(RequestTurn& turn, OpenRequest& open);
/// Releases the recorders of a claim that is never dispatched.
void WithdrawClaim(RequestTurn& turn, OpenRequest& open);
void SendOutcomes(RequestTurn& turn, const OpenRequest& open,
                  wire::OrderPhase phase, const wire::Answer& answer);

}  // namespace filbertwall
