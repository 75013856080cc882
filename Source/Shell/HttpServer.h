#pragma once

#include <event2/event.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>

#include "Base/Endpoint.h"
#include "Requests/RequestTier.h"

/// An HTTP server on one port. Must be used on the event loop's thread only.
namespace filbertwall {

class HttpServer {
 public:
  explicit HttpServer(event_base* base);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  sigc::signal<void(std::uint64_t id, HttpRequest request)> on_request;
  /// Emitted when the connection of an unanswered request is closed.
  sigc::signal<void(std::uint64_t id)> on_caller_disconnected;

  /// Returns false when the address cannot be bound.
  bool Start(const Endpoint& address);

  /// Adds `Connection: close` to every later answer. New connections are still
  /// accepted: closing the port would reset connections that wait to be
  /// accepted.
  void StartClosing();

  /// Answers a request. Ignored when the request was answered before or its
  /// caller has disconnected.
  void Answer(std::uint64_t id, const wire::Answer& answer);

 private:
  struct PendingRequest {
    HttpServer* server = nullptr;
    std::uint64_t id = 0;
    evhttp_request* request = nullptr;
    bool ends_connection = false;  ///< Closed after the answer.
  };

  static void OnRequest(evhttp_request* request, void* self);
  static void OnClosed(evhttp_connection* connection, void* pending);

  event_base* base;
  evhttp* http = nullptr;
  std::uint64_t next_id = 1;
  bool closing = false;
  std::map<std::uint64_t, PendingRequest> pending;
};

}  // namespace filbertwall
