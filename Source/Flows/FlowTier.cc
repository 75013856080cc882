#include "Flows/FlowTier.h"

#include <algorithm>

#include "Flows/FlowTurn.h"

namespace filbertwall {
namespace {

constexpr std::uint32_t kHalfOpenTimeoutSeconds = 5;
constexpr std::uint32_t kClosingTimeoutSeconds = 10;
constexpr std::uint32_t kIdleTimeoutSeconds = 600;
/// The record of a flow in use is sent to its owners once per interval.
constexpr std::uint32_t kRefreshIntervalSeconds = 60;
/// Retransmissions of a segment after which the flow counts as silent.
constexpr std::uint16_t kSilentAfterRepeats = 4;
/// Number of ticks after which each slot of the table has been checked.
constexpr std::size_t kTicksPerSweep = 500;

/// Returns the service of a destination; null when the rules have none, or when
/// it does not use the packet protocol.
const ServiceRule* ServiceOf(const FlowContext& context, const FlowKey& key) {
  const auto address = context.rules.addresses.find(key.destination);
  if (address == context.rules.addresses.end()) {
    return nullptr;
  }
  const ServiceRule& service =
      context.rules.services.at(address->second.service);
  return service.protocol == Protocol::kPackets ? &service : nullptr;
}

/// Whether to send the flow's record to its owners, which would otherwise
/// remove the flow as idle: they may not receive any of its packets themselves.
bool NeedsRefresh(const FlowTurn& turn, const FlowEntry& entry,
                  const PacketInfo& info) {
  const bool newly_established =
      !info.syn && (entry.flags & kFlowEstablished) == 0;
  const bool new_period = turn.now_seconds / kRefreshIntervalSeconds !=
                          entry.last_seen / kRefreshIntervalSeconds;
  return newly_established || new_period;
}

void UpdateFlow(FlowTurn& turn, FlowEntry& entry, const PacketInfo& info) {
  const bool refresh = NeedsRefresh(turn, entry, info);
  entry.last_seen = turn.now_seconds;
  if (!info.syn) {
    entry.flags |= kFlowEstablished;
  }
  if (refresh) {
    ReplicateToOwners(turn, entry);
  }
  if (info.fin) {
    entry.flags |= kFlowClosing;
  }
  if (!info.tcp || !info.has_data) {
    return;
  }
  entry.repeats = info.sequence == entry.sequence ? entry.repeats + 1 : 0;
  entry.sequence = info.sequence;
  const bool silent = entry.repeats >= kSilentAfterRepeats;
  if (silent && (entry.flags & kFlowSilent) == 0) {
    entry.flags |= kFlowSilent;
    Count(turn, "silent");
  }
  if (entry.repeats == 0) {
    entry.flags &= static_cast<std::uint8_t>(~kFlowSilent);
  }
}

/// Returns the flow's entry if it is valid. Removes an entry whose service has
/// changed, or that a SYN reopens after a FIN or RST.
FlowEntry* FindValidFlow(FlowTurn& turn, const PacketInfo& info,
                         const ServiceRule& service) {
  FlowEntry* entry = FindFlow(turn.tier.table, info.key);
  if (entry == nullptr) {
    return nullptr;
  }
  const auto generation =
      static_cast<std::uint16_t>(turn.context.directory.generation);
  const bool reopened = info.syn && (entry->flags & kFlowClosing) != 0;
  const bool changed =
      entry->generation != generation && !StillServes(turn, *entry, service);
  if (reopened || changed) {
    Count(turn, changed ? "service_changed" : "reopened");
    RemoveFlow(turn, entry);
    return nullptr;
  }
  entry->generation = generation;
  return entry;
}

void HandleDatagram(FlowTurn& turn, std::size_t index, Datagram& datagram) {
  const auto sender = turn.tier.instances.find(datagram.from);
  const std::uint32_t relayed_by =
      sender == turn.tier.instances.end() ? 0 : sender->second;
  if (relayed_by != 0 && IsFlowMessage(datagram.bytes)) {
    HandleFlowMessage(turn, relayed_by, datagram.bytes);
    return;
  }
  const auto info = ReadPacket(datagram.bytes);
  if (!info) {
    Count(turn, "malformed");
    return;
  }
  const ServiceRule* service = ServiceOf(turn.context, info->key);
  if (service == nullptr) {
    Count(turn, "no_service");
    return;
  }
  FlowEntry* entry = FindValidFlow(turn, *info, *service);
  if (entry != nullptr) {
    UpdateFlow(turn, *entry, *info);
    SetNetworkIdentifier(datagram.bytes, NetworkIdentifierOf(service->name));
    turn.effects.forwarded.push_back(
        {.index = index, .to = turn.tier.backends[entry->backend]});
    if (relayed_by != 0) {
      QueueFlowRecord(turn, relayed_by, *entry);
    }
    return;
  }
  HandleUnknownPacket(turn, UnknownPacket{.index = index,
                                          .datagram = &datagram,
                                          .info = *info,
                                          .service = service,
                                          .relayed_by = relayed_by});
}

bool IsExpired(const FlowTurn& turn, const FlowEntry& entry) {
  const std::uint32_t idle = turn.now_seconds - entry.last_seen;
  if ((entry.flags & kFlowClosing) != 0) {
    return idle > kClosingTimeoutSeconds;
  }
  if ((entry.flags & kFlowEstablished) == 0) {
    return idle > kHalfOpenTimeoutSeconds;
  }
  return idle > kIdleTimeoutSeconds;
}

/// Removes expired flows from the next part of the table. A tick checks only a
/// part, to bound its duration.
void Sweep(FlowTurn& turn) {
  FlowTable& table = turn.tier.table;
  std::size_t steps = table.slots.size() / kTicksPerSweep + 1;
  while (steps > 0 && !table.slots.empty()) {
    steps -= 1;
    turn.tier.sweep_position =
        (turn.tier.sweep_position + 1) % table.slots.size();
    FlowEntry* entry = &table.slots[turn.tier.sweep_position];
    if (entry->protocol != 0 && IsExpired(turn, *entry)) {
      Count(turn, "ended");
      RemoveFlow(turn, entry);
    }
  }
}

struct EventVisitor {
  FlowTurn& turn;
  void operator()(const PacketsArrived& event) {
    for (std::size_t i = 0; i < event.datagrams.size(); ++i) {
      Datagram datagram = event.datagrams[i];
      HandleDatagram(this->turn, i, datagram);
    }
  }
  void operator()(const FlowTick&) {
    Sweep(this->turn);
    ExpirePending(this->turn);
  }
  void operator()(const FlowHandover&) { HandOverFlows(this->turn); }
};

}  // namespace

FlowEffects Reduce(FlowTier& tier, const FlowEvent& event,
                   FlowContext context) {
  FlowEffects effects;
  FlowTurn turn{.tier = tier,
                .context = context,
                .effects = effects,
                .now_seconds = static_cast<std::uint32_t>(
                    std::chrono::duration_cast<std::chrono::seconds>(
                        context.now.time_since_epoch())
                        .count())};
  std::visit(EventVisitor{.turn = turn}, event);
  SendFlowMessages(turn);
  return effects;
}

bool StillServes(const FlowTurn& turn, const FlowEntry& entry,
                 const ServiceRule& service) {
  if (turn.tier.services[entry.service] != service.name) {
    return false;
  }
  const auto backend =
      turn.context.directory.backends.find(turn.tier.backends[entry.backend]);
  return backend == turn.context.directory.backends.end() ||
         backend->second.announcement.service() == service.name;
}

void Count(FlowTurn& turn, const char* counter) {
  turn.tier.counters[counter] += 1;
}

void RemoveFlow(FlowTurn& turn, FlowEntry* entry) {
  turn.tier.flows_per_backend[entry->backend] -= 1;
  EraseFlow(turn.tier.table, entry);
}

}  // namespace filbertwall
