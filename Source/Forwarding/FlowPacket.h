#pragma once

#include <cstddef>
#include <cstdint>

#include "Base/Endpoint.h"
#include "Base/Time.h"

/// Packets of callers, as an adapter has read them. Plain values.
namespace filbertwall {

/// The two ends of a flow as its caller sees them.
struct FlowKey {
  Endpoint caller;
  Endpoint address;
  bool operator==(const FlowKey&) const = default;
};

struct FlowKeyHash {
  std::size_t operator()(const FlowKey& key) const;
};

/// What a packet from a caller says to the forwarder.
struct FlowPacket {
  FlowKey key;
  bool opens = false;        ///< The first packet of a flow, or a copy of it.
  bool closes = false;       ///< The caller sends nothing after it.
  bool aborts = false;       ///< The caller has reset the flow.
  std::uint32_t copies = 0;  ///< Of an opening packet, sent before this one.
  std::uint32_t token = 0;
  /// Of a later packet: its caller has received the answer up to this sequence
  /// number, which starts anywhere and wraps.
  std::uint32_t received = 0;
  /// Of an opening packet: its caller sends the next copy, or gives up, after
  /// this time without an answer.
  Milliseconds repeat_after{0};
  Milliseconds repeated_for{0};  ///< Since its caller sent the first copy.
};

}  // namespace filbertwall
