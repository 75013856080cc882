#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Fleet/EntryExplanation.h"
#include "Requests/RequestTier.h"
#include "Wire/wire.pb.h"

/// The call `GET /explain?to=IP:PORT&from=IP:PORT` at the metrics port of an
/// entry instance: what it would do with a flow now, as JSON. `from` is the
/// caller and may be left out. Pure functions; thread safe.
namespace filbertwall {

inline constexpr std::string_view kExplainPath = "/explain";
/// Limit on the target of the call.
inline constexpr std::size_t kMaxExplainTarget = 200;

/// A parsed call. With an error, the other members are not valid.
struct ExplainCall {
  FlowKey key;  ///< Without a caller: 0.0.0.0:0.
  std::string error;
};

/// Returns whether the target of a request names this call, whatever its
/// parameters.
bool IsExplainTarget(std::string_view target);

/// Returns the target of the call.
std::string MakeExplainTarget(const Endpoint& address,
                              const std::optional<Endpoint>& caller);

/// Parses a call. Precondition: `IsExplainTarget(request.path)`.
ExplainCall ReadExplainCall(const HttpRequest& request);

/// Returns the JSON document of an explanation.
std::string FormatExplanationJson(const EntryExplanation& explanation);

/// Returns the answer 200 with a JSON document.
wire::Answer AnswerExplainCall(const EntryExplanation& explanation);

/// Returns the answer 400 whose JSON document holds the reason.
wire::Answer RefuseExplainCall(const std::string& reason);

}  // namespace filbertwall
