#include "Flows/Packet.h"

#include <netinet/in.h>

#include <cstring>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

constexpr std::size_t kGeneveHeaderBytes = 8;
constexpr std::uint16_t kProtocolIpv4 = 0x0800;
constexpr std::size_t kMinIpHeaderBytes = 20;
constexpr std::size_t kMinTcpHeaderBytes = 20;
constexpr std::size_t kUdpHeaderBytes = 8;
constexpr std::size_t kFlowKeyBytes = 13;
constexpr std::uint8_t kFlagFin = 0x01;
constexpr std::uint8_t kFlagSyn = 0x02;
constexpr std::uint8_t kFlagRst = 0x04;
constexpr std::uint8_t kFlagAck = 0x10;

using Bytes = std::span<const std::uint8_t>;

std::uint16_t Read16(Bytes bytes, std::size_t at) {
  return static_cast<std::uint16_t>(bytes[at] << 8 | bytes[at + 1]);
}

std::uint32_t Read32(Bytes bytes, std::size_t at) {
  return static_cast<std::uint32_t>(Read16(bytes, at)) << 16 |
         Read16(bytes, at + 2);
}

/// Returns the inner IPv4 packet; empty when the Geneve header is malformed.
Bytes InnerPacket(Bytes datagram) {
  if (datagram.size() < kGeneveHeaderBytes) {
    return {};
  }
  const bool version_zero = (datagram[0] >> 6) == 0;
  const std::size_t header = kGeneveHeaderBytes + 4UL * (datagram[0] & 0x3F);
  if (!version_zero || Read16(datagram, 2) != kProtocolIpv4 ||
      datagram.size() < header) {
    return {};
  }
  return datagram.subspan(header);
}

void ReadTcp(Bytes segment, PacketInfo& info) {
  const std::uint8_t flags = segment[13];
  const std::size_t header = 4UL * (segment[12] >> 4);
  info.tcp = true;
  info.syn = (flags & kFlagSyn) != 0 && (flags & kFlagAck) == 0;
  info.fin = (flags & (kFlagFin | kFlagRst)) != 0;
  info.sequence = Read32(segment, 4);
  info.has_data = segment.size() > header;
}

void Append32(std::string& bytes, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>(value >> shift);
  }
}

}  // namespace

std::optional<PacketInfo> ReadPacket(Bytes datagram) {
  const Bytes packet = InnerPacket(datagram);
  if (packet.size() < kMinIpHeaderBytes || packet[0] >> 4 != 4) {
    return std::nullopt;
  }
  const std::size_t header = 4UL * (packet[0] & 0x0F);
  const std::size_t total = Read16(packet, 2);
  constexpr std::uint16_t kOffsetMask = 0x1FFF;
  const bool later_fragment = (Read16(packet, 6) & kOffsetMask) != 0;
  if (header < kMinIpHeaderBytes || total < header || total > packet.size() ||
      later_fragment) {
    return std::nullopt;
  }
  const Bytes segment = packet.subspan(header, total - header);
  const std::uint8_t protocol = packet[9];
  const bool tcp =
      protocol == IPPROTO_TCP && segment.size() >= kMinTcpHeaderBytes;
  const bool udp = protocol == IPPROTO_UDP && segment.size() >= kUdpHeaderBytes;
  if (!tcp && !udp) {
    return std::nullopt;
  }
  PacketInfo info;
  info.key.source = {.ip = Read32(packet, 12), .port = Read16(segment, 0)};
  info.key.destination = {.ip = Read32(packet, 16), .port = Read16(segment, 2)};
  info.key.protocol = protocol;
  if (tcp) {
    ReadTcp(segment, info);
  }
  return info;
}

void SetNetworkIdentifier(std::span<std::uint8_t> datagram,
                          std::uint32_t identifier) {
  datagram[4] = static_cast<std::uint8_t>(identifier >> 16);
  datagram[5] = static_cast<std::uint8_t>(identifier >> 8);
  datagram[6] = static_cast<std::uint8_t>(identifier);
}

std::uint32_t NetworkIdentifierOf(const std::string& service) {
  constexpr std::uint64_t kMask = 0xFFFFFF;
  return static_cast<std::uint32_t>(Hash64(service) & kMask);
}

std::uint64_t HashFlow(const PacketFlowKey& key) {
  const std::uint64_t addresses =
      static_cast<std::uint64_t>(key.source.ip) << 32 | key.destination.ip;
  const std::uint64_t ports =
      static_cast<std::uint64_t>(key.source.port) << 24 |
      static_cast<std::uint64_t>(key.destination.port) << 8 | key.protocol;
  return MixHash(addresses, ports);
}

std::string EncodeFlowKey(const PacketFlowKey& key) {
  std::string bytes;
  Append32(bytes, key.source.ip);
  Append32(bytes, key.destination.ip);
  Append32(bytes, static_cast<std::uint32_t>(key.source.port) << 16 |
                      key.destination.port);
  bytes += static_cast<char>(key.protocol);
  return bytes;
}

std::optional<PacketFlowKey> DecodeFlowKey(const std::string& bytes) {
  if (bytes.size() != kFlowKeyBytes) {
    return std::nullopt;
  }
  const Bytes view(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                   bytes.size());
  return PacketFlowKey{
      .source = {.ip = Read32(view, 0), .port = Read16(view, 8)},
      .destination = {.ip = Read32(view, 4), .port = Read16(view, 10)},
      .protocol = view[12]};
}

}  // namespace filbertwall
