#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Wire/registry.pb.h"

/// What an instance knows of backend servers that tell their id and
/// incarnation.
///
/// Records merge in any order to the same result: a later incarnation goes
/// before an earlier one, then a later sequence; an incarnation that is gone
/// stays gone. Plain state and pure functions; not thread safe.
namespace filbertwall {

/// One backend server, by its latest incarnation.
struct Server {
  wire::ServerRecord record;
  TimePoint stated_at;       ///< When this instance took the record.
  TimePoint heard_at;        ///< Its last report to any control instance.
  TimePoint reported_at;     ///< Its last report to this control instance.
  std::uint64_t change = 0;  ///< The registry's change that took the record.
};

struct Registry {
  std::map<std::string, Server> servers;  ///< By id.
  std::uint64_t change = 0;  ///< Rises with each record that is taken.
  /// Each server's id by its `change`, so that what is new is found without a
  /// look at the others.
  std::map<std::uint64_t, std::string> ids_by_change;
};

/// Records in the order in which they were taken.
struct RecordBatch {
  std::vector<wire::ServerRecord> records;
  std::uint64_t change = 0;  ///< All up to it are in this or earlier batches.
  bool complete = true;      ///< There are no later ones.
};

/// What a record lacks; empty when it may be used.
std::string CheckRecord(const wire::ServerRecord& record);

/// Takes a record. False when it says nothing new; then only `heard_at` moves.
/// Precondition: `CheckRecord` is empty.
bool MergeRecord(Registry& registry, const wire::ServerRecord& record,
                 TimePoint now);

/// Notes that a server reported to another control instance.
void NoteHeard(Registry& registry, const std::string& id, TimePoint now);

/// Notes whether a server fails its callers. Unknown ids are left out.
void SetFailing(Registry& registry, const std::string& id, bool failing);

/// Gives a record of another writer the judgement of this instance: servers and
/// other control instances do not decide here whether a server fails.
void KeepJudgement(const Registry& registry, wire::ServerRecord& record);

/// Marks servers that nobody has heard for `limit`. Gives how many.
std::size_t MarkSilent(Registry& registry, Milliseconds limit, TimePoint now);

/// Forgets those that have been gone or silent for `limit`.
void ForgetGone(Registry& registry, Milliseconds limit, TimePoint now);

/// The first `most` records that were taken after `change`, with the warm-up
/// time that is left now.
RecordBatch RecordsAfter(const Registry& registry, std::uint64_t change,
                         std::size_t most, TimePoint now);

}  // namespace filbertwall
