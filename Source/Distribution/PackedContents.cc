#include "Distribution/PackedContents.h"

#include "Distribution/BoundedParse.h"
#include "Transport/Compression.h"

namespace filbertwall {
namespace {

/// Maximum age of packed records that are reused. The remaining warm-up time in
/// them becomes outdated.
constexpr Milliseconds kMaxRecordsAge{100};
/// Of the routes or records of one update. A route takes about 300 bytes, and a
/// config of 4 MiB has at most some 70,000.
constexpr std::size_t kMaxPackedMemory = 32U << 20U;
/// The first byte of packed contents gives their encoding.
constexpr char kPlain = 'p';
constexpr char kCompressed = 'c';

std::string PackBytes(const std::string& plain) {
  std::string compressed = Compress(plain);
  return compressed.empty() ? kPlain + plain : kCompressed + compressed;
}

std::optional<std::string> UnpackBytes(const std::string& bytes) {
  const std::string payload = bytes.substr(1);
  return bytes.front() == kCompressed ? Uncompress(payload) : payload;
}

bool UnpackRoutes(wire::Update& update, SetAsideRecords& records) {
  if (update.packed_routes().empty()) {
    return true;
  }
  const std::string packed = std::move(*update.mutable_packed_routes());
  update.clear_packed_routes();
  const auto plain = UnpackBytes(packed);
  if (plain &&
      ParseBounded(*update.mutable_routes(), *plain, kMaxPackedMemory)) {
    return true;
  }
  SetAside(records, InputError::kNotReadable, packed);
  update.clear_routes();
  return false;
}

bool UnpackRecords(wire::Update& update, SetAsideRecords& set_aside) {
  if (update.packed_servers().empty()) {
    return true;
  }
  const std::string packed = std::move(*update.mutable_packed_servers());
  update.clear_packed_servers();
  const auto plain = UnpackBytes(packed);
  wire::ServerRecords records;
  if (plain && ParseBounded(records, *plain, kMaxPackedMemory)) {
    update.mutable_servers()->MergeFrom(records.servers());
    return true;
  }
  SetAside(set_aside, InputError::kNotReadable, packed);
  update.clear_registry_epoch();
  update.clear_registry_from();
  update.clear_registry_change();
  return false;
}

}  // namespace

const std::string& PackRoutesSince(PackedContents& packed,
                                   const RouteHistory& history,
                                   std::uint64_t base) {
  const std::uint64_t newest =
      history.versions.empty() ? 0 : history.versions.rbegin()->first;
  if (packed.rules_version != newest) {
    packed.rules_version = newest;
    packed.routes.clear();
  }
  static const std::string kEmpty;
  if (base >= newest) {
    return kEmpty;
  }
  // Receivers whose version is not in the history get every route; this update
  // is cached under key 0.
  const std::uint64_t key = history.versions.contains(base) ? base : 0;
  const auto found = packed.routes.find(key);
  if (found != packed.routes.end()) {
    return found->second;
  }
  return packed.routes
      .emplace(key, PackBytes(RoutesSince(history, base).SerializeAsString()))
      .first->second;
}

const PackedRecords& PackRecordsAfter(PackedContents& packed,
                                      const Registry& registry,
                                      std::uint64_t change,
                                      std::size_t max_records, TimePoint now) {
  std::erase_if(packed.records, [&](const auto& item) {
    return item.second.registry_change != registry.change ||
           now - item.second.packed_at > kMaxRecordsAge;
  });
  const auto [position, added] = packed.records.try_emplace(change);
  PackedRecords& records = position->second;
  if (!added) {
    return records;
  }
  RecordBatch batch = RecordsAfter(registry, change, max_records, now);
  wire::ServerRecords message;
  for (wire::ServerRecord& record : batch.records) {
    if (!CheckReceivedServer(record)) {
      *message.add_servers() = std::move(record);
    }
  }
  records = PackedRecords{.change = batch.change,
                          .complete = batch.complete,
                          .registry_change = registry.change,
                          .packed_at = now};
  if (message.servers_size() > 0) {
    records.bytes = PackBytes(message.SerializeAsString());
  }
  return records;
}

bool UnpackUpdate(wire::Update& update) {
  SetAsideRecords records;
  const bool has_routes = UnpackRoutes(update, records);
  const bool has_records = UnpackRecords(update, records);
  return has_routes && has_records;
}

SetAsideRecords ReadUpdate(wire::Update& update) {
  SetAsideRecords records;
  UnpackRoutes(update, records);
  UnpackRecords(update, records);
  CheckUpdate(update, records);
  return records;
}

}  // namespace filbertwall
