#pragma once

#include <functional>
#include <string>

#include "Shell/HttpServer.h"

/// Serves a process's metrics over HTTP at /metrics.
namespace filbertwall {

class MetricsServer {
 public:
  /// `format` gives the text of the moment; called on the loop's thread.
  MetricsServer(event_base* base, std::function<std::string()> format);

  /// Listens unless the port is 0. A port that can't be had is logged: an
  /// instance without metrics still serves.
  void Start(const Endpoint& address);

 private:
  HttpServer http;
  std::function<std::string()> format;
};

}  // namespace filbertwall
