#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Wire/wire.pb.h"

/// The format of the control log: a sequence of records, each with a header
/// that holds its length and checksum. Pure functions; thread safe.
namespace filbertwall {

/// Bytes of a record's header: length, length check, body checksum.
inline constexpr std::size_t kRecordHeaderBytes = 16;
/// Maximum number of bytes of a record's body: more than the longest state,
/// with a rules file of the longest call.
inline constexpr std::uint32_t kMaxRecordBytes = 32U << 20U;

enum class StoreError {
  kOpenFailed,
  kReadFailed,
  kCorrupt,
  kTooLarge,  ///< A record is longer than any that is written.
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
  /// Empty if the records were passed to a `RecordVisitor`.
  std::vector<wire::DurableRecord> records;
  std::size_t valid_bytes = 0;
  bool tail_truncated = false;  ///< An incomplete last record was dropped.
};

/// Is passed the records of a log in the order in which they were written.
using RecordVisitor = std::function<void(wire::DurableRecord&&)>;

/// A log that is read in parts.
struct LogInput {
  std::size_t size = 0;
  /// Returns the bytes at `offset`, fewer if they can't be read.
  std::function<std::string(std::size_t offset, std::size_t length)> read;
};

/// Decodes a log. Drops a last record of which a loss of power has left a part:
/// it is cut short, or it is zero to its end or in whole sectors. Such a record
/// was never synced, as no later one was begun. Returns kCorrupt with the byte
/// offset for any other fault, and for every damaged record that a later one
/// follows. Has no side effects.
StoreResult<LogContents> DecodeLog(const std::string& bytes);

/// The same for a log that is read in parts. Passes the records to `visit`, so
/// that only the longest one needs memory.
StoreResult<LogContents> DecodeRecords(const LogInput& log,
                                       const RecordVisitor& visit);

/// Returns the record with its header, as it is written to the log.
std::string EncodeRecord(const wire::DurableRecord& record);

}  // namespace filbertwall
