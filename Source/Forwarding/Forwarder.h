#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "Admission/Admission.h"
#include "Base/Endpoint.h"
#include "Base/Histogram.h"
#include "Base/Time.h"
#include "Forwarding/FlowOutcomes.h"
#include "Forwarding/FlowPacket.h"
#include "Forwarding/HeldOpenings.h"
#include "Forwarding/LateOpenings.h"
#include "Forwarding/RouteTable.h"
#include "Placement/Placement.h"

/// Stateless forwarding by a token that each packet carries.
///
/// The backend server is chosen when the first packet of a flow arrives. Server
/// and caller then include the server's token in each packet, so every instance
/// can forward any later packet without a record of the flow. `flows` is used
/// only for placement, admission and outcome counts, and may be lost.
/// Not thread safe.
namespace filbertwall {

enum class Verdict {
  kForward,
  kReset,
  kDrop,
  kHold,  ///< To be stored with `HoldPacket`.
};

/// Why a packet was forwarded, dropped or reset.
enum class ForwardReason {
  kToken,             ///< Forwarded by its token.
  kPlaced,            ///< A new flow was placed.
  kPlacedAgain,       ///< Placed again: the first server did not answer.
  kNoRoute,           ///< No route for the address.
  kRouteDropped,      ///< The route of the address was removed.
  kUnknownToken,      ///< No known server has this token.
  kNoServer,          ///< The service has no usable server.
  kNoServerInRegion,  ///< Nor has it one in the regions of the route.
  kOverload,          ///< The answer would miss the latency objective.
  kLate,              ///< The answer will be late anyway; see `LateOpenings.h`.
  kNotServing,        ///< This instance has not loaded the newest rules yet.
  kStale,             ///< See `Forwarder::discard_openings_until`.
};

struct Decision {
  Verdict verdict = Verdict::kDrop;
  ForwardReason reason = ForwardReason::kNoRoute;
  ServerIndex server = 0;    ///< Valid with kForward.
  ServiceIndex service = 0;  ///< Valid with kLate.
  LateOrder late_order;      ///< Valid with kLate.
};

/// A flow that was opened through this instance and has not ended.
struct OpenFlow {
  ServerIndex server = 0;
  /// The server's service when the flow was opened. The server may restart with
  /// another service before the flow ends.
  ServiceIndex service = 0;
  TimePoint opened_at;
  TimePoint fails_at;    ///< The flow fails if it is still open then.
  TimePoint expires_at;  ///< The entry is removed then.
  TimePoint due_at;      ///< Time of its entry in `Forwarder::timers`.
  /// Acknowledgement number of the first packet after the opening one. The
  /// answer's length is counted from here.
  std::uint32_t first_ack_number = 0;
  std::uint32_t ack_number = 0;  ///< Highest acknowledgement number so far.
  /// False when two servers have answered copies of the opening packet. Their
  /// sequence numbers differ, so the answer's length is unknown.
  bool length_valid = true;
  bool answered = false;      ///< The server has accepted the flow.
  bool overdue = false;       ///< Still open at `fails_at`.
  bool late = false;          ///< Included in the service's `ReleaseWindow`.
  bool download = false;      ///< Its duration says little about its server.
  Milliseconds objective{0};  ///< Latency objective; 0: none.
};

/// Numbers of packets by decision, and of flows. Held and stale packets, and
/// copies of an opening packet that a server has accepted, are not counted.
struct ForwarderCounters {
  std::uint64_t forwarded = 0;
  std::uint64_t placed = 0;
  std::uint64_t placed_again = 0;
  std::uint64_t no_route = 0;
  std::uint64_t unknown_token = 0;
  /// Packets whose token several servers have, and whose flow was opened here.
  std::uint64_t shared_token_own = 0;
  /// Such packets of other flows, sent to the most likely server.
  std::uint64_t shared_token_other = 0;
  std::uint64_t no_server = 0;
  std::uint64_t no_server_in_region = 0;
  std::uint64_t overload = 0;
  std::uint64_t expired = 0;  ///< Flows removed at `expires_at`.
};

struct Forwarder {
  Placement placement;
  RouteTable routes;
  bool serving = false;
  /// Opening packets that arrive before this time are dropped. It is set after
  /// this process was paused: such packets were queued during the pause, and
  /// their callers have since opened the flow through another instance.
  TimePoint discard_openings_until;
  HeldOpenings held;                ///< Stored until this instance serves.
  LateOpenings late;                ///< Stored until a service has capacity.
  std::size_t flow_limit = 100000;  ///< Flows beyond it are not tracked.
  std::unordered_map<FlowKey, OpenFlow, FlowKeyHash> flows;
  /// One entry for each of `flows`, by its next `fails_at` or `expires_at`.
  std::set<std::pair<TimePoint, FlowKey>> timers;
  FlowOutcomes outcomes;
  Admission admission;
  /// Whether new flows are reset when admission control refuses them.
  bool refuses_overload = true;
  ForwarderCounters counters;
  /// Time from a flow's opening packet to the caller's next packet, in
  /// microseconds.
  Histogram first_answer;
};

/// Decides what to do with a packet. Precondition: `now` never decreases.
Decision DecidePacket(Forwarder& forwarder, const FlowPacket& packet,
                      TimePoint now);

/// Stores the opening packet of a decision with the verdict kHold.
void HoldPacket(Forwarder& forwarder, const FlowPacket& packet,
                const Decision& decision, std::span<const std::uint8_t> bytes,
                TimePoint now);

/// Whether the answer to a stored opening packet can still meet the latency
/// objective of its route.
bool MayBeInTime(const Forwarder& forwarder, const HeldOpening& opening,
                 TimePoint now);

/// Marks flows that are past `fails_at` as failed, and removes flows that are
/// past `expires_at`.
void ExpireFlows(Forwarder& forwarder, TimePoint now);

}  // namespace filbertwall
