#pragma once

#include <event2/event.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>

#include "Base/Endpoint.h"
#include "Requests/RequestTier.h"

/// One listening HTTP port. Must be used on the loop's thread only.
namespace filbertwall {

class HttpServer {
 public:
  explicit HttpServer(event_base* base);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  sigc::signal<void(std::uint64_t id, HttpRequest request)> on_request;
  /// Emitted when the connection of an unanswered request ends.
  sigc::signal<void(std::uint64_t id)> on_caller_left;

  /// False when the address can't be bound.
  bool Start(const Endpoint& address);

  /// Asks callers to close their connection with each answer from now on. New
  /// connections are still accepted: closing the port would reset those that
  /// wait to be accepted.
  void StartClosing();

  /// Answers a request once; ignored when its caller has left.
  void Answer(std::uint64_t id, const wire::Answer& answer);

 private:
  struct Open {
    HttpServer* server = nullptr;
    std::uint64_t id = 0;
    evhttp_request* request = nullptr;
  };

  static void OnRequest(evhttp_request* request, void* self);
  static void OnClosed(evhttp_connection* connection, void* open);

  event_base* base;
  evhttp* http = nullptr;
  std::uint64_t next_id = 1;
  bool closing = false;
  std::map<std::uint64_t, Open> open;
};

}  // namespace filbertwall
