#pragma once

#include <string>
#include <vector>

#include "Rules/Rules.h"

/// Reports which lines of the rules apply to a request or flow, and who
/// requested them.
namespace filbertwall {

struct Explanation {
  bool found = false;  ///< A service matches the subject.
  std::string text;    ///< Ends with a newline.
};

/// `subject` is HOST METHOD PATH of a request, or the destination IP:PORT of a
/// flow. Pure.
Explanation Explain(const Rules& rules,
                    const std::vector<std::string>& subject);

}  // namespace filbertwall
