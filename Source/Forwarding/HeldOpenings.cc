#include "Forwarding/HeldOpenings.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// Limit on stored packets.
constexpr std::size_t kMaxOpenings = 5000;
/// Allowance for network delay: a released packet must reach the server before
/// the caller's next retransmission.
constexpr Milliseconds kNetworkDelay{20};
/// Time in which all packets are released. It is about as long as packets are
/// stored while an instance starts, so the release at most doubles the servers'
/// load.
constexpr Milliseconds kReleaseDuration{400};
constexpr Milliseconds kReleaseInterval{20};
/// Packets expire within a second, so a sweep now and then finds some.
constexpr Milliseconds kSweepInterval{50};

/// Whether another packet can be stored. Removes expired packets if necessary,
/// so that a flood of openings does not keep later ones out.
bool HasSpace(HeldOpenings& held, TimePoint now) {
  if (held.openings.size() < kMaxOpenings) {
    return true;
  }
  if (now < held.next_sweep_at) {
    return false;
  }
  held.next_sweep_at = now + kSweepInterval;
  held.lapsed += std::erase_if(held.openings, [&](const auto& item) {
    return item.second.expires_at <= now;
  });
  return held.openings.size() < kMaxOpenings;
}

}  // namespace

std::optional<HeldOpening> MakeHeldOpening(const FlowPacket& packet,
                                           std::span<const std::uint8_t> bytes,
                                           TimePoint now) {
  if (packet.retransmit_after <= kNetworkDelay) {
    return std::nullopt;
  }
  return HeldOpening{
      .key = packet.key,
      .bytes = {bytes.begin(), bytes.end()},
      .first_sent_at = now - packet.since_first_copy,
      .expires_at = now + packet.retransmit_after - kNetworkDelay};
}

void RestoreTimes(FlowPacket& packet, const HeldOpening& opening,
                  TimePoint now) {
  packet.since_first_copy =
      std::chrono::duration_cast<Milliseconds>(now - opening.first_sent_at);
  packet.retransmit_after = std::chrono::duration_cast<Milliseconds>(
      opening.expires_at + kNetworkDelay - now);
}

bool HoldOpening(HeldOpenings& held, const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes, TimePoint now) {
  const bool known = held.openings.contains(packet.key);
  auto opening = MakeHeldOpening(packet, bytes, now);
  if (!opening || (!known && !HasSpace(held, now))) {
    held.lapsed += 1;
    return false;
  }
  held.openings[packet.key] = std::move(*opening);
  return true;
}

void DiscardOpening(HeldOpenings& held, const FlowKey& key) {
  held.openings.erase(key);
  std::erase_if(held.queue,
                [&](const HeldOpening& item) { return item.key == key; });
}

void StartRelease(HeldOpenings& held, const InTimePredicate& may_be_in_time,
                  TimePoint now) {
  for (auto& [key, opening] : held.openings) {
    held.queue.push_back(std::move(opening));
  }
  held.openings.clear();
  const auto late =
      std::partition(held.queue.begin(), held.queue.end(), may_be_in_time);
  std::sort(held.queue.begin(), late,
            [](const HeldOpening& left, const HeldOpening& right) {
              return left.first_sent_at < right.first_sent_at;
            });
  std::sort(late, held.queue.end(),
            [](const HeldOpening& left, const HeldOpening& right) {
              return left.expires_at > right.expires_at;
            });
  held.in_time = static_cast<std::size_t>(late - held.queue.begin());
  constexpr std::size_t kSteps = kReleaseDuration / kReleaseInterval;
  held.batch = (held.queue.size() - held.in_time + kSteps - 1) / kSteps;
  held.release_at = held.queue.empty() ? TimePoint::max() : now;
}

std::vector<HeldOpening> TakeDueOpenings(HeldOpenings& held, TimePoint now) {
  std::vector<HeldOpening> due;
  if (now < held.release_at) {
    return due;
  }
  const std::size_t batch = held.in_time > 0 ? held.in_time : held.batch;
  held.in_time = 0;
  while (due.size() < batch && !held.queue.empty()) {
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
