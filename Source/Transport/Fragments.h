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
/// Maximum size of a message as sent, after compression. The largest one of the
/// control instances holds two rules files of 4 MiB, and the digests of all
/// remembered versions: 3.2 MB that cannot be compressed.
inline constexpr std::size_t kMaxMessageBytes = 12U << 20U;
/// Maximum memory for the fragments of incomplete messages.
inline constexpr std::size_t kMaxPartialBytes = 24U << 20U;

struct FragmentHeader;

/// Splits a message into datagrams; a large message is compressed first if that
/// makes it shorter. `message_id` must differ from the ids of the messages that
/// the same sender sent within the last few seconds. Returns nothing for a
/// message that is longer than `kMaxMessageBytes` after compression.
std::vector<std::string> SplitMessage(std::string_view message,
                                      std::uint32_t message_id);

/// Reassembles messages from the datagrams that `SplitMessage` returned.
///
/// Datagrams may arrive in any order and more than once. The memory of
/// incomplete messages is bounded in total; when it is used up, the sender that
/// takes the most of it loses its oldest incomplete message.
class Reassembler {
 public:
  /// Adds a datagram received at `now` from `sender`. Returns the message that
  /// the datagram completes, or nullopt when fragments are missing or the
  /// datagram is malformed; malformed datagrams count in `MalformedCount`.
  std::optional<std::string> AddDatagram(std::uint32_t sender,
                                         std::string_view datagram,
                                         TimePoint now);

  std::uint64_t MalformedCount() const { return this->malformed; }
  /// Returns the memory that incomplete messages take, overhead included.
  std::size_t PartialBytes() const { return this->partial_bytes; }

 private:
  /// A message of which some fragments have not arrived.
  struct Partial {
    std::map<std::uint16_t, std::string> parts;  ///< Payloads by index.
    std::uint16_t count = 0;                     ///< Fragments in total.
    std::size_t bytes = 0;                       ///< Memory, with overhead.
    std::uint64_t number = 0;  ///< Rises with each partial message.
    TimePoint started_at;
  };
  struct Sender {
    std::map<std::uint32_t, Partial> partial_messages;  ///< By message id.
    /// Message ids by `Partial::number`, so by age.
    std::map<std::uint64_t, std::uint32_t> ids_by_number;
    std::size_t bytes = 0;  ///< Of all of them.
  };
  using Senders = std::map<std::uint32_t, Sender>;

  /// Stores a fragment. Returns the payload of the message if it is complete.
  std::optional<std::string> AddFragment(std::uint32_t sender,
                                         const FragmentHeader& header,
                                         std::string_view payload,
                                         TimePoint now);
  /// Removes a partial message, and its sender if that has no other.
  void Remove(Senders::iterator sender, std::uint32_t message_id);
  void RemoveExpired(TimePoint now);
  /// Removes partial messages until the memory is within its limit.
  void EvictPartialMessages();

  Senders senders;  ///< Those with partial messages, by address.
  std::size_t partial_bytes = 0;
  std::uint64_t next_number = 1;
  TimePoint next_expiry_at;
  std::uint64_t malformed = 0;
};

}  // namespace filbertwall
