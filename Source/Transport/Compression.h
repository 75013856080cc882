#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Message compression at the fastest zlib level, to save processor time.
///
/// The functions are pure and thread safe.
namespace filbertwall {

/// Returns the uncompressed length in 4 bytes, followed by the compressed
/// bytes. Returns an empty string when this result is not shorter than `plain`.
std::string Compress(std::string_view plain);

/// Returns the uncompressed bytes, or nullopt when `compressed` is not an
/// output of `Compress` or its uncompressed length exceeds 16 MiB. No memory is
/// taken for a length that the compressed bytes cannot reach.
std::optional<std::string> Uncompress(std::string_view compressed);

}  // namespace filbertwall
