#pragma once

/// Exit codes of the program, documented in docs/operators.md.
namespace filbertwall {

enum ExitCode {
  kExitSuccess = 0,
  kExitUsage = 2,
  kExitFindings = 3,
  kExitRefused = 4,
  kExitUnknownOutcome = 5,
  kExitUnreachable = 6,
  kExitNetwork = 7,
  kExitDisk = 8,
};

}  // namespace filbertwall
