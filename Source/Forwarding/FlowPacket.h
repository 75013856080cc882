#pragma once

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
  bool operator==(const FlowKey&) const = default;
};

struct FlowKeyHash {
  std::size_t operator()(const FlowKey& key) const;
};

/// The fields of a caller's packet that the forwarder uses.
struct FlowPacket {
  FlowKey key;
  bool opens = false;        ///< Opening packet (SYN), or a retransmission.
  bool closes = false;       ///< The last packet that the caller sends.
  bool aborts = false;       ///< The caller has reset the flow.
  std::uint32_t copies = 0;  ///< Earlier sends of this opening packet.
  std::uint32_t token = 0;   ///< Identifies the flow's server.
  /// Acknowledgement number of a later packet: the caller has the answer up to
  /// this sequence number, which starts anywhere and wraps.
  std::uint32_t received = 0;
  /// Time after which the caller retransmits an unanswered opening packet, or
  /// gives up.
  Milliseconds repeat_after{0};
  Milliseconds repeated_for{0};  ///< Since the first copy was sent.
};

}  // namespace filbertwall
