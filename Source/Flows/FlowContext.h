#pragma once

#include <map>

#include "Flows/FlowTier.h"

/// Internal to Flows: functions shared by the event handlers.
namespace filbertwall {

/// The state, the environment and the effects of handling one event.
struct FlowContext {
  FlowTier& tier;
  FlowEnvironment& environment;
  FlowEffects& effects;
  std::uint32_t now_seconds = 0;
  std::map<std::uint32_t, wire::FlowMessage> messages;  ///< By receiver.
};

/// A packet of a flow that is not in this instance's table.
struct UnknownPacket {
  std::size_t index = 0;
  Datagram* datagram = nullptr;
  PacketInfo info;
  const ServiceRule* service = nullptr;
  std::uint32_t relayed_by = 0;  ///< 0: received from the network fabric.
};

/// Increments the counter of that name.
void Count(FlowContext& context, const char* counter);
/// Removes a flow and updates the number of flows of its backend server.
void RemoveFlow(FlowContext& context, FlowEntry* entry);

/// Whether packets of the service may still go to the flow's backend server.
/// False when the entry belongs to another service, or when the server now
/// announces another one. A draining, silent or unlisted server is accepted.
bool StillServes(const FlowContext& context, const FlowEntry& entry,
                 const ServiceRule& service);

/// Relays the packet to the flow's owner. If this instance is the owner or the
/// packet was relayed to it, opens the flow or queries the other instances.
void HandleUnknownPacket(FlowContext& context, const UnknownPacket& packet);
/// Ends queries that have timed out.
void ExpirePending(FlowContext& context);
/// Queues the records of all flows as `ReplicateToOwners` does.
void HandOverFlows(FlowContext& context);

/// Queues the flow's record for the two highest-ranked instances other than
/// this one (see `OwnersOf`).
void ReplicateToOwners(FlowContext& context, const FlowEntry& entry);
/// Queues a record of the flow's backend server for another instance.
void QueueFlowRecord(FlowContext& context, std::uint32_t to,
                     const FlowEntry& entry);
/// Whether the datagram is a message from another instance, not a packet.
bool IsFlowMessage(std::span<const std::uint8_t> bytes);
/// Handles the records and queries of a message. Precondition: `IsFlowMessage`.
void HandleFlowMessage(FlowContext& context, std::uint32_t from,
                       std::span<const std::uint8_t> bytes);
/// Converts the queued messages into datagrams of at most 30 records.
void SendFlowMessages(FlowContext& context);

}  // namespace filbertwall
