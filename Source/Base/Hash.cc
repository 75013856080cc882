#include "Base/Hash.h"

#include <xxhash.h>

namespace filbertwall {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t MixHash(std::uint64_t left, std::uint64_t right) {
  // Applies the 64-bit finalizer of MurmurHash3 to an asymmetric combination,
  // so that the order of the arguments matters.
  std::uint64_t mixed = left ^ (right * 0x9E3779B97F4A7C15ULL);
  mixed ^= mixed >> 33;
  mixed *= 0xFF51AFD7ED558CCDULL;
  mixed ^= mixed >> 33;
  mixed *= 0xC4CEB9FE1A85EC53ULL;
  mixed ^= mixed >> 33;
  return mixed;
}

std::string Digest(std::string_view bytes) {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical,
                           XXH3_128bits(bytes.data(), bytes.size()));
  return std::string(reinterpret_cast<const char*>(canonical.digest),
                     sizeof canonical.digest);
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value >> 4];
    hex += kDigits[value & 15];
  }
  return hex;
}

}  // namespace filbertwall
