#pragma once

#include <string>
#include <vector>

#include "Base/ExitCode.h"

/// The subcommands of the `filbertwall` command line.
namespace filbertwall {

/// Runs the subcommand `arguments[0]` and returns the exit code of the process.
/// `program` is the name shown in usage messages.
int RunCommand(const std::string& program,
               const std::vector<std::string>& arguments);

}  // namespace filbertwall
