#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Base/Endpoint.h"
#include "Base/RecentDurations.h"
#include "Base/Time.h"

/// Hedged requests: a second attempt of an idempotent request at another server
/// while the first one is still running, after a delay that few requests of its
/// rule exceed.
namespace filbertwall {

/// Recent durations of the requests of one service, by request rule. Bounded:
/// the rules beyond a limit share one entry.
struct RequestDurations {
  std::map<std::string, RecentDurations> by_rule;
};

/// The second attempt of a request. While both run, it is kept beside the first
/// one; when one of them fails, the other goes on as the only attempt.
struct HedgeState {
  /// When a second attempt is considered; `max` for never.
  TimePoint due_at = TimePoint::max();
  bool put_off = false;             ///< It was due, but could not be sent.
  std::uint64_t sent_attempt = 0;   ///< Id of the second attempt; 0: none yet.
  std::uint64_t other_attempt = 0;  ///< Runs beside the current one; 0: none.
  Endpoint other_backend;
  TimePoint other_started_at;
  TimePoint other_deadline;
};

/// Adds the time from a request's first attempt to its answer.
void AddRequestDuration(RequestDurations& durations, const std::string& rule,
                        Milliseconds duration);

/// Returns the delay after which a request is hedged: one that 2 to 5 % of the
/// rule's requests exceed, the more the larger the budget `share`; empty while
/// too few were observed.
std::optional<Milliseconds> GetHedgeDelay(const RequestDurations& durations,
                                          const std::string& rule,
                                          double share);

/// Returns the median duration of the rule's requests; 0 when there is none.
Milliseconds GetMedianDuration(const RequestDurations& durations,
                               const std::string& rule);

}  // namespace filbertwall
