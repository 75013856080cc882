#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Admission/Admission.h"
#include "Admission/ReleaseWindow.h"
#include "Base/Time.h"
#include "Forwarding/HeldOpenings.h"
#include "Placement/Placement.h"

/// Opening packets whose answers will miss their latency objective, until the
/// service has capacity for them.
///
/// Each service has a `ReleaseWindow` and a queue. Packets of the most urgent
/// class leave the queue first, and among those of a class the ones whose
/// callers give up first. A packet stays at most until its caller's next
/// retransmission. Plain state; not thread safe.
namespace filbertwall {

/// Order of the packets of a service; the lowest leaves the queue first.
struct LateOrder {
  FlowClass flow_class;
  TimePoint latest_start;  ///< A flow that opens later ends after its caller.
  auto operator<=>(const LateOrder&) const = default;
};

/// Where a packet is stored.
struct LatePosition {
  ServiceIndex service = 0;
  LateOrder order;
};

struct LateService {
  ReleaseWindow window;
  std::multimap<LateOrder, HeldOpening> queue;
};

struct LateOpenings {
  std::vector<LateService> services;  ///< By service index.
  std::unordered_map<FlowKey, LatePosition, FlowKeyHash> positions;
  /// Next removal of expired packets; `max` while none is stored.
  TimePoint next_check_at = TimePoint::max();
  std::uint64_t released = 0;
  std::uint64_t lapsed = 0;  ///< Packets that expired or were not stored.
};

/// Returns the state of a service; adds it when it is new.
LateService& LateServiceOf(LateOpenings& late, ServiceIndex service);

/// Stores a packet, replacing an earlier copy.
void HoldLateOpening(LateOpenings& late, ServiceIndex service, LateOrder order,
                     HeldOpening opening, TimePoint now);

/// Discards the flow's packet, if one is stored.
void DiscardLateOpening(LateOpenings& late, const FlowKey& key);

/// Removes and returns one packet of a service whose window has room; empty
/// when there is none. The caller must forward it as a late flow.
std::optional<HeldOpening> TakeLateOpening(LateOpenings& late, TimePoint now);

}  // namespace filbertwall
