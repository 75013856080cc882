#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include "Base/Endpoint.h"

/// Reads Geneve datagrams (RFC 8926) with an inner IPv4 TCP or UDP packet.
namespace filbertwall {

/// Source, destination and protocol of a flow.
struct FlowKey {
  Endpoint source;
  Endpoint destination;
  std::uint8_t protocol = 0;
  auto operator<=>(const FlowKey&) const = default;
};

/// What the decisions need to know of a packet.
struct PacketInfo {
  FlowKey key;
  bool tcp = false;
  bool syn = false;       ///< Opens a TCP flow (SYN without ACK).
  bool fin = false;       ///< FIN or RST.
  bool has_data = false;  ///< Carries payload.
  std::uint32_t sequence = 0;
};

/// Empty when the datagram is cut short or is of another kind. Pure.
std::optional<PacketInfo> ReadPacket(std::span<const std::uint8_t> datagram);

/// Sets the virtual network identifier, which names the service to the backend
/// server. Precondition: `ReadPacket` accepted the datagram.
void SetNetworkIdentifier(std::span<std::uint8_t> datagram,
                          std::uint32_t identifier);

/// 24 bits that name a service on the wire to its backend servers.
std::uint32_t NetworkIdentifierOf(const std::string& service);

std::uint64_t HashFlow(const FlowKey& key);

/// 13 bytes, for messages between instances.
std::string EncodeFlowKey(const FlowKey& key);
std::optional<FlowKey> DecodeFlowKey(const std::string& bytes);

}  // namespace filbertwall
