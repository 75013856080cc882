#pragma once

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <vector>

#include "Flows/FlowTier.h"

/// The UDP port that receives and sends Geneve datagrams, in batches. Must be
/// used on the event loop's thread only.
namespace filbertwall {

class PacketPort {
 public:
  explicit PacketPort(event_base* base);
  ~PacketPort();
  PacketPort(const PacketPort&) = delete;
  PacketPort& operator=(const PacketPort&) = delete;

  /// Emitted for each received batch. The datagrams are valid until the
  /// handlers return.
  sigc::signal<void(const PacketsArrived&)> on_packets;

  /// Returns false when the address cannot be bound.
  bool Start(const Endpoint& address);

  /// Sends the packets and datagrams in `effects`. Precondition: the forwarded
  /// packets belong to the batch that is being handled.
  void Send(const FlowEffects& effects);

  /// Returns the number of datagrams that the kernel refused to send.
  std::uint64_t SendFailures() const;

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* self);
  bool ReceiveBatch();

  event_base* base;
  event* readable = nullptr;
  int fd = -1;
  std::vector<std::uint8_t> buffer;
  PacketsArrived batch;
  std::uint64_t send_failures = 0;
};

}  // namespace filbertwall
