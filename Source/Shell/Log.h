#pragma once

#include <cstdint>

#include "Base/Event.h"

/// Numbered, structured log records on standard output, by Boost.Log.
namespace filbertwall {

/// Sets the format of this process's log. Call once, before the first record.
void StartLog(std::uint32_t instance);

/// Writes `time FW-NUMBER severity instance=ID text`. At most a fixed number of
/// records of one event a second are written; the rest are counted. Never
/// blocks: what a slow reader does not take is kept up to a limit, then lost
/// and counted. Not thread safe.
void WriteLog(const LogRecord& record);

/// Lines that were lost to a slow reader since the start.
std::uint64_t LogLinesLost();

}  // namespace filbertwall
