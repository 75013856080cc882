#pragma once

#include <memory>
#include <string>

#include "Base/ExitCode.h"
#include "Settings/Settings.h"
#include "Shell/Keys.h"

/// The process of one instance: turns the world into events for its node, and
/// carries the node's effects out, on one loop and one thread.
namespace filbertwall {

enum class RunError { kNone, kNetwork, kDisk };

ExitCode ExitCodeOf(RunError error);

/// Runs until a graceful stop has ended. Precondition: the settings have no
/// findings; SIGTERM and SIGINT belong to this process alone.
RunError RunInstance(const Settings& settings, const KeyPair& keys);

/// Prepares a data folder as the first voter of a new cluster. Gives an error
/// text, empty on success; a folder with a log in it is an error.
std::string FormatFolder(const Settings& settings);

}  // namespace filbertwall
