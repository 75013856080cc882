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
#include "Base/Time.h"
#include "Rules/Rules.h"
#include "Wire/wire.pb.h"

/// Decides what happens to each request of a caller.
///
/// A reducer: its events are what callers, backend servers and recorders do,
/// its effects what this instance does in return. See
/// docs/design/0003-orders.md and 0004-requests.md. Not thread safe.
namespace filbertwall {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string host;
  std::vector<wire::HeaderField> headers;
  std::string body;
};

/// Names of the header fields that filbertwall defines; see docs/requests.md.
inline constexpr std::string_view kOutcomeHeader = "Filbertwall-Outcome";
inline constexpr std::string_view kDeadlineHeader = "Filbertwall-Deadline-Ms";
inline constexpr std::string_view kNotRunHeader = "Filbertwall-Not-Run";
inline constexpr std::string_view kGenerationHeader = "Filbertwall-Generation";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";

/// How one attempt at a backend server ended.
struct AttemptResult {
  enum class Kind {
    kAnswered,  ///< A whole answer arrived.
    kNotSent,   ///< No byte of the request left this instance.
    kLost,      ///< Anything else; it may have run.
  };
  Kind kind = Kind::kLost;
  wire::Answer answer;
};

enum class RequestPhase { kClaiming, kWaiting, kQueued, kRunning };

/// A claim on the recorders of a key.
struct ClaimState {
  std::vector<std::uint32_t> recorders;  ///< In order of asking.
  std::set<std::uint32_t> granted;       ///< Grants of recorders that vouch.
  std::set<std::uint32_t> stored;        ///< All that hold the claim.
  std::size_t asked = 0;
  std::uint64_t attempt = 0;
  TimePoint started_at;
  TimePoint next_step_at;
  std::uint32_t tries = 0;
};

struct OpenRequest {
  std::uint64_t id = 0;
  HttpRequest request;
  std::string service;
  std::string key;  ///< Empty without an Idempotency-Key.
  std::uint32_t generation = 1;
  bool idempotent = false;
  std::uint32_t retries_left = 0;
  std::uint32_t queue_limit = 0;
  TrafficClass traffic_class = TrafficClass::kBulk;
  TimePoint arrived_at;
  TimePoint deadline;
  RequestPhase phase = RequestPhase::kQueued;
  bool caller_left = false;
  bool may_have_run = false;  ///< An attempt was lost or cancelled.
  std::set<Endpoint> tried;
  std::uint32_t attempts = 0;
  std::uint64_t attempt = 0;
  TimePoint attempt_started_at;
  TimePoint attempt_deadline;
  Endpoint backend;
  ClaimState claim;
};

/// Retries that a service may spend before any request has earned one.
inline constexpr double kFirstRetryTokens = 5.0;

/// Load figures of one service at this instance.
struct ServiceLoad {
  double mean_service_ms = 0.0;
  double retry_tokens = kFirstRetryTokens;
  std::uint32_t running = 0;
  std::deque<std::uint64_t> interactive;  ///< Queued requests by arrival.
  std::deque<std::uint64_t> bulk;
};

struct RequestTier {
  std::uint32_t self = 0;
  std::uint64_t incarnation = 0;
  std::vector<std::uint32_t> recorder_pool;  ///< Entry instances, all sorted.
  std::uint64_t next_attempt = 1;
  bool stopping = false;
  std::map<std::uint64_t, OpenRequest> open;
  std::map<std::uint64_t, std::uint64_t> attempts;  ///< Attempt to request.
  std::map<std::uint64_t, TimePoint> withdrawn;     ///< Claims given up.
  std::map<std::string, ServiceLoad> services;
  std::map<std::string, std::uint64_t> counters;
};

/// What the tier decides by, besides its own state.
struct RequestContext {
  const Rules& rules;
  Directory& directory;
  const std::set<std::uint32_t>& silent;  ///< Instances thought to be down.
  TimePoint now;
};

struct RequestArrived {
  std::uint64_t id = 0;
  HttpRequest request;
};
struct CallerLeft {
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
struct RequestTick {};
using RequestEvent = std::variant<RequestArrived, CallerLeft, AttemptEnded,
                                  ClaimAnswered, RequestTick>;

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

/// The answer to a request that this instance does not take at all: "not run"
/// without a key, else "unknown", since other copies may be elsewhere. Pure.
wire::Answer RefusalOf(const HttpRequest& request, int status,
                       const std::string& reason);

std::vector<RequestEffect> Reduce(RequestTier& tier, const RequestEvent& event,
                                  RequestContext context);

}  // namespace filbertwall
