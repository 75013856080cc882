#include "Base/Endpoint.h"

#include <arpa/inet.h>

#include "Base/Text.h"

namespace filbertwall {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParseNumber(text.substr(colon + 1), 1, UINT16_MAX);
  in_addr address{};
  const std::string ip(text.substr(0, colon));
  const bool has_nul = ip.find('\0') != std::string::npos;
  if (!port || has_nul || inet_pton(AF_INET, ip.c_str(), &address) != 1) {
    return std::nullopt;
  }
  return Endpoint{.ip = ntohl(address.s_addr),
                  .port = static_cast<std::uint16_t>(*port)};
}

std::string FormatIp(std::uint32_t ip) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((ip >> shift) & 255U);
    if (shift > 0) {
      text += '.';
    }
  }
  return text;
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  return FormatIp(endpoint.ip) + ":" + std::to_string(endpoint.port);
}

}  // namespace filbertwall
