#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "Base/Endpoint.h"
#include "Base/Time.h"

/// Packets from callers, as parsed by a packet adapter. Plain values.
namespace filbertwall {

/// The caller's endpoint and the service address that identify a flow.
struct FlowKey {
  Endpoint caller;
  Endpoint address;
  auto operator<=>(const FlowKey&) const = default;
};

struct FlowKeyHash {
  std::size_t operator()(const FlowKey& key) const;
};

/// The fields of a caller's packet that the forwarder uses.
struct FlowPacket {
  FlowKey key;
  bool opens = false;   ///< Opening packet (SYN), or a retransmission of it.
  bool closes = false;  ///< The last packet that the caller sends.
  bool aborts = false;  ///< The caller has reset the flow.
  /// Number of copies of the opening packet that were sent before this one.
  std::uint32_t copies = 0;
  std::uint32_t token = 0;  ///< Identifies the flow's server.
  /// Acknowledgement number, in packets after the opening one. The server's
  /// initial sequence number is arbitrary, and sequence numbers wrap.
  std::uint32_t ack_number = 0;
  /// Time from this copy of the opening packet until the caller sends the next
  /// copy or gives up, unless the server answers before.
  Milliseconds retransmit_after{0};
  /// Time since the caller sent the first copy of the opening packet.
  Milliseconds since_first_copy{0};
};

}  // namespace filbertwall
