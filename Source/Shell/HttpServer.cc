#include "Shell/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "Shell/HttpFields.h"

namespace filbertwall {
namespace {

/// A connection without reads or writes for this long is closed.
constexpr std::chrono::seconds kIdleTimeout{30};

/// Bytes that a caller may send ahead while its request is unanswered.
constexpr std::size_t kMaxBytesAhead = kMaxHeaderBytes;

constexpr std::uint32_t kBadRequest = 400;

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                            EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |
                            EVHTTP_REQ_PATCH;

HttpRequest ReadRequest(evhttp_request* request) {
  HttpRequest result;
  result.method = MethodName(evhttp_request_get_command(request));
  result.path = evhttp_request_get_uri(request);
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  const char* host = evhttp_find_header(fields, "Host");
  result.host = host == nullptr ? "" : host;
  result.headers = ReadEndToEndFields(fields);
  result.body = ExtractBody(evhttp_request_get_input_buffer(request));
  return result;
}

/// Watches for the close of the connection of an unanswered request. Further
/// bytes are kept for later: libevent ends the process when its read callback
/// is called between a request and the answer.
void WatchForClose(bufferevent* stream) {
  bufferevent_data_cb write = nullptr;
  bufferevent_event_cb event = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(stream, nullptr, &write, &event, &argument);
  bufferevent_setcb(stream, nullptr, write, event, argument);
  bufferevent_setwatermark(stream, EV_READ, 0, kMaxBytesAhead);
  bufferevent_enable(stream, EV_READ);
}

}  // namespace

HttpServer::HttpServer(event_base* event_loop)
    : base(event_loop), http(evhttp_new(event_loop)) {
  evhttp_set_allowed_methods(this->http, kAllMethods);
  evhttp_set_max_headers_size(this->http, kMaxHeaderBytes);
  evhttp_set_max_body_size(this->http, kMaxBodyBytes);
  evhttp_set_timeout(this->http, static_cast<int>(kIdleTimeout.count()));
  evhttp_set_gencb(this->http, &HttpServer::OnRequest, this);
}

HttpServer::~HttpServer() {
  for (const auto& [id, entry] : this->pending) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(entry.request),
                                  nullptr, nullptr);
  }
  evhttp_free(this->http);
}

bool HttpServer::Start(const Endpoint& address) {
  return evhttp_bind_socket(this->http, FormatIp(address.ip).c_str(),
                            address.port) == 0;
}

void HttpServer::StartClosing() { this->closing = true; }

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto& server = *static_cast<HttpServer*>(self);
  const std::uint64_t id = server.next_id++;
  PendingRequest& entry = server.pending[id];
  entry = PendingRequest{.server = &server, .id = id, .request = request};
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(connection, &HttpServer::OnClosed, &entry);
  WatchForClose(evhttp_connection_get_bufferevent(connection));
  entry.ends_connection = HasUnreadBody(request);
  if (!IsWellFormed(request)) {
    entry.ends_connection = true;
    wire::Answer answer;
    answer.set_status(kBadRequest);
    server.Answer(id, answer);
    return;
  }
  server.on_request.emit(id, ReadRequest(request));
}

void HttpServer::OnClosed(evhttp_connection*, void* pending) {
  const PendingRequest entry = *static_cast<PendingRequest*>(pending);
  entry.server->pending.erase(entry.id);
  // A request that libevent has detached from its connection is ours.
  if (evhttp_request_get_connection(entry.request) == nullptr) {
    evhttp_request_free(entry.request);
  }
  entry.server->on_caller_disconnected.emit(entry.id);
}

void HttpServer::Answer(std::uint64_t id, const wire::Answer& answer) {
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return;
  }
  evhttp_request* request = found->second.request;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                           EV_READ, 0, 0);
  const bool ends_connection = found->second.ends_connection;
  this->pending.erase(found);
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  for (const wire::HeaderField& field : answer.headers()) {
    evhttp_add_header(fields, field.name().c_str(), field.value().c_str());
  }
  if (this->closing || ends_connection) {
    evhttp_add_header(fields, "Connection", "close");
  }
  evbuffer* body = evbuffer_new();
  if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
    // libevent would send the body.
    evhttp_add_header(fields, "Content-Length",
                      std::to_string(answer.body().size()).c_str());
  } else {
    evbuffer_add(body, answer.body().data(), answer.body().size());
  }
  evhttp_send_reply(request, static_cast<int>(answer.status()), nullptr, body);
  evbuffer_free(body);
}

}  // namespace filbertwall
