#include "Flows/FlowTier.h"

#include <algorithm>

#include "Flows/FlowTurn.h"

namespace filbertwall {
namespace {

constexpr std::uint32_t kUnprovenSeconds = 5;
constexpr std::uint32_t kClosingSeconds = 10;
constexpr std::uint32_t kIdleSeconds = 600;
constexpr std::uint32_t kRefreshSeconds = 60;
constexpr std::uint16_t kRepeatsUntilSilent = 4;
constexpr std::size_t kSweepShare = 500;

/// The rules' service of a destination; null when packets are not for it.
const ServiceRule* ServiceOf(const FlowContext& context, const FlowKey& key) {
  const auto address = context.rules.addresses.find(key.destination);
  if (address == context.rules.addresses.end()) {
    return nullptr;
  }
  const ServiceRule& service =
      context.rules.services.at(address->second.service);
  return service.protocol == Protocol::kPackets ? &service : nullptr;
}

/// Whether those who must hold the flow should hear that it is still used. They
/// may never see a packet of it themselves.
bool WantsRefresh(const FlowTurn& turn, const FlowEntry& entry,
                  const PacketInfo& info) {
  const bool newly_proven = !info.syn && (entry.flags & kFlowProven) == 0;
  const bool new_period =
      turn.now_seconds / kRefreshSeconds != entry.last_seen / kRefreshSeconds;
  return newly_proven || new_period;
}

void NoteProgress(FlowTurn& turn, FlowEntry& entry, const PacketInfo& info) {
  const bool refresh = WantsRefresh(turn, entry, info);
  entry.last_seen = turn.now_seconds;
  if (!info.syn) {
    entry.flags |= kFlowProven;
  }
  if (refresh) {
    TellOwners(turn, entry);
  }
  if (info.fin) {
    entry.flags |= kFlowClosing;
  }
  if (!info.tcp || !info.has_data) {
    return;
  }
  entry.repeats = info.sequence == entry.sequence ? entry.repeats + 1 : 0;
  entry.sequence = info.sequence;
  const bool silent = entry.repeats >= kRepeatsUntilSilent;
  if (silent && (entry.flags & kFlowSilent) == 0) {
    entry.flags |= kFlowSilent;
    Count(turn, "silent");
  }
  if (entry.repeats == 0) {
    entry.flags &= static_cast<std::uint8_t>(~kFlowSilent);
  }
}

/// A held flow that may be used; drops it when its service has changed.
FlowEntry* FindUsable(FlowTurn& turn, const PacketInfo& info,
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
    DropFlow(turn, entry);
    return nullptr;
  }
  entry->generation = generation;
  return entry;
}

void HandleDatagram(FlowTurn& turn, std::size_t index, Datagram& datagram) {
  const auto sender = turn.tier.instances.find(datagram.from);
  const std::uint32_t handed_by =
      sender == turn.tier.instances.end() ? 0 : sender->second;
  if (handed_by != 0 && IsFlowMessage(datagram.bytes)) {
    HandleFlowMessage(turn, handed_by, datagram.bytes);
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
  FlowEntry* entry = FindUsable(turn, *info, *service);
  if (entry != nullptr) {
    NoteProgress(turn, *entry, *info);
    SetNetworkIdentifier(datagram.bytes, NetworkIdentifierOf(service->name));
    turn.effects.forwarded.push_back(
        {.index = index, .to = turn.tier.backends[entry->backend]});
    if (handed_by != 0) {
      TellFlow(turn, handed_by, *entry);
    }
    return;
  }
  HandleMiss(turn, UnknownPacket{.index = index,
                                 .datagram = &datagram,
                                 .info = *info,
                                 .service = service,
                                 .handed_by = handed_by});
}

bool IsOver(const FlowTurn& turn, const FlowEntry& entry) {
  const std::uint32_t idle = turn.now_seconds - entry.last_seen;
  if ((entry.flags & kFlowClosing) != 0) {
    return idle > kClosingSeconds;
  }
  if ((entry.flags & kFlowProven) == 0) {
    return idle > kUnprovenSeconds;
  }
  return idle > kIdleSeconds;
}

/// Looks at a share of the table, so that no tick takes long.
void Sweep(FlowTurn& turn) {
  FlowTable& table = turn.tier.table;
  std::size_t steps = table.slots.size() / kSweepShare + 1;
  while (steps > 0 && !table.slots.empty()) {
    steps -= 1;
    turn.tier.sweep_at = (turn.tier.sweep_at + 1) % table.slots.size();
    FlowEntry* entry = &table.slots[turn.tier.sweep_at];
    if (entry->protocol != 0 && IsOver(turn, *entry)) {
      Count(turn, "ended");
      DropFlow(turn, entry);
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

void DropFlow(FlowTurn& turn, FlowEntry* entry) {
  turn.tier.flows_of_backend[entry->backend] -= 1;
  EraseFlow(turn.tier.table, entry);
}

}  // namespace filbertwall
