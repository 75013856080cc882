#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Finding.h"
#include "Base/Time.h"

/// Settings of one process, read from an INI file.
namespace filbertwall {

struct Roles {
  bool entry = false;
  bool control = false;
};

struct PeerSettings {
  std::uint32_t id = 0;
  Endpoint address;         ///< Where its messages from other instances arrive.
  Endpoint packet_address;  ///< Where packets are handed to it.
  std::string data_centre;
  Roles roles;
  std::string public_key;  ///< Z85; empty without CURVE.
};

struct SecuritySettings {
  bool curve = true;
  std::string secret_key_file;
  std::map<std::string, std::string> operators;  ///< Name to public key.
};

/// A fleet's instances find each other at run time, by control instances that
/// the settings name.
struct FleetSettings {
  std::vector<Endpoint> seeds;         ///< Control instances; empty: no fleet.
  bool first_start = false;            ///< No instance of the fleet ran before.
  std::uint32_t tolerated_losses = 1;  ///< Disks that may be lost at once.
  Milliseconds announce_interval{1000};  ///< Between a server's reports.
  std::uint16_t metrics_port = 0;        ///< 0: no metrics are served.
  bool refuse_overload = true;  ///< New flows that would be served too late.
  /// Where other instances are reached; 0: the port of control_address.
  std::uint16_t peer_port = 0;
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
  Milliseconds drain_limit{30000};
  Milliseconds backend_lease{10000};
  Milliseconds order_memory{600000};
  std::uint32_t order_limit = 50000;
  std::uint32_t flow_limit = 1000000;
  SecuritySettings security;
  FleetSettings fleet;
  std::map<std::uint32_t, PeerSettings> peers;
};

struct ParsedSettings {
  Settings settings;
  std::vector<Finding> findings;  ///< Empty when the settings may be used.
};

/// Parses settings and reports every finding. `file_name` is for diagnostics.
/// Pure; files that the settings name are not looked at.
ParsedSettings ParseSettings(const std::string& text,
                             const std::string& file_name);

}  // namespace filbertwall
