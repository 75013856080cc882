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

/// Decides where each packet goes.
///
/// Each flow has an owner among the live instances, by rendezvous hashing. A
/// packet of a flow that an instance does not hold is handed to the owner,
/// which answers with the flow's backend server. See docs/design/0005-flows.md.
/// Not thread safe.
namespace filbertwall {

struct Datagram {
  std::span<std::uint8_t> bytes;
  Endpoint from;
};

/// A packet that waits until the other instances have been asked about it.
struct PendingFlow {
  std::vector<std::uint8_t> packet;
  PacketInfo info;
  std::uint32_t handed_by = 0;
  std::set<std::uint32_t> unanswered;
  TimePoint expires_at;
};

struct FlowTier {
  std::uint32_t self = 0;
  std::uint32_t limit = 1000000;
  std::map<std::uint32_t, Endpoint> packet_addresses;  ///< Other instances.
  std::map<Endpoint, std::uint32_t> instances;         ///< The reverse.
  FlowTable table;
  std::deque<FlowKey> unproven;  ///< Oldest first; may name flows gone since.
  std::vector<Endpoint> backends;
  std::map<Endpoint, std::uint32_t> backend_index;
  std::vector<std::uint64_t> flows_of_backend;  ///< By index.
  std::vector<std::string> services;
  std::map<std::string, std::uint16_t> service_index;
  std::map<FlowKey, PendingFlow> pending;
  std::size_t sweep_at = 0;
  std::map<std::string, std::uint64_t> counters;
};

struct FlowContext {
  const Rules& rules;
  const Directory& directory;
  const std::set<std::uint32_t>& silent;  ///< Instances thought to be down.
  bool stopping = false;
  TimePoint now;
};

/// Packets that arrived together.
struct PacketsArrived {
  std::vector<Datagram> datagrams;
};
struct FlowTick {};
/// This instance is about to end; its flows go to those who carry on.
struct FlowHandover {};
using FlowEvent = std::variant<PacketsArrived, FlowTick, FlowHandover>;

/// Sends datagram number `index` of the event on, as it now is.
struct ForwardedPacket {
  std::size_t index = 0;
  Endpoint to;
};
/// Sends bytes of its own.
struct FlowDatagram {
  Endpoint to;
  std::vector<std::uint8_t> bytes;
};
struct FlowEffects {
  std::vector<ForwardedPacket> forwarded;
  std::vector<FlowDatagram> datagrams;
};

FlowEffects Reduce(FlowTier& tier, const FlowEvent& event, FlowContext context);

/// The first live instances in the order in which they own the flow; all of
/// them in a deployment of today's size.
std::vector<std::uint32_t> OwnersOf(const FlowTier& tier,
                                    const std::set<std::uint32_t>& silent,
                                    const FlowKey& key);

/// The backend server of a new flow; empty when there is none.
std::optional<Endpoint> ChooseForFlow(const FlowTier& tier,
                                      const FlowContext& context,
                                      const ServiceRule& service,
                                      const FlowKey& key);

}  // namespace filbertwall
