#include "Shell/HttpClient.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "Shell/HttpFields.h"

namespace filbertwall {
namespace {

/// Upper bound for an attempt that the reducer fails to cancel; the reducer
/// enforces the actual deadlines.
constexpr std::chrono::seconds kAttemptTimeout{3600};

/// Returns whether the end of the body can be distinguished from a connection
/// that was lost.
bool IsSelfDelimited(evhttp_request* answer, bool head_only) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const int status = evhttp_request_get_response_code(answer);
  const evkeyvalq* fields = evhttp_request_get_input_headers(answer);
  return head_only || status == kNoContent || status == kNotModified ||
         evhttp_find_header(fields, "Content-Length") != nullptr ||
         evhttp_find_header(fields, "Transfer-Encoding") != nullptr;
}

AttemptResult ReadAnswer(evhttp_request* request) {
  AttemptResult result{.kind = AttemptResult::Kind::kAnswered};
  result.answer.set_status(
      static_cast<std::uint32_t>(evhttp_request_get_response_code(request)));
  for (wire::HeaderField& field :
       ReadEndToEndFields(evhttp_request_get_input_headers(request))) {
    *result.answer.add_headers() = std::move(field);
  }
  result.answer.set_body(ExtractBody(evhttp_request_get_input_buffer(request)));
  return result;
}

}  // namespace

HttpClient::HttpClient(event_base* event_loop)
    : base(event_loop),
      free_event(
          event_new(event_loop, -1, 0, &HttpClient::FreeConnections, this)) {}

HttpClient::~HttpClient() {
  FreeConnections(-1, 0, this);
  for (const auto& [id, attempt] : this->attempts) {
    evhttp_connection_free(attempt.connection);
  }
  event_free(this->free_event);
}

void HttpClient::Start(const StartAttempt& start) {
  bufferevent* stream =
      bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
  evhttp_connection* connection = evhttp_connection_base_bufferevent_new(
      this->base, nullptr, stream, FormatIp(start.backend.ip).c_str(),
      start.backend.port);
  evhttp_connection_set_retries(connection, 0);
  evhttp_connection_set_timeout(connection,
                                static_cast<int>(kAttemptTimeout.count()));
  evhttp_connection_set_max_headers_size(connection, kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(connection, kMaxBodyBytes);
  Attempt& attempt = this->attempts[start.attempt];
  attempt = Attempt{.client = this,
                    .id = start.attempt,
                    .connection = connection,
                    .head_only = start.request.method == "HEAD"};
  evbuffer_add_cb(bufferevent_get_output(stream), &HttpClient::OnOutput,
                  &attempt);
  evhttp_request* request = evhttp_request_new(&HttpClient::OnDone, &attempt);
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  for (const wire::HeaderField& field : start.request.headers) {
    evhttp_add_header(fields, field.name().c_str(), field.value().c_str());
  }
  evhttp_add_header(fields, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(request),
               start.request.body.data(), start.request.body.size());
  evhttp_make_request(connection, request, MethodFromName(start.request.method),
                      start.request.path.c_str());
}

void HttpClient::OnOutput(evbuffer*, const evbuffer_cb_info* info,
                          void* attempt) {
  static_cast<Attempt*>(attempt)->bytes_sent += info->n_deleted;
}

void HttpClient::OnDone(evhttp_request* request, void* context) {
  auto& attempt = *static_cast<Attempt*>(context);
  const bool answered =
      request != nullptr && evhttp_request_get_response_code(request) != 0;
  AttemptResult result;
  if (answered && IsSelfDelimited(request, attempt.head_only)) {
    result = ReadAnswer(request);
  } else if (!answered && attempt.bytes_sent == 0) {
    result.kind = AttemptResult::Kind::kNotSent;
  }
  attempt.client->Finish(attempt, result);
}

void HttpClient::Finish(Attempt& attempt, const AttemptResult& result) {
  const std::uint64_t id = attempt.id;
  // libevent still uses the connection during this callback, so the connection
  // is freed by a later event.
  bufferevent* stream = evhttp_connection_get_bufferevent(attempt.connection);
  evbuffer_remove_cb(bufferevent_get_output(stream), &HttpClient::OnOutput,
                     &attempt);
  this->finished.push_back(attempt.connection);
  event_active(this->free_event, 0, 0);
  this->attempts.erase(id);
  this->on_ended.emit(id, result);
}

void HttpClient::FreeConnections(evutil_socket_t, short, void* self) {
  auto& client = *static_cast<HttpClient*>(self);
  for (evhttp_connection* connection : client.finished) {
    evhttp_connection_free(connection);
  }
  client.finished.clear();
}

void HttpClient::Cancel(std::uint64_t id) {
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return;
  }
  evhttp_connection* connection = found->second.connection;
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  evbuffer_remove_cb(bufferevent_get_output(stream), &HttpClient::OnOutput,
                     &found->second);
  this->attempts.erase(found);
  evhttp_connection_free(connection);
}

}  // namespace filbertwall
