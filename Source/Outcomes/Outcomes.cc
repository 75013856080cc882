#include "Outcomes/Outcomes.h"

#include <algorithm>
#include <cmath>

namespace filbertwall {
namespace {

constexpr Milliseconds kHalfLife{2000};
/// Fewer failures may be due to chance.
constexpr double kMinFailures = 2.5;
/// The limit of the share of failures is at least this; retries by the callers
/// cover a smaller share.
constexpr double kMinLimit = 0.2;
/// The limit is at most this, however often the other servers fail.
constexpr double kMaxLimit = 0.6;
/// Factor between the share of failures of the service's other servers and the
/// limit.
constexpr double kLimitFactor = 3.0;
/// A suspect is cleared when its share of failures is below the limit times
/// this factor, or its failures are below `kMinFailures` times the square of
/// it.
constexpr double kClearingFactor = 0.5;
/// At most one in this many servers of a service is a suspect.
constexpr std::size_t kMinServersPerSuspect = 3;
/// Servers with fewer decayed flows are removed.
constexpr double kNegligible = 0.05;

struct Candidate {
  std::string id;
  OutcomeCounts counts;
  double share = 0;
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
/// when each flow fails with probability `share`.
bool IsSignificant(const OutcomeCounts& counts, double share) {
  constexpr double kStandardDeviations = 3.0;
  const double expected = share * (counts.served + counts.failed);
  return counts.failed >= expected + kStandardDeviations * std::sqrt(expected);
}

double ShareOf(double served, double failed) {
  return served + failed > 0 ? failed / (served + failed) : 0;
}

/// Returns the share of failures of the service's other servers.
double ShareOfOthers(const OutcomeCounts& service,
                     const OutcomeCounts& counts) {
  return ShareOf(service.served - counts.served,
                 service.failed - counts.failed);
}

/// Returns whether a server is failing. A suspect gets few flows, so fewer
/// failures suffice to keep it a suspect.
bool IsFailing(const Candidate& candidate, const OutcomeCounts& service,
               bool was_suspect) {
  const OutcomeCounts& counts = candidate.counts;
  const double share_of_others = ShareOfOthers(service, counts);
  const double limit =
      std::clamp(kLimitFactor * share_of_others, kMinLimit, kMaxLimit);
  if (was_suspect) {
    return candidate.share >= limit * kClearingFactor &&
           counts.failed >= kMinFailures * kClearingFactor * kClearingFactor;
  }
  return candidate.share >= limit && counts.failed >= kMinFailures &&
         IsSignificant(counts, share_of_others);
}

}  // namespace

void AddOutcomes(OutcomeLedger& stats, const std::string& server,
                 std::uint32_t served, std::uint32_t failed, TimePoint now) {
  OutcomeCounts& counts = stats.servers[server];
  counts = Decay(counts, now);
  counts.served += served;
  counts.failed += failed;
}

OutcomeCounts CountsOf(const OutcomeLedger& stats, const std::string& server,
                       TimePoint now) {
  const auto found = stats.servers.find(server);
  return found == stats.servers.end() ? OutcomeCounts{}
                                      : Decay(found->second, now);
}

std::set<std::string> FindFailing(const OutcomeLedger& stats,
                                  const std::vector<std::string>& service,
                                  const std::set<std::string>& suspects,
                                  TimePoint now) {
  std::vector<Candidate> candidates;
  for (const std::string& id : service) {
    Candidate candidate{.id = id, .counts = CountsOf(stats, id, now)};
    candidate.share = ShareOf(candidate.counts.served, candidate.counts.failed);
    candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.share < right.share;
            });
  // Servers are examined from the highest share of failures to the lowest. Once
  // the worst are suspects and get few flows, the total contains few of their
  // failures, so that servers that fail less often exceed the limit next.
  OutcomeCounts total;
  for (const Candidate& candidate : candidates) {
    total.served += candidate.counts.served;
    total.failed += candidate.counts.failed;
  }
  std::set<std::string> failing;
  const std::size_t max_failing = candidates.size() / kMinServersPerSuspect;
  for (auto worst = candidates.rbegin();
       worst != candidates.rend() && failing.size() < max_failing; ++worst) {
    if (IsFailing(*worst, total, suspects.contains(worst->id))) {
      failing.insert(worst->id);
    }
  }
  return failing;
}

void ForgetOutcomes(OutcomeLedger& stats, TimePoint now) {
  std::erase_if(stats.servers, [&](const auto& item) {
    const OutcomeCounts counts = Decay(item.second, now);
    return counts.served + counts.failed < kNegligible;
  });
}

}  // namespace filbertwall
