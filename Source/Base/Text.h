#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Small parsers shared by the rules file, the settings and the HTTP headers.
namespace filbertwall {

/// Parses a decimal number within [min, max]; empty for anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view text,
                                         std::uint64_t min, std::uint64_t max);

/// Parses "250ms" or "2s". Empty for anything else, or beyond an hour.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Splits at runs of spaces and tabs.
std::vector<std::string> SplitWords(std::string_view text);

/// Splits at each `separator`; keeps empty parts.
std::vector<std::string> SplitAt(std::string_view text, char separator);

std::string_view Trim(std::string_view text);

/// Compares without regard to ASCII case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace filbertwall
