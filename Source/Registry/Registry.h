#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Wire/registry.pb.h"

/// The backend servers known to an instance, each by its id and incarnation.
///
/// Merging records gives the same result in any order: the later incarnation
/// takes precedence, then the higher sequence number. An incarnation whose
/// phase is `SERVER_GONE` never leaves that phase. Plain state and pure
/// functions; not thread safe.
namespace filbertwall {

/// The latest incarnation of a backend server.
struct Server {
  wire::ServerRecord record;
  TimePoint updated_at;      ///< When the record was last replaced.
  TimePoint heard_at;        ///< Last report to any control instance.
  TimePoint reported_at;     ///< Last report to this control instance.
  std::uint64_t change = 0;  ///< Registry change that last modified the record.
};

struct Registry {
  std::map<std::string, Server> servers;  ///< By id.
  std::uint64_t change = 0;  ///< Incremented with each change of a record.
  /// Server ids by `Server::change`. Finds the records after a given change
  /// without a scan of all servers.
  std::map<std::uint64_t, std::string> ids_by_change;
};

/// Records in the order of their last change.
struct RecordBatch {
  std::vector<wire::ServerRecord> records;
  /// Every record up to this change is in this batch or an earlier one.
  std::uint64_t change = 0;
  bool complete = true;  ///< No records follow this batch.
};

/// Returns a description of the first error in a record; empty when the record
/// is valid.
std::string CheckRecord(const wire::ServerRecord& record);

/// Merges a record. Returns false when nothing changes that other instances
/// must know; only `heard_at` and the sequence number may be updated then.
/// Precondition: `CheckRecord` returns an empty string.
bool MergeRecord(Registry& registry, const wire::ServerRecord& record,
                 TimePoint now);

/// Records that a server reported to another control instance.
void NoteHeard(Registry& registry, const std::string& id, TimePoint now);

/// Records whether a server fails requests of its callers. Ignores unknown ids.
void SetFailing(Registry& registry, const std::string& id, bool failing);

/// Sets `failing` of a received record to the value in this registry, or to
/// false when the registry has no record of the same incarnation. Each control
/// instance decides on its own whether a server is failing; the value that a
/// server or another control instance sent is ignored.
void KeepJudgement(const Registry& registry, wire::ServerRecord& record);

/// Marks servers as silent that have not reported to any control instance for
/// longer than `limit`. Returns the number of servers marked by this call.
std::size_t MarkSilent(Registry& registry, Milliseconds limit, TimePoint now);

/// Removes servers that have been gone or silent for longer than `limit`.
void ForgetGone(Registry& registry, Milliseconds limit, TimePoint now);

/// Returns the first `max_records` records that changed after `change`, with
/// the warm-up time that remains at `now`.
RecordBatch RecordsAfter(const Registry& registry, std::uint64_t change,
                         std::size_t max_records, TimePoint now);

}  // namespace filbertwall
