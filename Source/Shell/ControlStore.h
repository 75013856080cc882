#pragma once

#include <string>

#include "Shell/LogRecords.h"

/// Stores the control log on disk.
namespace filbertwall {

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

  /// The same, but passes the records to `visit` instead of keeping them, so
  /// that a log of any size needs the memory of its longest record only.
  StoreResult<LogContents> Open(const std::string& folder,
                                const RecordVisitor& visit);

  /// Appends the record and syncs the log. The record is durable only after
  /// this function has returned success.
  StoreResult<void> Append(const wire::DurableRecord& record);

  /// Returns whether the log has grown so much since the last snapshot that
  /// the caller should replace it by a new one.
  bool NeedsSnapshot() const;

  /// Atomically replaces the whole log by a single snapshot record.
  StoreResult<void> Replace(const wire::DurableRecord& snapshot);

 private:
  StoreResult<void> Lock();
  /// Marks the store as failed and returns the error.
  StoreResult<void> Fail(StoreError error, const std::string& what);

  std::string folder;
  int fd = -1;
  int lock_fd = -1;
  bool failed = false;
  std::size_t bytes = 0;
  std::size_t snapshot_bytes = 0;
};

/// Writes a whole file atomically and syncs it. Leaves no temporary file when
/// it fails. Used for files outside the control log, such as saved rules and
/// the saved registry.
StoreResult<void> SaveFile(const std::string& path, const std::string& bytes);

/// Reads a whole file.
StoreResult<std::string> LoadFile(const std::string& path);

}  // namespace filbertwall
