#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Non-cryptographic hashes (XXH3). All functions are pure and thread safe.
namespace filbertwall {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two hashes; the order of the arguments matters.
std::uint64_t MixHash(std::uint64_t left, std::uint64_t right);

/// 16 bytes that identify a text.
std::string Digest(std::string_view bytes);

std::string ToHex(std::string_view bytes);

}  // namespace filbertwall
