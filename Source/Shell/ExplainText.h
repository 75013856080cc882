#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

/// The answer of `ExplainAnswer.h` as text for operators. Pure functions;
/// thread safe.
namespace filbertwall {

/// Returns the text with a question mark for each ASCII control character, so
/// that it stays within its line on a terminal.
std::string ReplaceControls(std::string text);

/// Returns the text, with a line for each thing that plays a part, in the order
/// in which they do; empty when the document is not such an answer. Control
/// characters in names are replaced.
std::optional<std::string> FormatExplanationText(
    const nlohmann::json& document);

}  // namespace filbertwall
