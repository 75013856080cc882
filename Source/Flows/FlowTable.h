#pragma once

#include <cstdint>
#include <vector>

#include "Flows/Packet.h"

/// A compact hash table of flows with open addressing. Not thread safe.
namespace filbertwall {

/// A flow and its backend server: 32 bytes.
struct FlowEntry {
  std::uint32_t source_ip = 0;
  std::uint32_t destination_ip = 0;
  std::uint16_t source_port = 0;
  std::uint16_t destination_port = 0;
  std::uint8_t protocol = 0;  ///< 0: the slot is free.
  std::uint8_t flags = 0;
  std::uint16_t service = 0;    ///< Index of a service name.
  std::uint32_t backend = 0;    ///< Index of a backend server's address.
  std::uint32_t last_seen = 0;  ///< Seconds on the instance's clock.
  std::uint32_t sequence = 0;   ///< Of the last TCP segment with data.
  /// Generation of the directory for which the backend server's service was
  /// last checked.
  std::uint16_t generation = 0;
  std::uint16_t repeats = 0;  ///< Retransmissions of that segment.
};
static_assert(sizeof(FlowEntry) == 32);

/// The flow is not half-open: a packet other than a SYN was seen, the flow is
/// not TCP, or another instance sent its record.
inline constexpr std::uint8_t kFlowEstablished = 1;
/// A FIN or RST was seen.
inline constexpr std::uint8_t kFlowClosing = 2;
/// The backend server seems not to acknowledge data: `repeats` has reached its
/// limit. Cleared by a segment with another sequence number.
inline constexpr std::uint8_t kFlowSilent = 4;

struct FlowTable {
  std::vector<FlowEntry> slots;
  std::size_t size = 0;
};

PacketFlowKey KeyOf(const FlowEntry& entry);

/// Returns null when the table has no entry for the flow. The pointer is valid
/// until the next insertion or removal.
FlowEntry* FindFlow(FlowTable& table, const PacketFlowKey& key);

/// Adds an entry for the key. Precondition: the table has none for it. The
/// reference is valid until the next insertion or removal.
FlowEntry& InsertFlow(FlowTable& table, const PacketFlowKey& key);

/// Removes an entry. Precondition: the entry belongs to the table.
void EraseFlow(FlowTable& table, FlowEntry* entry);

}  // namespace filbertwall
