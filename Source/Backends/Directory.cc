#include "Backends/Directory.h"

#include <algorithm>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

constexpr int kLeasesBeforeRemoval = 6;

bool AcceptsNewRequests(const Rules& rules, const Backend& backend,
                        const std::string& service) {
  return backend.announcement.service() == service &&
         backend.announcement.phase() == wire::READY &&
         !rules.evacuations.contains(backend.data_centre) &&
         GetBackendWeight(rules, service, backend.address) > 0;
}

}  // namespace

std::string CheckAnnouncement(const wire::Announcement& announcement) {
  constexpr std::uint32_t kMaxSlots = 100000;
  if (announcement.service().empty()) {
    return "service: expected the name of a service";
  }
  if (!ParseEndpoint(announcement.address())) {
    return "address: expected IP:port";
  }
  if (announcement.slots() == 0 || announcement.slots() > kMaxSlots) {
    return "slots: expected 1 to 100000";
  }
  if (announcement.sequence() == 0) {
    return "sequence: expected a number that rises with each announcement";
  }
  return "";
}

bool ApplyAnnouncement(Directory& directory, const wire::BackendRecord& record,
                       TimePoint now) {
  const wire::Announcement& announcement = record.announcement();
  const Endpoint address = *ParseEndpoint(announcement.address());
  const TimePoint announced_at = now - Milliseconds(record.age_ms());
  const auto [position, added] = directory.backends.try_emplace(address);
  Backend& backend = position->second;
  if (!added && announcement.sequence() <= backend.announcement.sequence()) {
    return false;
  }
  directory.digest ^= added ? 0 : ComputeDigest(backend);
  const wire::Announcement& before = backend.announcement;
  const bool changed = added || before.service() != announcement.service() ||
                       before.phase() != announcement.phase() ||
                       before.slots() != announcement.slots();
  const bool became_ready = announcement.phase() == wire::READY &&
                            (added || before.phase() != wire::READY);
  if (became_ready) {
    backend.ready_since = announced_at;
  }
  backend.address = address;
  backend.announcement = announcement;
  backend.data_centre = record.data_centre();
  backend.announced_at = std::max(backend.announced_at, announced_at);
  backend.own_in_flight_when_announced = backend.own_in_flight;
  directory.digest ^= ComputeDigest(backend);
  directory.generation += changed ? 1 : 0;
  return true;
}

void RemoveExpiredBackends(Directory& directory, TimePoint now) {
  const Milliseconds limit = directory.lease * kLeasesBeforeRemoval;
  for (auto item = directory.backends.begin();
       item != directory.backends.end();) {
    const Backend& backend = item->second;
    const bool silent = now - backend.announced_at > limit;
    if (!silent || backend.own_in_flight > 0) {
      ++item;
      continue;
    }
    directory.digest ^= ComputeDigest(backend);
    directory.generation += 1;
    item = directory.backends.erase(item);
  }
}

std::uint64_t ComputeDigest(const Backend& backend) {
  const wire::Announcement& announcement = backend.announcement;
  const std::uint64_t address = static_cast<std::uint64_t>(backend.address.ip)
                                    << 16 |
                                backend.address.port;
  const std::uint64_t hash = Hash64(announcement.service(), address);
  return MixHash(MixHash(hash, announcement.phase()), announcement.slots());
}

wire::Directory BuildDirectoryMessage(const Directory& directory,
                                      TimePoint now) {
  wire::Directory message;
  for (const auto& [address, backend] : directory.backends) {
    wire::BackendRecord& record = *message.add_records();
    *record.mutable_announcement() = backend.announcement;
    record.set_data_centre(backend.data_centre);
    record.set_age_ms(static_cast<std::uint32_t>(
        MillisecondsBetween(backend.announced_at, now)));
  }
  return message;
}

bool IsUsable(const Directory& directory, const Backend& backend,
              const std::string& service, TimePoint now) {
  const bool lease_valid = now - backend.announced_at <= directory.lease;
  const bool recently_succeeded =
      backend.last_success.time_since_epoch().count() != 0 &&
      now - backend.last_success <= directory.lease &&
      backend.last_success > backend.last_failure;
  return backend.announcement.service() == service &&
         backend.announcement.phase() == wire::READY &&
         (lease_valid || recently_succeeded);
}

std::vector<const Backend*> FindCandidates(const Directory& directory,
                                           const Rules& rules,
                                           const std::string& service,
                                           TimePoint now) {
  std::vector<const Backend*> usable;
  std::vector<const Backend*> lapsed;
  for (const auto& [address, backend] : directory.backends) {
    if (!AcceptsNewRequests(rules, backend, service)) {
      continue;
    }
    const bool is_usable = IsUsable(directory, backend, service, now);
    (is_usable ? usable : lapsed).push_back(&backend);
  }
  return usable.empty() ? lapsed : usable;
}

}  // namespace filbertwall
