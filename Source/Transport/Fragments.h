#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Time.h"

/// Messages of any size over datagrams: compressed, split, put together again.
///
/// Nothing is acknowledged or sent again here; whoever sends a message repeats
/// it until its effect is seen. No clock, no socket. Not thread safe.
namespace filbertwall {

/// Largest datagram that is made, in bytes.
inline constexpr std::size_t kLargestFragmentBytes = 1400;

/// Splits a message into datagrams. `message_id` must differ from that of the
/// sender's other messages of the last seconds.
std::vector<std::string> SplitMessage(std::string_view message,
                                      std::uint32_t message_id);

/// Messages of which some datagrams have arrived.
class Reassembler {
 public:
  /// Takes a datagram; gives the message that it completes. Malformed input
  /// gives nothing and counts in `Malformed`.
  std::optional<std::string> Take(std::uint32_t sender,
                                  std::string_view datagram, TimePoint now);

  std::uint64_t Malformed() const { return this->malformed; }

 private:
  struct Key {
    std::uint32_t sender = 0;
    std::uint32_t message_id = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Partial {
    std::vector<std::string> parts;
    std::size_t missing = 0;
    TimePoint started_at;
  };

  void DropOld(TimePoint now);

  std::map<Key, Partial> partials;
  std::uint64_t malformed = 0;
};

}  // namespace filbertwall
