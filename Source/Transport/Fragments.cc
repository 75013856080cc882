#include "Transport/Fragments.h"

#include <algorithm>
#include <cstring>

#include "Transport/Compression.h"

namespace filbertwall {

/// Precedes the payload in each datagram.
struct FragmentHeader {
  std::uint8_t kind = 0;
  std::uint32_t message_id = 0;
  std::uint16_t index = 0;
  std::uint16_t count = 0;
};

namespace {

constexpr std::uint8_t kPlain = 0xF1;
constexpr std::uint8_t kCompressed = 0xF2;
constexpr std::size_t kCompressionThresholdBytes = 600;
constexpr Milliseconds kPartialMessageLifetime{2000};
constexpr Milliseconds kExpiryInterval{200};
/// Memory of a partial message and of a fragment, besides the payloads.
constexpr std::size_t kPartialMessageBytes = 256;
constexpr std::size_t kFragmentBytes = 96;

constexpr std::size_t kHeaderBytes = 9;
constexpr std::size_t kMaxPayloadBytes = kMaxDatagramBytes - kHeaderBytes;
constexpr std::size_t kMaxFragments =
    (kMaxMessageBytes + kMaxPayloadBytes - 1) / kMaxPayloadBytes;

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
  if (!known_kind || header.index >= header.count ||
      header.count > kMaxFragments) {
    return std::nullopt;
  }
  return header;
}

std::string Concatenate(const std::map<std::uint16_t, std::string>& payloads) {
  std::string bytes;
  for (const auto& [index, payload] : payloads) {
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
  if (bytes.size() > kMaxMessageBytes) {
    return {};
  }
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

void Reassembler::Remove(Senders::iterator sender, std::uint32_t message_id) {
  const auto partial = sender->second.partial_messages.find(message_id);
  this->partial_bytes -= partial->second.bytes;
  sender->second.bytes -= partial->second.bytes;
  sender->second.ids_by_number.erase(partial->second.number);
  sender->second.partial_messages.erase(partial);
  if (sender->second.partial_messages.empty()) {
    this->senders.erase(sender);
  }
}

void Reassembler::RemoveExpired(TimePoint now) {
  if (now < this->next_expiry_at) {
    return;
  }
  this->next_expiry_at = now + kExpiryInterval;
  for (auto sender = this->senders.begin(); sender != this->senders.end();) {
    const auto current = sender++;
    std::vector<std::uint32_t> expired;
    for (const auto& [id, partial] : current->second.partial_messages) {
      if (now - partial.started_at > kPartialMessageLifetime) {
        expired.push_back(id);
      }
    }
    for (const std::uint32_t id : expired) {
      this->Remove(current, id);
    }
  }
}

void Reassembler::EvictPartialMessages() {
  while (this->partial_bytes > kMaxPartialBytes) {
    const auto largest =
        std::max_element(this->senders.begin(), this->senders.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.bytes < right.second.bytes;
                         });
    this->Remove(largest, largest->second.ids_by_number.begin()->second);
  }
}

std::optional<std::string> Reassembler::AddFragment(
    std::uint32_t sender, const FragmentHeader& header,
    std::string_view payload, TimePoint now) {
  this->RemoveExpired(now);
  if (payload.empty() || payload.size() > kMaxPayloadBytes) {
    this->malformed += 1;
    return std::nullopt;
  }
  const auto known = this->senders.try_emplace(sender).first;
  const auto [position, added] =
      known->second.partial_messages.try_emplace(header.message_id);
  Partial& partial = position->second;
  std::size_t added_bytes = 0;
  if (added) {
    partial.count = header.count;
    partial.started_at = now;
    partial.number = this->next_number++;
    known->second.ids_by_number.emplace(partial.number, header.message_id);
    added_bytes += kPartialMessageBytes;
  }
  if (partial.count != header.count) {
    this->malformed += 1;
    return std::nullopt;
  }
  if (partial.parts.try_emplace(header.index, payload).second) {
    added_bytes += kFragmentBytes + payload.size();
  }
  partial.bytes += added_bytes;
  known->second.bytes += added_bytes;
  this->partial_bytes += added_bytes;
  if (partial.parts.size() < header.count) {
    this->EvictPartialMessages();
    return std::nullopt;
  }
  std::string message = Concatenate(partial.parts);
  this->Remove(known, header.message_id);
  return message;
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
    auto assembled = this->AddFragment(sender, *header, payload, now);
    if (!assembled) {
      return std::nullopt;
    }
    payload = std::move(*assembled);
  }
  if (header->kind == kPlain) {
    return payload;
  }
  auto message = Uncompress(payload);
  this->malformed += message ? 0 : 1;
  return message;
}

}  // namespace filbertwall
