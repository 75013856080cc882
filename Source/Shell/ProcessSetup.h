#pragma once

/// Signals and descriptors of a process that runs an instance.
namespace filbertwall {

/// Prepares the process so that neither a signal that it has no handler for yet
/// nor a failed write ends it. Ignores SIGHUP until a loop handles it, and
/// SIGPIPE and SIGXFSZ for good: the write then fails instead. Opens /dev/null
/// as each standard stream that is closed, because the next file that is opened
/// would otherwise receive the log. Must be called once, before anything else,
/// on the only thread.
void PrepareProcess();

/// Blocks SIGTERM, SIGINT and SIGHUP. Called once the graceful stop has ended,
/// so that the process ends with its own status.
void BlockStopSignals();

}  // namespace filbertwall
