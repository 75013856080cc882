#include "Placement/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// A server that answers no opening packet for this long is left out.
constexpr Milliseconds kAnswerLimit{50};
constexpr Milliseconds kShortestAvoidance{300};
constexpr Milliseconds kLongestAvoidance{2400};

/// After this many openings without an answer a data centre is taken for cut
/// off; one flow at a time then tries it.
constexpr std::uint32_t kUnansweredLimit = 3;
constexpr Milliseconds kDataCentreAvoidance{1000};

/// What a server in another data centre costs more, in flows a slot.
constexpr double kRemoteCost = 0.2;
constexpr double kColdFactor = 1.6;
/// What twice the service's usual duration costs, in flows a slot.
constexpr double kSlownessCost = 0.6;
constexpr double kMostSlowness = 3.0;
/// Slowness that is not measured again counts half after this time.
constexpr Milliseconds kSlownessHalfLife{500};
constexpr double kServerWeight = 0.25;
constexpr double kServiceWeight = 0.02;

double Average(double average, double measured, double weight) {
  return average == 0 ? measured : average + weight * (measured - average);
}

/// How much longer than usual the server's flows last, as a share of the usual
/// duration. Shows the work that other instances give it, which this one does
/// not see.
double SlownessOf(const Placement& placement, const PlacedServer& server,
                  TimePoint now) {
  const double usual = placement.duration_of[server.service];
  if (usual <= 0 || server.duration_ms <= usual) {
    return 0;
  }
  const double half_lives =
      static_cast<double>(MillisecondsBetween(server.duration_at, now)) /
      static_cast<double>(kSlownessHalfLife.count());
  const double slowness = server.duration_ms / usual - 1.0;
  return std::min(kMostSlowness, slowness) * std::exp2(-half_lives);
}

/// The lower, the sooner a new flow is served there.
double CostOf(const Placement& placement, const PlacedServer& server,
              TimePoint now) {
  const double cold = now < server.warm_at ? kColdFactor : 1.0;
  const double load = (server.in_flight + 1.0) * cold / server.slots;
  return load + (server.local ? 0.0 : kRemoteCost) +
         kSlownessCost * SlownessOf(placement, server, now);
}

bool Avoided(const PlacedServer& server, TimePoint now) {
  if (now < server.avoid_until) {
    return true;
  }
  return server.unanswered > 0 &&
         now - server.unanswered_since > kAnswerLimit &&
         server.answered_at <= server.unanswered_since;
}

void Avoid(PlacedServer& server, TimePoint now) {
  constexpr std::uint32_t kMostDoublings = 3;
  const std::uint32_t doublings =
      std::min(server.failures_in_row, kMostDoublings);
  server.avoid_until =
      now + std::min(kLongestAvoidance, kShortestAvoidance * (1 << doublings));
  server.failures_in_row += 1;
}

std::uint32_t InternDataCentre(Placement& placement, const std::string& name) {
  const auto found = std::find_if(
      placement.data_centres.begin(), placement.data_centres.end(),
      [&](const PlacedDataCentre& item) { return item.name == name; });
  const auto index =
      static_cast<std::uint32_t>(found - placement.data_centres.begin());
  if (found == placement.data_centres.end()) {
    placement.data_centres.push_back(PlacedDataCentre{.name = name});
  }
  return index;
}

/// A failing server for a flow that may be repeated, now and then: each gets
/// this part of what it would get if it were well.
std::optional<ServerIndex> ChooseTrial(Placement& placement,
                                       const NewFlow& flow, TimePoint now) {
  constexpr std::uint64_t kFlowsATrial = 12;
  const std::vector<ServerIndex>& failing = placement.failing_of[flow.service];
  const std::size_t usable = placement.usable_of[flow.service].size();
  if (failing.empty() || !flow.repeatable || flow.except) {
    return std::nullopt;
  }
  const std::uint64_t draw = MixHash(placement.config.seed, placement.draws++) %
                             (kFlowsATrial * usable);
  if (draw >= failing.size() ||
      Avoided(placement.servers[failing[draw]], now)) {
    return std::nullopt;
  }
  return failing[draw];
}

