#include "Shell/ExplainAnswer.h"

#include <nlohmann/json.hpp>
#include <set>

#include "Base/InputError.h"
#include "Base/Text.h"

namespace filbertwall {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kBadRequest = 400;

const char* KindName(wire::RequestKind kind) {
  switch (kind) {
    case wire::REQUEST_SAFE:
      return "safe";
    case wire::REQUEST_DOWNLOAD:
      return "download";
    default:
      return "unsafe";
  }
}

const char* StateName(DataCentreState state) {
  switch (state) {
    case DataCentreState::kIn:
      return "in";
    case DataCentreState::kOutOfRegion:
      return "out-of-region";
    case DataCentreState::kEvacuated:
      return "evacuated";
    case DataCentreState::kNoServer:
      return "no-server";
    case DataCentreState::kUnreachable:
      return "unreachable";
    case DataCentreState::kNotAnswering:
      return "not-answering";
  }
  return "";
}

const char* StateName(ServerState state) {
  switch (state) {
    case ServerState::kCandidate:
      return "candidate";
    case ServerState::kOutOfRegion:
      return "out-of-region";
    case ServerState::kNoBudget:
      return "no-budget";
    case ServerState::kUnconfirmed:
      return "unconfirmed";
    case ServerState::kAvoided:
      return "not-answering";
    case ServerState::kFailing:
      return "failing";
  }
  return "";
}

const char* ReasonName(AdmissionReason reason) {
  switch (reason) {
    case AdmissionReason::kWithinShare:
      return "within-share";
    case AdmissionReason::kNoneInFlight:
      return "none-in-flight";
    case AdmissionReason::kStarved:
      return "starved";
    case AdmissionReason::kRefused:
      return "refused";
    case AdmissionReason::kUnfair:
      return "unfair";
  }
  return "";
}

const char* ActionName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kForward:
      return "forward";
    case Verdict::kReset:
      return "reset";
    case Verdict::kDrop:
      return "drop";
    case Verdict::kHold:
      return "hold";
  }
  return "";
}

Json ToJson(const ExplainedRoute& route) {
  Json shares = Json::array();
  for (const ExplainedShare& share : route.shares) {
    shares.push_back({{"service", share.service}, {"weight", share.weight}});
  }
  return {{"service", route.service},
          {"kind", KindName(route.kind)},
          {"priority", route.priority},
          {"timeout_ms", route.timeout.count()},
          {"objective_ms", route.objective.count()},
          {"regions", route.regions},
          {"shares", std::move(shares)}};
}

Json ToJson(const ExplainedDataCentre& item) {
  return {{"name", item.name},
          {"region", item.region},
          {"state", StateName(item.state)},
          {"servers", item.servers},
          {"usable", item.usable},
          {"load", item.load},
          {"diverted_share", item.diverted_share}};
}

Json ToJson(const ExplainedServer& item) {
  Json result = {{"id", item.id},
                 {"data_centre", item.data_centre},
                 {"state", StateName(item.state)},
                 {"in_flight", item.in_flight},
                 {"slots", item.slots},
                 {"slowness", item.slowness},
                 {"mean_duration_ms", item.mean_duration_ms},
                 {"warmup_left_ms", item.warmup_left.count()},
                 {"budget", nullptr}};
  if (item.limited) {
    result["budget"] = {{"flows_per_second", item.allowance.flows_per_second},
                        {"flows_left", item.allowance.flows_left}};
  }
  return result;
}

Json ToJson(const ExplainedAdmission& admission) {
  return {{"admitted", IsAdmitted(admission.decision.reason)},
          {"reason", ReasonName(admission.decision.reason)},
          {"priority", admission.flow_class.priority},
          {"repeatable", admission.flow_class.retryable},
          {"admitted_share", admission.decision.share},
          {"expected_slowness", admission.decision.expected_slowness},
          {"in_flight", admission.in_flight},
          {"effective_slots", admission.effective_slots}};
}

Json ToJson(const ExplainedDraws& draws) {
  Json result = Json::array();
  const auto add = [&](bool drawn, const char* name) {
    if (drawn) {
      result.push_back(name);
    }
  };
  add(draws.service, "service");
  add(draws.admission, "admission");
  add(draws.failing_server, "failing-server");
  add(draws.load, "load");
  add(draws.equal_cost, "equal-cost");
  return result;
}

template <typename Items>
Json ToJsonArray(const Items& items) {
  Json result = Json::array();
  for (const auto& item : items) {
    result.push_back(ToJson(item));
  }
  return result;
}

