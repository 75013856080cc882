#include "Shell/MetricsServer.h"

#include "Shell/ExplainAnswer.h"
#include "Shell/Log.h"

namespace filbertwall {
namespace {

constexpr std::size_t kMaxConnections = 16;

}  // namespace

MetricsServer::MetricsServer(
    event_base* base, std::function<std::string()> format_metrics,
    std::function<wire::Answer(const HttpRequest&)> explain_flow)
    : http(base, {.connections = kMaxConnections}),
      format(std::move(format_metrics)),
      explain(std::move(explain_flow)) {
  this->http.on_request.connect(
      [this](std::uint64_t id, const HttpRequest& request) {
        this->http.Answer(id, this->AnswerCall(request));
      });
}

wire::Answer MetricsServer::AnswerCall(const HttpRequest& request) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  if (IsExplainTarget(request.path)) {
    return this->explain(request);
  }
  const bool known = request.path == "/metrics";
  wire::Answer answer;
  answer.set_status(known ? kOk : kNotFound);
  if (known) {
    wire::HeaderField& type = *answer.add_headers();
    type.set_name("Content-Type");
    type.set_value("text/plain; version=0.0.4");
    answer.set_body(this->format());
  }
  return answer;
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
