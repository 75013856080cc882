#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Base/Finding.h"
#include "Rules/Rules.h"

/// Reads the rules file: one rule a line, each with a comment `# by: NAME`.
namespace filbertwall {

struct ParsedRules {
  Rules rules;
  std::vector<Finding> findings;  ///< Empty when the rules may be used.
};

/// Parses a whole file and reports every finding in it. Pure.
ParsedRules ParseRules(std::string_view text, const std::string& file_name);

}  // namespace filbertwall