std::string Write(const Json& document) {
  constexpr int kIndent = 1;
  return document.dump(kIndent, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

wire::Answer MakeAnswer(std::uint32_t status, const std::string& body) {
  wire::Answer answer;
  answer.set_status(status);
  wire::HeaderField& type = *answer.add_headers();
  type.set_name("Content-Type");
  type.set_value("application/json");
  answer.set_body(body);
  return answer;
}

/// Reads one parameter, `NAME=IP:PORT`. Returns the error; empty if there is
/// none.
std::string ReadParameter(const std::string& text, std::set<std::string>& seen,
                          FlowKey& key) {
  const std::vector<std::string> parts = SplitAt(text, '=');
  const std::string& name = parts[0];
  if (parts.size() != 2 || (name != "to" && name != "from")) {
    return "\"" + Excerpt(text) + "\": expected to=IP:PORT or from=IP:PORT";
  }
  if (!seen.insert(name).second) {
    return name + ": expected once";
  }
  const std::string value = PercentDecode(parts[1]);
  const auto endpoint = ParseEndpoint(value);
  if (!endpoint) {
    return name + ": \"" + Excerpt(value) + "\": expected IP:PORT";
  }
  (name == "to" ? key.address : key.caller) = *endpoint;
  return "";
}

}  // namespace

bool IsExplainTarget(std::string_view target) {
  return target.substr(0, target.find('?')) == kExplainPath;
}

std::string MakeExplainTarget(const Endpoint& address,
                              const std::optional<Endpoint>& caller) {
  return std::string(kExplainPath) + "?to=" + FormatEndpoint(address) +
         (caller ? "&from=" + FormatEndpoint(*caller) : "");
}

ExplainCall ReadExplainCall(const HttpRequest& request) {
  if (request.method != "GET") {
    return {.error = "expected GET"};
  }
  if (request.path.size() > kMaxExplainTarget) {
    return {.error = "expected at most " + std::to_string(kMaxExplainTarget) +
                     " bytes"};
  }
  const std::size_t mark = request.path.find('?');
  if (mark == std::string::npos || mark + 1 == request.path.size()) {
    return {.error = "to: expected IP:PORT of the address that is called"};
  }
  ExplainCall call;
  std::set<std::string> seen;
  for (const std::string& text : SplitAt(request.path.substr(mark + 1), '&')) {
    call.error = ReadParameter(text, seen, call.key);
    if (!call.error.empty()) {
      return call;
    }
  }
  if (!seen.contains("to")) {
    call.error = "to: expected IP:PORT of the address that is called";
  }
  return call;
}

std::string FormatExplanationJson(const EntryExplanation& explanation) {
  const FlowExplanation& flow = explanation.flow;
  Json document;
  document["flow"] = {{"to", FormatEndpoint(flow.key.address)},
                      {"from", FormatEndpoint(flow.key.caller)},
                      {"open_at", flow.open_at}};
  document["instance"] = {
      {"data_centre", explanation.data_centre},
      {"serving", explanation.serving},
      {"stopping", explanation.stopping},
      {"rules_confirmed", explanation.rules_confirmed},
      {"servers_known", explanation.servers_known},
      {"rules_version", flow.rules_version},
      {"control",
       explanation.control == 0 ? "" : FormatIp(explanation.control)}};
  document["route"] = nullptr;
  if (flow.route) {
    document["route"] = ToJson(*flow.route);
  }
  document["route_removed"] = flow.route_removed;
  document["data_centres"] = ToJsonArray(flow.data_centres);
  document["data_centres_left_out"] = flow.data_centres_left_out;
  document["servers"] = ToJsonArray(flow.servers);
  document["servers_left_out"] = flow.servers_left_out;
  document["admission"] = nullptr;
  if (flow.admission) {
    document["admission"] = ToJson(*flow.admission);
  }
  document["draws"] = ToJson(flow.draws);
  document["decision"] = {{"action", ActionName(flow.verdict)},
                          {"reason", ForwardReasonName(flow.reason)},
                          {"server", flow.server},
                          {"lacks_budget", flow.lacks_budget}};
  return Write(document);
}

wire::Answer AnswerExplainCall(const EntryExplanation& explanation) {
  return MakeAnswer(kOk, FormatExplanationJson(explanation));
}

wire::Answer RefuseExplainCall(const std::string& reason) {
  return MakeAnswer(kBadRequest, Write({{"error", reason}}));
}

}  // namespace filbertwall
