#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Text parsing helpers for the rules file, the settings and HTTP headers.
namespace filbertwall {

/// Parses a decimal number within [min, max]. Returns nullopt for any other
/// text.
std::optional<std::uint64_t> ParseNumber(std::string_view text,
                                         std::uint64_t min, std::uint64_t max);

/// Parses a decimal number, also with a fraction or an exponent, within
/// [min, max]. Returns nullopt for any other text.
std::optional<double> ParseDecimal(std::string_view text, double min,
                                   double max);

/// Parses a duration such as "250ms" or "2s". Returns nullopt for any other
/// text and for more than an hour.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Splits at runs of spaces, tabs and carriage returns; returns no empty words.
std::vector<std::string> SplitWords(std::string_view text);

/// Splits at each `separator`; keeps empty parts, so that the result has at
/// least one.
std::vector<std::string> SplitAt(std::string_view text, char separator);

/// Removes spaces, tabs and line breaks from both ends.
std::string_view Trim(std::string_view text);

/// Replaces each percent sign that two upper-case hexadecimal digits follow by
/// the byte that they name (RFC 3986). Any other percent sign is kept.
std::string PercentDecode(std::string_view text);

/// Compares two texts, ignoring ASCII case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace filbertwall
