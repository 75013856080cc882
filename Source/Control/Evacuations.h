#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Control/Replica.h"

/// Evacuations of data centres in the replicated state of the control
/// instances. The backend servers of an evacuated data centre get no new flow.
/// Pure functions on plain values; thread safe.
namespace filbertwall {

/// Maximum number of data centres that are evacuated at once.
inline constexpr int kMaxEvacuations = 64;
/// Bit of `HeartbeatAck.features`: the sender applies evacuation changes.
inline constexpr std::uint32_t kEvacuationsFeature = 1;
/// All features of this build.
inline constexpr std::uint32_t kOwnFeatures = kEvacuationsFeature;
/// An evacuation change is not proposed when it was submitted longer ago than
/// this: its caller has given up after a second and may have had the opposite
/// change accepted by another instance.
inline constexpr Milliseconds kMaxEvacuationWait{700};

/// Returns whether the data centre is evacuated.
bool IsEvacuated(const wire::ControlState& state, std::string_view data_centre);

/// Applies the evacuation change of the committed entry `seq`. A change that is
/// in force already leaves the recorded requester as it is.
void ApplyEvacuation(wire::ControlState& state, std::uint64_t seq,
                     const wire::EvacuationChange& change);

/// Returns whether this replica is the leader, and the voters that it has heard
/// in this leadership are a majority and all apply evacuation changes. A build
/// that does not would store such an entry and leave it out of its state. A
/// voter that is lost or cut off does not count against it: data centres are
/// evacuated just then. Once it is back it is sent the whole state, which an
/// older build keeps unread.
bool KnowsEvacuations(const Replica& replica);

/// Returns the sequence number of the newest evacuation change that this
/// replica has committed or stored; 0 if there is none.
std::uint64_t NewestEvacuationSeq(const Replica& replica);

/// The answer to an evacuation change that is not proposed.
struct EvacuationDecision {
  wire::Verdict verdict = wire::UNKNOWN;
  std::string reason;
};

/// Returns the answer to a submitted evacuation change, or nothing when it is
/// to be queued or proposed. A change that is in force already is accepted
/// without an entry only if no other evacuation change is proposed or queued.
/// Precondition: this replica is the leader.
std::optional<EvacuationDecision> DecideEvacuation(
    const Replica& replica, const ControlSubmitted& submitted, TimePoint now);

}  // namespace filbertwall
