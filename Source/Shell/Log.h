#pragma once

#include <cstdint>

#include "Base/Event.h"

/// Numbered, structured log records on standard error, by Boost.Log.
namespace filbertwall {

/// Sets the format of this process's log. Call once, before the first record.
void StartLog(std::uint32_t instance);

/// Writes `time FW-NUMBER severity instance text`. At most a fixed number of
/// records of one event a second are written; the rest are counted. Not thread
/// safe.
void WriteLog(const LogRecord& record);

}  // namespace filbertwall
