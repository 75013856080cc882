#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "Base/Time.h"
#include "Forwarding/FlowPacket.h"

/// Opening packets that wait while an instance that has just started learns the
/// rules.
///
/// After a stop of everything, callers keep sending opening packets, each again
/// after a growing pause. One that arrives before the rules are known would be
/// lost, and its caller would wait for the rest of that pause. It is kept
/// instead, and only until the caller sends it again: by then it may have been
/// answered through another instance. Once the instance serves, the packets go
/// out over some time, since servers that have just been found again could not
/// queue them all. Plain state; not thread safe.
namespace filbertwall {

struct HeldOpening {
  FlowKey key;
  std::vector<std::uint8_t> bytes;
  TimePoint first_sent_at;  ///< When its caller sent the first copy.
  TimePoint until;          ///< Its caller repeats it then, or gives up.
};

struct HeldOpenings {
  std::unordered_map<FlowKey, HeldOpening, FlowKeyHash> openings;
  /// Once the instance serves: what is left, in the order of its release.
  std::deque<HeldOpening> queue;
  std::size_t batch = 0;  ///< Released at a time.
  TimePoint release_at = TimePoint::max();
  std::uint64_t released = 0;  ///< Packets that were given out again.
  std::uint64_t lapsed = 0;    ///< Packets that were not kept, or for too long.
};

/// Keeps a packet in place of an earlier copy. False when it can't be kept: its
/// caller repeats it at once, or too many wait. Precondition: it opens a flow.
bool HoldOpening(HeldOpenings& held, const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes, TimePoint now);

/// Forgets the packet of a flow that went on through another instance.
void ForgetOpening(HeldOpenings& held, const FlowKey& key);

/// Begins to give the packets out: first those whose callers have waited so
/// briefly that they may still be served in time, then those whose callers
/// would wait longest until the next copy.
void StartRelease(HeldOpenings& held, TimePoint now);

/// Takes out the packets that are due at `now`; those whose callers have
/// repeated them are left out. `release_at` says when the next are due.
std::vector<HeldOpening> ReleaseDue(HeldOpenings& held, TimePoint now);

}  // namespace filbertwall
