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

/// What a server in another data centre costs more, in flows a slot.
constexpr double kRemoteCost = 0.7;
constexpr double kColdFactor = 1.6;
constexpr double kDurationWeight = 0.1;

/// How many of this instance's own flows a slot may hold before a server of
/// another data centre is as good is set by kRemoteCost; equals are drawn.
double CostOf(const PlacedServer& server, TimePoint now) {
  const double cold = now < server.warm_at ? kColdFactor : 1.0;
  const double load = (server.in_flight + 1.0) * cold / server.slots;
  return load + (server.local ? 0.0 : kRemoteCost);
}

bool Avoided(const PlacedServer& server, TimePoint now) {
  if (now < server.avoid_until) {
    return true;
  }
  return server.unanswered > 0 &&
         now - server.unanswered_since > kAnswerLimit &&
         server.answered_at < server.unanswered_since;
}

void Avoid(PlacedServer& server, TimePoint now) {
  constexpr std::uint32_t kMostDoublings = 3;
  const std::uint32_t doublings =
      std::min(server.failures_in_row, kMostDoublings);
  server.avoid_until =
      now + std::min(kLongestAvoidance, kShortestAvoidance * (1 << doublings));
  server.failures_in_row += 1;
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
  server.slots = std::max<std::uint32_t>(1, record.slots());
  server.local = record.data_centre() == placement.config.data_centre;
  server.warm_at = now + Milliseconds(record.warmup_ms());
  server.usable = record.phase() == wire::SERVER_READY && !record.silent();
}

void RefreshUsable(Placement& placement) {
  std::map<Endpoint, std::uint64_t> latest;
  for (const PlacedServer& server : placement.servers) {
    std::uint64_t& incarnation = latest[server.address];
    incarnation = std::max(incarnation, server.incarnation);
  }
  for (std::vector<ServerIndex>& list : placement.usable_of) {
    list.clear();
  }
  for (ServerIndex i = 0; i < placement.servers.size(); ++i) {
    const PlacedServer& server = placement.servers[i];
    const bool owns_token = placement.by_token.at(server.token) == i;
    if (server.usable && owns_token &&
        latest.at(server.address) == server.incarnation) {
      placement.usable_of[server.service].push_back(i);
    }
  }
}

std::optional<ServerIndex> ChooseServer(Placement& placement,
                                        ServiceIndex service,
                                        std::optional<ServerIndex> except,
                                        TimePoint now) {
  if (service >= placement.usable_of.size()) {
    return std::nullopt;
  }
  const std::vector<ServerIndex>& list = placement.usable_of[service];
  if (list.empty()) {
    return std::nullopt;
  }
  std::optional<ServerIndex> best;
  double best_cost = std::numeric_limits<double>::infinity();
  // A server that seems dead is tried only when there is no other.
  constexpr double kAvoidedCost = 1000;
  constexpr double kExceptCost = 500;
  const std::size_t start =
      MixHash(placement.config.seed, placement.draws++) % list.size();
  for (std::size_t i = 0; i < list.size(); ++i) {
    const ServerIndex index = list[(start + i) % list.size()];
    const PlacedServer& server = placement.servers[index];
    const double cost = CostOf(server, now) +
                        (Avoided(server, now) ? kAvoidedCost : 0) +
                        (except == index ? kExceptCost : 0);
    if (cost < best_cost) {
      best = index;
      best_cost = cost;
    }
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

void NoteAnswered(PlacedServer& server, TimePoint now) {
  server.unanswered -= server.unanswered > 0 ? 1 : 0;
  server.unanswered_since = now;
  server.answered_at = now;
  server.failures_in_row = 0;
  server.avoid_until = {};
}

void NoteUnanswered(PlacedServer& server, TimePoint now) {
  server.unanswered -= server.unanswered > 0 ? 1 : 0;
  server.in_flight -= server.in_flight > 0 ? 1 : 0;
  if (now >= server.avoid_until) {
    Avoid(server, now);
  }
}

void NoteEnded(PlacedServer& server, bool answered,
               std::optional<Milliseconds> duration) {
  server.in_flight -= server.in_flight > 0 ? 1 : 0;
  if (!answered) {
    server.unanswered -= server.unanswered > 0 ? 1 : 0;
  }
  if (!duration) {
    return;
  }
  const auto measured = static_cast<double>(duration->count());
  server.duration_ms =
      server.duration_ms == 0
          ? measured
          : server.duration_ms +
                kDurationWeight * (measured - server.duration_ms);
}

}  // namespace filbertwall
