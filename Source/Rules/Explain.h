#pragma once

#include <string>
#include <vector>

#include "Rules/Rules.h"

/// Says which lines of the rules are in force for a subject, and whose.
namespace filbertwall {

struct Explanation {
  bool found = false;
  std::string text;  ///< Ends with a newline.
};

/// `subject` is HOST METHOD PATH, or IP:PORT of a flow. Pure.
Explanation Explain(const Rules& rules,
                    const std::vector<std::string>& subject);

}  // namespace filbertwall