bool SeemsCutOff(const PlacedDataCentre& data_centre) {
  return data_centre.unanswered_in_row >= kUnansweredLimit;
}

}  // namespace

std::uint64_t NumberOf(std::string_view id) {
  constexpr unsigned kBitsOfDigit = 4;
  std::uint64_t number = 0;
  for (const char letter : id) {
    const bool digit = letter >= '0' && letter <= '9';
    const bool low = letter >= 'a' && letter <= 'f';
    const bool high = letter >= 'A' && letter <= 'F';
    if (digit) {
      number = number << kBitsOfDigit | static_cast<unsigned>(letter - '0');
    } else if (low || high) {
      const char first = low ? 'a' : 'A';
      number =
          number << kBitsOfDigit | static_cast<unsigned>(letter - first + 10);
    }
  }
  return number;
}

ServiceIndex InternService(Placement& placement, const std::string& name) {
  const auto [position, added] = placement.services.emplace(
      name, static_cast<ServiceIndex>(placement.usable_of.size()));
  if (added) {
    placement.usable_of.emplace_back();
    placement.failing_of.emplace_back();
    placement.duration_of.push_back(0);
  }
  return position->second;
}

void UpdateServer(Placement& placement, const wire::ServerRecord& record,
                  TimePoint now) {
  const auto [position, added] = placement.by_id.emplace(
      record.id(), static_cast<ServerIndex>(placement.servers.size()));
  if (added) {
    PlacedServer fresh{.id = record.id(), .number = NumberOf(record.id())};
    fresh.token = static_cast<std::uint32_t>(fresh.number);
    placement.servers.push_back(fresh);
    // Of two servers with one token the first keeps it; see RefreshUsable.
    placement.by_token.emplace(fresh.token, position->second);
  }
  PlacedServer& server = placement.servers[position->second];
  if (record.incarnation() != server.incarnation) {
    // It has started again and holds none of the flows from before.
    server.incarnation = record.incarnation();
    server.unanswered = 0;
    server.failures_in_row = 0;
    server.avoid_until = {};
    server.duration_ms = 0;
  }
  if (record.phase() == wire::SERVER_GONE && record.ip() == 0) {
    server.usable = false;
    return;
  }
  server.address = Endpoint{.ip = record.ip(),
                            .port = static_cast<std::uint16_t>(record.port())};
  server.service = InternService(placement, record.service());
  server.data_centre = InternDataCentre(placement, record.data_centre());
  server.slots = std::max<std::uint32_t>(1, record.slots());
  server.local = record.data_centre() == placement.config.data_centre;
  server.warm_at = now + Milliseconds(record.warmup_ms());
  server.usable = record.phase() == wire::SERVER_READY && !record.silent();
  server.failing = record.failing();
}

void RefreshUsable(Placement& placement) {
  std::map<Endpoint, std::uint64_t> latest;
  for (const PlacedServer& server : placement.servers) {
    std::uint64_t& incarnation = latest[server.address];
    incarnation = std::max(incarnation, server.incarnation);
  }
  for (std::size_t i = 0; i < placement.usable_of.size(); ++i) {
    placement.usable_of[i].clear();
    placement.failing_of[i].clear();
  }
  for (ServerIndex i = 0; i < placement.servers.size(); ++i) {
    const PlacedServer& server = placement.servers[i];
    const bool owns_token = placement.by_token.at(server.token) == i;
    if (server.usable && owns_token &&
        latest.at(server.address) == server.incarnation) {
      placement.usable_of[server.service].push_back(i);
      if (server.failing) {
        placement.failing_of[server.service].push_back(i);
      }
    }
  }
}

