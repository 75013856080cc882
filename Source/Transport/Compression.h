#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Compression of messages, at the cost of little processor time.
///
/// Pure functions; thread safe.
namespace filbertwall {

/// The compressed bytes after their plain length; empty when that is not
/// shorter.
std::string Compress(std::string_view plain);

/// Empty when `compressed` is no output of `Compress`, or of more than 16 MiB.
std::optional<std::string> Uncompress(std::string_view compressed);

}  // namespace filbertwall
