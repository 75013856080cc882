#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Base/Time.h"
#include "Distribution/RouteHistory.h"
#include "Registry/Registry.h"
#include "Wire/distribution.pb.h"

/// Contents of updates, encoded and compressed once for all their receivers.
///
/// Load that it answers: hundreds of instances that start at the same moment
/// each ask for every route and every backend server. Plain state and pure
/// functions; not thread safe.
namespace filbertwall {

/// Records as they were packed for receivers that have the same.
struct PackedRecords {
  std::string bytes;
  std::uint64_t change = 0;  ///< All up to it are in this or earlier batches.
  bool complete = true;      ///< There are no later ones.
  std::uint64_t newest_change = 0;  ///< The registry's, when they were packed.
  TimePoint packed_at;
};

struct PackedContents {
  std::uint64_t rules_version = 0;                 ///< What `routes` lead to.
  std::map<std::uint64_t, std::string> routes;     ///< By base version.
  std::map<std::uint64_t, PackedRecords> records;  ///< By change of receiver.
};

/// What an instance with `base` lacks to have the newest rules, by
/// `RoutesSince`; empty when it lacks nothing. The result is valid until the
/// next call.
const std::string& PackRoutesSince(PackedContents& packed,
                                   const RouteHistory& history,
                                   std::uint64_t base);

/// The records after `change`, by `RecordsAfter`. The result is valid until the
/// next call.
const PackedRecords& PackRecordsAfter(PackedContents& packed,
                                      const Registry& registry,
                                      std::uint64_t change, std::size_t most,
                                      TimePoint now);

/// Puts the contents back where an update without packing has them. False when
/// they can't be read; the update then holds none.
bool Unpack(wire::Update& update);

}  // namespace filbertwall
