#include "Base/InputError.h"

namespace filbertwall {
namespace {

constexpr std::size_t kMaxExcerptBytes = 50;

/// Returns the length of the UTF-8 sequence at the start of `text`; 0 when it
/// is invalid. Precondition: `text` is not empty.
std::size_t Utf8SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t i) {
    return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
  };
  const auto continues = [&](std::size_t i) {
    return (byte(i) & 0xC0U) == 0x80U;
  };
  const unsigned first = byte(0);
  const unsigned second = byte(1);
  if (first < 0x80U) {
    return 1;
  }
  if (first >= 0xC2U && first <= 0xDFU) {
    return continues(1) ? 2 : 0;
  }
  if (first >= 0xE0U && first <= 0xEFU) {
    const bool overlong = first == 0xE0U && second < 0xA0U;
    const bool surrogate = first == 0xEDU && second > 0x9FU;
    return continues(1) && continues(2) && !overlong && !surrogate ? 3 : 0;
  }
  if (first >= 0xF0U && first <= 0xF4U) {
    const bool overlong = first == 0xF0U && second < 0x90U;
    const bool too_high = first == 0xF4U && second > 0x8FU;
    return continues(1) && continues(2) && continues(3) && !overlong &&
                   !too_high
               ? 4
               : 0;
  }
  return 0;
}

}  // namespace

const char* InputErrorName(InputError error) {
  switch (error) {
    case InputError::kTooLarge:
      return "too_large";
    case InputError::kTooDeep:
      return "too_deep";
    case InputError::kNotUtf8:
      return "not_utf8";
    case InputError::kNotReadable:
      return "not_readable";
    case InputError::kMissingField:
      return "missing_field";
    case InputError::kWrongType:
      return "wrong_type";
    case InputError::kOutOfRange:
      return "out_of_range";
    case InputError::kContradicts:
      return "contradicts";
  }
  return "";
}

std::string Excerpt(std::string_view input) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char character : input.substr(0, kMaxExcerptBytes)) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte >= 0x20U && byte < 0x7FU && byte != '\\') {
      text += character;
    } else {
      text += {'\\', 'x', kDigits[byte >> 4U], kDigits[byte & 0xFU]};
    }
  }
  return text;
}

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = Utf8SequenceLength(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace filbertwall
