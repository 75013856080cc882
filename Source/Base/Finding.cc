#include "Base/Finding.h"

namespace filbertwall {

std::string FormatFinding(const Finding& finding) {
  return finding.file + ":" + std::to_string(finding.line) + ": error: \"" +
         finding.text + "\": expected " + finding.expected;
}

std::string FormatFindings(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += FormatFinding(finding) + "\n";
  }
  return text;
}

}  // namespace filbertwall
