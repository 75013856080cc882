#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Base/Finding.h"
#include "Rules/Rules.h"

/// Parser for the rules file, which has one rule per line, each with a comment
/// `# by: NAME`. See docs/rules.md.
namespace filbertwall {

struct ParsedRules {
  Rules rules;
  std::vector<Finding> findings;  ///< Empty if the rules are valid.
};

/// Parses a whole file and reports every finding in it. `file_name` is for
/// diagnostics. Pure.
ParsedRules ParseRules(std::string_view text, const std::string& file_name);

}  // namespace filbertwall
