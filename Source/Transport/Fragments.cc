#include "Transport/Fragments.h"

#include <algorithm>
#include <cstring>

#include "Transport/Compression.h"

namespace filbertwall {
namespace {

constexpr std::uint8_t kPlain = 0xF1;
constexpr std::uint8_t kCompressed = 0xF2;
constexpr std::size_t kLeastCompressedBytes = 600;
constexpr std::size_t kMostPartials = 64;
constexpr Milliseconds kPartialLifetime{2000};

/// Written before the part of the message in each datagram.
struct Header {
  std::uint8_t kind = kPlain;
  std::uint32_t message_id = 0;
  std::uint16_t index = 0;
  std::uint16_t count = 0;
};
constexpr std::size_t kHeaderBytes = 9;
constexpr std::size_t kPartBytes = kLargestFragmentBytes - kHeaderBytes;

std::string WriteHeader(const Header& header) {
  std::string bytes(kHeaderBytes, '\0');
  bytes[0] = static_cast<char>(header.kind);
  std::memcpy(&bytes[1], &header.message_id, 4);
  std::memcpy(&bytes[5], &header.index, 2);
  std::memcpy(&bytes[7], &header.count, 2);
  return bytes;
}

std::optional<Header> ReadHeader(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  Header header;
  header.kind = static_cast<std::uint8_t>(bytes[0]);
  std::memcpy(&header.message_id, &bytes[1], 4);
  std::memcpy(&header.index, &bytes[5], 2);
  std::memcpy(&header.count, &bytes[7], 2);
  const bool known = header.kind == kPlain || header.kind == kCompressed;
  if (!known || header.index >= header.count) {
    return std::nullopt;
  }
  return header;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string whole;
  for (const std::string& part : parts) {
    whole += part;
  }
  return whole;
}

}  // namespace

std::vector<std::string> SplitMessage(std::string_view message,
                                      std::uint32_t message_id) {
  std::string compressed;
  if (message.size() >= kLeastCompressedBytes) {
    compressed = Compress(message);
  }
  const std::string_view bytes = compressed.empty() ? message : compressed;
  Header header{.kind = compressed.empty() ? kPlain : kCompressed,
                .message_id = message_id};
  header.count = static_cast<std::uint16_t>(
      std::max<std::size_t>(1, (bytes.size() + kPartBytes - 1) / kPartBytes));
  std::vector<std::string> datagrams;
  for (header.index = 0; header.index < header.count; ++header.index) {
    datagrams.push_back(WriteHeader(header));
    datagrams.back() += bytes.substr(header.index * kPartBytes, kPartBytes);
  }
  return datagrams;
}

void Reassembler::DropOld(TimePoint now) {
  std::erase_if(this->partials, [&](const auto& item) {
    return now - item.second.started_at > kPartialLifetime;
  });
  if (this->partials.size() >= kMostPartials) {
    this->partials.erase(this->partials.begin());
  }
}

std::optional<std::string> Reassembler::Take(std::uint32_t sender,
                                             std::string_view datagram,
                                             TimePoint now) {
  const auto header = ReadHeader(datagram);
  if (!header) {
    this->malformed += 1;
    return std::nullopt;
  }
  std::string whole(datagram.substr(kHeaderBytes));
  if (header->count > 1) {
    const Key key{.sender = sender, .message_id = header->message_id};
    auto found = this->partials.find(key);
    if (found == this->partials.end()) {
      this->DropOld(now);
      found =
          this->partials
              .emplace(key,
                       Partial{.parts = std::vector<std::string>(header->count),
                               .missing = header->count,
                               .started_at = now})
              .first;
    }
    Partial& partial = found->second;
    if (partial.parts.size() != header->count || whole.empty()) {
      this->malformed += 1;
      return std::nullopt;
    }
    std::string& part = partial.parts[header->index];
    partial.missing -= part.empty() ? 1 : 0;
    part = std::move(whole);
    if (partial.missing > 0) {
      return std::nullopt;
    }
    whole = Join(partial.parts);
    this->partials.erase(found);
  }
  if (header->kind == kPlain) {
    return whole;
  }
  auto message = Uncompress(whole);
  this->malformed += message ? 0 : 1;
  return message;
}

}  // namespace filbertwall
