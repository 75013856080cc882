#pragma once

#include <string>
#include <vector>

/// The subcommands of the `filbertwall` program.
namespace filbertwall {

/// Exit codes, as docs/commands.md lists them.
enum ExitCode {
  kExitSuccess = 0,
  kExitUsage = 2,
  kExitFindings = 3,
  kExitRefused = 4,
  kExitUnknown = 5,
  kExitUnreachable = 6,
  kExitNetwork = 7,
  kExitDisk = 8,
};

/// Runs the subcommand that `arguments[0]` names.
int RunCommand(const std::string& program,
               const std::vector<std::string>& arguments);

}  // namespace filbertwall
