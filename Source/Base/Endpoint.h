#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// IPv4 endpoints: an address and a port.
namespace filbertwall {

/// Both members are in host byte order.
struct Endpoint {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "IP:port". Returns nullopt for any other text and for port 0.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// Returns "IP:port".
std::string FormatEndpoint(const Endpoint& endpoint);

/// Returns the address in dotted decimal notation.
std::string FormatIp(std::uint32_t ip);

}  // namespace filbertwall
