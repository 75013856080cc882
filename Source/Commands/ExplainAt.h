#pragma once

#include <string>
#include <vector>

/// The form of the `explain` command that asks a running entry instance.
namespace filbertwall {

/// Asks the instance whose metrics port is `instance`, and prints what it would
/// do with a flow to `words[0]` from the caller `words[1]`, which may be left
/// out; as JSON if `json`. Returns the exit code.
int RunExplainAt(const std::string& instance,
                 const std::vector<std::string>& words, bool json);

}  // namespace filbertwall
