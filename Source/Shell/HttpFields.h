#pragma once

#include <event2/http.h>

#include <string>
#include <vector>

#include "Requests/RequestTier.h"
#include "Wire/wire.pb.h"

struct evbuffer;

/// Conversions between libevent's HTTP types and the project's.
namespace filbertwall {

/// Limits on what a peer may send over HTTP.
inline constexpr std::size_t kLargestHeadBytes = 16 * 1024;
inline constexpr std::size_t kLargestBodyBytes = 4 * 1024 * 1024;

std::string TakeBody(evbuffer* buffer);

/// Whether a field is passed on; the others belong to one connection only.
bool IsEndToEnd(const std::string& name);

/// The fields that are passed on.
std::vector<wire::HeaderField> ReadFields(const evkeyvalq* fields);

std::string MethodName(evhttp_cmd_type method);
evhttp_cmd_type MethodFromName(const std::string& name);

}  // namespace filbertwall
