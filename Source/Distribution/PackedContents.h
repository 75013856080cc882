#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Base/Time.h"
#include "Distribution/RouteHistory.h"
#include "Registry/Registry.h"
#include "Wire/distribution.pb.h"

/// Cache of update contents that are serialized and compressed once and sent
/// to many receivers.
///
/// Without the cache, hundreds of instances that start at the same time would
/// each cause every route and every backend server record to be serialized and
/// compressed again. Plain state and pure functions; not thread safe.
namespace filbertwall {

/// A packed batch of server records, shared by all receivers that have seen the
/// same registry change.
struct PackedRecords {
  std::string bytes;
  /// Every record up to this change is in this batch or an earlier one.
  std::uint64_t change = 0;
  bool complete = true;             ///< No records follow this batch.
  std::uint64_t newest_change = 0;  ///< `Registry::change` at packing time.
  TimePoint packed_at;
};

struct PackedContents {
  std::uint64_t rules_version = 0;  ///< Version that `routes` update to.
  /// Packed route updates by the receiver's version.
  std::map<std::uint64_t, std::string> routes;
  /// Packed records by the last registry change that the receiver has.
  std::map<std::uint64_t, PackedRecords> records;
};

/// Returns the packed result of `RoutesSince` for a receiver with version
/// `base`; empty when the receiver is up to date. The reference is valid until
/// the next call.
const std::string& PackRoutesSince(PackedContents& packed,
                                   const RouteHistory& history,
                                   std::uint64_t base);

/// Returns the packed result of `RecordsAfter` with at most `max_records`
/// records. The reference is valid until the next call.
const PackedRecords& PackRecordsAfter(PackedContents& packed,
                                      const Registry& registry,
                                      std::uint64_t change,
                                      std::size_t max_records, TimePoint now);

/// Replaces the packed fields of an update by the routes and records that they
/// contain. Returns false when a field cannot be decoded; the update then
/// contains neither routes nor records.
bool Unpack(wire::Update& update);

}  // namespace filbertwall
