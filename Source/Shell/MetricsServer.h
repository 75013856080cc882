#pragma once

#include <functional>
#include <string>

#include "Shell/HttpServer.h"

/// Serves a process's metrics over HTTP at /metrics.
namespace filbertwall {

class MetricsServer {
 public:
  /// `format` returns the current metrics as text. It is called on the event
  /// loop's thread.
  MetricsServer(event_base* base, std::function<std::string()> format);

  /// Listens unless the port is 0. A failure to bind is only logged, because an
  /// instance can serve without metrics.
  void Start(const Endpoint& address);

 private:
  HttpServer http;
  std::function<std::string()> format;
};

}  // namespace filbertwall
