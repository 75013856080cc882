#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Base/Event.h"
#include "Base/Time.h"
#include "Control/Replica.h"
#include "Wire/distribution.pb.h"

/// Types that entry instances and control instances of a fleet share.
///
/// The instances discover each other at run time; each is identified by its
/// IPv4 address.
namespace filbertwall {

/// IPv4 address of an instance in host byte order; also its replica id.
using InstanceAddress = std::uint32_t;

/// Settings that both kinds of instance use.
struct FleetConfig {
  InstanceAddress self = 0;
  std::string data_centre;
  /// Control instances listed in the settings, which are contacted first.
  std::set<InstanceAddress> seeds;
  /// Number of voters whose disks may be lost at once.
  std::uint32_t tolerated_losses = 1;
  /// Time between two reports of a backend server.
  Milliseconds announce_interval{1000};
  /// Whether new flows are refused when their answer would come too late.
  bool refuse_overload = true;
  std::map<std::string, std::string> regions;  ///< By data centre.
  /// Whether callers that ask for the most are refused first.
  bool fair_callers = false;
  /// Whether new flows are placed by the speed of servers and the load of data
  /// centres.
  bool balance_by_load = false;
  std::uint64_t incarnation = 0;  ///< Differs at each start.
};

/// A message received from another instance.
struct PeerMessage {
  InstanceAddress from = 0;
  wire::FleetMessage message;
};

/// Effect: sends a message once. Delivery is not guaranteed; a sender that
/// needs an answer repeats its request.
struct SendMessage {
  InstanceAddress to = 0;
  wire::FleetMessage message;
};

/// The part of a control instance's registry that has been received from it.
struct RegistryPosition {
  std::uint64_t epoch = 0;   ///< Identifies the start of that instance.
  std::uint64_t change = 0;  ///< All changes up to this one are received.
};

/// Returns the rules_status that the sender of `update` states about itself.
/// The `instance` field is not set.
wire::RulesStatus ExtractRulesStatus(const wire::Update& update);

/// Advances `position` to the last change that `update` contains. Leaves it
/// unchanged if the update starts after `position`, since the changes between
/// would be skipped, or states no position. After a restart of the sender, only
/// an update that starts at change 0 is accepted.
void AdvancePosition(RegistryPosition& position, const wire::Update& update);

/// Returns whether to confirm an update at once, as its sender asks. Only a
/// position beyond the start of the update is news to the sender; otherwise two
/// instances could send each other the same messages without pause.
bool MayConfirm(const RegistryPosition& position, const wire::Update& update);

}  // namespace filbertwall
