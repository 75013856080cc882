#include "Outcomes/Outcomes.h"

#include <algorithm>
#include <cmath>

namespace filbertwall {
namespace {

constexpr Milliseconds kHalfLife{2000};
/// A server with fewer recent failures is not failing; they may be due to
/// chance.
constexpr double kMinFailures = 2.5;
/// Lower bound of the threshold, the failure rate from which a server is
/// failing. Retries by the callers compensate for lower failure rates.
constexpr double kMinThreshold = 0.2;
/// Upper bound of the threshold, however often the other servers fail.
constexpr double kMaxThreshold = 0.6;
/// Ratio of the threshold to the failure rate of the service's other servers.
constexpr double kThresholdFactor = 3.0;
/// A failing server is cleared when its failure rate is below the threshold
/// times this factor, or its number of failures is below `kMinFailures` times
/// the square of this factor.
constexpr double kClearingFactor = 0.5;
/// At most one in this many servers of a service is marked as failing.
constexpr std::size_t kMinServersPerFailingServer = 3;
/// Servers are removed when their decayed number of flows is lower than this.
constexpr double kNegligible = 0.05;

struct Candidate {
  std::string id;
  OutcomeCounts counts;
  double failure_rate = 0;
};

OutcomeCounts Decay(const OutcomeCounts& counts, TimePoint now) {
  const double half_lives =
      static_cast<double>(MillisecondsBetween(counts.at, now)) /
      static_cast<double>(kHalfLife.count());
  const double weight = std::exp2(-std::max(0.0, half_lives));
  return OutcomeCounts{.served = counts.served * weight,
                       .failed = counts.failed * weight,
                       .at = now};
}

/// Returns whether the number of failures is significantly higher than expected
/// when each flow fails with probability `failure_rate`.
bool IsSignificant(const OutcomeCounts& counts, double failure_rate) {
  constexpr double kStandardDeviations = 3.0;
  const double expected = failure_rate * (counts.served + counts.failed);
  return counts.failed >= expected + kStandardDeviations * std::sqrt(expected);
}

double FailureRate(double served, double failed) {
  return served + failed > 0 ? failed / (served + failed) : 0;
}

/// Returns the failure rate of the service's other servers.
double FailureRateOfOthers(const OutcomeCounts& service_total,
                           const OutcomeCounts& counts) {
  return FailureRate(service_total.served - counts.served,
                     service_total.failed - counts.failed);
}

/// Returns whether a server is failing. A server that already is gets few
/// flows, so fewer failures suffice for it to stay marked.
bool IsFailing(const Candidate& candidate, const OutcomeCounts& service_total,
               bool was_failing) {
  const OutcomeCounts& counts = candidate.counts;
  const double failure_rate_of_others =
      FailureRateOfOthers(service_total, counts);
  const double threshold = std::clamp(kThresholdFactor * failure_rate_of_others,
                                      kMinThreshold, kMaxThreshold);
  if (was_failing) {
    return candidate.failure_rate >= threshold * kClearingFactor &&
           counts.failed >= kMinFailures * kClearingFactor * kClearingFactor;
  }
  return candidate.failure_rate >= threshold && counts.failed >= kMinFailures &&
         IsSignificant(counts, failure_rate_of_others);
}

}  // namespace

void AddOutcomes(OutcomeStats& stats, const std::string& server,
                 std::uint32_t served, std::uint32_t failed, TimePoint now) {
  OutcomeCounts& counts = stats.servers[server];
  counts = Decay(counts, now);
  counts.served += served;
  counts.failed += failed;
}

OutcomeCounts GetOutcomeCounts(const OutcomeStats& stats,
                               const std::string& server, TimePoint now) {
  const auto found = stats.servers.find(server);
  return found == stats.servers.end() ? OutcomeCounts{}
                                      : Decay(found->second, now);
}

std::set<std::string> FindFailingServers(
    const OutcomeStats& stats, const std::vector<std::string>& server_ids,
    const std::set<std::string>& previously_failing, TimePoint now) {
  std::vector<Candidate> candidates;
  for (const std::string& id : server_ids) {
    Candidate candidate{.id = id, .counts = GetOutcomeCounts(stats, id, now)};
    candidate.failure_rate =
        FailureRate(candidate.counts.served, candidate.counts.failed);
    candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.failure_rate < right.failure_rate;
            });
  // Servers are examined in the order of descending failure rate. Servers with
  // a lower rate may exceed the threshold only in a later call: once the worst
  // are marked, they get few flows and add few failures to the total.
  OutcomeCounts total;
  for (const Candidate& candidate : candidates) {
    total.served += candidate.counts.served;
    total.failed += candidate.counts.failed;
  }
  std::set<std::string> failing;
  const std::size_t max_failing =
      candidates.size() / kMinServersPerFailingServer;
  for (auto worst = candidates.rbegin();
       worst != candidates.rend() && failing.size() < max_failing; ++worst) {
    if (IsFailing(*worst, total, previously_failing.contains(worst->id))) {
      failing.insert(worst->id);
    }
  }
  return failing;
}

void RemoveExpiredOutcomes(OutcomeStats& stats, TimePoint now) {
  std::erase_if(stats.servers, [&](const auto& item) {
    const OutcomeCounts counts = Decay(item.second, now);
    return counts.served + counts.failed < kNegligible;
  });
}

}  // namespace filbertwall
