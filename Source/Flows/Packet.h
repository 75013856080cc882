#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include "Base/Endpoint.h"

/// Parses Geneve datagrams (RFC 8926) with an inner IPv4 TCP or UDP packet.
namespace filbertwall {

/// Source, destination and protocol of a flow.
struct PacketFlowKey {
  Endpoint source;
  Endpoint destination;
  std::uint8_t protocol = 0;
  auto operator<=>(const PacketFlowKey&) const = default;
};

/// The fields of a packet that determine how it is forwarded.
struct PacketInfo {
  PacketFlowKey key;
  bool tcp = false;
  bool syn = false;            ///< Opens a TCP flow (SYN without ACK).
  bool fin = false;            ///< Ends a TCP flow (FIN or RST).
  bool has_data = false;       ///< Carries payload.
  std::uint32_t sequence = 0;  ///< TCP sequence number.
};

/// Parses a datagram. Returns an empty value when it is truncated, a later IP
/// fragment, or not Geneve with an inner IPv4 TCP or UDP packet. Has no side
/// effects.
std::optional<PacketInfo> ReadPacket(std::span<const std::uint8_t> datagram);

/// Sets the virtual network identifier (VNI), which identifies the service to
/// the backend server. Precondition: `ReadPacket` accepted the datagram.
void SetNetworkIdentifier(std::span<std::uint8_t> datagram,
                          std::uint32_t identifier);

/// Returns the 24-bit network identifier (VNI) of a service: a hash of its
/// name.
std::uint32_t NetworkIdentifierOf(const std::string& service);

std::uint64_t HashFlow(const PacketFlowKey& key);

/// Encodes a key in 13 bytes, all fields big-endian, for messages between
/// instances.
std::string EncodeFlowKey(const PacketFlowKey& key);
/// Returns an empty value when `bytes` has another length.
std::optional<PacketFlowKey> DecodeFlowKey(const std::string& bytes);

}  // namespace filbertwall
