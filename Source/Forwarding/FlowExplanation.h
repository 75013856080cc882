#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Forwarding/Forwarder.h"

/// What a forwarder would decide on a new flow now, and why.
///
/// The decision is made by `DecidePacket` on a copy of the state that it
/// depends on; the parts of the explanation come from the functions that
/// `DecidePacket` uses. Pure functions; thread safe on distinct objects.
namespace filbertwall {

/// Limit on the servers and on the data centres of an explanation.
inline constexpr std::size_t kMaxExplained = 50;

struct FlowQuery {
  FlowKey key;
  /// See `Admission::refusal_interval`; that of the forwarder may be out of
  /// date when no packet has arrived lately.
  std::uint64_t refusal_interval = 0;
};

struct ExplainedShare {
  std::string service;
  std::uint32_t weight = 0;
};

struct ExplainedRoute {
  std::vector<ExplainedShare> shares;
  std::string service;  ///< Of the flow; empty: the route has no share.
  wire::RequestKind kind = wire::REQUEST_UNSAFE;
  std::uint32_t priority = 0;
  Milliseconds timeout{0};
  Milliseconds objective{0};  ///< 0: none.
  std::vector<std::string> regions;
};

/// Whether a data centre takes flows of the route; the first that applies.
enum class DataCentreState {
  kIn,
  kOutOfRegion,
  kEvacuated,
  kNoServer,     ///< No server of the service is ready and reports.
  kUnreachable,  ///< Chosen only when there is no other; so is the next.
  kNotAnswering,
};

struct ExplainedDataCentre {
  std::string name;
  std::string region;  ///< Empty: in none.
  DataCentreState state = DataCentreState::kIn;
  std::uint32_t servers = 0;  ///< Of the service, also those that are silent.
  std::uint32_t usable = 0;   ///< Those ready, reporting, not evacuated.
  /// Duration of flows by that without load; 1 without `balance_by_load`.
  double load = 1;
  double diverted_share = 0;
};

/// Whether a server may take the flow; the first that applies.
enum class ServerState {
  kCandidate,
  kOutOfRegion,
  kNoBudget,  ///< Cold, and the budget held here is used up.
  /// Got a flow in the last window, and may have started again unheard: the
  /// instance is out of contact with the control instances.
  kUnconfirmed,
  kAvoided,  ///< Does not answer; chosen only when there is no other.
  kFailing,  ///< As above, but for a few flows that show its recovery.
};

struct ExplainedServer {
  std::string id;
  std::string data_centre;
  ServerState state = ServerState::kCandidate;
  std::uint32_t in_flight = 0;  ///< Flows of this instance.
  std::uint32_t slots = 0;
  double slowness = 1;          ///< See `PlacedServer::slowness`.
  double mean_duration_ms = 0;  ///< Of this instance's flows; 0: not known.
  Milliseconds warmup_left{0};
  bool limited = false;       ///< Cold, and its service has a limit.
  WarmupAllowance allowance;  ///< Valid if `limited`.
};

struct ExplainedAdmission {
  FlowClass flow_class;
  AdmissionDecision decision;
  std::uint32_t in_flight = 0;  ///< Accepted flows of the service here.
  double effective_slots = 0;   ///< 0: not known.
};

/// What of the decision is drawn at random, or by the flow or its caller.
struct ExplainedDraws {
  bool service = false;         ///< By a hash of caller and address.
  bool admission = false;       ///< By the caller or flow and the interval.
  bool failing_server = false;  ///< A few flows go to failing servers.
  bool load = false;            ///< Loaded data centres and slow servers.
  bool equal_cost = false;      ///< Among servers of equal cost.
};

struct FlowExplanation {
  FlowKey key;
  std::uint64_t rules_version = 0;
  std::optional<ExplainedRoute> route;
  bool route_removed = false;  ///< The address had a route before.
  std::string open_at;  ///< Server of this very flow, if it is open here.
  std::vector<ExplainedDataCentre> data_centres;  ///< By name.
  std::size_t data_centres_left_out = 0;
  /// The chosen one first, then those that may take the flow.
  std::vector<ExplainedServer> servers;
  std::size_t servers_left_out = 0;
  /// Empty when admission control is not asked.
  std::optional<ExplainedAdmission> admission;
  ExplainedDraws draws;
  Verdict verdict = Verdict::kDrop;
  ForwardReason reason = ForwardReason::kNoRoute;
  std::string server;  ///< Valid with kForward.
  /// Only servers with state `kNoBudget` or `kUnconfirmed` were left.
  bool lacks_budget = false;
};

/// Returns the name used in logs, such as "no-route".
const char* ForwardReasonName(ForwardReason reason);

/// Returns what would be decided on the first opening packet of a flow that
/// arrives at `now`. Changes nothing. The time it takes is proportional to the
/// number of servers: for operators, not for packets.
FlowExplanation ExplainFlow(const Forwarder& forwarder, const FlowQuery& query,
                            TimePoint now);

}  // namespace filbertwall
