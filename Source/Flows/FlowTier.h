#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "Backends/Directory.h"
#include "Base/Time.h"
#include "Flows/FlowTable.h"
#include "Flows/Packet.h"
#include "Rules/Rules.h"
#include "Wire/wire.pb.h"

/// Connection tracking: chooses the backend server for each packet.
///
/// Rendezvous hashing assigns each flow an owner among the live instances. An
/// instance without an entry for a packet's flow relays the packet to the
/// owner, which replies with the flow's backend server. See
/// docs/design/0005-flows.md. Not thread safe.
namespace filbertwall {

/// A received datagram, sent by the network fabric or by another instance.
struct Datagram {
  std::span<std::uint8_t> bytes;
  Endpoint from;
};

/// A packet of an unknown flow that waits for other instances' replies.
struct PendingFlow {
  std::vector<std::uint8_t> packet;
  PacketInfo info;
  /// Instance that relayed the packet, and that is sent the flow's record; 0:
  /// none.
  std::uint32_t relayed_by = 0;
  std::set<std::uint32_t> unanswered;  ///< Instances yet to reply.
  TimePoint expires_at;
};

/// Connection tracking state of one instance.
struct FlowTier {
  std::uint32_t self = 0;
  std::uint32_t limit = 1000000;  ///< Maximum number of flows.
  std::map<std::uint32_t, Endpoint> packet_addresses;  ///< Other instances.
  std::map<Endpoint, std::uint32_t> instances;         ///< The reverse.
  FlowTable table;
  /// Flows added as half-open, oldest first. May list flows that have since
  /// been established or removed.
  std::deque<PacketFlowKey> half_open;
  std::vector<Endpoint> backends;
  std::map<Endpoint, std::uint32_t> backend_index;
  std::vector<std::uint64_t> flows_per_backend;  ///< By index.
  std::vector<std::string> services;
  std::map<std::string, std::uint16_t> service_index;
  std::map<PacketFlowKey, PendingFlow> pending;
  std::size_t sweep_position = 0;  ///< Slot that `FlowTick` checked last.
  std::map<std::string, std::uint64_t> counters;
};

struct FlowEnvironment {
  const Rules& rules;
  const Directory& directory;
  const std::set<std::uint32_t>& silent;  ///< Instances presumed down.
  bool stopping = false;                  ///< Not used.
  TimePoint now;
};

/// A batch of received packets.
struct PacketsArrived {
  std::vector<Datagram> datagrams;
};
/// Removes expired flows from a part of the table, and ends queries that have
/// timed out.
struct FlowTick {};
/// This instance is about to stop; its flows are sent to the other instances.
struct FlowHandover {};
using FlowEvent = std::variant<PacketsArrived, FlowTick, FlowHandover>;

/// Forwards datagram number `index` of the event. `Reduce` has modified its
/// bytes in place if it goes to a backend server.
struct ForwardedPacket {
  std::size_t index = 0;
  Endpoint to;
};
/// Sends a new datagram.
struct FlowDatagram {
  Endpoint to;
  std::vector<std::uint8_t> bytes;
};
struct FlowEffects {
  std::vector<ForwardedPacket> forwarded;
  std::vector<FlowDatagram> datagrams;
};

/// Handles one event: updates the state and returns the datagrams to send.
FlowEffects Reduce(FlowTier& tier, const FlowEvent& event,
                   FlowEnvironment environment);

/// Returns the live instances, including this one, ranked by their rendezvous
/// hash for the flow: the owner first, then its backups. At most 16 are
/// returned; present deployments have no more instances than that.
std::vector<std::uint32_t> OwnersOf(const FlowTier& tier,
                                    const std::set<std::uint32_t>& silent,
                                    const PacketFlowKey& key);

/// Returns the backend server for a new flow; empty when no server is
/// available.
std::optional<Endpoint> ChooseFlowBackend(const FlowTier& tier,
                                          const FlowEnvironment& environment,
                                          const ServiceRule& service,
                                          const PacketFlowKey& key);

}  // namespace filbertwall
