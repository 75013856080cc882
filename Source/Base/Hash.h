#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Non-cryptographic hashes (XXH3). All functions are pure and thread safe.
namespace filbertwall {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes into one; swapping the arguments changes the result.
std::uint64_t MixHash(std::uint64_t left, std::uint64_t right);

/// Returns 16 bytes that identify `bytes`: the canonical form of the 128-bit
/// hash.
std::string Digest(std::string_view bytes);

/// Returns two lowercase hexadecimal digits for each byte.
std::string ToHex(std::string_view bytes);

}  // namespace filbertwall
