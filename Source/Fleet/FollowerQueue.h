#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "Fleet/Fleet.h"

/// Queue of subscribe requests from entry instances to a control instance.
///
/// The queue limits the load when hundreds of instances start at once and
/// repeat their requests while the control instances elect a leader. The number
/// of answers per short interval is bounded, so that the event loop can process
/// consensus messages, server reports and operator requests in between. The
/// bound increases by one when an interval starts on time, and is halved when
/// an interval starts late, because the event loop was then busy. A new request
/// replaces a queued one of the same instance, so that repeated requests do not
/// make the queue longer. Plain state; not thread safe.
namespace filbertwall {

/// A request of one instance.
struct FollowerRequest {
  InstanceAddress from = 0;
  wire::Subscribe subscribe;
};

struct FollowerQueue {
  std::deque<InstanceAddress> order;  ///< Senders, oldest request first.
  std::map<InstanceAddress, wire::Subscribe> pending;  ///< By sender.
  TimePoint interval_ends_at;
  /// Cost allowed per interval. A summary costs 1, an answer with contents 2.
  std::uint32_t budget = 4;
  std::uint32_t spent = 0;     ///< Part of `budget` used in this interval.
  std::uint64_t repeated = 0;  ///< Requests received while one was queued.
};

/// Adds a request or replaces the queued one of the same sender. A brief
/// request does not replace one for the full contents.
void Enqueue(FollowerQueue& queue, const FollowerRequest& request,
             TimePoint now);

/// Removes and returns the oldest request, or nothing if the queue is empty or
/// the budget of the interval is used up.
std::optional<FollowerRequest> Dequeue(FollowerQueue& queue, TimePoint now);

/// Returns when the next interval starts, at which `Dequeue` should be called
/// again; `TimePoint::max()` when the queue is empty.
TimePoint NextDue(const FollowerQueue& queue);

}  // namespace filbertwall
