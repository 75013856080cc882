#include "Shell/ControlStore.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

#include "Base/Hash.h"
#include "Shell/EndReport.h"

namespace filbertwall {
namespace {

constexpr char kLogName[] = "/control.log";
constexpr char kLockName[] = "/lock";
constexpr std::size_t kRecordHeaderBytes =
    16;  // Length, length check, body checksum.
/// More than the longest state, with a rules file of the longest call.
constexpr std::uint32_t kMaxRecordBytes = 32U << 20U;
/// Disks write sectors of at least this size whole or not at all.
constexpr std::size_t kSectorBytes = 512;
constexpr std::size_t kReadBytes = 1U << 16U;
constexpr std::size_t kMinLogBytes = 64UL * 1024UL;
constexpr std::size_t kLogGrowthFactor = 4;

struct RecordHeader {
  std::uint32_t length = 0;
  std::uint32_t length_check = 0;
  std::uint64_t checksum = 0;
};

std::uint32_t ComputeLengthCheck(std::uint32_t length) {
  return static_cast<std::uint32_t>(MixHash(length, kRecordHeaderBytes));
}

RecordHeader ReadRecordHeader(const char* data) {
  RecordHeader header;
  std::memcpy(&header.length, data, 4);
  std::memcpy(&header.length_check, data + 4, 4);
  std::memcpy(&header.checksum, data + 8, 8);
  return header;
}

bool IsAllZeros(std::string_view bytes) {
  return bytes.find_first_not_of('\0') == std::string_view::npos;
}

bool IsIntact(const RecordHeader& header) {
  return header.length_check == ComputeLengthCheck(header.length);
}

/// A log that is read in parts.
struct LogInput {
  std::size_t size = 0;
  /// Returns the bytes at `offset`, fewer if they can't be read.
  std::function<std::string(std::size_t offset, std::size_t length)> read;
};

bool IsAllZeros(const LogInput& log, std::size_t begin, std::size_t end) {
  for (std::size_t at = begin; at < end; at += kReadBytes) {
    if (!IsAllZeros(log.read(at, std::min(kReadBytes, end - at)))) {
      return false;
    }
  }
  return true;
}

/// Returns whether an intact header begins at `begin` or behind it, i.e.
/// whether a record was begun after the one before `begin` had been synced.
bool HasLaterHeader(const LogInput& log, std::size_t begin) {
  for (std::size_t at = begin; at + kRecordHeaderBytes <= log.size;
       at += kReadBytes) {
    const std::string bytes =
        log.read(at, std::min(kReadBytes + kRecordHeaderBytes, log.size - at));
    for (std::size_t i = 0; i + kRecordHeaderBytes <= bytes.size(); ++i) {
      const RecordHeader header = ReadRecordHeader(bytes.data() + i);
      if (header.length != 0 && header.length <= kMaxRecordBytes &&
          IsIntact(header)) {
        return true;
      }
    }
  }
  return false;
}

/// Returns whether the bytes from `begin` to `end` lack a whole sector or their
/// end, as after a write that a loss of power has interrupted.
bool LacksSector(const LogInput& log, std::size_t begin, std::size_t end) {
  if (IsAllZeros(log, end - 1, end)) {
    return true;
  }
  for (std::size_t at = begin; at < end;) {
    const std::size_t next =
        std::min(end, (at / kSectorBytes + 1) * kSectorBytes);
    if (IsAllZeros(log, at, next)) {
      return true;
    }
    at = next;
  }
  return false;
}

enum class RecordState {
  kValid,
  kTorn,  ///< The write of the last record was interrupted.
  kDamagedHeader,
  kDamagedBody,
  kTooLarge,
  kUnreadable,  ///< The checksum is valid, but this build can't parse it.
};

/// Reads the record at `offset`. Sets `end` to the end of a valid one.
RecordState ReadRecord(const LogInput& log, std::size_t offset,
                       wire::DurableRecord& record, std::size_t& end) {
  const std::size_t rest = log.size - offset;
  if (rest < kRecordHeaderBytes) {
    return RecordState::kTorn;
  }
  const std::string head = log.read(offset, kRecordHeaderBytes);
  if (head.size() < kRecordHeaderBytes) {
    return RecordState::kDamagedHeader;
  }
  const RecordHeader header = ReadRecordHeader(head.data());
  if (!IsIntact(header)) {
    return LacksSector(log, offset, log.size) &&
                   !HasLaterHeader(log, offset + 1)
               ? RecordState::kTorn
               : RecordState::kDamagedHeader;
  }
  if (header.length > kMaxRecordBytes) {
    return RecordState::kTooLarge;
  }
  if (rest - kRecordHeaderBytes < header.length) {
    return RecordState::kTorn;
  }
  const std::size_t body_begin = offset + kRecordHeaderBytes;
  end = body_begin + header.length;
  const std::string body = log.read(body_begin, header.length);
  if (body.size() != header.length || Hash64(body) != header.checksum) {
    return IsAllZeros(log, end, log.size) && LacksSector(log, offset, end)
               ? RecordState::kTorn
               : RecordState::kDamagedBody;
  }
  return record.ParseFromString(body) ? RecordState::kValid
                                      : RecordState::kUnreadable;
}

StoreFailure MakeRecordFailure(RecordState state, std::size_t offset) {
  const std::string where = " at byte " + std::to_string(offset);
  switch (state) {
    case RecordState::kTooLarge:
      return {.error = StoreError::kTooLarge,
              .detail = "control log: a record is too long" + where};
    case RecordState::kUnreadable:
      return {.error = StoreError::kCorrupt,
              .detail = "control log: this build can't parse a record" + where};
    case RecordState::kDamagedBody:
      return {.error = StoreError::kCorrupt,
              .detail = "control log: invalid checksum of a record" + where};
    case RecordState::kDamagedHeader:
    case RecordState::kTorn:
    case RecordState::kValid:
      break;
  }
  return {.error = StoreError::kCorrupt,
          .detail = "control log: invalid length check of a record" + where};
}

/// Decodes a log. Passes its records to `visit`.
StoreResult<LogContents> DecodeRecords(const LogInput& log,
                                       const RecordVisitor& visit) {
  const InputMark mark(InputKind::kStoredFile, log.size);
  LogContents contents;
  std::size_t offset = 0;
  while (offset < log.size) {
    wire::DurableRecord record;
    std::size_t end = offset;
    const RecordState state = ReadRecord(log, offset, record, end);
    if (state == RecordState::kTorn) {
      contents.tail_truncated = true;
      break;
    }
    if (state != RecordState::kValid) {
      return MakeRecordFailure(state, offset);
    }
    visit(std::move(record));
    offset = end;
  }
  contents.valid_bytes = offset;
  return contents;
}

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

std::string EncodeRecord(const wire::DurableRecord& record) {
  const std::string body = record.SerializeAsString();
  const auto length = static_cast<std::uint32_t>(body.size());
  const std::uint32_t check = ComputeLengthCheck(length);
  const std::uint64_t checksum = Hash64(body);
  std::string bytes(kRecordHeaderBytes, '\0');
  std::memcpy(bytes.data(), &length, 4);
  std::memcpy(bytes.data() + 4, &check, 4);
  std::memcpy(bytes.data() + 8, &checksum, 8);
  return bytes + body;
}

StoreResult<LogContents> DecodeLog(const std::string& bytes) {
  const LogInput log{.size = bytes.size(),
                     .read = [&](std::size_t offset, std::size_t length) {
                       return bytes.substr(offset, length);
                     }};
  std::vector<wire::DurableRecord> records;
  auto contents = DecodeRecords(log, [&](wire::DurableRecord&& record) {
    records.push_back(std::move(record));
  });
  if (contents) {
    contents.value().records = std::move(records);
  }
  return contents;
}

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
