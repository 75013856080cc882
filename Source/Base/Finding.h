#pragma once

#include <string>
#include <vector>

/// Diagnostics about a file that an operator wrote.
namespace filbertwall {

/// One fault of an input file. `line` starts at 1; 0 means the whole file.
struct Finding {
  std::string file;
  int line = 0;
  std::string text;
  std::string expected;
};

/// Gives `FILE:LINE: error: "TEXT": expected EXPECTED`.
std::string FormatFinding(const Finding& finding);

/// All findings, one a line.
std::string FormatFindings(const std::vector<Finding>& findings);

}  // namespace filbertwall
