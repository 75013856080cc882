#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Backends/Directory.h"
#include "Base/ExtraWorkBudget.h"
#include "Base/Time.h"
#include "Requests/Hedging.h"
#include "Rules/Rules.h"
#include "Wire/wire.pb.h"

/// Routes, queues, retries and answers the HTTP requests of callers.
///
/// A reducer: it maps events from callers, backend servers and recorders to
/// effects that the instance carries out, and does no I/O itself. See
/// docs/design/0003-orders.md and 0004-requests.md. Not thread safe.
namespace filbertwall {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string host;
  std::vector<wire::HeaderField> headers;
  std::string body;
  std::string caller;  ///< IP address.
};

/// Names of the header fields that have a meaning to filbertwall; see
/// docs/requests.md.
inline constexpr std::string_view kOutcomeHeader = "Filbertwall-Outcome";
inline constexpr std::string_view kDeadlineHeader = "Filbertwall-Deadline-Ms";
inline constexpr std::string_view kNotRunHeader = "Filbertwall-Not-Run";
inline constexpr std::string_view kGenerationHeader = "Filbertwall-Generation";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";

/// The result of one attempt at a backend server.
struct AttemptResult {
  enum class Kind {
    kAnswered,  ///< A complete response was received.
    kNotSent,   ///< No byte of the request was sent.
    kLost,      ///< Any other failure; the request may have run.
  };
  Kind kind = Kind::kLost;
  wire::Answer answer;
};

enum class RequestPhase {
  kClaiming,      ///< A claim was sent to recorders of the key.
  kClaimBackoff,  ///< The claim was withdrawn and will be retried.
  kQueued,        ///< Waits for a free slot.
  kRunning,       ///< An attempt is in flight at a backend server.
  kRecording      ///< The response of an order waits for its recorders.
};

/// The state of an order's claim, which must be granted by a majority of the
/// recorders of its key before the order is dispatched.
struct ClaimState {
  std::vector<std::uint32_t> recorders;  ///< In the order of sending.
  /// Recorders that granted the claim and confirmed the key as new.
  std::set<std::uint32_t> granted;
  /// All recorders that granted the claim, also without that confirmation.
  std::set<std::uint32_t> stored;
  std::size_t asked = 0;      ///< Number of recorders the claim was sent to.
  std::uint64_t attempt = 0;  ///< Id of the current claim.
  TimePoint started_at;
  TimePoint next_action_at;          ///< When `AdvanceClaim` acts next.
  std::uint32_t claim_attempts = 0;  ///< Number of claims, with retries.
};

/// The response of an order, which its caller gets once a majority of the
/// recorders has processed it.
struct RecordingState {
  wire::Answer answer;
  std::set<std::uint32_t> recorded_by;
  TimePoint ends_at;  ///< The caller gets the response at the latest.
};

/// A request that has arrived and is not closed yet.
struct OpenRequest {
  std::uint64_t id = 0;
  HttpRequest request;
  std::string service;
  std::string key;  ///< Service and Idempotency-Key; empty unless an order.
  /// From the generation header. A later generation may run an order again
  /// whose outcome is NOT_RUN.
  std::uint32_t generation = 1;
  bool idempotent = false;
  std::uint32_t retries_left = 0;
  std::uint32_t queue_limit = 0;
  TrafficClass traffic_class = TrafficClass::kBulk;
  TimePoint arrived_at;
  TimePoint deadline;
  RequestPhase phase = RequestPhase::kQueued;
  bool caller_disconnected = false;
  bool may_have_run = false;  ///< An attempt was lost or timed out.
  std::set<Endpoint> tried;
  std::uint32_t attempts = 0;  ///< Number of attempts at servers.
  std::uint64_t attempt = 0;   ///< Id of the current or last attempt.
  TimePoint attempt_started_at;
  TimePoint attempt_deadline;
  Endpoint backend;
  HedgeState hedge;
  std::string rule;  ///< Method and path of its request rule; empty: none.
  TimePoint first_attempt_at;
  ClaimState claim;
  RecordingState recording;
};

