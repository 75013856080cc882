#include "Rules/Explain.h"

namespace filbertwall {
namespace {

std::string FormatOrigin(const Origin& origin) {
  return "line " + std::to_string(origin.line) + ", asked by " +
         origin.requester + "\n";
}

/// Returns a line for each data centre whose servers get nothing.
std::string ExplainEvacuations(const Rules& rules) {
  std::string text;
  for (const auto& [name, rule] : rules.evacuations) {
    text += "evacuate ";
    text += name;
    text += ": no server there, " + FormatOrigin(rule.origin);
  }
  return text;
}

Explanation ExplainFlow(const Rules& rules, const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    return {.text = "\"" + text + "\": expected IP:PORT\n"};
  }
  const auto address = rules.addresses.find(*endpoint);
  if (address == rules.addresses.end()) {
    return {.text = text + ": no address line names it\n"};
  }
  const ServiceRule& service = rules.services.at(address->second.service);
  std::string regions;
  for (const std::string& name : address->second.route_settings.regions) {
    regions += (regions.empty() ? " in regions " : ", ") + name;
  }
  return {.found = true,
          .text = "address " + text + " -> service " + service.name + regions +
                  ": " + FormatOrigin(address->second.origin) + "service " +
                  service.name + ": " + FormatOrigin(service.origin) +
                  ExplainEvacuations(rules)};
}

Explanation ExplainRequest(const Rules& rules, const std::string& host,
                           const std::string& method, const std::string& path) {
  const ServiceRule* service = FindServiceByHost(rules, host);
  if (service == nullptr) {
    return {.text = host + ": no service has this name or address\n"};
  }
  std::string text =
      "service " + service->name + ": " + FormatOrigin(service->origin);
  const RequestRule* rule = FindRequestRule(rules, service->name, method, path);
  if (rule == nullptr) {
    text += "request " + method + " " + path + ": no line; defaults apply\n";
  } else {
    text += "request " + rule->method + " " + rule->path +
            " deadline=" + std::to_string(rule->deadline.count()) +
            "ms retries=" + std::to_string(rule->retries) +
            " queue=" + std::to_string(rule->queue) + ": " +
            FormatOrigin(rule->origin);
  }
  text += std::string("idempotent: ") +
          (IsIdempotent(rule, method) ? "yes" : "no") + "\n";
  const auto limit = rules.limits.find(service->name);
  if (limit != rules.limits.end()) {
    text += "limit slots=" + std::to_string(limit->second.slots) + ": " +
            FormatOrigin(limit->second.origin);
  }
  return {.found = true, .text = text + ExplainEvacuations(rules)};
}

}  // namespace

Explanation Explain(const Rules& rules,
                    const std::vector<std::string>& subject) {
  if (subject.size() == 1) {
    return ExplainFlow(rules, subject[0]);
  }
  if (subject.size() == 3) {
    return ExplainRequest(rules, subject[0], subject[1], subject[2]);
  }
  return {.text = "expected HOST METHOD PATH, or IP:PORT\n"};
}

}  // namespace filbertwall
