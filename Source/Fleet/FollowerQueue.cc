#include "Fleet/FollowerQueue.h"

#include <algorithm>

namespace filbertwall {
namespace {

constexpr Milliseconds kTurn{5};
constexpr std::uint32_t kLeastBudget = 4;
constexpr std::uint32_t kMostBudget = 32;
/// A turn that begins this much later than it was due shows a busy loop.
constexpr Milliseconds kLate{4};
/// Contents take as long as so many brief answers.
constexpr std::uint32_t kContentsCost = 2;

void BeginTurn(FollowerQueue& queue, TimePoint now) {
  queue.turn_ends_at = now + kTurn;
  queue.spent = 0;
}

void AdaptBudget(FollowerQueue& queue, TimePoint now) {
  const bool late = now - queue.turn_ends_at > kLate;
  queue.budget = late ? std::max(kLeastBudget, queue.budget / 2)
                      : std::min(kMostBudget, queue.budget + 1);
}

}  // namespace

void Enqueue(FollowerQueue& queue, const FollowerQuestion& question,
             TimePoint now) {
  if (queue.order.empty() && now >= queue.turn_ends_at) {
    BeginTurn(queue, now);
  }
  const auto [position, added] = queue.waiting.try_emplace(question.from);
  if (added) {
    queue.order.push_back(question.from);
  } else {
    queue.replaced += 1;
  }
  const bool keeps = !added && question.subscribe.brief();
  if (!keeps) {
    position->second = question.subscribe;
  }
}

std::optional<FollowerQuestion> TakeNext(FollowerQueue& queue, TimePoint now) {
  if (queue.order.empty()) {
    return std::nullopt;
  }
  if (now >= queue.turn_ends_at) {
    AdaptBudget(queue, now);
    BeginTurn(queue, now);
  }
  if (queue.spent >= queue.budget) {
    return std::nullopt;
  }
  FollowerQuestion question{.from = queue.order.front()};
  queue.order.pop_front();
  const auto found = queue.waiting.find(question.from);
  question.subscribe = std::move(found->second);
  queue.waiting.erase(found);
  queue.spent += question.subscribe.brief() ? 1 : kContentsCost;
  return question;
}

TimePoint NextDue(const FollowerQueue& queue) {
  return queue.order.empty() ? TimePoint::max() : queue.turn_ends_at;
}

}  // namespace filbertwall
