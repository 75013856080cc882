#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Base/Time.h"
#include "Distribution/ReceivedRecords.h"
#include "Distribution/RouteHistory.h"
#include "Registry/Registry.h"
#include "Wire/distribution.pb.h"

/// Cache of the serialized and compressed routes and server records that are
/// sent to other instances in updates.
///
/// Without the cache, every route and every backend server record would be
/// serialized and compressed once per receiver, for example for each of
/// hundreds of instances that start at the same time. Plain state and pure
/// functions; not thread safe.
namespace filbertwall {

/// A packed batch of server records, shared by all receivers that already have
/// the records up to the same change number.
struct PackedRecords {
  std::string bytes;
  /// Number of the last registry change that this batch covers. The next batch
  /// starts after it.
  std::uint64_t change = 0;
  bool complete = true;  ///< This is the last batch.
  /// `Registry::change` at packing time. The batch is outdated when it differs.
  std::uint64_t registry_change = 0;
  TimePoint packed_at;
};

struct PackedContents {
  /// The rules version to which the updates in `routes` lead.
  std::uint64_t rules_version = 0;
  /// Packed route updates by the rules version that the receiver has; 0 for the
  /// update with every route.
  std::map<std::uint64_t, std::string> routes;
  /// Packed batches by the number of the last registry change that the receiver
  /// has.
  std::map<std::uint64_t, PackedRecords> records;
};

/// Returns the packed result of `RoutesSince` for a receiver with rules version
/// `base`; empty when the receiver is up to date. The reference is valid until
/// the next call.
const std::string& PackRoutesSince(PackedContents& packed,
                                   const RouteHistory& history,
                                   std::uint64_t base);

/// Returns the packed result of `RecordsAfter` for a receiver that has the
/// records up to change number `change`. Records that are not valid are left
/// out: an earlier build cannot parse an update that holds one. The reference
/// is valid until the next call.
const PackedRecords& PackRecordsAfter(PackedContents& packed,
                                      const Registry& registry,
                                      std::uint64_t change,
                                      std::size_t max_records, TimePoint now);

/// Decodes the packed fields of an update into its routes and records and
/// clears the packed fields. Returns false when a field cannot be decoded; what
/// it would have held is then missing, and the rest of the update is kept. When
/// this is the field of the records, the update no longer states a position in
/// the registry, since the receiver still lacks them.
bool UnpackUpdate(wire::Update& update);

/// Unpacks a received update and removes what cannot be used, so that the rest
/// can be relied on. Returns what was set aside.
SetAsideRecords ReadUpdate(wire::Update& update);

}  // namespace filbertwall