/// Retry budget of a service before any request has added to it.
inline constexpr double kInitialRetryTokens = 5.0;

/// Load, retry budget and queues of one service at this instance.
struct ServiceLoad {
  double mean_service_ms = 0.0;
  double retry_tokens = kInitialRetryTokens;
  std::uint32_t running = 0;
  /// When a request was last refused for lack of slots, and an attempt by its
  /// server.
  std::optional<TimePoint> last_shed_at;
  std::optional<TimePoint> last_refusal_at;
  RequestDurations durations;
  ExtraWorkBudget hedge_budget;
  std::deque<std::uint64_t> interactive;  ///< Queued request ids.
  std::deque<std::uint64_t> bulk;
};

/// Open requests, attempts and per-service load of one instance.
struct RequestTier {
  std::uint32_t self = 0;
  std::uint64_t incarnation = 0;
  std::vector<std::uint32_t> recorder_pool;  ///< All entry instances.
  std::uint64_t next_attempt = 1;
  bool stopping = false;
  /// Share of a service's requests that may be hedged; 0: none.
  double hedge_share = 0;
  std::map<std::uint64_t, OpenRequest> open;  ///< By request id.
  /// Maps the ids of current claims and of running attempts to request ids.
  std::map<std::uint64_t, std::uint64_t> attempts;
  /// Maps the ids of withdrawn claims to the time of withdrawal.
  std::map<std::uint64_t, TimePoint> withdrawn;
  std::map<std::string, ServiceLoad> services;
  std::map<std::string, std::uint64_t> counters;
};

/// Inputs to the handling of an event, besides the state in RequestTier.
struct RequestEnvironment {
  const Rules& rules;
  Directory& directory;
  /// Peers not heard from within the peer time-out, or not at all.
  const std::set<std::uint32_t>& silent;
  TimePoint now;
};

struct RequestArrived {
  std::uint64_t id = 0;
  HttpRequest request;
};
struct CallerDisconnected {
  std::uint64_t id = 0;
};
struct AttemptEnded {
  std::uint64_t attempt = 0;
  AttemptResult result;
};
struct ClaimAnswered {
  std::uint32_t from = 0;
  wire::ClaimReply reply;
};
/// A recorder has processed the outcome of an order.
struct OutcomeRecorded {
  std::uint32_t from = 0;
  std::uint64_t claim_attempt = 0;  ///< Id of the claim that was granted.
};
struct RequestTick {};
using RequestEvent =
    std::variant<RequestArrived, CallerDisconnected, AttemptEnded,
                 ClaimAnswered, OutcomeRecorded, RequestTick>;

struct StartAttempt {
  std::uint64_t attempt = 0;
  Endpoint backend;
  HttpRequest request;
};
struct CancelAttempt {
  std::uint64_t attempt = 0;
};
struct AnswerCaller {
  std::uint64_t id = 0;
  wire::Answer answer;
};
struct SendClaim {
  std::uint32_t to = 0;
  wire::Claim claim;
};
struct SendOutcome {
  std::uint32_t to = 0;
  wire::Outcome outcome;
};
using RequestEffect = std::variant<StartAttempt, CancelAttempt, AnswerCaller,
                                   SendClaim, SendOutcome>;

/// Returns the response to a request that this instance rejects on arrival.
/// The outcome is "not-run" for a request without a key and "unknown" for one
/// with a key, since another instance may have run a copy. Pure.
wire::Answer BuildRefusal(const HttpRequest& request, int status,
                          const std::string& reason);

/// Applies the event to the state and returns the resulting effects in order.
std::vector<RequestEffect> Reduce(RequestTier& tier, const RequestEvent& event,
                                  RequestEnvironment environment);

}  // namespace filbertwall
