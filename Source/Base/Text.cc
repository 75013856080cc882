#include "Base/Text.h"

#include <strings.h>

#include <charconv>

namespace filbertwall {
namespace {

std::optional<unsigned> ParseHexDigit(char digit) {
  constexpr unsigned kTen = 10;
  if (digit >= '0' && digit <= '9') {
    return static_cast<unsigned>(digit - '0');
  }
  if (digit >= 'A' && digit <= 'F') {
    return static_cast<unsigned>(digit - 'A') + kTen;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::uint64_t> ParseNumber(std::string_view text,
                                         std::uint64_t min, std::uint64_t max) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed_end != end || value < min || value > max) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> ParseDecimal(std::string_view text, double min,
                                   double max) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  // Not a number is neither below nor above.
  const bool in_range = value >= min && value <= max;
  if (error != std::errc() || parsed_end != end || !in_range) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  constexpr std::uint64_t kMaxDurationMs = 3600UL * 1000UL;
  std::uint64_t unit_ms = 0;
  if (text.ends_with("ms")) {
    unit_ms = 1;
    text.remove_suffix(2);
  } else if (text.ends_with("s")) {
    unit_ms = 1000;
    text.remove_suffix(1);
  } else {
    return std::nullopt;
  }
  const auto count = ParseNumber(text, 0, kMaxDurationMs / unit_ms);
  if (!count) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*count * unit_ms);
}

std::vector<std::string> SplitWords(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r";
  std::vector<std::string> words;
  std::size_t start = text.find_first_not_of(kWhitespace);
  while (start != std::string_view::npos) {
    const std::size_t end =
        std::min(text.find_first_of(kWhitespace, start), text.size());
    words.emplace_back(text.substr(start, end - start));
    start = text.find_first_not_of(kWhitespace, end);
  }
  return words;
}

std::vector<std::string> SplitAt(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find(separator, start);
    if (end == std::string_view::npos) {
      parts.emplace_back(text.substr(start));
      return parts;
    }
    parts.emplace_back(text.substr(start, end - start));
    start = end + 1;
  }
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  const std::size_t start = text.find_first_not_of(kWhitespace);
  if (start == std::string_view::npos) {
    return {};
  }
  return text.substr(start, text.find_last_not_of(kWhitespace) - start + 1);
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool encoded = text[i] == '%' && i + 2 < text.size();
    const auto high = encoded ? ParseHexDigit(text[i + 1]) : std::nullopt;
    const auto low = encoded ? ParseHexDigit(text[i + 2]) : std::nullopt;
    if (high && low) {
      decoded += static_cast<char>(*high << 4U | *low);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace filbertwall
