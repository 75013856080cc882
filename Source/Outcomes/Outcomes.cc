#include "Outcomes/Outcomes.h"

#include <algorithm>
#include <cmath>

namespace filbertwall {
namespace {

constexpr Milliseconds kHalfLife{2000};
/// So few failures may be chance.
constexpr double kLeastFailures = 1.8;
/// A smaller share of failures is left to the callers' retries.
constexpr double kLeastShare = 0.12;
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

double ShareOf(double served, double failed) {
  return served + failed > 0 ? failed / (served + failed) : 0;
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
  // The usual share is that of the better half, so that several servers that
  // fail at once do not hide each other.
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.share < right.share;
            });
  double served = 0;
  double failed = 0;
  for (std::size_t i = 0; i < (candidates.size() + 1) / 2; ++i) {
    served += candidates[i].counts.served;
    failed += candidates[i].counts.failed;
  }
  const double limit =
      std::max(kLeastShare, kTimesTheOthers * ShareOf(served, failed));
  std::set<std::string> failing;
  const std::size_t most = candidates.size() / kMostSuspectsOfService;
  for (auto worst = candidates.rbegin();
       worst != candidates.rend() && failing.size() < most; ++worst) {
    const bool was_suspect = suspects.contains(worst->id);
    const double factor = was_suspect ? kClearance : 1.0;
    if (worst->share >= limit * factor &&
        worst->counts.failed >= kLeastFailures * factor * factor) {
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
