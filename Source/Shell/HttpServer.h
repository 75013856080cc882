#pragma once

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Requests/RequestTier.h"

struct evbuffer_cb_info;
struct evconnlistener;

/// An HTTP server on one port. Must be used on the event loop's thread only.
namespace filbertwall {

/// Bounds on what the callers of one server can take up.
struct HttpLimits {
  Milliseconds idle{30000};     ///< Without a request.
  Milliseconds receive{30000};  ///< From the first byte of a request on.
  /// Time after which a request is answered with status 503. Longer than each
  /// time that a reducer takes for an answer.
  Milliseconds answer{30000};
  Milliseconds send{30000};  ///< Until an answer has been sent.
  Milliseconds check{1000};  ///< Interval at which the times are checked.
  /// Beyond this, the connection is closed that has waited longest without an
  /// unanswered request. Never more than half of the process's descriptors.
  std::size_t connections = 2048;
  /// Bytes of all requests and answers together. Beyond this, the largest one
  /// is given up.
  std::size_t held_bytes = 32U * 1024 * 1024;
};

class HttpServer {
 public:
  explicit HttpServer(event_base* base, const HttpLimits& limits = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  sigc::signal<void(std::uint64_t id, HttpRequest request)> on_request;
  /// Emitted when an unanswered request can no longer be answered: its
  /// connection was closed, or `HttpLimits::answer` has passed. A caller that
  /// closes only its sending side counts as closed, as TCP does not tell the
  /// two apart.
  sigc::signal<void(std::uint64_t id)> on_caller_disconnected;

  /// Returns false when the address cannot be bound.
  bool Start(const Endpoint& address);

  /// Adds `Connection: close` to every later answer. New connections are still
  /// accepted: closing the port would reset connections that wait to be
  /// accepted.
  void StartClosing();

  /// Answers a request. Ignored when the request was answered before or can no
  /// longer be answered.
  void Answer(std::uint64_t id, const wire::Answer& answer);

  /// Returns whether an answer has not been passed to the kernel in full.
  bool IsSending() const;

 private:
  enum class State { kIdle, kReceiving, kPending, kSending };

  struct Connection {
    HttpServer* server = nullptr;
    bufferevent* stream = nullptr;
    evhttp_connection* handle = nullptr;  ///< Set right after the accept.
    State state = State::kIdle;
    TimePoint since;                    ///< Beginning of the state.
    std::size_t held = 0;               ///< Bytes of requests and the answer.
    std::uint64_t call = 0;             ///< In state `kPending` only.
    evhttp_request* request = nullptr;  ///< In state `kPending` only.
    bool ends = false;  ///< Whether it is closed after the next answer.
  };

  static bufferevent* OnAccept(event_base* base, void* self);
  static void OnAcceptFailed(evconnlistener* listener, void* http);
  static void OnAcceptAgain(evutil_socket_t fd, short what, void* self);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                      void* connection);
  static void OnRequest(evhttp_request* request, void* self);
  static void OnSent(evhttp_request* request, void* connection);
  static void OnClosed(evhttp_connection* handle, void* connection);
  static void OnLimits(evutil_socket_t fd, short what, void* self);
  static void OnSweep(evutil_socket_t fd, short what, void* self);

  void HandleRequest(Connection& connection, evhttp_request* request);
  void Adopt();
  void EnforceLimits();
  void StartSweepTimer();
  /// Closes one connection without an unanswered request. Returns false when
  /// there is none.
  bool CloseLongestWaiting();
  bool CloseLargest();
  Milliseconds LimitOf(State state) const;
  void Expire(Connection& connection);
  void Reject(Connection& connection, std::uint32_t status);
  void Enter(Connection& connection, State state);
  void Hold(Connection& connection, std::size_t bytes);

  event_base* base;
  HttpLimits limits;
  evhttp* http = nullptr;
  evconnlistener* listener = nullptr;
  event* limits_event = nullptr;
  event* sweep_timer = nullptr;
  event* accept_timer = nullptr;
  std::uint64_t next_id = 1;
  std::size_t held = 0;
  bool closing = false;
  std::unordered_map<bufferevent*, Connection> connections;
  std::vector<Connection*> accepted;  ///< Without a handle as yet.
  std::map<std::uint64_t, Connection*> pending;
};

}  // namespace filbertwall
