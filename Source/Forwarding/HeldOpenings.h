#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "Base/Time.h"
#include "Forwarding/FlowPacket.h"

/// Stores opening packets while a starting instance loads the rules.
///
/// After a full outage, callers retransmit opening packets with a growing
/// backoff. If a packet that arrives before the rules are loaded were dropped,
/// its caller would wait for the rest of the backoff. The packet is therefore
/// stored, but only until the caller retransmits it, because the retransmission
/// may be answered through another instance. Once the instance serves, the
/// packets are released in batches, since servers that have only just become
/// known again could not queue all of them at once. Plain state; not thread
/// safe.
namespace filbertwall {

struct HeldOpening {
  FlowKey key;
  std::vector<std::uint8_t> bytes;
  TimePoint first_sent_at;  ///< When the caller sent the first copy.
  TimePoint expires_at;     ///< Last time at which a release is useful.
};

struct HeldOpenings {
  std::unordered_map<FlowKey, HeldOpening, FlowKeyHash> openings;
  /// Packets still to be released, in order; filled by `StartRelease`.
  std::deque<HeldOpening> queue;
  std::size_t batch = 0;  ///< Packets released per interval.
  TimePoint release_at = TimePoint::max();
  std::uint64_t released = 0;  ///< Packets that were released.
  std::uint64_t lapsed = 0;    ///< Packets that were not stored, or expired.
};

/// Stores a packet, replacing an earlier copy. Returns false when the caller
/// retransmits too soon for storing to help, or when the limit is reached.
/// Precondition: the packet opens a flow.
bool HoldOpening(HeldOpenings& held, const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes, TimePoint now);

/// Discards the packet of a flow that was opened through another instance.
void ForgetOpening(HeldOpenings& held, const FlowKey& key);

/// Starts the release. Packets whose callers have waited so briefly that they
/// may still be served in time come first; then those whose callers would wait
/// longest until their next retransmission.
void StartRelease(HeldOpenings& held, TimePoint now);

/// Removes and returns the next batch if it is due at `now`, without packets
/// that their callers have retransmitted since. Sets `release_at` to the time
/// of the next batch.
std::vector<HeldOpening> ReleaseDue(HeldOpenings& held, TimePoint now);

}  // namespace filbertwall
