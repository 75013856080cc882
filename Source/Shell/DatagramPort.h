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
/// Must be used on the loop's thread only. Sending never blocks: what the
/// socket does not take is lost, and counted.
namespace filbertwall {

/// A datagram in the port's buffer, valid until the handler returns.
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

  /// Emitted with each batch. What the handler queues with `Send` must stay
  /// valid until it returns; then the queue is sent.
  sigc::signal<void(std::span<const ReceivedDatagram>)> on_batch;

  /// False when the address can't be bound.
  bool Start(const Endpoint& address);

  /// Queues a datagram of two parts, the first of which is copied.
  void Send(const Endpoint& to, std::span<const std::uint8_t> head,
            std::span<const std::uint8_t> body);

  /// Sends what is queued. Called after each batch; others call it themselves.
  void Flush();

  std::uint64_t SendFailures() const { return this->send_failures; }

  static constexpr std::size_t kLongestHead = 16;

 private:
  static constexpr std::size_t kBatch = 32;
  static constexpr std::size_t kLargestDatagram = 2048;

  /// One queued datagram.
  struct Outgoing {
    sockaddr_in address{};
    std::array<std::uint8_t, kLongestHead> head{};
    std::array<iovec, 2> parts{};
  };

  static void OnReadable(evutil_socket_t fd, short what, void* self);
  std::size_t ReceiveBatch();

  event_base* base;
  int fd = -1;
  event* readable = nullptr;
  std::uint64_t send_failures = 0;
  std::vector<std::array<std::uint8_t, kLargestDatagram>> buffers;
  std::array<sockaddr_in, kBatch> senders{};
  std::array<iovec, kBatch> vectors{};
  std::array<mmsghdr, kBatch> incoming{};
  std::array<ReceivedDatagram, kBatch> received{};
  std::array<Outgoing, kBatch> outgoing{};
  std::array<mmsghdr, kBatch> headers{};
  std::size_t queued = 0;
};

}  // namespace filbertwall
