#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Base/Time.h"

/// Max-min fairness among the callers of one class of flows.
///
/// An entry instance estimates from its own requests how much each caller asks
/// for. When only a share of the requests can be admitted, there is a level:
/// callers that ask for less get all, the others get as much as the level. The
/// level follows from the demands of the callers of recent requests. A caller
/// is an IP address. Memory is bounded: of more callers than the limit,
/// those with the highest demand are kept (the Space-Saving algorithm). Plain
/// state and pure functions; not thread safe.
namespace filbertwall {

/// Limit on the callers of a class. A caller with more than 1/256 of the
/// requests is always among them.
inline constexpr std::size_t kMaxTrackedCallers = 256;

/// Number of recent requests from which the level follows.
inline constexpr std::size_t kSampledRequests = 64;

struct TrackedCaller {
  std::uint32_t caller = 0;  ///< IPv4 address.
  double demand = 0;         ///< Requests, with exponentially decaying weight.
};

struct CallerDemand {
  std::vector<TrackedCaller> callers;  ///< At most `kMaxTrackedCallers`.
  TimePoint updated_at;                ///< Time to which demands are decayed.
  /// The callers' demands at the latest requests, in a ring.
  std::array<double, kSampledRequests> sampled{};
  std::uint64_t requests = 0;  ///< Recorded so far.
};

/// Records a request of a caller. Precondition: `now` never decreases.
void RecordCaller(CallerDemand& demand, std::uint32_t caller, TimePoint now);

/// How the requests of one caller are to be treated.
struct CallerShare {
  double share = 1;  ///< Share of its requests to admit.
  /// The caller asks for so much more than the others that its requests are to
  /// be drawn one by one. Several users may be behind its address.
  bool heavy = false;
};

/// Returns the share of the caller's requests to admit so that `share` of the
/// requests of all callers is admitted. Preconditions: `share` is from 0 to 1;
/// `RecordCaller` was called for the request.
CallerShare ShareOfCaller(const CallerDemand& demand, std::uint32_t caller,
                          double share);

}  // namespace filbertwall
