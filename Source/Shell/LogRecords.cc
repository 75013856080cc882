#include "Shell/LogRecords.h"

#include <algorithm>
#include <cstring>
#include <string_view>

#include "Base/Hash.h"
#include "Shell/EndReport.h"

namespace filbertwall {
namespace {

/// Disks write sectors of at least this size whole or not at all.
constexpr std::size_t kSectorBytes = 512;
constexpr std::size_t kReadBytes = 1U << 16U;

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

}  // namespace

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

}  // namespace filbertwall
