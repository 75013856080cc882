#pragma once

#include <cstdint>
#include <vector>

#include "Flows/Packet.h"

/// A compact hash table of flows. Not thread safe.
namespace filbertwall {

/// One held flow: 32 bytes.
struct FlowEntry {
  std::uint32_t source_ip = 0;
  std::uint32_t destination_ip = 0;
  std::uint16_t source_port = 0;
  std::uint16_t destination_port = 0;
  std::uint8_t protocol = 0;  ///< 0: the slot is free.
  std::uint8_t flags = 0;
  std::uint16_t service = 0;     ///< Index of a service name.
  std::uint32_t backend = 0;     ///< Index of a backend server's address.
  std::uint32_t last_seen = 0;   ///< Seconds on the instance's clock.
  std::uint32_t sequence = 0;    ///< Of the last TCP segment with data.
  std::uint16_t generation = 0;  ///< Of the directory, when last validated.
  std::uint16_t repeats = 0;     ///< Segments in a row without progress.
};
static_assert(sizeof(FlowEntry) == 32);

inline constexpr std::uint8_t kFlowProven = 1;   ///< More than a SYN was seen.
inline constexpr std::uint8_t kFlowClosing = 2;  ///< FIN or RST was seen.
inline constexpr std::uint8_t kFlowSilent = 4;   ///< Counted as silent.

struct FlowTable {
  std::vector<FlowEntry> slots;
  std::size_t size = 0;
};

FlowKey KeyOf(const FlowEntry& entry);

/// Null when the flow is not held. The pointer is valid until the next insert
/// or erase.
FlowEntry* FindFlow(FlowTable& table, const FlowKey& key);

/// Adds a free entry for the key. Precondition: the flow is not held.
FlowEntry& InsertFlow(FlowTable& table, const FlowKey& key);

/// Precondition: the entry belongs to the table.
void EraseFlow(FlowTable& table, FlowEntry* entry);

}  // namespace filbertwall
