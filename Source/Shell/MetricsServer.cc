#include "Shell/MetricsServer.h"

#include "Shell/Log.h"

namespace filbertwall {
namespace {

constexpr std::size_t kMaxConnections = 16;

}  // namespace

MetricsServer::MetricsServer(event_base* base,
                             std::function<std::string()> format_metrics)
    : http(base, {.connections = kMaxConnections}),
      format(std::move(format_metrics)) {
  this->http.on_request.connect(
      [this](std::uint64_t id, const HttpRequest& request) {
        constexpr int kOk = 200;
        constexpr int kNotFound = 404;
        const bool known = request.path == "/metrics";
        wire::Answer answer;
        answer.set_status(known ? kOk : kNotFound);
        if (known) {
          wire::HeaderField& type = *answer.add_headers();
          type.set_name("Content-Type");
          type.set_value("text/plain; version=0.0.4");
          answer.set_body(this->format());
        }
        this->http.Answer(id, answer);
      });
}

void MetricsServer::Start(const Endpoint& address) {
  if (address.port == 0 || this->http.Start(address)) {
    return;
  }
  WriteLog({.id = EventId::kSettingsRejected,
            .severity = Severity::kWarning,
            .text = "cannot listen: metrics_port " + FormatEndpoint(address)});
}

}  // namespace filbertwall
