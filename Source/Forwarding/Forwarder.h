#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "Admission/Admission.h"
#include "Base/Endpoint.h"
#include "Base/Histogram.h"
#include "Base/Time.h"
#include "Forwarding/FlowOutcomes.h"
#include "Forwarding/FlowPacket.h"
#include "Forwarding/HeldOpenings.h"
#include "Forwarding/RouteTable.h"
#include "Placement/Placement.h"

/// Forwarding by a token that each packet carries.
///
/// The first packet of a flow chooses the backend server. Server and caller
/// then repeat the token in each packet, so every instance can forward any
/// later packet without a record of the flow. What is kept of flows here
/// serves placement only, and may be lost. Not thread safe.
namespace filbertwall {

enum class Verdict {
  kForward,
  kReset,
  kDrop,
  kHold,  ///< Keep the packet until this instance serves, by `HoldOpening`.
};

/// Why a packet was not forwarded, or where a new flow goes.
enum class ForwardReason {
  kToken,         ///< Forwarded by its token.
  kPlaced,        ///< A new flow was placed.
  kPlacedAgain,   ///< Its first server did not answer.
  kNoRoute,       ///< No rule for the address.
  kRouteDropped,  ///< The rules in force have dropped the address.
  kUnknownToken,  ///< No server with this token is known.
  kNoServer,      ///< The service has no server that may take it.
  kOverload,      ///< Its answer would come too late.
  kNotServing,    ///< This instance does not know the newest rules yet.
  kStale,         ///< It waited while this instance stood still.
};

struct Decision {
  Verdict verdict = Verdict::kDrop;
  ForwardReason reason = ForwardReason::kNoRoute;
  ServerIndex server = 0;  ///< With kForward.
};

/// A flow that was opened through this instance and has not ended.
struct OpenFlow {
  ServerIndex server = 0;
  ServiceIndex service = 0;  ///< The server's, when the flow was opened.
  TimePoint opened_at;
  TimePoint due_at;  ///< Not ended by then, it counts as failed.
  TimePoint expires_at;
  std::uint32_t received_at_first = 0;  ///< Before the answer.
  std::uint32_t received = 0;           ///< The furthest so far.
  bool length_known = true;   ///< Its sequence numbers are of one answer.
  bool answered = false;      ///< The server has accepted the flow.
  bool overdue = false;       ///< It did not end by `due_at`.
  Milliseconds objective{0};  ///< 0: none.
};

struct ForwarderCounters {
  std::uint64_t forwarded = 0;
  std::uint64_t placed = 0;
  std::uint64_t placed_again = 0;
  std::uint64_t no_route = 0;
  std::uint64_t unknown_token = 0;
  std::uint64_t no_server = 0;
  std::uint64_t overload = 0;
  std::uint64_t expired = 0;
};

struct Forwarder {
  Placement placement;
  RouteTable routes;
  bool serving = false;
  /// Opening packets are dropped until then: they waited while this instance
  /// stood still, and their callers have opened the flow elsewhere since.
  TimePoint discard_openings_until;
  HeldOpenings held;  ///< While this instance does not serve yet.
  std::size_t flow_limit = 100000;
  std::unordered_map<FlowKey, OpenFlow, FlowKeyHash> flows;
  /// Flows by the time at which they are looked at again.
  std::multimap<TimePoint, FlowKey> expiries;
  FlowOutcomes outcomes;
  Admission admission;
  bool refuses_overload = true;
  ForwarderCounters counters;
  Histogram first_answer;  ///< From an opening packet to its follow-up.
};

/// Decides on one packet. Precondition: `now` never goes back.
Decision DecidePacket(Forwarder& forwarder, const FlowPacket& packet,
                      TimePoint now);

/// Ends what is kept of flows whose time is over.
void ExpireFlows(Forwarder& forwarder, TimePoint now);

}  // namespace filbertwall
