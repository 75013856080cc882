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
inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
inline constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

/// Removes all bytes from the buffer and returns them.
std::string ExtractBody(evbuffer* buffer);

/// Returns whether a field is forwarded; hop-by-hop fields apply to a single
/// connection only.
bool IsEndToEnd(const std::string& name);

/// Returns copies of the end-to-end fields.
std::vector<wire::HeaderField> ReadEndToEndFields(const evkeyvalq* fields);

/// Returns whether a request's target and the names of its fields have no
/// spaces or control characters, and its fields state one length of the body.
/// Other requests may be read in another way by another server (RFC 9112,
/// section 6.3).
bool IsWellFormed(evhttp_request* request);

/// Returns whether a request states a body that libevent has not read because
/// of its method.
bool HasUnreadBody(evhttp_request* request);

/// Returns an empty string for an unknown method.
std::string MethodName(evhttp_cmd_type method);
/// Returns GET for an unknown name.
evhttp_cmd_type MethodFromName(const std::string& name);

}  // namespace filbertwall
