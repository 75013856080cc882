#include "Flows/FlowTable.h"

namespace filbertwall {
namespace {

constexpr std::size_t kMinSlots = 1024;

std::size_t HomeSlot(const FlowTable& table, const PacketFlowKey& key) {
  // Maps the upper half of the hash onto [0, slots) without a division.
  return static_cast<std::size_t>((HashFlow(key) >> 32) * table.slots.size() >>
                                  32);
}

std::size_t NextSlot(const FlowTable& table, std::size_t slot) {
  return slot + 1 == table.slots.size() ? 0 : slot + 1;
}

bool Matches(const FlowEntry& entry, const PacketFlowKey& key) {
  return entry.source_ip == key.source.ip &&
         entry.destination_ip == key.destination.ip &&
         entry.source_port == key.source.port &&
         entry.destination_port == key.destination.port &&
         entry.protocol == key.protocol;
}

std::size_t FindFreeSlot(const FlowTable& table, const PacketFlowKey& key) {
  std::size_t slot = HomeSlot(table, key);
  while (table.slots[slot].protocol != 0) {
    slot = NextSlot(table, slot);
  }
  return slot;
}

/// Grows by a factor of 1.5, which wastes less memory than doubling.
void Grow(FlowTable& table) {
  FlowTable larger;
  larger.slots.resize(
      std::max(kMinSlots, table.slots.size() + table.slots.size() / 2));
  larger.size = table.size;
  for (const FlowEntry& entry : table.slots) {
    if (entry.protocol != 0) {
      larger.slots[FindFreeSlot(larger, KeyOf(entry))] = entry;
    }
  }
  table = std::move(larger);
}

bool IsFull(const FlowTable& table) {
  // The load factor is at most 6/7.
  return 7 * (table.size + 1) > 6 * table.slots.size();
}

/// Whether an entry with the given home slot can move from `from` back to `to`
/// and still be found by linear probing.
bool CanMove(const FlowTable& table, std::size_t home, std::size_t to,
             std::size_t from) {
  const std::size_t slots = table.slots.size();
  const std::size_t distance_from = (from + slots - home) % slots;
  const std::size_t distance_to = (to + slots - home) % slots;
  return distance_to <= distance_from;
}

}  // namespace

PacketFlowKey KeyOf(const FlowEntry& entry) {
  return PacketFlowKey{
      .source = {.ip = entry.source_ip, .port = entry.source_port},
      .destination = {.ip = entry.destination_ip,
                      .port = entry.destination_port},
      .protocol = entry.protocol};
}

FlowEntry* FindFlow(FlowTable& table, const PacketFlowKey& key) {
  if (table.slots.empty()) {
    return nullptr;
  }
  std::size_t slot = HomeSlot(table, key);
  while (table.slots[slot].protocol != 0) {
    if (Matches(table.slots[slot], key)) {
      return &table.slots[slot];
    }
    slot = NextSlot(table, slot);
  }
  return nullptr;
}

FlowEntry& InsertFlow(FlowTable& table, const PacketFlowKey& key) {
  if (IsFull(table)) {
    Grow(table);
  }
  FlowEntry& entry = table.slots[FindFreeSlot(table, key)];
  entry = FlowEntry{.source_ip = key.source.ip,
                    .destination_ip = key.destination.ip,
                    .source_port = key.source.port,
                    .destination_port = key.destination.port,
                    .protocol = key.protocol};
  table.size += 1;
  return entry;
}

void EraseFlow(FlowTable& table, FlowEntry* entry) {
  std::size_t hole = static_cast<std::size_t>(entry - table.slots.data());
  std::size_t slot = NextSlot(table, hole);
  while (table.slots[slot].protocol != 0) {
    const std::size_t home = HomeSlot(table, KeyOf(table.slots[slot]));
    if (CanMove(table, home, hole, slot)) {
      table.slots[hole] = table.slots[slot];
      hole = slot;
    }
    slot = NextSlot(table, slot);
  }
  table.slots[hole] = FlowEntry{};
  table.size -= 1;
}

}  // namespace filbertwall
