#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Time.h"

/// Compression, fragmentation and reassembly of messages sent in datagrams.
///
/// This layer neither acknowledges nor retransmits datagrams. Lost messages are
/// up to the sender, which repeats a message until it observes its effect. The
/// caller supplies the time and does the socket I/O. Not thread safe.
namespace filbertwall {

/// Maximum size of a datagram that `SplitMessage` returns, header included.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// Splits a message into datagrams; a large message is compressed first if that
/// makes it shorter. `message_id` must differ from the ids of the messages that
/// the same sender sent within the last few seconds.
std::vector<std::string> SplitMessage(std::string_view message,
                                      std::uint32_t message_id);

/// Reassembles messages from the datagrams that `SplitMessage` returned.
///
/// Datagrams may arrive in any order and more than once.
class Reassembler {
 public:
  /// Adds a datagram received at `now` from `sender`. Returns the message that
  /// the datagram completes, or nullopt when fragments are missing or the
  /// datagram is malformed; malformed datagrams count in `MalformedCount`.
  std::optional<std::string> AddDatagram(std::uint32_t sender,
                                         std::string_view datagram,
                                         TimePoint now);

  std::uint64_t MalformedCount() const { return this->malformed; }

 private:
  struct Key {
    std::uint32_t sender = 0;
    std::uint32_t message_id = 0;
    auto operator<=>(const Key&) const = default;
  };
  /// A message of which some fragments have not arrived.
  struct Partial {
    /// Payloads by fragment index; empty until the fragment arrives.
    std::vector<std::string> parts;
    std::size_t missing = 0;
    TimePoint started_at;
  };

  /// Makes room for one partial message: drops the expired ones, and the one
  /// with the lowest key if the table is still full.
  void EvictPartialMessages(TimePoint now);

  std::map<Key, Partial> partial_messages;
  std::uint64_t malformed = 0;
};

}  // namespace filbertwall
