#include "Shell/ControlStore.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace filbertwall {
namespace {

constexpr char kLogName[] = "/control.log";
constexpr char kLockName[] = "/lock";
constexpr std::size_t kReadBytes = 1U << 16U;
constexpr std::size_t kMinLogBytes = 64UL * 1024UL;
constexpr std::size_t kLogGrowthFactor = 4;

bool WriteAll(int fd, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        write(fd, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads `length` bytes at `offset`; fewer at the end or after an error.
std::string ReadAt(int fd, std::size_t offset, std::size_t length) {
  std::string bytes(length, '\0');
  std::size_t filled = 0;
  while (filled < length) {
    const ssize_t count = pread(fd, bytes.data() + filled, length - filled,
                                static_cast<off_t>(offset + filled));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    filled += static_cast<std::size_t>(count);
  }
  bytes.resize(filled);
  return bytes;
}

/// Reads a file in long parts and keeps the last one, so that the many short
/// records of a log take few system calls.
class BufferedFile {
 public:
  explicit BufferedFile(int file) : fd(file) {}

  /// Returns the bytes at `offset`, fewer at the end or after an error.
  std::string Read(std::size_t offset, std::size_t length) {
    const bool buffered = offset >= this->begin &&
                          offset + length <= this->begin + this->bytes.size();
    if (!buffered) {
      this->begin = offset;
      this->bytes = ReadAt(this->fd, offset, std::max(length, kReadBytes));
    }
    return this->bytes.substr(offset - this->begin, length);
  }

 private:
  int fd;
  std::size_t begin = 0;
  std::string bytes;
};

bool SyncFolder(const std::string& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return false;
  }
  const bool synced = fsync(fd) == 0;
  close(fd);
  return synced;
}

StoreFailure MakeFailure(StoreError error, const std::string& what) {
  return StoreFailure{.error = error,
                      .detail = what + ": " + std::strerror(errno)};
}

/// Writes `bytes` to a temporary file beside `path`, syncs it and renames it to
/// `path`. Returns the descriptor of the new file, opened for appending.
/// Removes the temporary file when it fails, as it would take the room that is
/// missing.
StoreResult<int> ReplaceFile(const std::string& path,
                             const std::string& bytes) {
  const std::string temporary = path + ".new";
  const int fd = open(temporary.c_str(),
                      O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
                      S_IRUSR | S_IWUSR);
  if (fd < 0) {
    return MakeFailure(StoreError::kOpenFailed, temporary);
  }
  const bool written = WriteAll(fd, bytes);
  if (!written || fsync(fd) != 0 ||
      rename(temporary.c_str(), path.c_str()) != 0) {
    StoreFailure failure = MakeFailure(
        written ? StoreError::kSyncFailed : StoreError::kWriteFailed,
        temporary);
    close(fd);
    unlink(temporary.c_str());
    return failure;
  }
  const std::string folder = std::filesystem::path(path).parent_path();
  if (!SyncFolder(folder)) {
    StoreFailure failure = MakeFailure(StoreError::kSyncFailed, folder);
    close(fd);
    return failure;
  }
  return fd;
}

}  // namespace

ControlStore::~ControlStore() {
  if (this->fd >= 0) {
    close(this->fd);
  }
  if (this->lock_fd >= 0) {
    close(this->lock_fd);
  }
}

StoreResult<void> ControlStore::Fail(StoreError error,
                                     const std::string& what) {
  this->failed = true;
  return MakeFailure(error, what);
}

StoreResult<LogContents> ControlStore::Open(const std::string& path) {
  std::vector<wire::DurableRecord> records;
  auto contents = this->Open(path, [&](wire::DurableRecord&& record) {
    records.push_back(std::move(record));
  });
  if (contents) {
    contents.value().records = std::move(records);
  }
  return contents;
}

StoreResult<void> ControlStore::Lock() {
  const std::string lock = this->folder + kLockName;
  this->lock_fd =
      open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (this->lock_fd < 0) {
    return MakeFailure(StoreError::kOpenFailed, lock);
  }
  if (flock(this->lock_fd, LOCK_EX | LOCK_NB) != 0) {
    return MakeFailure(StoreError::kLocked,
                       lock + " is locked by another process");
  }
  return boost::outcome_v2::success();
}

StoreResult<LogContents> ControlStore::Open(const std::string& path,
                                            const RecordVisitor& visit) {
  this->folder = path;
  if (const auto locked = this->Lock(); !locked) {
    return locked.error();
  }
  const std::string log = path + kLogName;
  this->fd = open(log.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC,
                  S_IRUSR | S_IWUSR);
  struct stat status {};
  if (this->fd < 0 || fstat(this->fd, &status) != 0) {
    return MakeFailure(StoreError::kOpenFailed, log);
  }
  bool read_failed = false;
  BufferedFile file(this->fd);
  const LogInput input{.size = static_cast<std::size_t>(status.st_size),
                       .read = [&](std::size_t offset, std::size_t length) {
                         std::string bytes = file.Read(offset, length);
                         read_failed = read_failed || bytes.size() != length;
                         return bytes;
                       }};
  auto contents = DecodeRecords(input, visit);
  if (read_failed) {
    return MakeFailure(StoreError::kReadFailed, log);
  }
  if (!contents) {
    return contents.error();
  }
  const auto valid = static_cast<off_t>(contents.value().valid_bytes);
  if (ftruncate(this->fd, valid) != 0 || fsync(this->fd) != 0 ||
      !SyncFolder(path)) {
    return MakeFailure(StoreError::kSyncFailed, log);
  }
  this->bytes = contents.value().valid_bytes;
  this->snapshot_bytes = 0;
  return contents;
}

StoreResult<void> ControlStore::Append(const wire::DurableRecord& record) {
  if (this->failed) {
    return MakeFailure(StoreError::kWriteFailed,
                       "an earlier write or sync of the control log failed");
  }
  const std::string encoded = EncodeRecord(record);
  if (encoded.size() - kRecordHeaderBytes > kMaxRecordBytes) {
    return StoreFailure{.error = StoreError::kTooLarge,
                        .detail = "a record for the control log is too long"};
  }
  if (!WriteAll(this->fd, encoded)) {
    return this->Fail(StoreError::kWriteFailed, this->folder + kLogName);
  }
  if (fdatasync(this->fd) != 0) {
    return this->Fail(StoreError::kSyncFailed, this->folder + kLogName);
  }
  this->bytes += encoded.size();
  return boost::outcome_v2::success();
}

bool ControlStore::NeedsSnapshot() const {
  return this->bytes > kMinLogBytes + this->snapshot_bytes * kLogGrowthFactor;
}

StoreResult<void> ControlStore::Replace(const wire::DurableRecord& snapshot) {
  if (this->failed) {
    return MakeFailure(StoreError::kWriteFailed,
                       "an earlier write or sync of the control log failed");
  }
  const std::string encoded = EncodeRecord(snapshot);
  auto replaced = ReplaceFile(this->folder + kLogName, encoded);
  if (!replaced) {
    this->failed = true;
    return replaced.error();
  }
  close(this->fd);
  this->fd = replaced.value();
  this->bytes = encoded.size();
  this->snapshot_bytes = encoded.size();
  return boost::outcome_v2::success();
}

StoreResult<void> SaveFile(const std::string& path, const std::string& bytes) {
  auto replaced = ReplaceFile(path, bytes);
  if (!replaced) {
    return replaced.error();
  }
  close(replaced.value());
  return boost::outcome_v2::success();
}

StoreResult<std::string> LoadFile(const std::string& path) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    return MakeFailure(StoreError::kOpenFailed, path);
  }
  std::string bytes;
  std::string chunk(1U << 16U, '\0');
  while (true) {
    const ssize_t count = read(fd, chunk.data(), chunk.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      close(fd);
      return MakeFailure(StoreError::kReadFailed, path);
    }
    if (count == 0) {
      close(fd);
      return bytes;
    }
    bytes.append(chunk, 0, static_cast<std::size_t>(count));
  }
}

}  // namespace filbertwall
