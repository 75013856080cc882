#pragma once

#include <cstdint>

#include "Base/Event.h"

/// Numbered, structured log records on standard output, written by Boost.Log.
namespace filbertwall {

/// Configures the log of this process. Must be called once, before the first
/// record.
void StartLog(std::uint32_t instance);

/// Writes `time FW-NUMBER severity instance=ID text`. The records of each event
/// are rate-limited per second; suppressed records are counted. Never blocks:
/// lines that a slow reader does not accept are queued up to a limit, then
/// dropped and counted. Not thread safe.
void WriteLog(const LogRecord& record);

/// Whether a record of the event would be written now. If not, it is counted as
/// suppressed, so that its text need not be made. Not thread safe.
bool AcceptsLog(EventId id);

/// Returns the number of lines dropped since the start because of a slow
/// reader.
std::uint64_t LogLinesLost();

}  // namespace filbertwall
