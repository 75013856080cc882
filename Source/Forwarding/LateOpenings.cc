#include "Forwarding/LateOpenings.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// Limit on stored packets.
constexpr std::size_t kMaxOpenings = 5000;
/// Room may also come from a flow that fails, which no packet shows.
constexpr Milliseconds kCheckInterval{20};

auto FindOpening(LateService& service, LateOrder order, const FlowKey& key) {
  const auto [first, last] = service.queue.equal_range(order);
  return std::find_if(first, last,
                      [&](const auto& item) { return item.second.key == key; });
}

void RemoveFirst(LateOpenings& late, LateService& service) {
  late.positions.erase(service.queue.begin()->second.key);
  service.queue.erase(service.queue.begin());
}

/// Removes the packets at the head of the queue that no caller waits for.
void RemoveExpired(LateOpenings& late, LateService& service, TimePoint now) {
  while (!service.queue.empty()) {
    const auto& [order, opening] = *service.queue.begin();
    if (now < opening.expires_at && now < order.latest_start) {
      return;
    }
    late.lapsed += 1;
    RemoveFirst(late, service);
  }
}

}  // namespace

LateService& LateServiceOf(LateOpenings& late, ServiceIndex service) {
  if (service >= late.services.size()) {
    late.services.resize(service + 1);
  }
  return late.services[service];
}

void HoldLateOpening(LateOpenings& late, ServiceIndex service, LateOrder order,
                     HeldOpening opening, TimePoint now) {
  DiscardLateOpening(late, opening.key);
  if (late.positions.size() >= kMaxOpenings) {
    late.lapsed += 1;
    return;
  }
  late.positions[opening.key] = {service, order};
  LateServiceOf(late, service).queue.emplace(order, std::move(opening));
  late.next_check_at = std::min(late.next_check_at, now + kCheckInterval);
}

void DiscardLateOpening(LateOpenings& late, const FlowKey& key) {
  const auto found = late.positions.find(key);
  if (found == late.positions.end()) {
    return;
  }
  LateService& service = late.services[found->second.service];
  service.queue.erase(FindOpening(service, found->second.order, key));
  late.positions.erase(found);
}

std::optional<HeldOpening> TakeLateOpening(LateOpenings& late, TimePoint now) {
  if (late.positions.empty()) {
    late.next_check_at = TimePoint::max();
    return std::nullopt;
  }
  late.next_check_at = now + kCheckInterval;
  for (LateService& service : late.services) {
    RemoveExpired(late, service, now);
    if (service.queue.empty() || !HasRoom(service.window)) {
      continue;
    }
    HeldOpening opening = std::move(service.queue.begin()->second);
    RemoveFirst(late, service);
    late.released += 1;
    return opening;
  }
  return std::nullopt;
}

}  // namespace filbertwall
