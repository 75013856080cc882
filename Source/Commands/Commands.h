#pragma once

#include <string>
#include <vector>

#include "Base/ExitCode.h"

/// The subcommands of the `filbertwall` program.
namespace filbertwall {

/// Runs the subcommand that `arguments[0]` names.
int RunCommand(const std::string& program,
               const std::vector<std::string>& arguments);

}  // namespace filbertwall
