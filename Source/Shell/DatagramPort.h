#pragma once

#include <event2/event.h>
#include <netinet/in.h>
#include <sigc++/sigc++.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "Base/Endpoint.h"

/// A UDP socket that receives and sends in batches.
///
/// Must be used on the event loop's thread only. Sending never blocks: a
/// datagram that the socket does not accept is dropped and counted.
namespace filbertwall {

/// A datagram in the receive buffer, valid until the handler returns.
struct ReceivedDatagram {
  Endpoint from;
  std::span<std::uint8_t> bytes;
};

class DatagramPort {
 public:
  explicit DatagramPort(event_base* base);
  ~DatagramPort();
  DatagramPort(const DatagramPort&) = delete;
  DatagramPort& operator=(const DatagramPort&) = delete;

  /// Emitted for each received batch. A body that the handler passes to `Send`
  /// must stay valid until the handler returns; the queue is sent then.
  sigc::signal<void(std::span<const ReceivedDatagram>)> on_batch;

  /// Returns false when the address cannot be bound; may be called again then.
  bool Start(const Endpoint& address);

  /// Queues a datagram that consists of `prefix` and `body`. `prefix` is
  /// copied; `body` must stay valid until the queue is sent.
  void Send(const Endpoint& to, std::span<const std::uint8_t> prefix,
            std::span<const std::uint8_t> body);

  /// Sends the queued datagrams. Called after each received batch; code that
  /// sends outside a batch handler must call it itself.
  void Flush();

  std::uint64_t SendFailures() const { return this->send_failures; }

  static constexpr std::size_t kMaxPrefixBytes = 16;

 private:
  static constexpr std::size_t kBatchSize = 32;
  static constexpr std::size_t kMaxDatagramBytes = 2048;

  struct OutgoingDatagram {
    sockaddr_in address{};
    std::array<std::uint8_t, kMaxPrefixBytes> prefix{};
    std::array<iovec, 2> parts{};
  };

  static void OnReadable(evutil_socket_t fd, short what, void* self);
  std::size_t ReceiveBatch();

  event_base* base;
  int fd = -1;
  event* readable = nullptr;
  std::uint64_t send_failures = 0;
  std::vector<std::array<std::uint8_t, kMaxDatagramBytes>> buffers;
  std::array<sockaddr_in, kBatchSize> senders{};
  std::array<iovec, kBatchSize> vectors{};
  std::array<mmsghdr, kBatchSize> incoming_messages{};
  std::array<ReceivedDatagram, kBatchSize> received{};
  std::array<OutgoingDatagram, kBatchSize> outgoing{};
  std::array<mmsghdr, kBatchSize> outgoing_messages{};
  std::size_t queued = 0;
};

}  // namespace filbertwall
