#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"

/// The rules that operators hand over, as plain data.
namespace filbertwall {

enum class Protocol { kHttp, kPackets };

/// What a service weighs more when its set of backend servers changes.
enum class Preference { kStability, kBalance };

enum class Idempotence { kByMethod, kYes, kNo };

enum class TrafficClass { kInteractive, kBulk };

/// Where a rule stands and who asked for it.
struct Origin {
  int line = 0;
  std::string asker;
};

/// What a service's operators tell of it beside its treatment here.
struct ServiceDetails {
  std::string health_path;
  std::string application = "h1";  ///< Protocol inside the flows.
  std::uint32_t flow_limit = 0;    ///< Of each backend server; 0: none given.
  bool tls = false;
  bool operator==(const ServiceDetails&) const = default;
};

struct ServiceRule {
  std::string name;
  Protocol protocol = Protocol::kHttp;
  Preference preference = Preference::kStability;
  ServiceDetails details;
  Origin origin;
};

/// A service among those that the flows to one address are split over.
struct SharedService {
  std::string service;
  std::uint32_t weight = 1;
  bool operator==(const SharedService&) const = default;
};

/// Whether the requests inside a flow may be repeated.
enum class RouteKind { kUnsafe, kSafe, kDownload };

/// How the flows to one address are treated.
struct RouteTreatment {
  std::string name;  ///< For operators; may be empty.
  RouteKind kind = RouteKind::kUnsafe;
  Milliseconds timeout{2000};
  Milliseconds objective{0};   ///< Latency objective; 0: none.
  std::uint32_t priority = 0;  ///< 0 is the highest.
  std::uint32_t attempts = 1;
  bool operator==(const RouteTreatment&) const = default;
};

struct AddressRule {
  Endpoint address;
  std::string service;  ///< The first of `shares`.
  std::vector<SharedService> shares;
  bool weighted = false;  ///< The line gives weights.
  RouteTreatment treatment;
  Origin origin;
};

/// Limits on requests that the instances between caller and server observe.
struct BoundsRule {
  std::uint32_t header_bytes = 0;
  std::uint32_t body_bytes = 0;
  Milliseconds header_timeout{0};
  Milliseconds idle_timeout{0};
  bool operator==(const BoundsRule&) const = default;
};

/// Treatment of the requests whose method and path prefix match.
struct RequestRule {
  std::string service;
  std::string method;  ///< "*" matches every method.
  std::string path;
  Milliseconds deadline{2000};
  std::uint32_t retries = 0;
  std::uint32_t queue = 64;
  Idempotence idempotence = Idempotence::kByMethod;
  TrafficClass traffic_class = TrafficClass::kBulk;
  Origin origin;
};

struct WeightRule {
  std::string service;
  Endpoint backend;
  std::uint32_t weight = 1;
  Origin origin;
};

/// Upper bound on the slots used of each backend server of a service.
struct LimitRule {
  std::string service;
  std::uint32_t slots = 0;
  Origin origin;
};

struct Rules {
  std::uint64_t version = 0;
  std::map<std::string, ServiceRule> services;
  std::map<Endpoint, AddressRule> addresses;
  std::vector<RequestRule> requests;
  std::vector<WeightRule> weights;
  std::map<std::string, LimitRule> limits;
  BoundsRule bounds;
};

/// The service that a request's Host header names: a service's name or one of
/// its addresses. Null when there is none.
const ServiceRule* FindServiceByHost(const Rules& rules,
                                     const std::string& host);

/// The matching rule with the longest path, an exact method before "*". Null
/// when there is none.
const RequestRule* FindRequestRule(const Rules& rules,
                                   const std::string& service,
                                   const std::string& method,
                                   const std::string& path);

/// The rule's wish, or RFC 9110 section 9.2.2 by method when there is none.
bool IsIdempotent(const RequestRule* rule, const std::string& method);

/// 1 when no rule sets the weight of the backend server.
std::uint32_t WeightOf(const Rules& rules, const std::string& service,
                       const Endpoint& backend);

}  // namespace filbertwall
