#include "Fleet/FollowerQueue.h"

#include <algorithm>

namespace filbertwall {
namespace {

constexpr Milliseconds kInterval{5};
constexpr std::uint32_t kMinBudget = 4;
constexpr std::uint32_t kMaxBudget = 32;
/// The event loop is considered busy when an interval starts more than this
/// after the end of the previous one.
constexpr Milliseconds kLateThreshold{4};
/// Cost of an answer with full contents, relative to a summary.
constexpr std::uint32_t kFullAnswerCost = 2;

void BeginInterval(FollowerQueue& queue, TimePoint now) {
  queue.interval_ends_at = now + kInterval;
  queue.spent = 0;
}

void AdaptBudget(FollowerQueue& queue, TimePoint now) {
  const bool late = now - queue.interval_ends_at > kLateThreshold;
  queue.budget = late ? std::max(kMinBudget, queue.budget / 2)
                      : std::min(kMaxBudget, queue.budget + 1);
}

}  // namespace

void Enqueue(FollowerQueue& queue, const FollowerRequest& request,
             TimePoint now) {
  if (queue.order.empty() && now >= queue.interval_ends_at) {
    BeginInterval(queue, now);
  }
  const auto [position, added] = queue.pending.try_emplace(request.from);
  if (added) {
    queue.order.push_back(request.from);
  } else {
    queue.repeated += 1;
  }
  const bool keep_queued = !added && request.subscribe.brief();
  if (!keep_queued) {
    position->second = request.subscribe;
  }
}

std::optional<FollowerRequest> Dequeue(FollowerQueue& queue, TimePoint now) {
  if (queue.order.empty()) {
    return std::nullopt;
  }
  if (now >= queue.interval_ends_at) {
    AdaptBudget(queue, now);
    BeginInterval(queue, now);
  }
  if (queue.spent >= queue.budget) {
    return std::nullopt;
  }
  FollowerRequest request{.from = queue.order.front()};
  queue.order.pop_front();
  const auto found = queue.pending.find(request.from);
  request.subscribe = std::move(found->second);
  queue.pending.erase(found);
  queue.spent += request.subscribe.brief() ? 1 : kFullAnswerCost;
  return request;
}

TimePoint NextDue(const FollowerQueue& queue) {
  return queue.order.empty() ? TimePoint::max() : queue.interval_ends_at;
}

}  // namespace filbertwall
