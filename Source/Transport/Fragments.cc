#include "Transport/Fragments.h"

#include <algorithm>
#include <cstring>

#include "Transport/Compression.h"

namespace filbertwall {
namespace {

constexpr std::uint8_t kPlain = 0xF1;
constexpr std::uint8_t kCompressed = 0xF2;
constexpr std::size_t kCompressionThresholdBytes = 600;
constexpr std::size_t kMaxPartialMessages = 64;
constexpr Milliseconds kPartialMessageLifetime{2000};

/// Precedes the payload in each datagram.
struct FragmentHeader {
  std::uint8_t kind = kPlain;
  std::uint32_t message_id = 0;
  std::uint16_t index = 0;
  std::uint16_t count = 0;
};
constexpr std::size_t kHeaderBytes = 9;
constexpr std::size_t kMaxPayloadBytes = kMaxDatagramBytes - kHeaderBytes;

std::string WriteHeader(const FragmentHeader& header) {
  std::string bytes(kHeaderBytes, '\0');
  bytes[0] = static_cast<char>(header.kind);
  std::memcpy(&bytes[1], &header.message_id, 4);
  std::memcpy(&bytes[5], &header.index, 2);
  std::memcpy(&bytes[7], &header.count, 2);
  return bytes;
}

std::optional<FragmentHeader> ReadHeader(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  FragmentHeader header;
  header.kind = static_cast<std::uint8_t>(bytes[0]);
  std::memcpy(&header.message_id, &bytes[1], 4);
  std::memcpy(&header.index, &bytes[5], 2);
  std::memcpy(&header.count, &bytes[7], 2);
  const bool known_kind = header.kind == kPlain || header.kind == kCompressed;
  if (!known_kind || header.index >= header.count) {
    return std::nullopt;
  }
  return header;
}

std::string Concatenate(const std::vector<std::string>& payloads) {
  std::string bytes;
  for (const std::string& payload : payloads) {
    bytes += payload;
  }
  return bytes;
}

}  // namespace

std::vector<std::string> SplitMessage(std::string_view message,
                                      std::uint32_t message_id) {
  std::string compressed;
  if (message.size() >= kCompressionThresholdBytes) {
    compressed = Compress(message);
  }
  const std::string_view bytes = compressed.empty() ? message : compressed;
  FragmentHeader header{.kind = compressed.empty() ? kPlain : kCompressed,
                        .message_id = message_id};
  header.count = static_cast<std::uint16_t>(std::max<std::size_t>(
      1, (bytes.size() + kMaxPayloadBytes - 1) / kMaxPayloadBytes));
  std::vector<std::string> datagrams;
  for (header.index = 0; header.index < header.count; ++header.index) {
    datagrams.push_back(WriteHeader(header));
    datagrams.back() +=
        bytes.substr(header.index * kMaxPayloadBytes, kMaxPayloadBytes);
  }
  return datagrams;
}

void Reassembler::EvictPartialMessages(TimePoint now) {
  std::erase_if(this->partial_messages, [&](const auto& item) {
    return now - item.second.started_at > kPartialMessageLifetime;
  });
  if (this->partial_messages.size() >= kMaxPartialMessages) {
    this->partial_messages.erase(this->partial_messages.begin());
  }
}

std::optional<std::string> Reassembler::AddDatagram(std::uint32_t sender,
                                                    std::string_view datagram,
                                                    TimePoint now) {
  const auto header = ReadHeader(datagram);
  if (!header) {
    this->malformed += 1;
    return std::nullopt;
  }
  std::string payload(datagram.substr(kHeaderBytes));
  if (header->count > 1) {
    const Key key{.sender = sender, .message_id = header->message_id};
    auto found = this->partial_messages.find(key);
    if (found == this->partial_messages.end()) {
      this->EvictPartialMessages(now);
      found =
          this->partial_messages
              .emplace(key,
                       Partial{.parts = std::vector<std::string>(header->count),
                               .missing = header->count,
                               .started_at = now})
              .first;
    }
    Partial& partial = found->second;
    if (partial.parts.size() != header->count || payload.empty()) {
      this->malformed += 1;
      return std::nullopt;
    }
    std::string& slot = partial.parts[header->index];
    partial.missing -= slot.empty() ? 1 : 0;
    slot = std::move(payload);
    if (partial.missing > 0) {
      return std::nullopt;
    }
    payload = Concatenate(partial.parts);
    this->partial_messages.erase(found);
  }
  if (header->kind == kPlain) {
    return payload;
  }
  auto message = Uncompress(payload);
  this->malformed += message ? 0 : 1;
  return message;
}

}  // namespace filbertwall
