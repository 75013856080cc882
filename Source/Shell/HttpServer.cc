#include "Shell/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "Shell/HttpFields.h"

namespace filbertwall {
namespace {

/// A caller that sends or reads nothing for this long is cut off.
constexpr std::chrono::seconds kIdleLimit{30};

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
  result.headers = ReadFields(fields);
  result.body = TakeBody(evhttp_request_get_input_buffer(request));
  return result;
}

}  // namespace

HttpServer::HttpServer(event_base* event_loop)
    : base(event_loop), http(evhttp_new(event_loop)) {
  evhttp_set_allowed_methods(this->http, kAllMethods);
  evhttp_set_max_headers_size(this->http, kLargestHeadBytes);
  evhttp_set_max_body_size(this->http, kLargestBodyBytes);
  evhttp_set_timeout(this->http, static_cast<int>(kIdleLimit.count()));
  evhttp_set_gencb(this->http, &HttpServer::OnRequest, this);
}

HttpServer::~HttpServer() {
  this->open.clear();
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
  Open& entry = server.open[id];
  entry = Open{.server = &server, .id = id, .request = request};
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(connection, &HttpServer::OnClosed, &entry);
  // Without reading on, the end of the caller's connection goes unnoticed.
  bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
  server.on_request.emit(id, ReadRequest(request));
}

void HttpServer::OnClosed(evhttp_connection*, void* open) {
  const Open entry = *static_cast<Open*>(open);
  entry.server->open.erase(entry.id);
  entry.server->on_caller_left.emit(entry.id);
}

void HttpServer::Answer(std::uint64_t id, const wire::Answer& answer) {
  const auto found = this->open.find(id);
  if (found == this->open.end()) {
    return;
  }
  evhttp_request* request = found->second.request;
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr,
                                nullptr);
  this->open.erase(found);
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  for (const wire::HeaderField& field : answer.headers()) {
    evhttp_add_header(fields, field.name().c_str(), field.value().c_str());
  }
  if (this->closing) {
    evhttp_add_header(fields, "Connection", "close");
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, answer.body().data(), answer.body().size());
  evhttp_send_reply(request, static_cast<int>(answer.status()), nullptr, body);
  evbuffer_free(body);
}

}  // namespace filbertwall
