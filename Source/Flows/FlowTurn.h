#pragma once

#include <map>

#include "Flows/FlowTier.h"

/// Internal to Flows: the steps that its reducers share.
namespace filbertwall {

struct FlowTurn {
  FlowTier& tier;
  FlowContext& context;
  FlowEffects& effects;
  std::uint32_t now_seconds = 0;
  std::map<std::uint32_t, wire::FlowMessage> messages;  ///< By receiver.
};

/// A packet whose flow this instance does not hold.
struct UnknownPacket {
  std::size_t index = 0;
  Datagram* datagram = nullptr;
  PacketInfo info;
  const ServiceRule* service = nullptr;
  std::uint32_t handed_by = 0;  ///< 0: it came from the fabric.
};

void Count(FlowTurn& turn, const char* counter);
void DropFlow(FlowTurn& turn, FlowEntry* entry);

/// Whether the flow's backend server may still get packets of the service. It
/// may be draining or silent, but must not serve another service by now.
bool StillServes(const FlowTurn& turn, const FlowEntry& entry,
                 const ServiceRule& service);

/// Hands the packet to its owner, or as the owner opens or asks for the flow.
void HandleMiss(FlowTurn& turn, const UnknownPacket& packet);
/// Gives up on questions that were not answered in time.
void ExpirePending(FlowTurn& turn);
void HandOverFlows(FlowTurn& turn);

/// Tells the owner and the next in rank, other than this instance.
void TellOwners(FlowTurn& turn, const FlowEntry& entry);
/// Queues the flow's backend server for another instance.
void TellFlow(FlowTurn& turn, std::uint32_t to, const FlowEntry& entry);
bool IsFlowMessage(std::span<const std::uint8_t> bytes);
void HandleFlowMessage(FlowTurn& turn, std::uint32_t from,
                       std::span<const std::uint8_t> bytes);
/// Turns the queued messages into datagrams.
void SendFlowMessages(FlowTurn& turn);

}  // namespace filbertwall