std::optional<ServerIndex> ChooseServer(Placement& placement,
                                        const NewFlow& flow, TimePoint now) {
  if (flow.service >= placement.usable_of.size()) {
    return std::nullopt;
  }
  const std::vector<ServerIndex>& list = placement.usable_of[flow.service];
  if (list.empty()) {
    return std::nullopt;
  }
  if (const auto trial = ChooseTrial(placement, flow, now)) {
    return trial;
  }
  std::optional<ServerIndex> best;
  double best_cost = std::numeric_limits<double>::infinity();
  // A server that seems dead is tried only when there is no other.
  constexpr double kAvoidedCost = 1000;
  constexpr double kExceptCost = 500;
  constexpr double kFailingCost = 100;
  const std::size_t start =
      MixHash(placement.config.seed, placement.draws++) % list.size();
  for (std::size_t i = 0; i < list.size(); ++i) {
    const ServerIndex index = list[(start + i) % list.size()];
    const PlacedServer& server = placement.servers[index];
    const PlacedDataCentre& data_centre =
        placement.data_centres[server.data_centre];
    const double cost = CostOf(placement, server, now) +
                        (Avoided(server, now) ? kAvoidedCost : 0) +
                        (now < data_centre.avoid_until ? kAvoidedCost : 0) +
                        (server.failing ? kFailingCost : 0) +
                        (flow.except == index ? kExceptCost : 0);
    if (cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  PlacedDataCentre& chosen =
      placement.data_centres[placement.servers[*best].data_centre];
  if (SeemsCutOff(chosen)) {
    chosen.avoid_until = now + kDataCentreAvoidance;
  }
  return best;
}

std::optional<ServerIndex> FindByToken(const Placement& placement,
                                       std::uint32_t token) {
  const auto found = placement.by_token.find(token);
  if (found == placement.by_token.end()) {
    return std::nullopt;
  }
  return found->second;
}

void NoteOpening(PlacedServer& server, TimePoint now) {
  server.in_flight += 1;
  if (server.unanswered == 0) {
    server.unanswered_since = now;
  }
  server.unanswered += 1;
}

void NoteAnswered(Placement& placement, ServerIndex index, TimePoint now) {
  PlacedServer& server = placement.servers[index];
  PlacedDataCentre& data_centre = placement.data_centres[server.data_centre];
  data_centre.unanswered_in_row = 0;
  data_centre.avoid_until = {};
  server.unanswered -= server.unanswered > 0 ? 1 : 0;
  server.unanswered_since = now;
  server.answered_at = now;
  server.failures_in_row = 0;
  server.avoid_until = {};
}

void NoteUnanswered(Placement& placement, ServerIndex index, TimePoint now) {
  PlacedServer& server = placement.servers[index];
  PlacedDataCentre& data_centre = placement.data_centres[server.data_centre];
  data_centre.unanswered_in_row += 1;
  if (SeemsCutOff(data_centre)) {
    data_centre.avoid_until = now + kDataCentreAvoidance;
  }
  server.unanswered -= server.unanswered > 0 ? 1 : 0;
  server.in_flight -= server.in_flight > 0 ? 1 : 0;
  if (now >= server.avoid_until) {
    Avoid(server, now);
  }
}

void NoteEnded(Placement& placement, ServerIndex index, bool answered,
               std::optional<Milliseconds> duration, TimePoint now) {
  PlacedServer& server = placement.servers[index];
  server.in_flight -= server.in_flight > 0 ? 1 : 0;
  if (!answered) {
    server.unanswered -= server.unanswered > 0 ? 1 : 0;
  }
  if (!duration) {
    return;
  }
  const auto measured = static_cast<double>(duration->count());
  double& usual = placement.duration_of[server.service];
  usual = Average(usual, measured, kServiceWeight);
  server.duration_ms = Average(server.duration_ms, measured, kServerWeight);
  server.duration_at = now;
}

}  // namespace filbertwall
