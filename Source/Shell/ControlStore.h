#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "Wire/wire.pb.h"

/// The control log on disk: framed records with length and checksum.
namespace filbertwall {

enum class StoreError {
  kOpenFailed,
  kReadFailed,
  kCorrupt,
  kWriteFailed,
  kSyncFailed,
  kLocked,
};

struct StoreFailure {
  StoreError error = StoreError::kOpenFailed;
  std::string detail;
};

template <typename Value>
using StoreResult =
    boost::outcome_v2::basic_result<Value, StoreFailure,
                                    boost::outcome_v2::policy::all_narrow>;

/// What a log file held.
struct LogContents {
  std::vector<wire::DurableRecord> records;
  std::size_t valid_bytes = 0;
  bool tail_cut = false;  ///< A torn last record was left out.
};

/// Decodes a log. A torn tail (cut short, or zero to its end) is left out; any
/// other fault is kCorrupt, with the offset. Pure.
StoreResult<LogContents> DecodeLog(const std::string& bytes);

std::string EncodeRecord(const wire::DurableRecord& record);

/// Owns the log file of one data folder. After any failed write or sync it
/// refuses all further work: what reached the disk is then unknown. Not thread
/// safe.
class ControlStore {
 public:
  ControlStore() = default;
  ~ControlStore();
  ControlStore(const ControlStore&) = delete;
  ControlStore& operator=(const ControlStore&) = delete;

  /// Opens or creates the log, cuts a torn tail, and locks the folder against a
  /// second process.
  StoreResult<LogContents> Open(const std::string& folder);

  /// Appends and syncs; only then may the record be relied on.
  StoreResult<void> Append(const wire::DurableRecord& record);

  /// Whether the log has grown enough to be worth replacing.
  bool WantsSnapshot() const;

  /// Replaces the whole log by one record, atomically.
  StoreResult<void> Replace(const wire::DurableRecord& full);

 private:
  StoreResult<void> Fail(StoreError error, const std::string& what);

  std::string folder;
  int fd = -1;
  int lock_fd = -1;
  bool failed = false;
  std::size_t bytes = 0;
  std::size_t snapshot_bytes = 0;
};

/// Reads and writes single-message files (rules saved by an instance that is
/// not a control instance), atomically and synced.
StoreResult<void> SaveFile(const std::string& path, const std::string& bytes);
StoreResult<std::string> LoadFile(const std::string& path);

}  // namespace filbertwall
