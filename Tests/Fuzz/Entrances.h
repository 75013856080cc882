#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// The places at which bytes from outside enter a process, for the fuzzers.
namespace filbertwall {

/// One entrance: passes arbitrary bytes to the code that takes them, as a
/// process does, and aborts when that code breaks a promise. Deterministic.
struct Entrance {
  /// Also the name of its folder of seed inputs.
  std::string name;
  void (*feed)(std::span<const std::uint8_t> bytes) = nullptr;
};

const std::vector<Entrance>& AllEntrances();

}  // namespace filbertwall
