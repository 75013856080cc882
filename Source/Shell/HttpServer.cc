#include "Shell/HttpServer.h"

#include <event2/buffer.h>
#include <event2/listener.h>
#include <sys/resource.h>

#include <algorithm>

#include "Shell/HttpFields.h"

namespace filbertwall {
namespace {

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                            EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |
                            EVHTTP_REQ_PATCH;

constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kUnavailable = 503;

constexpr std::size_t kMinConnections = 8;
/// Descriptors that are assumed when their limit can't be read.
constexpr rlim_t kUsualDescriptors = 1024;

/// Bytes that a connection buffers: a whole body and the next request's head.
constexpr std::size_t kMaxBufferedBytes = kMaxBodyBytes + kMaxHeaderBytes;
/// Bytes that a caller may send ahead while its request is unanswered.
constexpr std::size_t kMaxBytesAhead = kMaxHeaderBytes;

/// One of this many connections is closed when none could be accepted.
constexpr std::size_t kClosedShare = 8;
/// Pause after a connection could not be accepted.
constexpr timeval kAcceptPause{.tv_sec = 0, .tv_usec = 10000};

/// libevent passes no user data to the error callback of an HTTP server's
/// listener.
std::unordered_map<evconnlistener*, HttpServer*>& Listeners() {
  thread_local std::unordered_map<evconnlistener*, HttpServer*> listeners;
  return listeners;
}

TimePoint Now() { return std::chrono::steady_clock::now(); }

timeval ToTimeval(Milliseconds time) {
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  return {.tv_sec = seconds.count(),
          .tv_usec = (time - seconds).count() * kMicrosecondsPerMillisecond};
}

/// Returns half of the descriptors that the process may open.
std::size_t HalfOfDescriptors() {
  rlimit descriptors{.rlim_cur = kUsualDescriptors};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  return std::max<std::size_t>(descriptors.rlim_cur / 2, kMinConnections);
}

std::size_t InputLength(bufferevent* stream) {
  return evbuffer_get_length(bufferevent_get_input(stream));
}

/// Returns the IP address of the caller; empty when it has disconnected.
std::string ReadCaller(evhttp_request* request) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  char* address = nullptr;
  std::uint16_t port = 0;
  if (connection != nullptr) {
    evhttp_connection_get_peer(connection, &address, &port);
  }
  return address == nullptr ? "" : address;
}

HttpRequest ReadRequest(evhttp_request* request) {
  HttpRequest result;
  result.caller = ReadCaller(request);
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

HttpServer::HttpServer(event_base* event_loop, const HttpLimits& own_limits)
    : base(event_loop),
      limits(own_limits),
      http(evhttp_new(event_loop)),
      limits_event(event_new(event_loop, -1, 0, &HttpServer::OnLimits, this)),
      sweep_timer(evtimer_new(event_loop, &HttpServer::OnSweep, this)),
      accept_timer(evtimer_new(event_loop, &HttpServer::OnAcceptAgain, this)) {
  this->limits.connections =
      std::min(this->limits.connections, HalfOfDescriptors());
  evhttp_set_allowed_methods(this->http, kAllMethods);
  evhttp_set_max_headers_size(this->http, kMaxHeaderBytes);
  evhttp_set_max_body_size(this->http, kMaxBodyBytes);
  evhttp_set_bevcb(this->http, &HttpServer::OnAccept, this);
  evhttp_set_gencb(this->http, &HttpServer::OnRequest, this);
}

HttpServer::~HttpServer() {
  this->Adopt();
  for (const auto& [stream, connection] : this->connections) {
    evhttp_connection_set_closecb(connection.handle, nullptr, nullptr);
  }
  Listeners().erase(this->listener);
  evhttp_free(this->http);
  for (event* item :
       {this->limits_event, this->sweep_timer, this->accept_timer}) {
    event_free(item);
  }
}

bool HttpServer::Start(const Endpoint& address) {
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(
      this->http, FormatIp(address.ip).c_str(), address.port);
  if (bound == nullptr) {
    return false;
  }
  this->listener = evhttp_bound_socket_get_listener(bound);
  Listeners()[this->listener] = this;
  evconnlistener_set_error_cb(this->listener, &HttpServer::OnAcceptFailed);
  return true;
}

void HttpServer::StartClosing() { this->closing = true; }

bool HttpServer::IsSending() const {
  return std::ranges::any_of(this->connections, [](const auto& item) {
    return item.second.state == State::kSending;
  });
}

bufferevent* HttpServer::OnAccept(event_base* base, void* self) {
  auto& server = *static_cast<HttpServer*>(self);
  bufferevent* stream = bufferevent_socket_new(base, -1, 0);
  if (stream == nullptr) {
    return nullptr;
  }
  bufferevent_setwatermark(stream, EV_READ, 0, kMaxBufferedBytes);
  Connection& connection = server.connections[stream];
  connection = {.server = &server, .stream = stream, .since = Now()};
  evbuffer_add_cb(bufferevent_get_input(stream), &HttpServer::OnInput,
                  &connection);
  server.accepted.push_back(&connection);
  event_active(server.limits_event, 0, 0);
  return stream;
}

void HttpServer::Adopt() {
  for (Connection* connection : this->accepted) {
    // libevent passes its connection to the callbacks that it sets.
    void* handle = nullptr;
    bufferevent_getcb(connection->stream, nullptr, nullptr, nullptr, &handle);
    connection->handle = static_cast<evhttp_connection*>(handle);
    evhttp_connection_set_closecb(connection->handle, &HttpServer::OnClosed,
                                  connection);
  }
  this->accepted.clear();
}

void HttpServer::OnAcceptFailed(evconnlistener* listener, void*) {
  HttpServer& server = *Listeners().at(listener);
  server.EnforceLimits();
  for (std::size_t i = server.connections.size() / kClosedShare + 1; i > 0;
       --i) {
    server.CloseLongestWaiting();
  }
  evconnlistener_disable(listener);
  event_add(server.accept_timer, &kAcceptPause);
}

void HttpServer::OnAcceptAgain(evutil_socket_t, short, void* self) {
  evconnlistener_enable(static_cast<HttpServer*>(self)->listener);
}

void HttpServer::OnLimits(evutil_socket_t, short, void* self) {
  static_cast<HttpServer*>(self)->EnforceLimits();
}

void HttpServer::EnforceLimits() {
  this->Adopt();
  while (this->connections.size() > this->limits.connections &&
         this->CloseLongestWaiting()) {
  }
  while (this->held > this->limits.held_bytes && this->CloseLargest()) {
  }
  if (evtimer_pending(this->sweep_timer, nullptr) == 0) {
    this->StartSweepTimer();
  }
}

void HttpServer::StartSweepTimer() {
  const timeval interval = ToTimeval(this->limits.check);
  event_add(this->sweep_timer, &interval);
}

Milliseconds HttpServer::LimitOf(State state) const {
  switch (state) {
    case State::kIdle:
      return this->limits.idle;
    case State::kReceiving:
      return this->limits.receive;
    case State::kPending:
      return this->limits.answer;
    case State::kSending:
      return this->limits.send;
  }
  return this->limits.idle;
}

bool HttpServer::CloseLongestWaiting() {
  Connection* longest = nullptr;
  for (auto& [stream, connection] : this->connections) {
    if (connection.state != State::kPending &&
        (longest == nullptr || connection.since < longest->since)) {
      longest = &connection;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  evhttp_connection_free(longest->handle);
  return true;
}

bool HttpServer::CloseLargest() {
  Connection* largest = nullptr;
  for (auto& [stream, connection] : this->connections) {
    if (connection.state != State::kPending &&
        (largest == nullptr || connection.held > largest->held)) {
      largest = &connection;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  evhttp_connection_free(largest->handle);
  return true;
}

void HttpServer::OnSweep(evutil_socket_t, short, void* self) {
  auto& server = *static_cast<HttpServer*>(self);
  std::vector<Connection*> expired;
  const TimePoint now = Now();
  for (auto& [stream, connection] : server.connections) {
    if (now - connection.since >= server.LimitOf(connection.state)) {
      expired.push_back(&connection);
    }
  }
  for (Connection* connection : expired) {
    server.Expire(*connection);
  }
  if (!server.connections.empty()) {
    server.StartSweepTimer();
  }
}

void HttpServer::Expire(Connection& connection) {
  if (connection.state != State::kPending) {
    evhttp_connection_free(connection.handle);
    return;
  }
  const std::uint64_t id = connection.call;
  this->Reject(connection, kUnavailable);
  this->on_caller_disconnected.emit(id);
}

void HttpServer::Enter(Connection& connection, State state) {
  connection.state = state;
  connection.since = Now();
}

void HttpServer::Hold(Connection& connection, std::size_t bytes) {
  this->held += bytes - connection.held;
  connection.held = bytes;
  if (this->held > this->limits.held_bytes) {
    event_active(this->limits_event, 0, 0);
  }
}

void HttpServer::OnInput(evbuffer*, const evbuffer_cb_info* info,
                         void* context) {
  auto& connection = *static_cast<Connection*>(context);
  if (info->n_added == 0) {
    return;
  }
  if (connection.state == State::kIdle) {
    connection.server->Enter(connection, State::kReceiving);
  }
  connection.server->Hold(connection, connection.held + info->n_added);
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto& server = *static_cast<HttpServer*>(self);
  evhttp_connection* handle = evhttp_request_get_connection(request);
  const auto found =
      server.connections.find(evhttp_connection_get_bufferevent(handle));
  if (found == server.connections.end()) {
    evhttp_send_error(request, kUnavailable, nullptr);
    return;
  }
  server.HandleRequest(found->second, request);
}

void HttpServer::HandleRequest(Connection& connection,
                               evhttp_request* request) {
  const std::uint64_t id = this->next_id++;
  connection.call = id;
  connection.request = request;
  this->pending[id] = &connection;
  this->Enter(connection, State::kPending);
  WatchForClose(connection.stream);
  connection.ends = HasUnreadBody(request);
  if (!IsWellFormed(request)) {
    this->Reject(connection, kBadRequest);
    return;
  }
  const HttpRequest call = ReadRequest(request);
  this->Hold(connection, call.body.size() + InputLength(connection.stream));
  this->EnforceLimits();
  if (this->held > this->limits.held_bytes) {
    this->Reject(connection, kUnavailable);
    return;
  }
  this->on_request.emit(id, call);
}

void HttpServer::Reject(Connection& connection, std::uint32_t status) {
  wire::Answer answer;
  answer.set_status(status);
  connection.ends = true;
  this->Answer(connection.call, answer);
}

void HttpServer::OnClosed(evhttp_connection*, void* context) {
  auto& connection = *static_cast<Connection*>(context);
  HttpServer& server = *connection.server;
  const std::uint64_t id = connection.call;
  evhttp_request* request = connection.request;
  evbuffer_remove_cb(bufferevent_get_input(connection.stream),
                     &HttpServer::OnInput, context);
  server.Hold(connection, 0);
  server.connections.erase(connection.stream);
  if (server.pending.erase(id) == 0) {
    return;
  }
  // A request that libevent has detached from its connection is ours.
  if (evhttp_request_get_connection(request) == nullptr) {
    evhttp_request_free(request);
  }
  server.on_caller_disconnected.emit(id);
}

void HttpServer::Answer(std::uint64_t id, const wire::Answer& answer) {
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return;
  }
  Connection& connection = *found->second;
  this->pending.erase(found);
  evhttp_request* request = connection.request;
  connection.request = nullptr;
  connection.call = 0;
  this->Enter(connection, State::kSending);
  this->Hold(connection, answer.body().size() + InputLength(connection.stream));
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  for (const wire::HeaderField& field : answer.headers()) {
    evhttp_add_header(fields, field.name().c_str(), field.value().c_str());
  }
  if (this->closing || connection.ends) {
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
  bufferevent_setwatermark(connection.stream, EV_READ, 0, kMaxBufferedBytes);
  evhttp_request_set_on_complete_cb(request, &HttpServer::OnSent, &connection);
  evhttp_send_reply(request, static_cast<int>(answer.status()), nullptr, body);
  evbuffer_free(body);
  // A caller that sends no more still gets its answer.
  bufferevent_disable(connection.stream, EV_READ);
}

void HttpServer::OnSent(evhttp_request*, void* context) {
  auto& connection = *static_cast<Connection*>(context);
  const std::size_t ahead = InputLength(connection.stream);
  connection.server->Hold(connection, ahead);
  connection.server->Enter(connection,
                           ahead == 0 ? State::kIdle : State::kReceiving);
}

}  // namespace filbertwall
