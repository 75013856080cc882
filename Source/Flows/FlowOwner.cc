#include <algorithm>

#include "Base/Hash.h"
#include "Flows/FlowTurn.h"

/// The owner's part: opening flows, asking others, telling others.
namespace filbertwall {
namespace {

constexpr Milliseconds kAnswerLimit{100};
constexpr std::size_t kMostPending = 4096;
constexpr std::uint8_t kMessageMark = 0xFB;  // No Geneve version starts so.
constexpr int kRecordsPerMessage = 30;

std::uint32_t BackendIndex(FlowTier& tier, const Endpoint& backend) {
  const auto [item, added] = tier.backend_index.emplace(
      backend, static_cast<std::uint32_t>(tier.backends.size()));
  if (added) {
    tier.backends.push_back(backend);
    tier.flows_of_backend.push_back(0);
  }
  return item->second;
}

std::uint16_t ServiceIndex(FlowTier& tier, const std::string& service) {
  const auto [item, added] = tier.service_index.emplace(
      service, static_cast<std::uint16_t>(tier.services.size()));
  if (added) {
    tier.services.push_back(service);
  }
  return item->second;
}

/// Frees a place by ending the oldest flow of which only a SYN was seen.
bool EvictUnproven(FlowTurn& turn) {
  FlowTier& tier = turn.tier;
  while (!tier.unproven.empty()) {
    FlowEntry* entry = FindFlow(tier.table, tier.unproven.front());
    tier.unproven.pop_front();
    if (entry != nullptr && (entry->flags & kFlowProven) == 0) {
      Count(turn, "unproven_evicted");
      DropFlow(turn, entry);
      return true;
    }
  }
  return false;
}

/// Null when the table is full of open flows, which win over new ones.
FlowEntry* AddFlow(FlowTurn& turn, const FlowKey& key,
                   const std::string& service, const Endpoint& backend,
                   bool proven) {
  FlowTier& tier = turn.tier;
  if (tier.table.size >= tier.limit && !EvictUnproven(turn)) {
    Count(turn, "table_full");
    return nullptr;
  }
  FlowEntry& entry = InsertFlow(tier.table, key);
  entry.service = ServiceIndex(tier, service);
  entry.backend = BackendIndex(tier, backend);
  entry.last_seen = turn.now_seconds;
  entry.generation =
      static_cast<std::uint16_t>(turn.context.directory.generation);
  tier.flows_of_backend[entry.backend] += 1;
  if (proven) {
    entry.flags = kFlowProven;
  } else {
    tier.unproven.push_back(key);
  }
  return &entry;
}

void Forward(FlowTurn& turn, const UnknownPacket& packet,
             const FlowEntry& entry) {
  SetNetworkIdentifier(packet.datagram->bytes,
                       NetworkIdentifierOf(packet.service->name));
  turn.effects.forwarded.push_back(
      {.index = packet.index, .to = turn.tier.backends[entry.backend]});
}

/// Opens a flow as its owner, and has the next in rank hold it too.
void OpenFlow(FlowTurn& turn, const UnknownPacket& packet,
              std::uint32_t backup) {
  const auto backend =
      ChooseForFlow(turn.tier, turn.context, *packet.service, packet.info.key);
  if (!backend) {
    Count(turn, "no_backend");
    return;
  }
  const bool proven = !packet.info.tcp;
  const FlowEntry* entry =
      AddFlow(turn, packet.info.key, packet.service->name, *backend, proven);
  if (entry == nullptr) {
    return;
  }
  Count(turn, "opened");
  Forward(turn, packet, *entry);
  if (backup != 0) {
    TellFlow(turn, backup, *entry);
  }
  if (packet.handed_by != 0 && packet.handed_by != backup) {
    TellFlow(turn, packet.handed_by, *entry);
  }
}

/// Asks all others for a flow that someone else must have opened.
void AskOthers(FlowTurn& turn, const UnknownPacket& packet,
               const std::vector<std::uint32_t>& owners) {
  FlowTier& tier = turn.tier;
  if (tier.pending.contains(packet.info.key) ||
      tier.pending.size() >= kMostPending) {
    Count(turn, "dropped_while_asking");
    return;
  }
  PendingFlow& pending = tier.pending[packet.info.key];
  pending.packet.assign(packet.datagram->bytes.begin(),
                        packet.datagram->bytes.end());
  pending.info = packet.info;
  pending.handed_by = packet.handed_by;
  pending.expires_at = turn.context.now + kAnswerLimit;
  for (const std::uint32_t instance : owners) {
    if (instance != tier.self) {
      pending.unanswered.insert(instance);
      turn.messages[instance].add_wanted(EncodeFlowKey(packet.info.key));
    }
  }
  Count(turn, "asked");
}

/// Sends a waiting packet on, by the record found or by the default choice.
void EndPending(FlowTurn& turn, const FlowKey& key) {
  const auto found = turn.tier.pending.find(key);
  if (found == turn.tier.pending.end()) {
    return;
  }
  PendingFlow pending = std::move(found->second);
  turn.tier.pending.erase(found);
  const auto address = turn.context.rules.addresses.find(key.destination);
  if (address == turn.context.rules.addresses.end()) {
    return;
  }
  const ServiceRule& service =
      turn.context.rules.services.at(address->second.service);
  FlowEntry* entry = FindFlow(turn.tier.table, key);
  if (entry == nullptr) {
    const auto backend = ChooseForFlow(turn.tier, turn.context, service, key);
    if (!backend) {
      Count(turn, "no_backend");
      return;
    }
    Count(turn, "adopted_unknown");
    entry = AddFlow(turn, key, service.name, *backend, true);
  }
  if (entry == nullptr) {
    return;
  }
  if (!StillServes(turn, *entry, service)) {
    Count(turn, "service_changed");
    DropFlow(turn, entry);
    return;
  }
  SetNetworkIdentifier(pending.packet, NetworkIdentifierOf(service.name));
  turn.effects.datagrams.push_back({.to = turn.tier.backends[entry->backend],
                                    .bytes = std::move(pending.packet)});
  if (pending.handed_by != 0) {
    TellFlow(turn, pending.handed_by, *entry);
  }
}

void TakeRecord(FlowTurn& turn, std::uint32_t from,
                const wire::FlowRecord& record) {
  const auto key = DecodeFlowKey(record.key());
  if (!key) {
    return;
  }
  const auto pending = turn.tier.pending.find(*key);
  if (record.backend_port() == 0) {  // The other does not know it either.
    if (pending != turn.tier.pending.end()) {
      pending->second.unanswered.erase(from);
      if (pending->second.unanswered.empty()) {
        EndPending(turn, *key);
      }
    }
    return;
  }
  const Endpoint backend{
      .ip = record.backend_ip(),
      .port = static_cast<std::uint16_t>(record.backend_port())};
  FlowEntry* held = FindFlow(turn.tier.table, *key);
  if (held != nullptr) {
    held->last_seen = turn.now_seconds;
    held->flags |= kFlowProven;
  } else {
    FlowEntry* entry = AddFlow(turn, *key, record.service(), backend, true);
    if (entry != nullptr) {
      entry->generation -= 1;  // Validated before its first use.
    }
  }
  EndPending(turn, *key);
}

void AnswerWanted(FlowTurn& turn, std::uint32_t to, const std::string& bytes) {
  const auto key = DecodeFlowKey(bytes);
  const FlowEntry* entry = key ? FindFlow(turn.tier.table, *key) : nullptr;
  if (entry != nullptr) {
    TellFlow(turn, to, *entry);
    return;
  }
  turn.messages[to].add_records()->set_key(bytes);
}

void AppendDatagram(FlowTurn& turn, std::uint32_t to,
                    const wire::FlowMessage& message) {
  FlowDatagram datagram{.to = turn.tier.packet_addresses.at(to)};
  datagram.bytes.resize(1 + message.ByteSizeLong());
  datagram.bytes[0] = kMessageMark;
  message.SerializeToArray(datagram.bytes.data() + 1,
                           static_cast<int>(datagram.bytes.size() - 1));
  turn.effects.datagrams.push_back(std::move(datagram));
}

}  // namespace

void HandleMiss(FlowTurn& turn, const UnknownPacket& packet) {
  const std::vector<std::uint32_t> owners =
      OwnersOf(turn.tier, turn.context.silent, packet.info.key);
  // A packet that was handed here stays here, whatever this instance thinks
  // of the others, so that two views can't pass it round and round.
  const bool hand_on = packet.handed_by == 0 && owners[0] != turn.tier.self;
  if (hand_on) {
    Count(turn, "handed_to_owner");
    turn.effects.forwarded.push_back(
        {.index = packet.index,
         .to = turn.tier.packet_addresses.at(owners[0])});
    return;
  }
  const bool opens = packet.info.syn || !packet.info.tcp;
  const bool alone = owners.size() == 1;
  if (packet.info.syn || (opens && alone)) {
    const auto backup =
        std::find_if(owners.begin(), owners.end(),
                     [&](std::uint32_t id) { return id != turn.tier.self; });
    OpenFlow(turn, packet, backup == owners.end() ? 0 : *backup);
    return;
  }
  if (alone) {
    Count(turn, "adopted_unknown");
    OpenFlow(turn, packet, 0);
    return;
  }
  AskOthers(turn, packet, owners);
}

void ExpirePending(FlowTurn& turn) {
  std::vector<FlowKey> expired;
  for (const auto& [key, pending] : turn.tier.pending) {
    if (turn.context.now >= pending.expires_at) {
      expired.push_back(key);
    }
  }
  for (const FlowKey& key : expired) {
    EndPending(turn, key);
  }
}

void HandOverFlows(FlowTurn& turn) {
  for (const FlowEntry& entry : turn.tier.table.slots) {
    if (entry.protocol == 0) {
      continue;
    }
    TellOwners(turn, entry);
  }
}

void TellOwners(FlowTurn& turn, const FlowEntry& entry) {
  constexpr int kHolders = 2;  // the owner and the next in rank
  int told = 0;
  for (const std::uint32_t instance :
       OwnersOf(turn.tier, turn.context.silent, KeyOf(entry))) {
    if (instance != turn.tier.self && told < kHolders) {
      TellFlow(turn, instance, entry);
      told += 1;
    }
  }
}

void TellFlow(FlowTurn& turn, std::uint32_t to, const FlowEntry& entry) {
  wire::FlowRecord& record = *turn.messages[to].add_records();
  const Endpoint& backend = turn.tier.backends[entry.backend];
  record.set_key(EncodeFlowKey(KeyOf(entry)));
  record.set_backend_ip(backend.ip);
  record.set_backend_port(backend.port);
  record.set_service(turn.tier.services[entry.service]);
}

bool IsFlowMessage(std::span<const std::uint8_t> bytes) {
  return !bytes.empty() && bytes[0] == kMessageMark;
}

void HandleFlowMessage(FlowTurn& turn, std::uint32_t from,
                       std::span<const std::uint8_t> bytes) {
  wire::FlowMessage message;
  if (!message.ParseFromArray(bytes.data() + 1,
                              static_cast<int>(bytes.size() - 1))) {
    Count(turn, "malformed");
    return;
  }
  for (const wire::FlowRecord& record : message.records()) {
    TakeRecord(turn, from, record);
  }
  for (const std::string& wanted : message.wanted()) {
    AnswerWanted(turn, from, wanted);
  }
}

void SendFlowMessages(FlowTurn& turn) {
  for (const auto& [to, message] : turn.messages) {
    wire::FlowMessage part;
    *part.mutable_wanted() = message.wanted();
    for (const wire::FlowRecord& record : message.records()) {
      *part.add_records() = record;
      if (part.records_size() == kRecordsPerMessage) {
        AppendDatagram(turn, to, part);
        part.Clear();
      }
    }
    if (part.records_size() + part.wanted_size() > 0) {
      AppendDatagram(turn, to, part);
    }
  }
}

}  // namespace filbertwall
