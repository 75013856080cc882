#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// IPv4 addresses with a port.
namespace filbertwall {

/// Both members are in host byte order.
struct Endpoint {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "IP:port". Empty when the text is anything else or the port is 0.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// Gives "IP:port".
std::string FormatEndpoint(const Endpoint& endpoint);

/// Gives the dotted IP alone.
std::string FormatIp(std::uint32_t ip);

}  // namespace filbertwall
