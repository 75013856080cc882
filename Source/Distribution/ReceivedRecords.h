#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Base/InputError.h"
#include "Base/Time.h"
#include "Wire/distribution.pb.h"

/// Checks what other instances send and what was stored by an earlier build.
///
/// A record that cannot be used is removed from its message and counted; the
/// rest of the message is kept. Pure functions on plain values; thread safe.
namespace filbertwall {

/// Maximum number of addresses in one list of control instances.
inline constexpr int kMaxControlInstances = 256;

/// Maximum counts of flows of one server that ended at one instance between two
/// of its messages.
inline constexpr std::uint32_t kMaxOutcomesPerServer = 1'000'000;

/// Maximum number of data centres that are evacuated by commands, and by the
/// rules.
inline constexpr int kMaxEvacuatedDataCentres = 64;
/// Limits on what is said about servers that warm up.
inline constexpr std::uint32_t kMaxWarmupFlowsPerSecond = 1'000'000;
inline constexpr std::uint32_t kMaxServiceWarmupMs = 3'600'000;
/// Maximum duration of one flow in flow outcomes.
inline constexpr Milliseconds kMaxFlowDuration{std::chrono::minutes(10)};

/// The records that were set aside.
struct SetAsideRecords {
  InputErrorCounts counts;
  std::uint64_t total = 0;
  /// The first of them.
  InputError first_error = InputError::kNotReadable;
  std::size_t first_bytes = 0;
  std::string first_excerpt;
};

/// Counts a record that is set aside.
void SetAside(SetAsideRecords& records, InputError error,
              std::string_view bytes);

/// Adds the counts of `records` to `totals`.
void AddCounts(InputErrorCounts& totals, const SetAsideRecords& records);

/// Returns the log text on records that were set aside. `source` says where
/// they came from.
std::string FormatSetAside(const SetAsideRecords& records,
                           const std::string& source);

/// Returns whether `name` can name a server, service or data centre: 1 to 200
/// bytes of UTF-8.
bool IsName(std::string_view name);

/// Returns why a server record cannot be used, or nothing if it can.
std::optional<InputError> CheckReceivedServer(const wire::ServerRecord& record);

/// Returns why a route cannot be used, or nothing if it can.
std::optional<InputError> CheckReceivedRoute(const wire::Route& route);

/// Removes server records that cannot be used.
void CheckServers(
    google::protobuf::RepeatedPtrField<wire::ServerRecord>& servers,
    SetAsideRecords& records);

/// Removes what cannot be used from an update. A route whose address is valid
/// but whose treatment cannot be read is kept without any service that has
/// servers: its new flows are refused, as neither an older treatment nor the
/// absence of the route is what was accepted.
void CheckUpdate(wire::Update& update, SetAsideRecords& records);

/// Returns why a message about the control log cannot be used, or nothing if it
/// can. Numbers that rise by one are far from the largest one, so that the next
/// one exists.
std::optional<InputError> CheckControlMessage(
    const wire::ControlMessage& message);

/// Removes flow outcomes whose counts are impossible.
void CheckOutcomes(wire::Outcomes& outcomes, SetAsideRecords& records);

/// Removes demands that cannot be used.
void CheckWarmupRequest(wire::WarmupRequest& request, SetAsideRecords& records);

/// Removes leases that cannot be used.
void CheckWarmupGrant(wire::WarmupGrant& grant, SetAsideRecords& records);

/// Removes what cannot be used from a request.
void CheckSubscribe(wire::Subscribe& subscribe, SetAsideRecords& records);

}  // namespace filbertwall
