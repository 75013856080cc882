#include "Forwarding/HeldOpenings.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// Limit on stored packets.
constexpr std::size_t kMaxOpenings = 5000;
/// Allowance for network delay: a released packet must reach the server before
/// the caller's next retransmission.
constexpr Milliseconds kNetworkDelay{20};
/// Callers that have waited at most this long may still be served in time.
constexpr Milliseconds kShortWait{100};
/// Time in which all packets are released. It is about as long as packets are
/// stored while an instance starts, so the release at most doubles the servers'
/// load.
constexpr Milliseconds kReleaseDuration{400};
constexpr Milliseconds kReleaseInterval{20};

/// Whether `left` is released before `right`, at `now`.
bool IsReleasedBefore(const HeldOpening& left, const HeldOpening& right,
                      TimePoint now) {
  const bool left_is_short = now - left.first_sent_at <= kShortWait;
  const bool right_is_short = now - right.first_sent_at <= kShortWait;
  if (left_is_short != right_is_short) {
    return left_is_short;
  }
  return left.expires_at > right.expires_at;
}

}  // namespace

bool HoldOpening(HeldOpenings& held, const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes, TimePoint now) {
  const bool known = held.openings.contains(packet.key);
  if (packet.retransmit_after <= kNetworkDelay ||
      (!known && held.openings.size() >= kMaxOpenings)) {
    held.lapsed += 1;
    return false;
  }
  held.openings[packet.key] =
      HeldOpening{.key = packet.key,
                  .bytes = {bytes.begin(), bytes.end()},
                  .first_sent_at = now - packet.since_first_copy,
                  .expires_at = now + packet.retransmit_after - kNetworkDelay};
  return true;
}

void DiscardOpening(HeldOpenings& held, const FlowKey& key) {
  held.openings.erase(key);
  std::erase_if(held.queue,
                [&](const HeldOpening& item) { return item.key == key; });
}

void StartRelease(HeldOpenings& held, TimePoint now) {
  for (auto& [key, opening] : held.openings) {
    held.queue.push_back(std::move(opening));
  }
  held.openings.clear();
  std::sort(held.queue.begin(), held.queue.end(),
            [now](const HeldOpening& left, const HeldOpening& right) {
              return IsReleasedBefore(left, right, now);
            });
  constexpr std::size_t kSteps = kReleaseDuration / kReleaseInterval;
  held.batch = (held.queue.size() + kSteps - 1) / kSteps;
  held.release_at = held.queue.empty() ? TimePoint::max() : now;
}

std::vector<HeldOpening> TakeDueOpenings(HeldOpenings& held, TimePoint now) {
  std::vector<HeldOpening> due;
  if (now < held.release_at) {
    return due;
  }
  while (due.size() < held.batch && !held.queue.empty()) {
    if (now < held.queue.front().expires_at) {
      due.push_back(std::move(held.queue.front()));
    } else {
      held.lapsed += 1;
    }
    held.queue.pop_front();
  }
  held.released += due.size();
  held.release_at =
      held.queue.empty() ? TimePoint::max() : now + kReleaseInterval;
  return due;
}

}  // namespace filbertwall
