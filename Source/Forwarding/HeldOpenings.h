#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "Base/Time.h"
#include "Forwarding/FlowPacket.h"

/// Stores opening packets while a starting instance loads the rules.
///
/// After an outage of all instances, callers retransmit opening packets with
/// increasing delays. If a packet that arrives before the rules are loaded were
/// dropped, its caller would wait until its next retransmission. The packet is
/// therefore stored, but only until that retransmission, which may be answered
/// through another instance. Once the instance serves, it releases the packets
/// in batches, because the servers, which have only just become known again,
/// could not queue all of them at once. Plain state; not thread safe.
namespace filbertwall {

struct HeldOpening {
  FlowKey key;
  std::vector<std::uint8_t> bytes;
  TimePoint first_sent_at;  ///< When the caller sent the first copy.
  TimePoint expires_at;     ///< The packet is not released from then on.
};

struct HeldOpenings {
  std::unordered_map<FlowKey, HeldOpening, FlowKeyHash> openings;
  /// No removal of expired packets from `openings` before this time.
  TimePoint next_sweep_at;
  /// Packets still to be released, in order; filled by `StartRelease`.
  std::deque<HeldOpening> queue;
  std::size_t in_time = 0;  ///< Packets at the head of `queue` for one batch.
  std::size_t batch = 0;    ///< Packets released per interval after it.
  /// Time of the next batch; `max` while no packet is queued.
  TimePoint release_at = TimePoint::max();
  std::uint64_t released = 0;  ///< Packets that were released.
  std::uint64_t lapsed = 0;    ///< Packets not stored, or expired in `queue`.
};

/// Returns the packet as it is stored; empty when the caller retransmits before
/// a stored packet could reach a server. Precondition: the packet opens a flow.
std::optional<HeldOpening> MakeHeldOpening(const FlowPacket& packet,
                                           std::span<const std::uint8_t> bytes,
                                           TimePoint now);

/// Sets the times of a parsed packet that was stored until now.
void RestoreTimes(FlowPacket& packet, const HeldOpening& opening,
                  TimePoint now);

/// Stores a packet, replacing an earlier copy. Returns false when the caller
/// retransmits before a stored packet could reach a server, or when the limit
/// is reached. Precondition: the packet opens a flow.
bool HoldOpening(HeldOpenings& held, const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes, TimePoint now);

/// Discards the flow's packet, if one is stored. Called for a later packet of
/// the flow, which shows that another instance has opened the flow.
void DiscardOpening(HeldOpenings& held, const FlowKey& key);

/// Whether the answer to an opening packet may still be in time.
using InTimePredicate = std::function<bool(const HeldOpening&)>;

/// Moves all stored packets to `queue`. Those that may be in time come first,
/// in the order in which their callers sent them. Of the others, packets with
/// the latest `expires_at` come first: without a release, their callers would
/// wait longest for the next retransmission.
void StartRelease(HeldOpenings& held, const InTimePredicate& may_be_in_time,
                  TimePoint now);

/// Removes and returns the next batch, or nothing before `release_at`. The
/// first batch holds all packets that may be in time. Expired packets are
/// discarded. Sets `release_at` to the time of the next batch.
std::vector<HeldOpening> TakeDueOpenings(HeldOpenings& held, TimePoint now);

}  // namespace filbertwall
