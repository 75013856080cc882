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
/// A server may fail part of its requests while it reports that it is healthy,
/// or work well while it reports the opposite, so the results that callers get
/// decide. Each server is compared with the others of its service, so that a
/// cause outside the servers (overload, a slow network) does not exclude any of
/// them. Plain state and pure functions; not thread safe.
namespace filbertwall {

/// Exponentially decaying counts of the flows of one server.
struct OutcomeCounts {
  double served = 0;
  double failed = 0;
  TimePoint at;  ///< Time to which the counts have decayed.
};

struct OutcomeLedger {
  std::map<std::string, OutcomeCounts> servers;  ///< By id.
};

/// Adds ended flows of a server to its counts.
void AddOutcomes(OutcomeLedger& stats, const std::string& server,
                 std::uint32_t served, std::uint32_t failed, TimePoint now);

/// Returns the counts of a server, decayed to `now`; zero for an unknown
/// server.
OutcomeCounts CountsOf(const OutcomeLedger& stats, const std::string& server,
                       TimePoint now);

/// Returns the ids of failing servers among `service`, the ids of all servers
/// of one service: those that fail significantly more often than the others. At
/// most a third of the servers are returned. `suspects` is the previous result:
/// a server in it is returned until its share of failures is below half of the
/// limit for new suspects or it has very few recent failures.
std::set<std::string> FindFailing(const OutcomeLedger& stats,
                                  const std::vector<std::string>& service,
                                  const std::set<std::string>& suspects,
                                  TimePoint now);

/// Removes servers whose counts have decayed to almost zero.
void ForgetOutcomes(OutcomeLedger& stats, TimePoint now);

}  // namespace filbertwall
