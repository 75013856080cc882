#include "Fleet/FollowerQueue.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kTurn{5};
/// Brief answers in one turn.
constexpr std::uint32_t kTurnBudget = 4;
/// Contents take as long as so many brief answers.
constexpr std::uint32_t kContentsCost = 2;

}  // namespace

void Enqueue(FollowerQueue& queue, const FollowerQuestion& question,
             TimePoint now) {
  if (now >= queue.turn_ends_at) {
    queue.turn_ends_at = now + kTurn;
    queue.spent = 0;
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
    queue.turn_ends_at = now + kTurn;
    queue.spent = 0;
  }
  if (queue.spent >= kTurnBudget) {
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
