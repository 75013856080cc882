#pragma once

#include <string>
#include <vector>

/// Diagnostics about the operator's input files.
namespace filbertwall {

/// One error in an input file: the rejected `text` and what was `expected` in
/// its place. `line` starts at 1; 0 stands for the whole file.
struct Finding {
  std::string file;
  int line = 0;
  std::string text;
  std::string expected;
};

/// Returns `FILE:LINE: error: "TEXT": expected EXPECTED`.
std::string FormatFinding(const Finding& finding);

/// Returns the formatted findings, each followed by a newline.
std::string FormatFindings(const std::vector<Finding>& findings);

}  // namespace filbertwall
