#include "Flows/FlowTier.h"

#include <algorithm>

#include "Flows/FlowContext.h"

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
const ServiceRule* ServiceOf(const FlowEnvironment& environment,
                             const PacketFlowKey& key) {
  const auto address = environment.rules.addresses.find(key.destination);
  if (address == environment.rules.addresses.end()) {
    return nullptr;
  }
  const ServiceRule& service =
      environment.rules.services.at(address->second.service);
  return service.protocol == Protocol::kPackets ? &service : nullptr;
}

/// Whether to send the flow's record to its owners, which would otherwise
/// remove the flow as idle: they may not receive any of its packets themselves.
bool NeedsRefresh(const FlowContext& context, const FlowEntry& entry,
                  const PacketInfo& info) {
  const bool newly_established =
      !info.syn && (entry.flags & kFlowEstablished) == 0;
  const bool new_period = context.now_seconds / kRefreshIntervalSeconds !=
                          entry.last_seen / kRefreshIntervalSeconds;
  return newly_established || new_period;
}

void UpdateFlow(FlowContext& context, FlowEntry& entry,
                const PacketInfo& info) {
  const bool refresh = NeedsRefresh(context, entry, info);
  entry.last_seen = context.now_seconds;
  if (!info.syn) {
    entry.flags |= kFlowEstablished;
  }
  if (refresh) {
    ReplicateToOwners(context, entry);
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
    Count(context, "silent");
  }
  if (entry.repeats == 0) {
    entry.flags &= static_cast<std::uint8_t>(~kFlowSilent);
  }
}

/// Returns the flow's entry if it is valid. Removes an entry whose service has
/// changed, or that a SYN reopens after a FIN or RST.
FlowEntry* FindValidFlow(FlowContext& context, const PacketInfo& info,
                         const ServiceRule& service) {
  FlowEntry* entry = FindFlow(context.tier.table, info.key);
  if (entry == nullptr) {
    return nullptr;
  }
  const auto generation =
      static_cast<std::uint16_t>(context.environment.directory.generation);
  const bool reopened = info.syn && (entry->flags & kFlowClosing) != 0;
  const bool changed =
      entry->generation != generation && !StillServes(context, *entry, service);
  if (reopened || changed) {
    Count(context, changed ? "service_changed" : "reopened");
    RemoveFlow(context, entry);
    return nullptr;
  }
  entry->generation = generation;
  return entry;
}

void HandleDatagram(FlowContext& context, std::size_t index,
                    Datagram& datagram) {
  const auto sender = context.tier.instances.find(datagram.from);
  const std::uint32_t relayed_by =
      sender == context.tier.instances.end() ? 0 : sender->second;
  if (relayed_by != 0 && IsFlowMessage(datagram.bytes)) {
    HandleFlowMessage(context, relayed_by, datagram.bytes);
    return;
  }
  const auto info = ReadPacket(datagram.bytes);
  if (!info) {
    Count(context, "malformed");
    return;
  }
  const ServiceRule* service = ServiceOf(context.environment, info->key);
  if (service == nullptr) {
    Count(context, "no_service");
    return;
  }
  FlowEntry* entry = FindValidFlow(context, *info, *service);
  if (entry != nullptr) {
    UpdateFlow(context, *entry, *info);
    SetNetworkIdentifier(datagram.bytes, NetworkIdentifierOf(service->name));
    context.effects.forwarded.push_back(
        {.index = index, .to = context.tier.backends[entry->backend]});
    if (relayed_by != 0) {
      QueueFlowRecord(context, relayed_by, *entry);
    }
    return;
  }
  HandleUnknownPacket(context, UnknownPacket{.index = index,
                                             .datagram = &datagram,
                                             .info = *info,
                                             .service = service,
                                             .relayed_by = relayed_by});
}

bool IsExpired(const FlowContext& context, const FlowEntry& entry) {
  const std::uint32_t idle = context.now_seconds - entry.last_seen;
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
void Sweep(FlowContext& context) {
  FlowTable& table = context.tier.table;
  std::size_t steps = table.slots.size() / kTicksPerSweep + 1;
  while (steps > 0 && !table.slots.empty()) {
    steps -= 1;
    context.tier.sweep_position =
        (context.tier.sweep_position + 1) % table.slots.size();
    FlowEntry* entry = &table.slots[context.tier.sweep_position];
    if (entry->protocol != 0 && IsExpired(context, *entry)) {
      Count(context, "ended");
      RemoveFlow(context, entry);
    }
  }
}

struct EventVisitor {
  FlowContext& context;
  void operator()(const PacketsArrived& event) {
    for (std::size_t i = 0; i < event.datagrams.size(); ++i) {
      Datagram datagram = event.datagrams[i];
      HandleDatagram(this->context, i, datagram);
    }
  }
  void operator()(const FlowTick&) {
    Sweep(this->context);
    ExpirePending(this->context);
  }
  void operator()(const FlowHandover&) { HandOverFlows(this->context); }
};

}  // namespace

FlowEffects Reduce(FlowTier& tier, const FlowEvent& event,
                   FlowEnvironment environment) {
  FlowEffects effects;
  FlowContext context{.tier = tier,
                      .environment = environment,
                      .effects = effects,
                      .now_seconds = static_cast<std::uint32_t>(
                          std::chrono::duration_cast<std::chrono::seconds>(
                              environment.now.time_since_epoch())
                              .count())};
  std::visit(EventVisitor{.context = context}, event);
  SendFlowMessages(context);
  return effects;
}

bool StillServes(const FlowContext& context, const FlowEntry& entry,
                 const ServiceRule& service) {
  if (context.tier.services[entry.service] != service.name) {
    return false;
  }
  const auto backend = context.environment.directory.backends.find(
      context.tier.backends[entry.backend]);
  return backend == context.environment.directory.backends.end() ||
         backend->second.announcement.service() == service.name;
}

void Count(FlowContext& context, const char* counter) {
  context.tier.counters[counter] += 1;
}

void RemoveFlow(FlowContext& context, FlowEntry* entry) {
  context.tier.flows_per_backend[entry->backend] -= 1;
  EraseFlow(context.tier.table, entry);
}

}  // namespace filbertwall
