#include <algorithm>
#include <map>

#include "Placement/LoadDraw.h"
#include "Placement/Placement.h"

/// The backend servers that placement knows, and which of them may get flows.
namespace filbertwall {
namespace {

std::uint32_t InternDataCentre(Placement& placement, const std::string& name) {
  const auto found = std::find_if(
      placement.data_centres.begin(), placement.data_centres.end(),
      [&](const PlacedDataCentre& item) { return item.name == name; });
  const auto index =
      static_cast<std::uint32_t>(found - placement.data_centres.begin());
  if (found == placement.data_centres.end()) {
    const auto region = placement.config.regions.find(name);
    placement.data_centres.push_back(PlacedDataCentre{
        .name = name,
        .region =
            region == placement.config.regions.end() ? "" : region->second,
        .evacuated = placement.evacuated.contains(name)});
  }
  return index;
}

/// Returns whether a route names the service. Before the first rules, any may.
bool IsRouted(const Placement& placement, ServiceIndex service) {
  return placement.routed_by_service.empty() ||
         (service < placement.routed_by_service.size() &&
          placement.routed_by_service[service]);
}

void SetToken(Placement& placement, ServerIndex index) {
  PlacedServer& server = placement.servers[index];
  server.token =
      ChooseToken(placement.tokens, TokensOf(server.id, server.number));
}

/// Adds a server. A server that was the only one with one of its tokens is
/// given another one.
void AddServer(Placement& placement, const std::string& id) {
  const auto index = static_cast<ServerIndex>(placement.servers.size());
  const std::uint64_t number = ParseServerNumber(id);
  placement.servers.push_back(PlacedServer{.id = id, .number = number});
  for (const ServerIndex owner :
       AddTokens(placement.tokens, index, TokensOf(id, number))) {
    SetToken(placement, owner);
  }
  SetToken(placement, index);
}

ServerLife LifeOf(const wire::ServerRecord& record) {
  if (record.phase() == wire::SERVER_GONE) {
    return ServerLife::kGone;
  }
  return record.silent() ? ServerLife::kSilent : ServerLife::kLive;
}

/// Returns whether no server in `latest`, the latest incarnation at each
/// address, displaces this one.
bool IsLatest(const std::map<Endpoint, std::uint64_t>& latest,
              const PlacedServer& server) {
  const auto found = latest.find(server.address);
  return found == latest.end() || found->second <= server.incarnation;
}

}  // namespace

std::uint64_t ParseServerNumber(std::string_view id) {
  constexpr unsigned kBitsOfDigit = 4;
  std::uint64_t number = 0;
  for (const char character : id) {
    const bool digit = character >= '0' && character <= '9';
    const bool lower = character >= 'a' && character <= 'f';
    const bool upper = character >= 'A' && character <= 'F';
    if (digit) {
      number = number << kBitsOfDigit | static_cast<unsigned>(character - '0');
    } else if (lower || upper) {
      const char first = lower ? 'a' : 'A';
      number = number << kBitsOfDigit |
               static_cast<unsigned>(character - first + 10);
    }
  }
  return number;
}

ServiceIndex InternService(Placement& placement, const std::string& name) {
  const auto [position, added] = placement.services.emplace(
      name, static_cast<ServiceIndex>(placement.usable_by_service.size()));
  if (added) {
    placement.usable_by_service.emplace_back();
    placement.failing_by_service.emplace_back();
    placement.evacuated_by_service.push_back(0);
    placement.mean_duration_ms_by_service.push_back(0);
  }
  return position->second;
}

bool UpdateServer(Placement& placement, const wire::ServerRecord& record,
                  TimePoint now) {
  const auto [position, added] = placement.by_id.emplace(
      record.id(), static_cast<ServerIndex>(placement.servers.size()));
  if (added) {
    AddServer(placement, record.id());
  }
  PlacedServer& server = placement.servers[position->second];
  const bool restarted = record.incarnation() != server.incarnation;
  if (restarted) {
    // The server has restarted and has none of its previous flows, so its
    // pending openings, avoidance and durations do not apply any more.
    server.incarnation = record.incarnation();
    server.pending_openings = 0;
    server.consecutive_avoidances = 0;
    server.avoid_until = {};
    server.mean_duration_ms = 0;
  }
  server.life = LifeOf(record);
  if (record.phase() == wire::SERVER_GONE && record.ip() == 0) {
    server.usable = false;
    return added;
  }
  server.address = Endpoint{.ip = record.ip(),
                            .port = static_cast<std::uint16_t>(record.port())};
  server.service = InternService(placement, record.service());
  server.data_centre = InternDataCentre(placement, record.data_centre());
  server.slots = std::max<std::uint32_t>(1, record.slots());
  server.local = record.data_centre() == placement.config.data_centre;
  const TimePoint warmup_ends_at = now + Milliseconds(record.warmup_ms());
  server.warmup_ends_at = restarted
                              ? warmup_ends_at
                              : std::max(server.warmup_ends_at, warmup_ends_at);
  const WarmupLimit* limit = FindWarmupLimit(placement.warmup, server.service);
  if (restarted && !added && limit != nullptr) {
    // It has just started, also if its report does not say so.
    server.warmup_ends_at =
        std::max(server.warmup_ends_at, now + limit->duration);
  }
  server.usable = record.phase() == wire::SERVER_READY && !record.silent();
  server.failing = record.failing();
  server.slowness = SlownessFactor(placement.config, record);
  return added;
}

void SetEvacuated(Placement& placement, std::set<std::string> names,
                  TimePoint now) {
  for (PlacedDataCentre& data_centre : placement.data_centres) {
    const bool evacuated = names.contains(data_centre.name);
    if (data_centre.evacuated && !evacuated) {
      data_centre.returned_at = now;
    }
    data_centre.evacuated = evacuated;
  }
  placement.evacuated = std::move(names);
}

bool IsEmptiedByEvacuation(const Placement& placement, ServiceIndex service) {
  return service < placement.usable_by_service.size() &&
         placement.usable_by_service[service].empty() &&
         placement.evacuated_by_service[service] > 0;
}

void RefreshUsable(Placement& placement) {
  std::map<Endpoint, std::uint64_t> latest;
  for (const PlacedServer& server : placement.servers) {
    if (!IsRouted(placement, server.service)) {
      continue;
    }
    std::uint64_t& incarnation = latest[server.address];
    incarnation = std::max(incarnation, server.incarnation);
  }
  for (std::size_t i = 0; i < placement.usable_by_service.size(); ++i) {
    placement.usable_by_service[i].clear();
    placement.failing_by_service[i].clear();
    placement.evacuated_by_service[i] = 0;
  }
  for (ServerIndex i = 0; i < placement.servers.size(); ++i) {
    const PlacedServer& server = placement.servers[i];
    const bool has_token = server.token != kNoToken;
    if (!server.usable || !has_token || !IsLatest(latest, server)) {
      continue;
    }
    if (placement.data_centres[server.data_centre].evacuated) {
      placement.evacuated_by_service[server.service] += 1;
    } else {
      placement.usable_by_service[server.service].push_back(i);
      if (server.failing) {
        placement.failing_by_service[server.service].push_back(i);
      }
    }
  }
}

}  // namespace filbertwall
