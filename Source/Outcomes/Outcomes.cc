#include "Outcomes/Outcomes.h"

#include <algorithm>
#include <cmath>

namespace filbertwall {
namespace {

constexpr Milliseconds kHalfLife{2000};
/// So few failures may be chance.
constexpr double kLeastFailures = 2.5;
/// A smaller share of failures is left to the callers' retries.
constexpr double kLeastShare = 0.2;
/// A larger one is suspicious however often the others fail.
constexpr double kLargestLimit = 0.6;
/// How many times the share of the service's other servers is suspicious.
constexpr double kTimesTheOthers = 3.0;
/// A suspect is cleared below this part of the limit.
constexpr double kClearance = 0.5;
constexpr std::size_t kMostSuspectsOfService = 3;  ///< One in so many.
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

/// Whether so many failures are hardly chance, when each flow fails with
/// probability `share`.
bool IsSignificant(const OutcomeCounts& counts, double share) {
  constexpr double kStandardDeviations = 3.0;
  const double expected = share * (counts.served + counts.failed);
  return counts.failed >= expected + kStandardDeviations * std::sqrt(expected);
}

double ShareOf(double served, double failed) {
  return served + failed > 0 ? failed / (served + failed) : 0;
}

/// The share of failures of the service's other servers.
double ShareOfOthers(const OutcomeCounts& service,
                     const OutcomeCounts& counts) {
  return ShareOf(service.served - counts.served,
                 service.failed - counts.failed);
}

/// A suspect gets few flows, so less evidence keeps it one.
bool IsFailing(const Candidate& candidate, const OutcomeCounts& service,
               bool was_suspect) {
  const OutcomeCounts& counts = candidate.counts;
  const double usual = ShareOfOthers(service, counts);
  const double limit =
      std::clamp(kTimesTheOthers * usual, kLeastShare, kLargestLimit);
  if (was_suspect) {
    return candidate.share >= limit * kClearance &&
           counts.failed >= kLeastFailures * kClearance * kClearance;
  }
  return candidate.share >= limit && counts.failed >= kLeastFailures &&
         IsSignificant(counts, usual);
}

}  // namespace

void AddOutcomes(OutcomeLedger& ledger, const std::string& server,
                 std::uint32_t served, std::uint32_t failed, TimePoint now) {
  OutcomeCounts& counts = ledger.servers[server];
  counts = Decay(counts, now);
  counts.served += served;
  counts.failed += failed;
}

OutcomeCounts CountsOf(const OutcomeLedger& ledger, const std::string& server,
                       TimePoint now) {
  const auto found = ledger.servers.find(server);
  return found == ledger.servers.end() ? OutcomeCounts{}
                                       : Decay(found->second, now);
}

std::set<std::string> FindFailing(const OutcomeLedger& ledger,
                                  const std::vector<std::string>& service,
                                  const std::set<std::string>& suspects,
                                  TimePoint now) {
  std::vector<Candidate> candidates;
  for (const std::string& id : service) {
    Candidate candidate{.id = id, .counts = CountsOf(ledger, id, now)};
    candidate.share = ShareOf(candidate.counts.served, candidate.counts.failed);
    candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.share < right.share;
            });
  // Servers that are marked get few flows, so that those which fail less often
  // stand out next.
  OutcomeCounts all;
  for (const Candidate& candidate : candidates) {
    all.served += candidate.counts.served;
    all.failed += candidate.counts.failed;
  }
  std::set<std::string> failing;
  const std::size_t most = candidates.size() / kMostSuspectsOfService;
  for (auto worst = candidates.rbegin();
       worst != candidates.rend() && failing.size() < most; ++worst) {
    if (IsFailing(*worst, all, suspects.contains(worst->id))) {
      failing.insert(worst->id);
    }
  }
  return failing;
}

void ForgetOutcomes(OutcomeLedger& ledger, TimePoint now) {
  std::erase_if(ledger.servers, [&](const auto& item) {
    const OutcomeCounts counts = Decay(item.second, now);
    return counts.served + counts.failed < kNegligible;
  });
}

}  // namespace filbertwall
