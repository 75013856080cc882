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

/// Directory of the backend servers known to an instance. Each announcement
/// gives a server a lease, which its next announcement renews.
///
/// The functions keep no state outside their arguments. Not thread safe.
namespace filbertwall {

struct Backend {
  Endpoint address;
  wire::Announcement announcement;
  std::string data_centre;
  TimePoint announced_at;  ///< By this instance's clock.
  TimePoint ready_since;
  std::uint32_t own_in_flight = 0;  ///< Requests of this instance.
  /// Value of `own_in_flight` when the last announcement was applied.
  std::uint32_t own_in_flight_when_announced = 0;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_refusals = 0;
  TimePoint full_until;  ///< Treated as full after refusing a request.
  TimePoint last_success;
  TimePoint last_failure;
};

struct Directory {
  std::string data_centre;  ///< Of this instance.
  Milliseconds lease{10000};
  std::map<Endpoint, Backend> backends;
  /// XOR of `ComputeDigest` of all backends. Instances compare it to find out
  /// whether their directories differ.
  std::uint64_t digest = 0;
  /// Incremented when a server is added or removed, or changes its service,
  /// phase or slots; also by the owner when new rules may change the
  /// candidates.
  std::uint64_t generation = 0;
};

/// Validates an announcement. Returns an error message, or an empty string if
/// it is valid.
std::string CheckAnnouncement(const wire::Announcement& announcement);

/// Applies an announcement that the server sent `record.age_ms()` before `now`.
/// Late, duplicate and reordered copies are ignored: returns false and changes
/// nothing if an announcement of the server with the same or a later sequence
/// number is known.
/// Precondition: `CheckAnnouncement` returns an empty string.
bool ApplyAnnouncement(Directory& directory, const wire::BackendRecord& record,
                       TimePoint now);

/// Removes backend servers without an announcement for six leases. Keeps those
/// with requests of this instance in flight.
void RemoveExpiredBackends(Directory& directory, TimePoint now);

/// Returns a hash of the server's address, service, phase and slots. Instances
/// that know the same servers with the same values thus have the same
/// `Directory::digest`.
std::uint64_t ComputeDigest(const Backend& backend);

/// Returns the records of all servers with their age at `now`. They are sent to
/// an instance whose directory differs.
wire::Directory BuildDirectoryMessage(const Directory& directory,
                                      TimePoint now);

/// Returns whether the server announces the service as READY and has a valid
/// lease. A server whose lease has lapsed also counts as usable if this
/// instance's last attempt there succeeded, no longer ago than one lease.
bool IsUsable(const Directory& directory, const Backend& backend,
              const std::string& service, TimePoint now);

/// Returns the usable servers of the service with a weight above 0, except for
/// those in data centres that the rules evacuate. If there are none, returns
/// the READY servers with a lapsed lease and a weight above 0, with the same
/// exception, since an attempt there may still succeed.
std::vector<const Backend*> FindCandidates(const Directory& directory,
                                           const Rules& rules,
                                           const std::string& service,
                                           TimePoint now);

}  // namespace filbertwall
