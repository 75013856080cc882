#include <algorithm>

#include "Base/Hash.h"
#include "Flows/FlowContext.h"

/// The owner's tasks: opening flows, querying other instances, and replication.
namespace filbertwall {
namespace {

/// Time to wait for all replies to a query.
constexpr Milliseconds kQueryTimeout{100};
constexpr std::size_t kMaxPending = 4096;
/// First byte of a message between instances. Geneve packets of version 0 never
/// start with it.
constexpr std::uint8_t kMessageMagic = 0xFB;
constexpr int kRecordsPerMessage = 30;

std::uint32_t InternBackend(FlowTier& tier, const Endpoint& backend) {
  const auto [item, added] = tier.backend_index.emplace(
      backend, static_cast<std::uint32_t>(tier.backends.size()));
  if (added) {
    tier.backends.push_back(backend);
    tier.flows_per_backend.push_back(0);
  }
  return item->second;
}

std::uint16_t InternServiceName(FlowTier& tier, const std::string& service) {
  const auto [item, added] = tier.service_index.emplace(
      service, static_cast<std::uint16_t>(tier.services.size()));
  if (added) {
    tier.services.push_back(service);
  }
  return item->second;
}

/// Removes the oldest half-open flow to make room for another flow. Returns
/// false when there is none.
bool EvictHalfOpen(FlowContext& context) {
  FlowTier& tier = context.tier;
  while (!tier.half_open.empty()) {
    FlowEntry* entry = FindFlow(tier.table, tier.half_open.front());
    tier.half_open.pop_front();
    if (entry != nullptr && (entry->flags & kFlowEstablished) == 0) {
      Count(context, "unproven_evicted");
      RemoveFlow(context, entry);
      return true;
    }
  }
  return false;
}

/// Adds a flow. Returns null when the table is full of established flows, which
/// take precedence over new ones.
FlowEntry* AddFlow(FlowContext& context, const PacketFlowKey& key,
                   const std::string& service, const Endpoint& backend,
                   bool established) {
  FlowTier& tier = context.tier;
  if (tier.table.size >= tier.limit && !EvictHalfOpen(context)) {
    Count(context, "table_full");
    return nullptr;
  }
  FlowEntry& entry = InsertFlow(tier.table, key);
  entry.service = InternServiceName(tier, service);
  entry.backend = InternBackend(tier, backend);
  entry.last_seen = context.now_seconds;
  entry.generation =
      static_cast<std::uint16_t>(context.environment.directory.generation);
  tier.flows_per_backend[entry.backend] += 1;
  if (established) {
    entry.flags = kFlowEstablished;
  } else {
    tier.half_open.push_back(key);
  }
  return &entry;
}

void Forward(FlowContext& context, const UnknownPacket& packet,
             const FlowEntry& entry) {
  SetNetworkIdentifier(packet.datagram->bytes,
                       NetworkIdentifierOf(packet.service->name));
  context.effects.forwarded.push_back(
      {.index = packet.index, .to = context.tier.backends[entry.backend]});
}

/// Opens a flow on its owner and forwards the packet. Sends the flow's record
/// to the backup, if not 0, and to the instance that relayed the packet.
void OpenAsOwner(FlowContext& context, const UnknownPacket& packet,
                 std::uint32_t backup) {
  const auto backend = ChooseFlowBackend(context.tier, context.environment,
                                         *packet.service, packet.info.key);
  if (!backend) {
    Count(context, "no_backend");
    return;
  }
  const bool established = !packet.info.tcp;
  const FlowEntry* entry = AddFlow(context, packet.info.key,
                                   packet.service->name, *backend, established);
  if (entry == nullptr) {
    return;
  }
  Count(context, "opened");
  Forward(context, packet, *entry);
  if (backup != 0) {
    QueueFlowRecord(context, backup, *entry);
  }
  if (packet.relayed_by != 0 && packet.relayed_by != backup) {
    QueueFlowRecord(context, packet.relayed_by, *entry);
  }
}

/// Queries the other instances about a flow that one of them must have opened.
void QueryOtherInstances(FlowContext& context, const UnknownPacket& packet,
                         const std::vector<std::uint32_t>& owners) {
  FlowTier& tier = context.tier;
  if (tier.pending.contains(packet.info.key) ||
      tier.pending.size() >= kMaxPending) {
    Count(context, "dropped_while_asking");
    return;
  }
  PendingFlow& pending = tier.pending[packet.info.key];
  pending.packet.assign(packet.datagram->bytes.begin(),
                        packet.datagram->bytes.end());
  pending.info = packet.info;
  pending.relayed_by = packet.relayed_by;
  pending.expires_at = context.environment.now + kQueryTimeout;
  for (const std::uint32_t instance : owners) {
    if (instance != tier.self) {
      pending.unanswered.insert(instance);
      context.messages[instance].add_wanted(EncodeFlowKey(packet.info.key));
    }
  }
  Count(context, "asked");
}

/// Forwards the packet that waits for replies about the flow, if there is one.
/// It goes to the backend server that another instance reported, or, if none
/// did, to the one that a new flow would get.
void ResolvePending(FlowContext& context, const PacketFlowKey& key) {
  const auto found = context.tier.pending.find(key);
  if (found == context.tier.pending.end()) {
    return;
  }
  PendingFlow pending = std::move(found->second);
  context.tier.pending.erase(found);
  const auto address =
      context.environment.rules.addresses.find(key.destination);
  if (address == context.environment.rules.addresses.end()) {
    return;
  }
  const ServiceRule& service =
      context.environment.rules.services.at(address->second.service);
  FlowEntry* entry = FindFlow(context.tier.table, key);
  if (entry == nullptr) {
    const auto backend =
        ChooseFlowBackend(context.tier, context.environment, service, key);
    if (!backend) {
      Count(context, "no_backend");
      return;
    }
    Count(context, "adopted_unknown");
    entry = AddFlow(context, key, service.name, *backend, true);
  }
  if (entry == nullptr) {
    return;
  }
  if (!StillServes(context, *entry, service)) {
    Count(context, "service_changed");
    RemoveFlow(context, entry);
    return;
  }
  SetNetworkIdentifier(pending.packet, NetworkIdentifierOf(service.name));
  context.effects.datagrams.push_back(
      {.to = context.tier.backends[entry->backend],
       .bytes = std::move(pending.packet)});
  if (pending.relayed_by != 0) {
    QueueFlowRecord(context, pending.relayed_by, *entry);
  }
}

void HandleFlowRecord(FlowContext& context, std::uint32_t from,
                      const wire::FlowRecord& record) {
  const auto key = DecodeFlowKey(record.key());
  if (!key) {
    return;
  }
  const auto pending = context.tier.pending.find(*key);
  if (record.backend_port() == 0) {  // The other instance has no entry either.
    if (pending != context.tier.pending.end()) {
      pending->second.unanswered.erase(from);
      if (pending->second.unanswered.empty()) {
        ResolvePending(context, *key);
      }
    }
    return;
  }
  const Endpoint backend{
      .ip = record.backend_ip(),
      .port = static_cast<std::uint16_t>(record.backend_port())};
  FlowEntry* known = FindFlow(context.tier.table, *key);
  if (known != nullptr) {
    known->last_seen = context.now_seconds;
    known->flags |= kFlowEstablished;
  } else {
    FlowEntry* entry = AddFlow(context, *key, record.service(), backend, true);
    if (entry != nullptr) {
      entry->generation -= 1;  // Makes `FindValidFlow` call `StillServes`.
    }
  }
  ResolvePending(context, *key);
}

void AnswerQuery(FlowContext& context, std::uint32_t to,
                 const std::string& bytes) {
  const auto key = DecodeFlowKey(bytes);
  const FlowEntry* entry = key ? FindFlow(context.tier.table, *key) : nullptr;
  if (entry != nullptr) {
    QueueFlowRecord(context, to, *entry);
    return;
  }
  context.messages[to].add_records()->set_key(bytes);
}

void AppendDatagram(FlowContext& context, std::uint32_t to,
                    const wire::FlowMessage& message) {
  FlowDatagram datagram{.to = context.tier.packet_addresses.at(to)};
  datagram.bytes.resize(1 + message.ByteSizeLong());
  datagram.bytes[0] = kMessageMagic;
  message.SerializeToArray(datagram.bytes.data() + 1,
                           static_cast<int>(datagram.bytes.size() - 1));
  context.effects.datagrams.push_back(std::move(datagram));
}

}  // namespace

void HandleUnknownPacket(FlowContext& context, const UnknownPacket& packet) {
  const std::vector<std::uint32_t> owners =
      OwnersOf(context.tier, context.environment.silent, packet.info.key);
  // A relayed packet is never relayed again, even if this instance ranks
  // another one as the owner, so that different views of the live instances
  // can't cause a forwarding loop.
  const bool relay_to_owner =
      packet.relayed_by == 0 && owners[0] != context.tier.self;
  if (relay_to_owner) {
    Count(context, "handed_to_owner");
    context.effects.forwarded.push_back(
        {.index = packet.index,
         .to = context.tier.packet_addresses.at(owners[0])});
    return;
  }
  const bool opens_flow = packet.info.syn || !packet.info.tcp;
  const bool alone = owners.size() == 1;
  if (packet.info.syn || (opens_flow && alone)) {
    const auto backup =
        std::find_if(owners.begin(), owners.end(),
                     [&](std::uint32_t id) { return id != context.tier.self; });
    OpenAsOwner(context, packet, backup == owners.end() ? 0 : *backup);
    return;
  }
  if (alone) {
    Count(context, "adopted_unknown");
    OpenAsOwner(context, packet, 0);
    return;
  }
  QueryOtherInstances(context, packet, owners);
}

void ExpirePending(FlowContext& context) {
  std::vector<PacketFlowKey> expired;
  for (const auto& [key, pending] : context.tier.pending) {
    if (context.environment.now >= pending.expires_at) {
      expired.push_back(key);
    }
  }
  for (const PacketFlowKey& key : expired) {
    ResolvePending(context, key);
  }
}

void HandOverFlows(FlowContext& context) {
  for (const FlowEntry& entry : context.tier.table.slots) {
    if (entry.protocol == 0) {
      continue;
    }
    ReplicateToOwners(context, entry);
  }
}

void ReplicateToOwners(FlowContext& context, const FlowEntry& entry) {
  constexpr int kReplicas = 2;  // The owner and the backup.
  int replicas = 0;
  for (const std::uint32_t instance :
       OwnersOf(context.tier, context.environment.silent, KeyOf(entry))) {
    if (instance != context.tier.self && replicas < kReplicas) {
      QueueFlowRecord(context, instance, entry);
      replicas += 1;
    }
  }
}

void QueueFlowRecord(FlowContext& context, std::uint32_t to,
                     const FlowEntry& entry) {
  wire::FlowRecord& record = *context.messages[to].add_records();
  const Endpoint& backend = context.tier.backends[entry.backend];
  record.set_key(EncodeFlowKey(KeyOf(entry)));
  record.set_backend_ip(backend.ip);
  record.set_backend_port(backend.port);
  record.set_service(context.tier.services[entry.service]);
}

bool IsFlowMessage(std::span<const std::uint8_t> bytes) {
  return !bytes.empty() && bytes[0] == kMessageMagic;
}

void HandleFlowMessage(FlowContext& context, std::uint32_t from,
                       std::span<const std::uint8_t> bytes) {
  wire::FlowMessage message;
  if (!message.ParseFromArray(bytes.data() + 1,
                              static_cast<int>(bytes.size() - 1))) {
    Count(context, "malformed");
    return;
  }
  for (const wire::FlowRecord& record : message.records()) {
    HandleFlowRecord(context, from, record);
  }
  for (const std::string& wanted : message.wanted()) {
    AnswerQuery(context, from, wanted);
  }
}

void SendFlowMessages(FlowContext& context) {
  for (const auto& [to, message] : context.messages) {
    wire::FlowMessage part;
    *part.mutable_wanted() = message.wanted();
    for (const wire::FlowRecord& record : message.records()) {
      *part.add_records() = record;
      if (part.records_size() == kRecordsPerMessage) {
        AppendDatagram(context, to, part);
        part.Clear();
      }
    }
    if (part.records_size() + part.wanted_size() > 0) {
      AppendDatagram(context, to, part);
    }
  }
}

}  // namespace filbertwall
