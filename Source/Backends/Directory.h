#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Rules/Rules.h"
#include "Wire/wire.pb.h"

/// The backend servers that an instance knows, held by lease.
///
/// Plain state and pure functions; not thread safe.
namespace filbertwall {

struct Backend {
  Endpoint address;
  wire::Announcement announcement;
  std::string data_centre;
  TimePoint announced_at;  ///< By this instance's clock.
  TimePoint ready_since;
  std::uint32_t own_in_flight = 0;
  std::uint32_t own_when_announced = 0;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t refusals_in_row = 0;
  TimePoint full_until;  ///< It refused work for want of slots.
  TimePoint last_success;
  TimePoint last_failure;
};

struct Directory {
  std::string data_centre;
  Milliseconds lease{10000};
  std::map<Endpoint, Backend> backends;
  std::uint64_t digest = 0;      ///< Of all records; kept up to date.
  std::uint64_t generation = 0;  ///< Rises when usable ones may change.
};

/// What an announcement lacks; empty when it may be used.
std::string CheckAnnouncement(const wire::Announcement& announcement);

/// Takes an announcement made `age` ago. False when a later one is known, so
/// that late, doubled and reordered copies change nothing.
/// Precondition: `CheckAnnouncement` is empty.
bool TakeAnnouncement(Directory& directory, const wire::BackendRecord& record,
                      TimePoint now);

/// Forgets backend servers that were silent for several leases.
void ForgetSilent(Directory& directory, TimePoint now);

/// Part of the directory's digest, which is equal at instances that hold the
/// same services, phases and slots.
std::uint64_t DigestOf(const Backend& backend);

/// All records with their present age, for repair.
wire::Directory DirectoryMessage(const Directory& directory, TimePoint now);

/// Whether new work of the service may go there. A lapsed lease is outweighed
/// by this instance's own recent success.
bool IsUsable(const Directory& directory, const Backend& backend,
              const std::string& service, TimePoint now);

/// The usable ones; when there are none, those that are neither draining nor
/// known to be of another service, since trying beats refusing.
std::vector<const Backend*> CandidatesFor(const Directory& directory,
                                          const Rules& rules,
                                          const std::string& service,
                                          TimePoint now);

}  // namespace filbertwall
