#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Time.h"

/// Outlier detection: finds backend servers whose flows fail more often than
/// those of the other servers of the same service.
///
/// What a server reports about its own health may be wrong in both directions,
/// so the results that callers get are counted instead. Each server is compared
/// with the others of its service, so that a cause outside the servers
/// (overload, a slow network) does not exclude any of them. Plain state and
/// pure functions; not thread safe.
namespace filbertwall {

/// Exponentially decaying counts of the flows of one server.
struct OutcomeCounts {
  double served = 0;
  double failed = 0;
  TimePoint at;  ///< The time for which the decayed counts are valid.
};

struct OutcomeStats {
  std::map<std::string, OutcomeCounts> servers;  ///< By id.
};

/// Adds ended flows of a server to its counts.
void AddOutcomes(OutcomeStats& stats, const std::string& server,
                 std::uint32_t served, std::uint32_t failed, TimePoint now);

/// Returns the counts of a server, decayed to `now`; zero for an unknown
/// server.
OutcomeCounts GetOutcomeCounts(const OutcomeStats& stats,
                               const std::string& server, TimePoint now);

/// Returns which servers of a service are failing: those whose failure rate is
/// significantly higher than the rate of the others, at most a third of the
/// servers. `server_ids` are all servers of the service. `previously_failing`
/// is the previous result: such a server is returned again until its failure
/// rate is below half of the threshold for the rest, or until it has very
/// few recent failures.
std::set<std::string> FindFailingServers(
    const OutcomeStats& stats, const std::vector<std::string>& server_ids,
    const std::set<std::string>& previously_failing, TimePoint now);

/// Removes servers whose counts have decayed to almost zero.
void RemoveExpiredOutcomes(OutcomeStats& stats, TimePoint now);

}  // namespace filbertwall
