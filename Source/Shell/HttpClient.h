#pragma once

#include <event2/event.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>

#include "Requests/RequestTier.h"

struct evbuffer;
struct evbuffer_cb_info;

/// HTTP client for attempts at backend servers; each attempt uses a connection
/// of its own. Must be used on the event loop's thread only.
namespace filbertwall {

class HttpClient {
 public:
  explicit HttpClient(event_base* base);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Emitted once for each attempt that was started and not cancelled.
  sigc::signal<void(std::uint64_t attempt, AttemptResult result)> on_ended;

  void Start(const StartAttempt& start);
  /// Closes an attempt's connection without emitting a result. Ignores an
  /// unknown attempt.
  void Cancel(std::uint64_t attempt);

 private:
  struct Attempt {
    HttpClient* client = nullptr;
    std::uint64_t id = 0;
    evhttp_connection* connection = nullptr;
    bool head_only = false;
    std::size_t bytes_sent = 0;
  };

  static void OnDone(evhttp_request* request, void* attempt);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* attempt);
  static void FreeConnections(evutil_socket_t fd, short what, void* self);
  void Finish(Attempt& attempt, const AttemptResult& result);

  event_base* base;
  event* free_event;
  std::map<std::uint64_t, Attempt> attempts;
  std::vector<evhttp_connection*> finished;
};

}  // namespace filbertwall
