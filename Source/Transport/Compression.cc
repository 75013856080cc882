#include "Transport/Compression.h"

#include <zlib.h>

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace filbertwall {
namespace {

constexpr std::size_t kMaxPlainBytes = 16U << 20U;
/// Deflate output is never more than 1,032 times as long as its input.
constexpr std::size_t kMaxCompressionRatio = 1032;

}  // namespace

std::string Compress(std::string_view plain) {
  uLongf length = compressBound(plain.size());
  const auto plain_length = static_cast<std::uint32_t>(plain.size());
  std::string bytes(sizeof(plain_length) + length, '\0');
  std::memcpy(bytes.data(), &plain_length, sizeof(plain_length));
  const int result = compress2(
      reinterpret_cast<Bytef*>(bytes.data() + sizeof(plain_length)), &length,
      reinterpret_cast<const Bytef*>(plain.data()), plain.size(), Z_BEST_SPEED);
  bytes.resize(sizeof(plain_length) + length);
  if (result != Z_OK || bytes.size() >= plain.size()) {
    bytes.clear();
  }
  return bytes;
}

std::optional<std::string> Uncompress(std::string_view compressed) {
  std::uint32_t plain_length = 0;
  if (compressed.size() < sizeof(plain_length)) {
    return std::nullopt;
  }
  std::memcpy(&plain_length, compressed.data(), sizeof(plain_length));
  const std::size_t reachable =
      (compressed.size() - sizeof(plain_length)) * kMaxCompressionRatio;
  if (plain_length > std::min(kMaxPlainBytes, reachable)) {
    return std::nullopt;
  }
  std::string plain(plain_length, '\0');
  uLongf length = plain_length;
  const int result = uncompress(
      reinterpret_cast<Bytef*>(plain.data()), &length,
      reinterpret_cast<const Bytef*>(compressed.data() + sizeof(plain_length)),
      compressed.size() - sizeof(plain_length));
  if (result != Z_OK || length != plain_length) {
    return std::nullopt;
  }
  return plain;
}

}  // namespace filbertwall
