#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "Wire/registry.pb.h"

/// Reads the file of saved servers, which an older build may have written, or
/// which may be damaged.
namespace filbertwall {

struct ParsedRegistry {
  wire::SavedRegistry saved;
  /// Records of servers that this build can't parse. They are left out.
  std::size_t unreadable_servers = 0;
};

/// Returns nothing if `bytes` is no saved registry. Has no side effects.
std::optional<ParsedRegistry> ParseSavedRegistry(const std::string& bytes);

/// Reads the file at `path`. Returns an empty registry if there is none. A file
/// that can't be read or parsed is renamed to `path` with `.unreadable`, and
/// logged, as are the records that are left out.
wire::SavedRegistry LoadSavedRegistry(const std::string& path);

}  // namespace filbertwall
