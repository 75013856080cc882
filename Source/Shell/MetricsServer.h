#pragma once

#include <functional>
#include <string>

#include "Shell/HttpServer.h"

/// Serves a process's metrics over HTTP at /metrics, and explanations of what
/// it would do with a flow at /explain (see `ExplainAnswer.h`).
namespace filbertwall {

class MetricsServer {
 public:
  /// `format` returns the current metrics as text, `explain` the answer to a
  /// call for an explanation. Both are called on the event loop's thread.
  MetricsServer(event_base* base, std::function<std::string()> format,
                std::function<wire::Answer(const HttpRequest&)> explain);

  /// Listens unless the port is 0. A failure to bind is only logged, because an
  /// instance can serve without metrics.
  void Start(const Endpoint& address);

 private:
  wire::Answer AnswerCall(const HttpRequest& request);

  HttpServer http;
  std::function<std::string()> format;
  std::function<wire::Answer(const HttpRequest&)> explain;
};

}  // namespace filbertwall
