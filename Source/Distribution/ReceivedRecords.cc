#include "Distribution/ReceivedRecords.h"

#include <algorithm>
#include <functional>
#include <set>

#include "Registry/Registry.h"

namespace filbertwall {
namespace {

constexpr std::size_t kMaxNameBytes = 200;
/// Includes fields that this build does not know.
constexpr std::size_t kMaxRecordBytes = 4096;
constexpr int kMaxServersPerUpdate = 10000;
/// Of rounds and of log positions.
constexpr std::uint64_t kMaxNumber = std::uint64_t{1} << 62U;

using AddressList = google::protobuf::RepeatedField<std::uint32_t>;

/// Returns the error of a name, or nothing if it can be used.
std::optional<InputError> CheckName(std::string_view name,
                                    std::size_t max_bytes = kMaxNameBytes) {
  if (name.empty()) {
    return InputError::kMissingField;
  }
  if (name.size() > max_bytes) {
    return InputError::kTooLarge;
  }
  return IsUtf8(name) ? std::nullopt : std::optional(InputError::kNotUtf8);
}

/// Leaves a route that refuses new flows: no server has an empty service name.
void RefuseFlows(wire::Route& route) {
  wire::Route refusing;
  refusing.set_ip(route.ip());
  refusing.set_port(route.port());
  refusing.add_shares()->set_weight(1);
  route = std::move(refusing);
}

bool HasAddress(const wire::Route& route) {
  return route.ip() != 0 && route.port() != 0 && route.port() <= UINT16_MAX;
}

void CheckRoutes(wire::RoutesUpdate& routes, SetAsideRecords& records) {
  auto& set = *routes.mutable_set();
  for (wire::Route& route : set) {
    const auto error = CheckReceivedRoute(route);
    if (error) {
      SetAside(records, *error, route.SerializeAsString());
    }
    if (error && HasAddress(route)) {
      RefuseFlows(route);
    }
  }
  set.erase(
      std::remove_if(set.begin(), set.end(),
                     [](const auto& route) { return !HasAddress(route); }),
      set.end());
}

/// Removes limits of services that cannot be named. A limit that cannot be read
/// becomes the strictest one, as its absence is not what was accepted.
void CheckServiceLimits(wire::RoutesUpdate& routes, SetAsideRecords& records) {
  auto& services = *routes.mutable_services();
  const auto cannot_be_named = [&](wire::ServiceWarmup& item) {
    const auto error = CheckName(item.service(), kMaxServiceBytes);
    const bool in_range = item.flows_per_second() > 0 &&
                          item.flows_per_second() <= kMaxWarmupFlowsPerSecond &&
                          item.warmup_ms() <= kMaxServiceWarmupMs;
    if (error || !in_range) {
      SetAside(records, error.value_or(InputError::kOutOfRange),
               item.SerializeAsString());
      item.set_flows_per_second(1);
      item.set_warmup_ms(std::min(item.warmup_ms(), kMaxServiceWarmupMs));
    }
    return error.has_value();
  };
  services.erase(
      std::remove_if(services.begin(), services.end(), cannot_be_named),
      services.end());
}

/// Empties a list that is too long; removes the address 0 and repeated ones,
/// which would count twice in a majority.
void CheckAddresses(AddressList& addresses, SetAsideRecords& records) {
  if (addresses.size() > kMaxControlInstances) {
    SetAside(records, InputError::kTooLarge, "");
    addresses.Clear();
  }
  std::set<std::uint32_t> seen;
  const auto end = std::remove_if(
      addresses.begin(), addresses.end(), [&seen](std::uint32_t address) {
        return address == 0 || !seen.insert(address).second;
      });
  if (end != addresses.end()) {
    SetAside(records, InputError::kOutOfRange, "");
    addresses.Truncate(static_cast<int>(end - addresses.begin()));
  }
}

void CheckStatuses(wire::Update& update, SetAsideRecords& records) {
  auto& others = *update.mutable_others();
  if (others.size() > kMaxControlInstances) {
    SetAside(records, InputError::kTooLarge, "");
    others.Clear();
  }
  for (wire::RulesStatus& status : others) {
    CheckAddresses(*status.mutable_control_instances(), records);
  }
  const auto unnamed =
      std::remove_if(others.begin(), others.end(),
                     [](const auto& status) { return status.instance() == 0; });
  if (unnamed != others.end()) {
    SetAside(records, InputError::kMissingField, "");
    others.erase(unnamed, others.end());
  }
}

using NameList = google::protobuf::RepeatedPtrField<std::string>;

/// Removes what no server's data centre can be named.
void CheckDataCentres(NameList& names, SetAsideRecords& records) {
  const auto cannot_be_used = [&](const std::string& name) {
    const auto error = CheckName(name);
    if (error) {
      SetAside(records, *error, name);
    }
    return error.has_value();
  };
  names.erase(std::remove_if(names.begin(), names.end(), cannot_be_used),
              names.end());
}

/// Removes evacuations that are impossible. The update then doesn't count as
/// fresh, as its receiver can't know which evacuations are in force.
void CheckEvacuations(wire::Update& update, SetAsideRecords& records) {
  wire::Evacuations& evacuations = *update.mutable_evacuations();
  const bool too_many =
      evacuations.data_centres_size() > kMaxEvacuatedDataCentres ||
      evacuations.by_rules_size() > kMaxEvacuatedDataCentres;
  if (too_many || evacuations.seq() > kMaxNumber) {
    SetAside(records,
             too_many ? InputError::kTooLarge : InputError::kOutOfRange, "");
    update.clear_evacuations();
    update.set_fresh(false);
    return;
  }
  CheckDataCentres(*evacuations.mutable_data_centres(), records);
  CheckDataCentres(*evacuations.mutable_by_rules(), records);
}

bool IsUsable(const wire::Ballot& ballot) {
  return ballot.round() <= kMaxNumber;
}

bool IsUsable(const wire::Entry& entry) {
  return entry.seq() <= kMaxNumber && IsUsable(entry.ballot());
}

bool HasImpossibleDurations(const wire::ServerOutcome& outcome) {
  const std::uint64_t max_duration_ms =
      outcome.timed() * static_cast<std::uint64_t>(kMaxFlowDuration.count());
  return outcome.timed() > kMaxOutcomesPerServer ||
         outcome.duration_ms() > max_duration_ms;
}

/// Removes the position if no registry has it, so that the receiver's one
/// stays.
void CheckPosition(wire::Update& update, SetAsideRecords& records) {
  if (update.registry_from() <= update.registry_change()) {
    return;
  }
  SetAside(records, InputError::kContradicts, "");
  update.clear_registry_epoch();
  update.clear_registry_from();
  update.clear_registry_change();
}

}  // namespace

void SetAside(SetAsideRecords& records, InputError error,
              std::string_view bytes) {
  if (records.total == 0) {
    records.first_error = error;
    records.first_bytes = bytes.size();
    records.first_excerpt = Excerpt(bytes);
  }
  records.total += 1;
  records.counts.Add(error);
}

void AddCounts(InputErrorCounts& totals, const SetAsideRecords& records) {
  std::transform(totals.counts.begin(), totals.counts.end(),
                 records.counts.counts.begin(), totals.counts.begin(),
                 std::plus<>());
}

std::string FormatSetAside(const SetAsideRecords& records,
                           const std::string& source) {
  return "records=" + std::to_string(records.total) + " from=" + source +
         " error=" + InputErrorName(records.first_error) +
         " bytes=" + std::to_string(records.first_bytes) + " record=\"" +
         records.first_excerpt + "\"";
}

bool IsName(std::string_view name) { return !CheckName(name); }

std::optional<InputError> CheckReceivedServer(
    const wire::ServerRecord& record) {
  if (record.ByteSizeLong() > kMaxRecordBytes) {
    return InputError::kTooLarge;
  }
  if (const auto error = CheckName(record.id())) {
    return error;
  }
  if (!IsUtf8(record.service()) || !IsUtf8(record.data_centre())) {
    return InputError::kNotUtf8;
  }
  const bool valid = wire::ServerPhase_IsValid(record.phase()) &&
                     CheckServerRecord(record).empty();
  return valid ? std::nullopt : std::optional(InputError::kOutOfRange);
}

std::optional<InputError> CheckReceivedRoute(const wire::Route& route) {
  if (!HasAddress(route) || !wire::RequestKind_IsValid(route.kind())) {
    return InputError::kOutOfRange;
  }
  std::uint64_t total_weight = 0;
  for (const wire::RouteShare& share : route.shares()) {
    if (const auto error = CheckName(share.service(), kMaxServiceBytes)) {
      return error;
    }
    total_weight += share.weight();
  }
  if (route.shares().empty()) {
    return InputError::kMissingField;
  }
  for (const std::string& region : route.regions()) {
    if (const auto error = CheckName(region)) {
      return error;
    }
  }
  return total_weight > 0 ? std::nullopt
                          : std::optional(InputError::kOutOfRange);
}

void CheckServers(
    google::protobuf::RepeatedPtrField<wire::ServerRecord>& servers,
    SetAsideRecords& records) {
  const auto cannot_be_used = [&](const wire::ServerRecord& record) {
    const auto error = CheckReceivedServer(record);
    if (error) {
      SetAside(records, *error, record.SerializeAsString());
    }
    return error.has_value();
  };
  servers.erase(std::remove_if(servers.begin(), servers.end(), cannot_be_used),
                servers.end());
}

void CheckUpdate(wire::Update& update, SetAsideRecords& records) {
  if (!update.data_centre().empty() && !IsName(update.data_centre())) {
    SetAside(records, *CheckName(update.data_centre()), update.data_centre());
    update.clear_data_centre();
  }
  CheckAddresses(*update.mutable_control_instances(), records);
  CheckAddresses(*update.mutable_standbys(), records);
  CheckStatuses(update, records);
  CheckPosition(update, records);
  if (update.has_evacuations()) {
    CheckEvacuations(update, records);
  }
  if (update.servers_size() > kMaxServersPerUpdate) {
    SetAside(records, InputError::kTooLarge, "");
    update.clear_servers();
  }
  CheckServers(*update.mutable_servers(), records);
  if (!update.has_routes()) {
    return;
  }
  if (update.routes().version() > update.rules_version()) {
    SetAside(records, InputError::kContradicts, "");
    update.clear_routes();
    return;
  }
  CheckRoutes(*update.mutable_routes(), records);
  CheckServiceLimits(*update.mutable_routes(), records);
}

std::optional<InputError> CheckControlMessage(
    const wire::ControlMessage& message) {
  const bool usable = IsUsable(message.prepare().ballot()) &&
                      IsUsable(message.promise().ballot()) &&
                      IsUsable(message.promise().promised()) &&
                      IsUsable(message.promise().tip()) &&
                      message.promise().state().seq() <= kMaxNumber &&
                      IsUsable(message.accept().ballot()) &&
                      IsUsable(message.accept().entry()) &&
                      IsUsable(message.accepted().ballot()) &&
                      IsUsable(message.heartbeat().ballot()) &&
                      IsUsable(message.heartbeat_ack().ballot()) &&
                      IsUsable(message.install().ballot()) &&
                      message.install().state().seq() <= kMaxNumber;
  return usable ? std::nullopt : std::optional(InputError::kOutOfRange);
}

void CheckOutcomes(wire::Outcomes& outcomes, SetAsideRecords& records) {
  auto& servers = *outcomes.mutable_servers();
  const auto is_impossible = [&](const wire::ServerOutcome& outcome) {
    const bool impossible = outcome.served() > kMaxOutcomesPerServer ||
                            outcome.failed() > kMaxOutcomesPerServer ||
                            HasImpossibleDurations(outcome);
    if (impossible) {
      SetAside(records, InputError::kOutOfRange, outcome.SerializeAsString());
    }
    return impossible;
  };
  servers.erase(std::remove_if(servers.begin(), servers.end(), is_impossible),
                servers.end());
}

void CheckWarmupRequest(wire::WarmupRequest& request,
                        SetAsideRecords& records) {
  auto& demands = *request.mutable_demands();
  const auto cannot_be_used = [&](const wire::WarmupDemand& demand) {
    const bool usable = !CheckName(demand.service(), kMaxServiceBytes) &&
                        demand.flows_per_second() > 0 &&
                        demand.flows_per_second() <= kMaxWarmupFlowsPerSecond;
    if (!usable) {
      SetAside(records, InputError::kOutOfRange, demand.SerializeAsString());
    }
    return !usable;
  };
  demands.erase(std::remove_if(demands.begin(), demands.end(), cannot_be_used),
                demands.end());
}

void CheckWarmupGrant(wire::WarmupGrant& grant, SetAsideRecords& records) {
  auto& leases = *grant.mutable_leases();
  const auto cannot_be_used = [&](const wire::WarmupLease& lease) {
    const bool usable = IsName(lease.server()) &&
                        lease.incarnation() <= kMaxIncarnation &&
                        lease.flows_per_second() <= kMaxWarmupFlowsPerSecond;
    if (!usable) {
      SetAside(records, InputError::kOutOfRange, lease.SerializeAsString());
    }
    return !usable;
  };
  leases.erase(std::remove_if(leases.begin(), leases.end(), cannot_be_used),
               leases.end());
}

void CheckSubscribe(wire::Subscribe& subscribe, SetAsideRecords& records) {
  if (subscribe.has_outcomes()) {
    CheckOutcomes(*subscribe.mutable_outcomes(), records);
  }
  if (subscribe.has_knowledge()) {
    CheckAddresses(*subscribe.mutable_knowledge()->mutable_control_instances(),
                   records);
  }
}

}  // namespace filbertwall
