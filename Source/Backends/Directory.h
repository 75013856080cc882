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
/// Plain data and functions without hidden state; not thread safe.
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
  std::uint64_t digest = 0;      ///< XOR of the digests of all backends.
  std::uint64_t generation = 0;  ///< Rises when the candidates may change.
};

/// Validates an announcement. Returns an error message, or an empty string if
/// it is valid.
std::string CheckAnnouncement(const wire::Announcement& announcement);

/// Applies an announcement that is `record.age_ms()` old. Returns false and
/// changes nothing if one with the same or a later sequence number is known, as
/// with late, duplicate and reordered copies.
/// Precondition: `CheckAnnouncement` returns an empty string.
bool TakeAnnouncement(Directory& directory, const wire::BackendRecord& record,
                      TimePoint now);

/// Removes backend servers without an announcement for six leases. Keeps those
/// with requests of this instance in flight.
void ForgetSilent(Directory& directory, TimePoint now);

/// Returns the contribution of one server to `Directory::digest`. The digest is
/// equal at instances that hold the same servers with the same services, phases
/// and slots.
std::uint64_t ComputeDigest(const Backend& backend);

/// Returns all records with their current age, to synchronise an instance
/// whose directory differs.
wire::Directory DirectoryMessage(const Directory& directory, TimePoint now);

/// Returns whether the server accepts new requests of the service. A server
/// with a lapsed lease stays usable while this instance's last result there was
/// a success within the last lease time.
bool IsUsable(const Directory& directory, const Backend& backend,
              const std::string& service, TimePoint now);

/// Returns the usable servers of the service with a weight above 0. If there
/// are none, returns its READY servers with a lapsed lease, since an attempt at
/// them may still succeed.
std::vector<const Backend*> CandidatesFor(const Directory& directory,
                                          const Rules& rules,
                                          const std::string& service,
                                          TimePoint now);

}  // namespace filbertwall
