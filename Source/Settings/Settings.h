#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Finding.h"
#include "Base/Time.h"

/// Settings of one process, parsed from an INI file. See docs/settings.md.
namespace filbertwall {

struct Roles {
  bool entry = false;
  bool control = false;
};

struct PeerSettings {
  std::uint32_t id = 0;
  Endpoint address;         ///< Receives messages from other instances.
  Endpoint packet_address;  ///< Receives forwarded packets.
  std::string data_centre;
  Roles roles;
  std::string public_key;  ///< In Z85 encoding; empty if CURVE is off.
};

struct SecuritySettings {
  bool curve = true;
  std::string secret_key_file;
  std::map<std::string, std::string> operators;  ///< Name to public key.
};

/// Settings of an instance in a fleet. The instances of a fleet discover each
/// other at run time through the control instances in `seeds`.
struct FleetSettings {
  bool present = false;         ///< The file has a section [fleet].
  std::vector<Endpoint> seeds;  ///< Control instances; empty: no fleet.
  /// The fleet starts for the first time; the seeds become its first voters.
  bool first_start = false;
  std::uint32_t tolerated_losses = 1;    ///< Disks that may be lost at once.
  Milliseconds announce_interval{1000};  ///< Between reports of a server.
  std::uint16_t metrics_port = 0;        ///< 0: no metrics are served.
  bool refuse_overload = true;  ///< Refuse new flows that would be served late.
  /// Among the callers of a class, refuse those that ask for the most.
  bool fair_callers = false;
  /// Place new flows by the speed of servers and the load of data centres.
  bool balance_by_load = false;
  /// Port at which the other instances receive messages; 0: the port of
  /// control_address.
  std::uint16_t peer_port = 0;
  /// Region of each data centre.
  std::map<std::string, std::string> regions;
};

struct Settings {
  std::uint32_t id = 0;
  std::string data_centre;
  Roles roles;
  std::string data_folder;  ///< Empty: the instance has no disk.
  Endpoint control_address;
  Endpoint http_address;
  Endpoint announce_address;
  Endpoint packet_address;
  Milliseconds drain_limit{30000};     ///< Maximum duration of a graceful stop.
  Milliseconds backend_lease{10000};   ///< Validity of an announcement.
  Milliseconds order_memory{600000};   ///< Retention of order records.
  std::uint32_t order_limit = 50000;   ///< Maximum number of order records.
  std::uint32_t flow_limit = 1000000;  ///< Maximum number of tracked flows.
  /// Share of the requests that may be sent to a second server; 0: none.
  double hedge_budget = 0;
  SecuritySettings security;
  FleetSettings fleet;
  std::map<std::uint32_t, PeerSettings> peers;
};

struct ParsedSettings {
  Settings settings;
  std::vector<Finding> findings;  ///< Empty if the settings are valid.
  /// Whether an instance of a fleet can run with the settings all the same: the
  /// findings, if any, concern values that have a default.
  bool usable = true;
};

/// Parses settings and reports every finding. `file_name` is for diagnostics.
/// A value that is empty or has a finding counts as left out. A value in double
/// quotes is a JSON string. Pure: does not read the files that the settings
/// name.
ParsedSettings ParseSettings(const std::string& text,
                             const std::string& file_name);

}  // namespace filbertwall
