#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "Wire/wire.pb.h"

/// Stores the control log on disk as a sequence of records, each with a header
/// that holds its length and checksum.
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

/// The decoded contents of a log file.
struct LogContents {
  std::vector<wire::DurableRecord> records;
  std::size_t valid_bytes = 0;
  bool tail_truncated = false;  ///< An incomplete last record was dropped.
};

/// Decodes a log. Drops a last record that is incomplete, either truncated or
/// zero-filled to its end. Returns kCorrupt with the byte offset for any other
/// fault. Has no side effects.
StoreResult<LogContents> DecodeLog(const std::string& bytes);

/// Returns the record with its header, as it is written to the log.
std::string EncodeRecord(const wire::DurableRecord& record);

/// Owns the log file of one data folder. After a failed write or sync, `Append`
/// and `Replace` return an error, because it is unknown which data reached the
/// disk. Not thread safe.
class ControlStore {
 public:
  ControlStore() = default;
  ~ControlStore();
  ControlStore(const ControlStore&) = delete;
  ControlStore& operator=(const ControlStore&) = delete;

  /// Opens or creates the log, truncates an incomplete last record, and locks
  /// the folder against other processes. Returns kLocked when another process
  /// holds the lock.
  StoreResult<LogContents> Open(const std::string& folder);

  /// Appends the record and syncs the log. The record is durable only after
  /// this function has returned success.
  StoreResult<void> Append(const wire::DurableRecord& record);

  /// Returns whether the log has grown so much since the last snapshot that
  /// the caller should replace it by a new one.
  bool NeedsSnapshot() const;

  /// Atomically replaces the whole log by a single snapshot record.
  StoreResult<void> Replace(const wire::DurableRecord& snapshot);

 private:
  /// Marks the store as failed and returns the error.
  StoreResult<void> Fail(StoreError error, const std::string& what);

  std::string folder;
  int fd = -1;
  int lock_fd = -1;
  bool failed = false;
  std::size_t bytes = 0;
  std::size_t snapshot_bytes = 0;
};

/// Writes a whole file atomically and syncs it. Used for files outside the
/// control log, such as saved rules and the saved registry.
StoreResult<void> SaveFile(const std::string& path, const std::string& bytes);

/// Reads a whole file.
StoreResult<std::string> LoadFile(const std::string& path);

}  // namespace filbertwall
