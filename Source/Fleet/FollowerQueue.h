#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "Fleet/Fleet.h"

/// Questions of entry instances that wait until a control instance has time.
///
/// Load that it answers: hundreds of instances start at once and ask, again and
/// again, while the control instances elect a leader. Answers are bounded in
/// each short turn, so that agreement, reports of servers and the operator come
/// in between. The bound rises while turns begin when they are due, and is
/// halved when one begins late, since the loop then had no time. A question
/// replaces the last one of the same instance, so that what is asked again does
/// not make the queue longer. Plain state; not thread safe.
namespace filbertwall {

/// A question of one instance.
struct FollowerQuestion {
  InstanceAddress from = 0;
  wire::Subscribe subscribe;
};

struct FollowerQueue {
  std::deque<InstanceAddress> order;
  std::map<InstanceAddress, wire::Subscribe> waiting;
  TimePoint turn_ends_at;
  std::uint32_t budget = 4;    ///< Brief answers in one turn.
  std::uint32_t spent = 0;     ///< Of this turn's budget.
  std::uint64_t replaced = 0;  ///< Questions that were asked again in vain.
};

/// Keeps a question. One for contents is not replaced by a brief one.
void Enqueue(FollowerQueue& queue, const FollowerQuestion& question,
             TimePoint now);

/// Takes the question that waited for longest, if the turn has time for it.
std::optional<FollowerQuestion> TakeNext(FollowerQueue& queue, TimePoint now);

/// When `TakeNext` may give one; far in the future when none waits.
TimePoint NextDue(const FollowerQueue& queue);

}  // namespace filbertwall
