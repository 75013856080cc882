#include "Forwarding/HeldOpenings.h"

#include <algorithm>

namespace filbertwall {
namespace {

constexpr std::size_t kMostOpenings = 5000;
/// A packet that is released must arrive before the next copy of it.
constexpr Milliseconds kTravelTime{20};
/// Callers that have waited no longer than this may still be served in time.
constexpr Milliseconds kBriefWait{100};
/// As long as packets were held, so that the servers' load at most doubles.
constexpr Milliseconds kReleaseTime{400};
constexpr Milliseconds kReleaseInterval{20};

/// Whether the first is released before the second, at `now`.
bool ComesFirst(const HeldOpening& left, const HeldOpening& right,
                TimePoint now) {
  const bool left_brief = now - left.first_sent_at <= kBriefWait;
  const bool right_brief = now - right.first_sent_at <= kBriefWait;
  if (left_brief != right_brief) {
    return left_brief;
  }
  return left.until > right.until;
}

}  // namespace

bool HoldOpening(HeldOpenings& held, const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes, TimePoint now) {
  const bool known = held.openings.contains(packet.key);
  if (packet.repeat_after <= kTravelTime ||
      (!known && held.openings.size() >= kMostOpenings)) {
    held.lapsed += 1;
    return false;
  }
  held.openings[packet.key] =
      HeldOpening{.key = packet.key,
                  .bytes = {bytes.begin(), bytes.end()},
                  .first_sent_at = now - packet.repeated_for,
                  .until = now + packet.repeat_after - kTravelTime};
  return true;
}

void ForgetOpening(HeldOpenings& held, const FlowKey& key) {
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
              return ComesFirst(left, right, now);
            });
  constexpr std::size_t kSteps = kReleaseTime / kReleaseInterval;
  held.batch = (held.queue.size() + kSteps - 1) / kSteps;
  held.release_at = held.queue.empty() ? TimePoint::max() : now;
}

std::vector<HeldOpening> ReleaseDue(HeldOpenings& held, TimePoint now) {
  std::vector<HeldOpening> due;
  if (now < held.release_at) {
    return due;
  }
  while (due.size() < held.batch && !held.queue.empty()) {
    if (now < held.queue.front().until) {
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
