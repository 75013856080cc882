#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"

/// The parsed contents of a rules file.
namespace filbertwall {

enum class Protocol { kHttp, kPackets };

/// Goal of server selection when the set of backend servers of a service
/// changes.
enum class Preference {
  kStability,  ///< The fewest broken flows.
  kBalance     ///< The most even distribution.
};

/// Whether requests are idempotent; `kByMethod`: as RFC 9110 defines the
/// method.
enum class Idempotence { kByMethod, kYes, kNo };

/// Priority in the queue: interactive requests are dispatched before bulk ones.
enum class TrafficClass { kInteractive, kBulk };

/// Line of a rule in the file, and who requested it.
struct Origin {
  int line = 0;
  std::string requester;  ///< The NAME in the comment `# by: NAME`.
};

/// Limit on the new flows to each backend server of a service while it warms
/// up.
struct WarmupRule {
  Milliseconds duration{0};     ///< Length of a warm-up.
  double flows_per_second = 0;  ///< 0: no limit.
  /// As written, for clients that read the rules; empty when left out.
  std::string duration_word;
  std::string rate_word;
};

/// Properties of a service that do not affect server selection. They are stored
/// and returned to clients that read the rules.
struct ServiceDetails {
  std::string health_path;
  std::string application = "h1";  ///< Protocol inside the flows.
  std::uint32_t flow_limit = 0;    ///< Of each backend server; 0: not set.
  bool tls = false;
  bool operator==(const ServiceDetails&) const = default;
};

struct ServiceRule {
  std::string name;
  Protocol protocol = Protocol::kHttp;
  Preference preference = Preference::kStability;
  ServiceDetails details;
  WarmupRule warmup;
  Origin origin;
};

/// A service that receives a weighted share of the new flows to an address.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
  bool operator==(const WeightedService&) const = default;
};

/// Whether the requests inside a flow may be retried.
enum class RouteKind { kUnsafe, kSafe, kDownload };

/// Settings for the flows to one address.
struct RouteSettings {
  std::string name;  ///< For operators; may be empty.
  RouteKind kind = RouteKind::kUnsafe;
  Milliseconds timeout{2000};
  Milliseconds objective{0};   ///< Latency objective; 0: none.
  std::uint32_t priority = 0;  ///< 0 is the highest.
  std::uint32_t attempts = 1;
  /// Regions of the backend servers that may be used; empty: all. Applied in a
  /// fleet only.
  std::vector<std::string> regions;
  bool operator==(const RouteSettings&) const = default;
};

struct AddressRule {
  Endpoint address;
  std::string service;  ///< The first of `shares`.
  std::vector<WeightedService> shares;
  bool weighted = false;  ///< The line sets a weight.
  RouteSettings route_settings;
  Origin origin;
};

/// Limits on request size and timeouts, for the instances between caller and
/// server to enforce. They are stored and returned to clients that read the
/// rules; entry instances do not apply them.
struct BoundsRule {
  std::uint32_t header_bytes = 0;
  std::uint32_t body_bytes = 0;
  Milliseconds header_timeout{0};
  Milliseconds idle_timeout{0};
  bool operator==(const BoundsRule&) const = default;
};

/// Settings for the requests whose method and path prefix match.
struct RequestRule {
  std::string service;
  std::string method;  ///< "*" matches every method.
  std::string path;    ///< Prefix of the request's path.
  Milliseconds deadline{2000};
  std::uint32_t retries = 0;
  std::uint32_t queue = 64;  ///< Maximum number of requests queued ahead.
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

/// Upper limit on the slots of each backend server of a service. It applies
/// where a server announces more. A slot serves one request at a time.
struct LimitRule {
  std::string service;
  std::uint32_t slots = 0;
  Origin origin;
};

/// A data centre whose backend servers get no new flow or request.
struct EvacuationRule {
  std::string data_centre;
  Origin origin;
};

/// Maximum number of data centres that the rules evacuate.
inline constexpr std::size_t kMaxEvacuationRules = 64;

struct Rules {
  std::uint64_t version = 0;
  std::map<std::string, ServiceRule> services;
  std::map<Endpoint, AddressRule> addresses;
  std::vector<RequestRule> requests;
  std::vector<WeightRule> weights;
  std::map<std::string, LimitRule> limits;
  std::map<std::string, EvacuationRule> evacuations;  ///< By data centre.
  BoundsRule bounds;
};

/// Returns whether two rules set the same limit, however it is written.
bool HaveSameLimit(const WarmupRule& left, const WarmupRule& right);

/// Returns the service whose name or address equals a request's Host header, or
/// null.
const ServiceRule* FindServiceByHost(const Rules& rules,
                                     const std::string& host);

/// Returns the matching rule with the longest path, or null. Of two rules with
/// the same path, an exact method precedes "*".
const RequestRule* FindRequestRule(const Rules& rules,
                                   const std::string& service,
                                   const std::string& method,
                                   const std::string& path);

/// Returns the rule's setting. Without one, the method decides as in RFC 9110,
/// section 9.2.2. `rule` may be null.
bool IsIdempotent(const RequestRule* rule, const std::string& method);

/// Returns the weight of a backend server, 1 if no rule sets it.
std::uint32_t GetBackendWeight(const Rules& rules, const std::string& service,
                               const Endpoint& backend);

/// Returns the names of the data centres that the rules evacuate.
std::set<std::string> EvacuatedDataCentres(const Rules& rules);

}  // namespace filbertwall
