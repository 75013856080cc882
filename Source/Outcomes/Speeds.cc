#include "Outcomes/Speeds.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace filbertwall {
namespace {

constexpr Milliseconds kHalfLife{800};
/// The time over which durations are summed is taken to be at least this long
/// after the first ones.
constexpr Milliseconds kMinWindow{1000};
constexpr double kBucketsPerDoubling = 4;

/// Steps of slowness in percent; few, so that records seldom change.
constexpr std::array<std::uint32_t, 4> kSteps{150, 200, 300, 500};
constexpr double kPercent = 100;
/// A server becomes slower only from this multiple of a step on, and only if
/// the logarithm of its slowness is at least the second number by the square
/// root of its flows: more than four standard deviations of the quartile of
/// durations that vary by a factor of 1.8 (standard deviation). The multiple
/// keeps out the queues of busy servers, whose durations are not independent.
constexpr double kRaisingRatio = 1.1;
constexpr double kRaiseSignificance = 2.5;
/// It becomes less slow from this fraction of its step on, and only if the
/// logarithm of the fraction is at least this number by the square root of its
/// flows.
constexpr double kLoweringRatio = 0.75;
constexpr double kLowerSignificance = 1.0;
/// Fewer decayed flows say nothing about a server.
constexpr double kMinFlows = 0.7;
/// A server is not marked in this time after its first flows: many may come at
/// once to one that is new, and wait there.
constexpr Milliseconds kMinAge{2000};
/// Servers of a data centre are compared with each other if at least this many
/// of them have that many flows.
constexpr std::size_t kMinPeers = 3;
constexpr double kMinPeerFlows = 8;
/// A data centre whose usual time of work is longer than that of the service by
/// more than this factor is slow as a whole.
constexpr double kMaxDataCentreRatio = 2.0;
/// Servers are removed, and are as usual again, below this number of flows.
constexpr double kNegligible = 0.05;

double DecayFactor(const ServerSpeed& speed, TimePoint now) {
  const double half_lives = std::chrono::duration<double>(now - speed.at) /
                            std::chrono::duration<double>(kHalfLife);
  return std::exp2(-std::max(0.0, half_lives));
}

void Decay(ServerSpeed& speed, TimePoint now) {
  const double factor = DecayFactor(speed, now);
  for (double& flows : speed.flows) {
    flows *= factor;
  }
  speed.total_flows *= factor;
  speed.total_ms *= factor;
  speed.at = now;
}

/// Returns how many requests were at the server at a time.
double Concurrency(const ServerSpeed& speed, TimePoint now) {
  const double half_life_ms =
      std::chrono::duration<double, std::milli>(kHalfLife).count();
  const double age_ms =
      std::chrono::duration<double, std::milli>(
          std::max<TimePoint::duration>(now - speed.started_at, kMinWindow))
          .count();
  const double window_ms =
      half_life_ms / std::log(2.0) * (1 - std::exp2(-age_ms / half_life_ms));
  return speed.total_ms / window_ms;
}

std::size_t BucketOf(double work_ms) {
  const double bucket =
      std::floor(kBucketsPerDoubling * std::log2(std::max(1.0, work_ms)));
  return std::min(kWorkTimeBuckets - 1, static_cast<std::size_t>(bucket));
}

/// Returns the lower quartile, interpolated within its bucket on the
/// logarithmic scale. Precondition: `speed` has flows.
double QuartileWorkMs(const ServerSpeed& speed) {
  const double quartile =
      std::accumulate(speed.flows.begin(), speed.flows.end(), 0.0) / 4;
  double below = 0;
  for (std::size_t i = 0; i < kWorkTimeBuckets; ++i) {
    if (below + speed.flows[i] >= quartile) {
      const double part = (quartile - below) / speed.flows[i];
      return std::exp2((static_cast<double>(i) + part) / kBucketsPerDoubling);
    }
    below += speed.flows[i];
  }
  return std::exp2(kWorkTimeBuckets / kBucketsPerDoubling);
}

struct MeasuredServer {
  const SpeedCandidate* candidate = nullptr;
  double flows = 0;
  double work_ms = 0;
  bool is_new = false;  ///< See `kMinAge`.
};

/// Returns the usual time of work of some servers: that below which a third of
/// them are, so that it stays when many are slow. Nothing if too few are known.
std::optional<double> UsualWorkMs(std::vector<double> work_times) {
  if (work_times.size() < kMinPeers) {
    return std::nullopt;
  }
  const auto position = work_times.begin() + static_cast<std::ptrdiff_t>(
                                                 (work_times.size() - 1) / 3);
  std::nth_element(work_times.begin(), position, work_times.end());
  return *position;
}

/// Returns the usual time of work by data centre; under the empty name, that of
/// the service.
std::map<std::string, double> UsualWorkByDataCentre(
    const std::vector<MeasuredServer>& servers) {
  std::map<std::string, std::vector<double>> work_times;
  std::vector<double> all;
  for (const MeasuredServer& server : servers) {
    if (server.flows >= kMinPeerFlows) {
      work_times[server.candidate->data_centre].push_back(server.work_ms);
      all.push_back(server.work_ms);
    }
  }
  std::map<std::string, double> usual;
  const std::optional<double> of_service = UsualWorkMs(std::move(all));
  if (!of_service) {
    return usual;
  }
  for (auto& [data_centre, values] : work_times) {
    const std::optional<double> own = UsualWorkMs(std::move(values));
    usual[data_centre] =
        std::min(own.value_or(*of_service), kMaxDataCentreRatio * *of_service);
  }
  usual[""] = *of_service;
  return usual;
}

/// Returns the highest step that the ratio reaches; 0 if none.
std::uint32_t StepOf(double ratio) {
  std::uint32_t reached = 0;
  for (const std::uint32_t step : kSteps) {
    reached = ratio >= step / kPercent ? step : reached;
  }
  return reached;
}

std::uint32_t NextStep(const MeasuredServer& server, double usual_ms) {
  const std::uint32_t present = server.candidate->slowness_percent;
  if (server.flows < kMinFlows) {
    return server.flows < kNegligible ? 0 : present;
  }
  const double ratio = server.work_ms / usual_ms;
  const double root = std::sqrt(server.flows);
  const std::uint32_t raised = StepOf(ratio / kRaisingRatio);
  if (raised > present) {
    const bool clear =
        !server.is_new && std::log(ratio) >= kRaiseSignificance / root;
    return clear ? raised : present;
  }
  const double limit =
      present / kPercent *
      std::min(kLoweringRatio, std::exp(-kLowerSignificance / root));
  return ratio < limit ? StepOf(ratio) : present;
}

}  // namespace

