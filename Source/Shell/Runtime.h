#pragma once

#include <memory>
#include <string>

#include "Base/ExitCode.h"
#include "Settings/Settings.h"
#include "Shell/Keys.h"

/// Runs one instance: passes messages, requests, packets, timer ticks and
/// signals to its node as events and executes the node's effects, on one event
/// loop and one thread.
namespace filbertwall {

enum class RunError { kNone, kNetwork, kDisk };

/// Returns the exit code of the process for the error.
ExitCode ExitCodeOf(RunError error);

/// Runs an instance until its graceful stop has ended. Precondition: the
/// settings have no findings, and no other code of this process handles SIGTERM
/// or SIGINT.
RunError RunInstance(const Settings& settings, const KeyPair& keys);

/// Initialises a data folder for the first voter of a new cluster. Returns an
/// error message, empty on success. A folder that already holds a control log
/// is an error.
std::string FormatDataFolder(const Settings& settings);

}  // namespace filbertwall
