#include <algorithm>
#include <cmath>
#include <limits>

#include "Base/Hash.h"
#include "Flows/FlowTier.h"

/// Hash-based selection of a flow's owner and of a new flow's backend server.
namespace filbertwall {
namespace {

/// Returns a candidate's score for weighted rendezvous hashing. The
/// candidate with the highest score is preferred. A change of one weight moves
/// the minimum number of flows.
double RendezvousScore(std::uint64_t flow_hash, const Endpoint& backend,
                       std::uint32_t weight) {
  const std::uint64_t identity =
      static_cast<std::uint64_t>(backend.ip) << 16 | backend.port;
  const std::uint64_t hash = MixHash(flow_hash, identity);
  const double unit = (static_cast<double>(hash >> 11) + 0.5) / 0x1p53;
  return -static_cast<double>(weight) / std::log(unit);
}

double FlowsPerWeight(const FlowTier& tier, const Endpoint& backend,
                      std::uint32_t weight) {
  const auto index = tier.backend_index.find(backend);
  const std::uint64_t flows = index == tier.backend_index.end()
                                  ? 0
                                  : tier.flows_per_backend[index->second];
  return static_cast<double>(flows) / std::max(weight, 1U);
}

/// Limit on the result of `OwnersOf`. It also limits how many instances an
/// owner queries about an unknown flow.
constexpr std::size_t kMaxOwners = 16;

/// The two candidates with the highest scores for a flow.
struct BestTwo {
  const Backend* first = nullptr;
  const Backend* second = nullptr;
};

BestTwo FindBestTwo(const std::vector<const Backend*>& candidates,
                    const Rules& rules, const std::string& service,
                    std::uint64_t flow_hash) {
  BestTwo best;
  double first_score = -std::numeric_limits<double>::infinity();
  double second_score = first_score;
  for (const Backend* backend : candidates) {
    const double score =
        RendezvousScore(flow_hash, backend->address,
                        GetBackendWeight(rules, service, backend->address));
    if (score > first_score) {
      best.second = best.first;
      second_score = first_score;
      best.first = backend;
      first_score = score;
    } else if (score > second_score) {
      best.second = backend;
      second_score = score;
    }
  }
  return best;
}

}  // namespace

std::vector<std::uint32_t> OwnersOf(const FlowTier& tier,
                                    const std::set<std::uint32_t>& silent,
                                    const PacketFlowKey& key) {
  const std::uint64_t hash = HashFlow(key);
  std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked = {
      {MixHash(hash, tier.self), tier.self}};
  for (const auto& [instance, address] : tier.packet_addresses) {
    if (!silent.contains(instance)) {
      ranked.emplace_back(MixHash(hash, instance), instance);
    }
  }
  const std::size_t kept = std::min(ranked.size(), kMaxOwners);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(), std::greater<>());
  ranked.resize(kept);
  std::vector<std::uint32_t> owners;
  owners.reserve(ranked.size());
  for (const auto& [score, instance] : ranked) {
    owners.push_back(instance);
  }
  return owners;
}

std::optional<Endpoint> ChooseFlowBackend(const FlowTier& tier,
                                          const FlowEnvironment& environment,
                                          const ServiceRule& service,
                                          const PacketFlowKey& key) {
  const std::vector<const Backend*> candidates = FindCandidates(
      environment.directory, environment.rules, service.name, environment.now);
  const BestTwo best =
      FindBestTwo(candidates, environment.rules, service.name, HashFlow(key));
  if (best.first == nullptr) {
    return std::nullopt;
  }
  if (service.preference == Preference::kStability || best.second == nullptr) {
    return best.first->address;
  }
  const auto load = [&](const Backend* backend) {
    return FlowsPerWeight(
        tier, backend->address,
        GetBackendWeight(environment.rules, service.name, backend->address));
  };
  return load(best.second) < load(best.first) ? best.second->address
                                              : best.first->address;
}

}  // namespace filbertwall