void AddDurations(SpeedStats& stats, const std::string& server,
                  std::uint32_t slots, std::uint32_t flows,
                  std::uint64_t duration_ms, TimePoint now) {
  ServerSpeed& speed = stats.servers[server];
  if (speed.started_at == TimePoint()) {
    speed.started_at = now;
  }
  Decay(speed, now);
  const auto added_ms = static_cast<double>(duration_ms);
  speed.total_flows += flows;
  speed.total_ms += added_ms;
  const double queue_factor =
      std::max(1.0, Concurrency(speed, now) / std::max(1U, slots));
  speed.flows[BucketOf(added_ms / flows / queue_factor)] += flows;
}

std::map<std::string, std::uint32_t> FindSlowServers(
    const SpeedStats& stats, const std::vector<SpeedCandidate>& servers,
    TimePoint now) {
  std::vector<MeasuredServer> measured;
  for (const SpeedCandidate& candidate : servers) {
    MeasuredServer server{.candidate = &candidate};
    const auto found = stats.servers.find(candidate.id);
    if (found != stats.servers.end() && found->second.total_flows > 0) {
      server.flows =
          found->second.total_flows * DecayFactor(found->second, now);
      server.is_new = now - found->second.started_at < kMinAge;
      server.work_ms = QuartileWorkMs(found->second);
    }
    measured.push_back(server);
  }
  const std::map<std::string, double> usual = UsualWorkByDataCentre(measured);
  std::map<std::string, std::uint32_t> slow;
  if (usual.empty()) {
    return slow;
  }
  for (const MeasuredServer& server : measured) {
    const auto own = usual.find(server.candidate->data_centre);
    const double usual_ms = own != usual.end() ? own->second : usual.at("");
    const std::uint32_t step = NextStep(server, usual_ms);
    if (step > 0) {
      slow[server.candidate->id] = step;
    }
  }
  return slow;
}

void RemoveExpiredSpeeds(SpeedStats& stats, TimePoint now) {
  std::erase_if(stats.servers, [&](const auto& item) {
    return item.second.total_flows * DecayFactor(item.second, now) <
           kNegligible;
  });
}

}  // namespace filbertwall
