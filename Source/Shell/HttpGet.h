#pragma once

#include <optional>
#include <string>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Wire/wire.pb.h"

/// A single HTTP call of an operator's command.
namespace filbertwall {

/// Sends `GET target` and waits for the answer. Returns empty when there is no
/// whole answer within `timeout`, or when it exceeds the limits of
/// `HttpFields`. Runs an event loop of its own; must not be called within
/// another one.
std::optional<wire::Answer> HttpGet(const Endpoint& server,
                                    const std::string& target,
                                    Milliseconds timeout);

}  // namespace filbertwall
