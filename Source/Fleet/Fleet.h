#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Base/Event.h"
#include "Base/Time.h"
#include "Control/Replica.h"
#include "Wire/distribution.pb.h"

/// What the instances of a fleet have in common: instances that find each other
/// at run time, each known by its IPv4 address.
namespace filbertwall {

/// An instance's IPv4 address in host byte order; also its id in control.
using InstanceAddress = std::uint32_t;

/// Settings that both kinds of instance use.
struct FleetConfig {
  InstanceAddress self = 0;
  std::string data_centre;
  std::set<InstanceAddress> seeds;       ///< Control instances to ask first.
  std::uint32_t tolerated_losses = 1;    ///< Disks that may be lost at once.
  Milliseconds announce_interval{1000};  ///< Between a server's reports.
  bool refuse_overload = true;    ///< New flows that would be served too late.
  std::uint64_t incarnation = 0;  ///< Differs at each start.
};

/// A message of another instance.
struct PeerMessage {
  InstanceAddress from = 0;
  wire::FleetMessage message;
};

/// Sends a message once; whoever needs an answer asks again.
struct SendMessage {
  InstanceAddress to = 0;
  wire::FleetMessage message;
};

/// How far the records of one control instance have arrived here.
struct RegistryPosition {
  std::uint64_t epoch = 0;   ///< The start of that control instance.
  std::uint64_t change = 0;  ///< All changes up to it have arrived.
};

/// What the sender of `update` says that it knows; its address is left out.
wire::Knowledge KnowledgeIn(const wire::Update& update);

/// Moves on when the records of `update` follow on what has arrived.
void NoteContents(RegistryPosition& position, const wire::Update& update);

}  // namespace filbertwall
