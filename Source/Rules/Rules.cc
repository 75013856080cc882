#include "Rules/Rules.h"

namespace filbertwall {

bool HaveSameLimit(const WarmupRule& left, const WarmupRule& right) {
  return left.duration == right.duration &&
         left.flows_per_second == right.flows_per_second;
}

const ServiceRule* FindServiceByHost(const Rules& rules,
                                     const std::string& host) {
  const auto by_name = rules.services.find(host);
  if (by_name != rules.services.end()) {
    return &by_name->second;
  }
  const auto endpoint = ParseEndpoint(host);
  if (!endpoint) {
    return nullptr;
  }
  const auto by_address = rules.addresses.find(*endpoint);
  if (by_address == rules.addresses.end()) {
    return nullptr;
  }
  return &rules.services.at(by_address->second.service);
}

const RequestRule* FindRequestRule(const Rules& rules,
                                   const std::string& service,
                                   const std::string& method,
                                   const std::string& path) {
  const RequestRule* best = nullptr;
  for (const RequestRule& rule : rules.requests) {
    const bool matches = rule.service == service &&
                         (rule.method == "*" || rule.method == method) &&
                         path.starts_with(rule.path);
    if (!matches) {
      continue;
    }
    const bool longer = best == nullptr || rule.path.size() > best->path.size();
    const bool more_exact = best != nullptr &&
                            rule.path.size() == best->path.size() &&
                            best->method == "*";
    if (longer || more_exact) {
      best = &rule;
    }
  }
  return best;
}

bool IsIdempotent(const RequestRule* rule, const std::string& method) {
  if (rule != nullptr && rule->idempotence != Idempotence::kByMethod) {
    return rule->idempotence == Idempotence::kYes;
  }
  return method == "GET" || method == "HEAD" || method == "PUT" ||
         method == "DELETE" || method == "OPTIONS" || method == "TRACE";
}

std::uint32_t GetBackendWeight(const Rules& rules, const std::string& service,
                               const Endpoint& backend) {
  for (const WeightRule& rule : rules.weights) {
    if (rule.service == service && rule.backend == backend) {
      return rule.weight;
    }
  }
  return 1;
}

std::set<std::string> EvacuatedDataCentres(const Rules& rules) {
  std::set<std::string> names;
  for (const auto& [name, rule] : rules.evacuations) {
    names.insert(name);
  }
  return names;
}

}  // namespace filbertwall
