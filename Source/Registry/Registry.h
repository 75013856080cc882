#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/InputError.h"
#include "Base/Time.h"
#include "Wire/registry.pb.h"

/// The backend servers known to an instance. Each start of a server is a new
/// incarnation with a higher number.
///
/// Merging records gives the same result in any order: the later incarnation
/// takes precedence, then the higher sequence number. An incarnation whose
/// phase is `SERVER_GONE` never leaves that phase. Plain state and pure
/// functions; not thread safe.
namespace filbertwall {

/// Limits on what a record holds.
/// A service is named by a word of the rules, which takes up to three bytes for
/// each byte of the name.
inline constexpr std::size_t kMaxServiceBytes = 600;
inline constexpr std::uint32_t kMaxServerSlots = 100000;
inline constexpr Milliseconds kMaxWarmup{std::chrono::hours(24)};
inline constexpr std::uint64_t kMaxSequence = INT64_MAX;
inline constexpr std::uint32_t kMaxSlownessPercent = 10000;
/// 2100-01-01T00:00:00Z in Unix milliseconds.
inline constexpr std::uint64_t kMaxIncarnation = 4102444800000;

/// The latest incarnation of a backend server.
struct Server {
  wire::ServerRecord record;
  TimePoint updated_at;   ///< When the record was last replaced.
  TimePoint heard_at;     ///< Last report to any control instance.
  TimePoint reported_at;  ///< Last report to this control instance.
  /// The report of `reported_at`. It names no id if there was none.
  wire::ServerRecord reported;
  /// Number of the registry change that last modified the record.
  std::uint64_t change = 0;
};

struct Registry {
  std::map<std::string, Server> servers;  ///< By id.
  /// Number of the latest change. Incremented whenever a record changes in a
  /// field that other instances must know.
  std::uint64_t change = 0;
  /// Server ids by `Server::change`: an index that finds the records modified
  /// after a given change.
  std::map<std::uint64_t, std::string> ids_by_change;
};

/// Records, ordered by the change that last modified them.
struct RecordBatch {
  std::vector<wire::ServerRecord> records;
  /// Number of the last change that this batch covers. The next batch starts
  /// after it.
  std::uint64_t change = 0;
  bool complete = true;  ///< This is the last batch.
};

/// What CheckServerName() accepts, in words.
inline constexpr char kServerNameSyntax[] =
    "1 to 200 bytes of UTF-8 without control characters";

/// Returns why a text cannot be the id or data centre of a server, or the name
/// of a service; nothing when it can.
std::optional<InputError> CheckServerName(std::string_view text);

/// Returns a description of the first error in a record; empty when the record
/// is valid. A valid record can be sent to any instance. Its service is a word
/// of the rules file, of up to 600 bytes. Its data centre may be empty; the
/// record of a server that is gone needs an id only.
std::string CheckServerRecord(const wire::ServerRecord& record);

/// Returns how a report contradicts another one of the same server and
/// incarnation; empty when it does not. Within an incarnation, the service,
/// address and data centre of a server do not change. Precondition: both are
/// valid and not `SERVER_GONE`.
std::string FindContradiction(const wire::ServerRecord& known,
                              const wire::ServerRecord& record);

/// Merges a record. Returns whether a field has changed that other instances
/// must know. If not, at most `heard_at` and the sequence number are updated.
/// A warm-up that starts anew, with clearly more time left than before, is such
/// a change. Within an incarnation a merge never shortens a warm-up.
/// Precondition: `CheckServerRecord` returns an empty string.
bool MergeServerRecord(Registry& registry, const wire::ServerRecord& record,
                       TimePoint now);

/// Starts the warm-up of a server anew, with `duration` left. Returns whether
/// that is a change; not when about as much time is left. Ignores unknown ids.
bool StartWarmup(Registry& registry, const std::string& id,
                 Milliseconds duration, TimePoint now);

/// Returns the warm-up time that a server has left.
Milliseconds RemainingWarmup(const Server& server, TimePoint now);

/// Records that a server reported to another control instance, and clears its
/// silent mark. Ignores unknown ids.
void UpdateLastHeard(Registry& registry, const std::string& id, TimePoint now);

/// Counts each server as heard at `heard_at` unless it was heard later.
void SetLastHeardAtLeast(Registry& registry, TimePoint heard_at);

/// Marks a server as failing or clears the mark. A server is failing when too
/// many of its flows fail. Ignores unknown ids.
void SetFailing(Registry& registry, const std::string& id, bool failing);

/// Sets how slow a server is, in percent of the usual time of work of its
/// service; 0: as usual. Ignores unknown ids.
void SetSlowness(Registry& registry, const std::string& id,
                 std::uint32_t percent);

/// Sets `failing` and `slowness_percent` of a received record to the values in
/// this registry, or to false and 0 when the registry has no record of the same
/// incarnation. Each control instance decides on its own whether a server is
/// failing or slow; the value that a server or another control instance sent is
/// ignored.
void PreserveFailingState(const Registry& registry, wire::ServerRecord& record);

/// Marks servers as silent that have not reported to any control instance for
/// longer than `limit`. Returns the number of servers marked by this call.
std::size_t MarkSilent(Registry& registry, Milliseconds limit, TimePoint now);

/// Removes servers that are gone or silent and whose last report or update is
/// older than `limit`.
void RemoveExpiredServers(Registry& registry, Milliseconds limit,
                          TimePoint now);

/// Returns the first `max_records` records that were modified after change
/// number `change`. Their warm-up time is the time that remains at `now`.
RecordBatch RecordsAfter(const Registry& registry, std::uint64_t change,
                         std::size_t max_records, TimePoint now);

}  // namespace filbertwall
