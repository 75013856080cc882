#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// Why input from outside (a call, a datagram, a stored file) is refused, and
/// how it is described in logs. Plain values and pure functions.
namespace filbertwall {

enum class InputError {
  kTooLarge,      ///< More bytes or values than are accepted.
  kTooDeep,       ///< Nested more deeply than is accepted.
  kNotUtf8,       ///< Text that is not UTF-8.
  kNotReadable,   ///< Not in the expected format, or cut short.
  kMissingField,  ///< A required field is missing.
  kWrongType,     ///< A field is of another type than expected.
  kOutOfRange,    ///< A number, name or address is outside its limits.
  kContradicts,   ///< Contradicts what is known of the same subject.
};
inline constexpr std::size_t kInputErrorCount = 8;

/// Returns the name used in logs and as a metric's label, such as "not_utf8".
const char* InputErrorName(InputError error);

/// Counts of refused input, by error.
struct InputErrorCounts {
  std::array<std::uint64_t, kInputErrorCount> counts{};

  void Add(InputError error) { this->counts[static_cast<int>(error)] += 1; }
  std::uint64_t Get(InputError error) const {
    return this->counts[static_cast<int>(error)];
  }
};

/// Returns the first bytes of an input as text for a log: bytes that are not
/// printable ASCII, and backslashes, become \xNN. Has at most 200 bytes.
std::string Excerpt(std::string_view input);

/// Returns whether a text is valid UTF-8. Surrogates, overlong forms and code
/// points above U+10FFFF are not.
bool IsUtf8(std::string_view text);

}  // namespace filbertwall
