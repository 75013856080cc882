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
constexpr std::uint32_t kMaxRecordBytes = 256U << 20U;
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
StoreResult<int> ReplaceFile(const std::string& path,
                             const std::string& bytes) {
  const std::string temporary = path + ".new";
  const int fd = open(temporary.c_str(),
                      O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
                      S_IRUSR | S_IWUSR);
  if (fd < 0) {
    return MakeFailure(StoreError::kOpenFailed, temporary);
  }
  if (!WriteAll(fd, bytes)) {
    close(fd);
    return MakeFailure(StoreError::kWriteFailed, temporary);
  }
  const std::string folder = std::filesystem::path(path).parent_path();
  if (fsync(fd) != 0 || rename(temporary.c_str(), path.c_str()) != 0 ||
      !SyncFolder(folder)) {
    close(fd);
    return MakeFailure(StoreError::kSyncFailed, temporary);
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
  const InputMark mark(InputKind::kStoredFile, bytes.size());
  LogContents contents;
  const std::string_view view = bytes;
  std::size_t offset = 0;
  const auto corrupt = [&](const std::string& what) {
    return StoreFailure{.error = StoreError::kCorrupt,
                        .detail = what + " at byte " + std::to_string(offset)};
  };
  while (offset < bytes.size()) {
    const std::string_view rest = view.substr(offset);
    if (rest.size() < kRecordHeaderBytes || IsAllZeros(rest)) {
      contents.tail_truncated = true;
      break;
    }
    const RecordHeader header = ReadRecordHeader(rest.data());
    if (header.length_check != ComputeLengthCheck(header.length) ||
        header.length > kMaxRecordBytes) {
      return corrupt("invalid length check of a record");
    }
    if (rest.size() - kRecordHeaderBytes < header.length) {
      contents.tail_truncated = true;
      break;
    }
    const std::string_view body =
        rest.substr(kRecordHeaderBytes, header.length);
    wire::DurableRecord record;
    const bool valid =
        Hash64(body) == header.checksum &&
        record.ParseFromArray(body.data(), static_cast<int>(body.size()));
    if (!valid) {
      // A zero-filled second half means that the write was interrupted.
      const std::size_t second_half = kRecordHeaderBytes + header.length / 2;
      const bool last = rest.size() == kRecordHeaderBytes + header.length;
      if (last && IsAllZeros(rest.substr(second_half))) {
        contents.tail_truncated = true;
        break;
      }
      return corrupt("invalid checksum of a record");
    }
    contents.records.push_back(std::move(record));
    offset += kRecordHeaderBytes + header.length;
  }
  contents.valid_bytes = offset;
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
  this->folder = path;
  const std::string lock = path + kLockName;
  this->lock_fd =
      open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (this->lock_fd < 0) {
    return MakeFailure(StoreError::kOpenFailed, lock);
  }
  if (flock(this->lock_fd, LOCK_EX | LOCK_NB) != 0) {
    return MakeFailure(StoreError::kLocked,
                       lock + " is locked by another process");
  }
  const std::string log = path + kLogName;
  std::string bytes;
  if (std::filesystem::exists(log)) {
    auto loaded = LoadFile(log);
    if (!loaded) {
      return loaded.error();
    }
    bytes = std::move(loaded.value());
  }
  auto contents = DecodeLog(bytes);
  if (!contents) {
    return contents.error();
  }
  this->fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  S_IRUSR | S_IWUSR);
  if (this->fd < 0) {
    return MakeFailure(StoreError::kOpenFailed, log);
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
