#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Time.h"

/// Which backend servers fail their callers, judged by how flows went.
///
/// A server may fail part of its requests while it calls itself healthy, or be
/// well though it says otherwise. What counts is what callers get. A server is
/// compared with the others of its service, so that a cause outside the servers
/// (overload, a slow network) leaves none out. Plain state and pure functions;
/// not thread safe.
namespace filbertwall {

/// Flows of one server; older ones weigh less.
struct OutcomeCounts {
  double served = 0;
  double failed = 0;
  TimePoint at;  ///< When the counts were last brought up to date.
};

struct OutcomeLedger {
  std::map<std::string, OutcomeCounts> servers;  ///< By id.
};

/// Adds flows that ended at a server.
void AddOutcomes(OutcomeLedger& ledger, const std::string& server,
                 std::uint32_t served, std::uint32_t failed, TimePoint now);

/// The counts of a server as they weigh now; zero when nothing is known.
OutcomeCounts CountsOf(const OutcomeLedger& ledger, const std::string& server,
                       TimePoint now);

/// The servers of one service that fail clearly more often than its others.
/// `suspects` are those that were named the last time: a server stays one until
/// its share of failures has fallen by half. At most a third are named.
std::set<std::string> FindFailing(const OutcomeLedger& ledger,
                                  const std::vector<std::string>& service,
                                  const std::set<std::string>& suspects,
                                  TimePoint now);

/// Drops servers whose flows were too long ago to weigh anything.
void ForgetOutcomes(OutcomeLedger& ledger, TimePoint now);

}  // namespace filbertwall
