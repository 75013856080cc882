#include "Placement/ServerTokens.h"

#include <algorithm>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// Adds a server to those with a token. Returns the server that was the only
/// one with it, if any.
std::optional<ServerIndex> AddToken(ServerTokens& tokens, ServerIndex index,
                                    std::uint32_t token) {
  const auto [position, added] = tokens.servers.emplace(token, index);
  if (added || position->second == index) {
    return std::nullopt;
  }
  std::vector<ServerIndex>& sharing = tokens.shared[token];
  if (position->second == ServerTokens::kShared) {
    sharing.push_back(index);
    return std::nullopt;
  }
  const ServerIndex owner = position->second;
  sharing = {owner, index};
  position->second = ServerTokens::kShared;
  return owner;
}

}  // namespace

TokenList TokensOf(std::string_view id, std::uint64_t number) {
  return {static_cast<std::uint32_t>(number),
          static_cast<std::uint32_t>(Hash64(id))};
}

std::vector<ServerIndex> AddTokens(ServerTokens& tokens, ServerIndex index,
                                   const TokenList& list) {
  std::vector<ServerIndex> owners;
  for (const std::uint32_t token : list) {
    if (const auto owner = AddToken(tokens, index, token)) {
      owners.push_back(*owner);
    }
  }
  return owners;
}

std::span<const ServerIndex> FindServers(const ServerTokens& tokens,
                                         std::uint32_t token) {
  const auto found = tokens.servers.find(token);
  if (found == tokens.servers.end()) {
    return {};
  }
  return found->second == ServerTokens::kShared
             ? std::span<const ServerIndex>(tokens.shared.at(token))
             : std::span<const ServerIndex>(&found->second, 1);
}

std::uint32_t ChooseToken(const ServerTokens& tokens, const TokenList& list) {
  const auto own =
      std::find_if(list.begin(), list.end(), [&](std::uint32_t token) {
        return token != kNoToken &&
               tokens.servers.at(token) != ServerTokens::kShared;
      });
  return own == list.end() ? kNoToken : *own;
}

}  // namespace filbertwall
