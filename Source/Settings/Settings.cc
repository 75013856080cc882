#include "Settings/Settings.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "Base/InputError.h"
#include "Base/Text.h"

namespace filbertwall {
namespace {

constexpr std::size_t kPublicKeyLength = 40;  // 32 bytes in Z85
/// Longest line: a key and the longest path.
constexpr std::size_t kMaxLineBytes = 4200;
/// Longest name of a data centre that a control instance accepts from servers.
constexpr std::size_t kMaxNameBytes = 200;

struct Parser {
  ParsedSettings result;
  std::string file;
  std::string_view remaining;
  std::string_view line_text;  ///< The current line, in full.
  int line = 0;
  std::set<std::string> seen_keys;
};

void Report(Parser& parser, std::string_view text,
            const std::string& expected) {
  parser.result.findings.push_back(Finding{.file = parser.file,
                                           .line = parser.line,
                                           .text = Excerpt(text),
                                           .expected = expected});
}

/// Passes one line per call to inih and counts the lines, so that findings have
/// a line number. inih only looks for sections and keys: it gets the beginning
/// of a longer line, and values are read from `line_text`. Without leading
/// spaces no line continues the one before.
char* ReadLine(char* buffer, int size, void* stream) {
  auto& parser = *static_cast<Parser*>(stream);
  if (parser.remaining.empty()) {
    return nullptr;
  }
  ++parser.line;
  const std::size_t newline = parser.remaining.find('\n');
  const std::size_t length = std::min(newline, parser.remaining.size());
  parser.line_text = Trim(parser.remaining.substr(0, length));
  parser.remaining.remove_prefix(
      newline == std::string_view::npos ? length : length + 1);
  if (parser.line_text.size() > kMaxLineBytes) {
    Report(parser, std::string(parser.line_text.substr(0, 20)) + "...",
           "a line of at most " + std::to_string(kMaxLineBytes) + " bytes");
    parser.line_text = {};
  }
  const std::size_t shown =
      std::min(parser.line_text.size(), static_cast<std::size_t>(size) - 2);
  std::copy_n(parser.line_text.begin(), shown, buffer);
  buffer[shown] = '\n';
  buffer[shown + 1] = '\0';
  return buffer;
}

/// Returns the text before a comment: a semicolon after a space.
std::string_view WithoutComment(std::string_view value) {
  for (std::size_t i = 1; i < value.size(); ++i) {
    if (value[i] == ';' && (value[i - 1] == ' ' || value[i - 1] == '\t')) {
      return Trim(value.substr(0, i));
    }
  }
  return value.starts_with(';') ? std::string_view() : value;
}

/// Returns the value of a line "key = value"; empty when it is a quoted string
/// that can't be read.
std::optional<std::string> ValueOf(std::string_view line) {
  const std::string_view value =
      Trim(line.substr(line.find_first_of("=:") + 1));
  if (value.starts_with('{')) {
    return std::string(value);  // A JSON object, which may hold any character.
  }
  if (!value.starts_with('"')) {
    return std::string(WithoutComment(value));
  }
  const auto text = nlohmann::json::parse(value, nullptr, false);
  if (!text.is_string()) {
    return std::nullopt;
  }
  return text.get<std::string>();
}

using Setter = std::function<void(Parser&, const std::string&)>;

/// Accepts a name that can be sent to other instances and written to logs.
Setter NameSetter(std::string& target) {
  return [&target](Parser& parser, const std::string& value) {
    const bool printable =
        std::none_of(value.begin(), value.end(), [](char character) {
          return static_cast<unsigned char>(character) < ' ';
        });
    if (value.size() > kMaxNameBytes || !printable || !IsUtf8(value)) {
      Report(parser, value, "1 to 200 bytes of printable UTF-8");
      return;
    }
    target = value;
  };
}

Setter PathSetter(std::string& target) {
  return [&target](Parser& parser, const std::string& value) {
    if (value.find('\0') != std::string::npos) {
      Report(parser, value, "a path");
      return;
    }
    target = value;
  };
}

Setter NumberSetter(std::uint32_t& target, std::uint32_t min) {
  return [&target, min](Parser& parser, const std::string& value) {
    const auto number = ParseNumber(value, min, UINT32_MAX);
    if (!number) {
      Report(parser, value, "a number from " + std::to_string(min));
      return;
    }
    target = static_cast<std::uint32_t>(*number);
  };
}

Setter DurationSetter(Milliseconds& target) {
  return [&target](Parser& parser, const std::string& value) {
    const auto duration = ParseDuration(value);
    if (!duration || duration->count() == 0) {
      Report(parser, value, "a duration such as 500ms or 30s");
      return;
    }
    target = *duration;
  };
}

Setter EndpointSetter(Endpoint& target) {
  return [&target](Parser& parser, const std::string& value) {
    const auto endpoint = ParseEndpoint(value);
    if (!endpoint) {
      Report(parser, value, "an IPv4 address and a port");
      return;
    }
    target = *endpoint;
  };
}

Setter RolesSetter(Roles& target) {
  return [&target](Parser& parser, const std::string& value) {
    for (const std::string& part : SplitAt(value, ',')) {
      const std::string_view role = Trim(part);
      if (role == "entry") {
        target.entry = true;
      } else if (role == "control") {
        target.control = true;
      } else {
        Report(parser, value, "entry, control, or both with a comma");
      }
    }
  };
}

Setter PublicKeySetter(std::string& target) {
  return [&target](Parser& parser, const std::string& value) {
    if (value.size() != kPublicKeyLength) {
      Report(parser, value, "a public key of 40 characters");
      return;
    }
    target = value;
  };
}

Setter CurveSetter(bool& target) {
  return [&target](Parser& parser, const std::string& value) {
    if (value != "curve" && value != "none") {
      Report(parser, value, "curve or none");
      return;
    }
    target = value == "curve";
  };
}

/// Accepts a number or an IPv4 address. An address is unique without a central
/// assignment of ids.
Setter IdSetter(std::uint32_t& target) {
  return [&target](Parser& parser, const std::string& value) {
    const auto number = ParseNumber(value, 1, UINT32_MAX);
    const auto address = ParseEndpoint(value + ":1");
    if (!number && !address) {
      Report(parser, value, "a number from 1, or an IPv4 address");
      return;
    }
    target = number ? static_cast<std::uint32_t>(*number) : address->ip;
  };
}

Setter EndpointsSetter(std::vector<Endpoint>& target) {
  return [&target](Parser& parser, const std::string& value) {
    for (const std::string& part : SplitAt(value, ',')) {
      const auto endpoint = ParseEndpoint(Trim(part));
      if (!endpoint) {
        Report(parser, part, "IPv4 addresses with ports, separated by commas");
        continue;
      }
      target.push_back(*endpoint);
    }
  };
}

Setter BooleanSetter(bool& target) {
  return [&target](Parser& parser, const std::string& value) {
    if (value != "true" && value != "false") {
      Report(parser, value, "true or false");
      return;
    }
    target = value == "true";
  };
}

Setter PortSetter(std::uint16_t& target) {
  return [&target](Parser& parser, const std::string& value) {
    const auto number = ParseNumber(value, 1, UINT16_MAX);
    if (!number) {
      Report(parser, value, "a port from 1 to 65535");
      return;
    }
    target = static_cast<std::uint16_t>(*number);
  };
}

/// Accepts a JSON object that names the region of each data centre.
Setter RegionsSetter(std::map<std::string, std::string>& target) {
  return [&target](Parser& parser, const std::string& value) {
    const auto table = nlohmann::json::parse(value, nullptr, false);
    const bool valid =
        table.is_object() &&
        std::all_of(table.begin(), table.end(), [](const auto& region) {
          return region.is_string() &&
                 region.template get_ref<const std::string&>().size() <=
                     kMaxNameBytes;
        });
    if (!valid) {
      Report(parser, value,
             "a JSON object such as {\"data centre\":\"region\"}");
      return;
    }
    target = table.get<std::map<std::string, std::string>>();
  };
}

/// Accepts a share of extra work. Digits after the third decimal place are
/// rejected, so that a value reads the same everywhere.
Setter ShareSetter(double& target) {
  return [&target](Parser& parser, const std::string& value) {
    constexpr double kMaxShare = 0.5;
    constexpr std::size_t kMaxLength = 5;
    constexpr std::string_view kCharacters = "0123456789.";
    double share = 0;
    const char* const end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, share);
    const bool is_plain =
        value.find_first_not_of(kCharacters) == std::string::npos;
    if (error != std::errc() || rest != end || !is_plain ||
        value.size() > kMaxLength || share > kMaxShare) {
      Report(parser, value, "a share from 0 to 0.5 such as 0.02");
      return;
    }
    target = share;
  };
}

using Setters = std::map<std::string, Setter>;

Setters FleetSetters(FleetSettings& fleet) {
  return {{"seeds", EndpointsSetter(fleet.seeds)},
          {"first_start", BooleanSetter(fleet.first_start)},
          {"tolerated_losses", NumberSetter(fleet.tolerated_losses, 0)},
          {"announce_interval", DurationSetter(fleet.announce_interval)},
          {"metrics_port", PortSetter(fleet.metrics_port)},
          {"refuse_overload", BooleanSetter(fleet.refuse_overload)},
          {"balance_by_load", BooleanSetter(fleet.balance_by_load)},
          {"fair_callers", BooleanSetter(fleet.fair_callers)},
          {"peer_port", PortSetter(fleet.peer_port)},
          {"regions", RegionsSetter(fleet.regions)}};
}

Setters InstanceSetters(Settings& settings) {
  return {{"id", IdSetter(settings.id)},
          {"data_centre", NameSetter(settings.data_centre)},
          {"roles", RolesSetter(settings.roles)},
          {"data_folder", PathSetter(settings.data_folder)},
          {"control_address", EndpointSetter(settings.control_address)},
          {"http_address", EndpointSetter(settings.http_address)},
          {"announce_address", EndpointSetter(settings.announce_address)},
          {"packet_address", EndpointSetter(settings.packet_address)},
          {"drain_limit", DurationSetter(settings.drain_limit)},
          {"backend_lease", DurationSetter(settings.backend_lease)},
          {"order_memory", DurationSetter(settings.order_memory)},
          {"order_limit", NumberSetter(settings.order_limit, 1)},
          {"flow_limit", NumberSetter(settings.flow_limit, 1)},
          {"hedge_budget", ShareSetter(settings.hedge_budget)}};
}

Setters SecuritySetters(Settings& settings) {
  return {{"mode", CurveSetter(settings.security.curve)},
          {"secret_key_file", PathSetter(settings.security.secret_key_file)}};
}

Setters PeerSetters(PeerSettings& peer) {
  return {{"address", EndpointSetter(peer.address)},
          {"packet_address", EndpointSetter(peer.packet_address)},
          {"data_centre", NameSetter(peer.data_centre)},
          {"roles", RolesSetter(peer.roles)},
          {"public_key", PublicKeySetter(peer.public_key)}};
}

Setters SettersForSection(Parser& parser, const std::string& section) {
  constexpr std::string_view kPeer = "peer.";
  constexpr std::string_view kOperator = "operator.";
  Settings& settings = parser.result.settings;
  if (section == "instance") {
    return InstanceSetters(settings);
  }
  if (section == "fleet") {
    settings.fleet.present = true;
    return FleetSetters(settings.fleet);
  }
  if (section == "security") {
    return SecuritySetters(settings);
  }
  if (section.starts_with(kPeer)) {
    const auto id = ParseNumber(section.substr(kPeer.size()), 1, UINT32_MAX);
    if (id) {
      PeerSettings& peer = settings.peers[static_cast<std::uint32_t>(*id)];
      peer.id = static_cast<std::uint32_t>(*id);
      return PeerSetters(peer);
    }
  }
  if (section.starts_with(kOperator)) {
    const std::string name = section.substr(kOperator.size());
    return {{"public_key", PublicKeySetter(settings.security.operators[name])}};
  }
  return {};
}

int HandleEntry(void* user, const char* section, const char* name,
                const char*) {
  auto& parser = *static_cast<Parser*>(user);
  const Setters setters = SettersForSection(parser, section);
  if (setters.empty()) {
    Report(parser, "[" + std::string(section) + "]",
           "[instance], [fleet], [security], [peer.ID] or [operator.NAME]");
    return 1;
  }
  const auto setter = setters.find(name);
  if (setter == setters.end()) {
    std::string known;
    for (const auto& [key, unused] : setters) {
      known += (known.empty() ? "" : ", ") + key;
    }
    Report(parser, name, "one of " + known);
    return 1;
  }
  if (!parser.seen_keys.insert(std::string(section) + "." + name).second) {
    Report(parser, name, "each key once in its section");
    return 1;
  }
  const auto value = ValueOf(parser.line_text);
  if (!value) {
    Report(parser, name, "a JSON string after the first double quote");
  } else if (!value->empty()) {
    setter->second(parser, *value);
  }
  return 1;
}

void Require(Parser& parser, bool present, const std::string& key,
             const std::string& expected) {
  if (!present) {
    parser.result.usable = false;
    Report(parser, key, expected);
  }
}

/// Reports what an instance of a fleet should have, but can start without: it
/// then waits until the settings name seeds, and prefers no data centre.
void CheckFleet(Parser& parser) {
  Settings& settings = parser.result.settings;
  if (!settings.fleet.present) {
    Require(parser, settings.id != 0, "[instance]", "id = NUMBER");
    Require(parser, !settings.data_centre.empty(), "[instance]",
            "data_centre = NAME");
    return;
  }
  if (settings.id == 0) {
    Report(parser, "[instance]", "id = NUMBER");
    settings.id = settings.control_address.ip;
  }
  if (settings.data_centre.empty()) {
    Report(parser, "[instance]", "data_centre = NAME");
  }
  if (settings.fleet.seeds.empty()) {
    Report(parser, "[fleet]", "seeds = IP:PORT,...");
  }
}

void CheckPeers(Parser& parser) {
  const Settings& settings = parser.result.settings;
  for (const auto& [id, peer] : settings.peers) {
    const std::string section = "[peer." + std::to_string(id) + "]";
    Require(parser, id != settings.id, section, "another id than its own");
    Require(parser, peer.address.port != 0, section, "address = IP:PORT");
    Require(parser, peer.roles.entry || peer.roles.control, section,
            "roles = entry, control, or both");
    Require(parser, !peer.data_centre.empty(), section, "data_centre = NAME");
    Require(parser, !peer.roles.entry || peer.packet_address.port != 0, section,
            "packet_address = IP:PORT, as its roles include entry");
    Require(parser, !settings.security.curve || !peer.public_key.empty(),
            section, "public_key = KEY, as [security] mode is curve");
  }
}

/// Reports required keys that are missing, and roles that exclude each other.
void CheckRequired(Parser& parser) {
  const Settings& settings = parser.result.settings;
  const bool fleet = settings.fleet.present;
  parser.line = 0;
  CheckFleet(parser);
  Require(parser, settings.roles.entry || settings.roles.control, "[instance]",
          "roles = entry, control, or both");
  Require(parser, settings.control_address.port != 0, "[instance]",
          "control_address = IP:PORT");
  Require(parser, !settings.roles.control || !settings.data_folder.empty(),
          "[instance]", "data_folder = PATH, as its roles include control");
  Require(parser,
          fleet || !settings.roles.entry || settings.http_address.port != 0,
          "[instance]", "http_address = IP:PORT, as its roles include entry");
  Require(parser, !fleet || settings.announce_address.port != 0, "[instance]",
          "announce_address = IP:PORT, as it belongs to a fleet");
  Require(parser, !fleet || settings.roles.entry != settings.roles.control,
          "[instance]", "one role, as it belongs to a fleet");
  Require(parser, !settings.roles.entry || settings.announce_address.port != 0,
          "[instance]",
          "announce_address = IP:PORT, as its roles include entry");
  Require(parser, !settings.roles.entry || settings.packet_address.port != 0,
          "[instance]", "packet_address = IP:PORT, as its roles include entry");
  Require(
      parser,
      !settings.security.curve || !settings.security.secret_key_file.empty(),
      "[security]", "secret_key_file = PATH, or mode = none");
  CheckPeers(parser);
}

}  // namespace

ParsedSettings ParseSettings(const std::string& text,
                             const std::string& file_name) {
  Parser parser{.file = file_name, .remaining = text};
  const int bad_line =
      ini_parse_stream(ReadLine, &parser, HandleEntry, &parser);
  if (bad_line > 0) {
    parser.line = bad_line;
    Report(parser, "line " + std::to_string(bad_line),
           "[section], key = value, or a comment");
  }
  CheckRequired(parser);
  return std::move(parser.result);
}

}  // namespace filbertwall
