#pragma once

#include <cstdint>

#include "Base/Time.h"

/// Limit on the new flows to backend servers that warm up, summed over all
/// entry instances.
///
/// The leader of the control instances leases the limit of each cold server to
/// the entry instances (`WarmupLeases`), and these spend what they hold
/// (`WarmupBudget`).
namespace filbertwall {

/// Durations of the leases. Their safety depends on all but the last one.
/// Leader and entry instances use the same ones.
struct WarmupTiming {
  /// A lease is valid for this long after its holder sent the request, by the
  /// holder's clock.
  Milliseconds lease{1000};
  /// A holder sends no more flows than its lease says in any period of this
  /// length: a second, and the variation of the time that packets take.
  Milliseconds window{1200};
  /// The leader counts a lease as held for this long after its expiry, so that
  /// no second holder adds to the flows of the first one's last window.
  Milliseconds hold{1200};
  /// For this long after the first demand for a service, the leader grants one
  /// flow a second to each holder. The first ones would otherwise get the
  /// shares of those whose requests are on their way, and these would have none
  /// until the leases end. Less than the interval between two requests.
  Milliseconds collection{300};
};

/// The limit on each server of a service.
struct WarmupLimit {
  Milliseconds duration{0};            ///< Length of a warm-up.
  std::uint32_t flows_per_second = 0;  ///< 0: no limit.
  bool operator==(const WarmupLimit&) const = default;
};

}  // namespace filbertwall
