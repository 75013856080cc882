#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Tokens of backend servers. Each packet of a flow carries a token of its
/// server, by which any instance finds that server.
///
/// The tokens of a server follow from its id, so instances agree on them
/// without a message. Of two servers with a common token, each is given another
/// one in the flows that are opened from then on. Plain state and functions;
/// not thread safe.
namespace filbertwall {

using ServerIndex = std::uint32_t;

/// The token of packets whose sender has not received one.
inline constexpr std::uint32_t kNoToken = 0;

/// The tokens of one server, in order of preference.
using TokenList = std::array<std::uint32_t, 2>;

/// Returns the tokens of a server: the low 32 bits of its number, which is all
/// that builds before 0.11 understand, and a hash of its id.
TokenList TokensOf(std::string_view id, std::uint64_t number);

/// The tokens of all known servers.
struct ServerTokens {
  /// The server with each token, or `kShared`.
  std::unordered_map<std::uint32_t, ServerIndex> servers;
  /// Servers of the tokens that several have, in the order of their addition.
  std::unordered_map<std::uint32_t, std::vector<ServerIndex>> shared;

  static constexpr ServerIndex kShared = UINT32_MAX;
};

/// Adds a server. Returns the servers that were the only ones with one of its
/// tokens. Precondition: `index` was not added before and is not `kShared`.
std::vector<ServerIndex> AddTokens(ServerTokens& tokens, ServerIndex index,
                                   const TokenList& list);

/// Returns the servers that have a token, in the order of their addition. The
/// result is valid until the next call of `AddTokens`.
std::span<const ServerIndex> FindServers(const ServerTokens& tokens,
                                         std::uint32_t token);

/// Returns the first token of the list that no second server has, or
/// `kNoToken`. Precondition: the server of the list was added.
std::uint32_t ChooseToken(const ServerTokens& tokens, const TokenList& list);

}  // namespace filbertwall
