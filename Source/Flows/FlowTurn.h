#pragma once

#include <map>

#include "Flows/FlowTier.h"

/// Internal to Flows: functions shared by the event handlers.
namespace filbertwall {

/// The state, the context and the effects of handling one event.
struct FlowTurn {
  FlowTier& tier;
  FlowContext& context;
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

/// Increments a counter.
void Count(FlowTurn& turn, const char* counter);
/// Removes a flow and updates the number of flows of its backend server.
void DropFlow(FlowTurn& turn, FlowEntry* entry);

/// Whether packets of the service may still go to the flow's backend server.
/// The server may be draining or silent, but must not have changed its service.
bool StillServes(const FlowTurn& turn, const FlowEntry& entry,
                 const ServiceRule& service);

/// Relays the packet to the flow's owner. On the owner, opens the flow or
/// queries the other instances for it.
void HandleMiss(FlowTurn& turn, const UnknownPacket& packet);
/// Ends queries that have timed out.
void ExpirePending(FlowTurn& turn);
/// Sends all flows to their owners and backups.
void HandOverFlows(FlowTurn& turn);

/// Sends the flow's record to the first two instances in rank, other than this
/// one.
void ReplicateToOwners(FlowTurn& turn, const FlowEntry& entry);
/// Queues a record of the flow's backend server for another instance.
void QueueFlowRecord(FlowTurn& turn, std::uint32_t to, const FlowEntry& entry);
bool IsFlowMessage(std::span<const std::uint8_t> bytes);
void HandleFlowMessage(FlowTurn& turn, std::uint32_t from,
                       std::span<const std::uint8_t> bytes);
/// Converts the queued messages into datagrams.
void SendFlowMessages(FlowTurn& turn);

}  // namespace filbertwall
