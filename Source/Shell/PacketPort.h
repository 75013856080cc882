#pragma once

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <vector>

#include "Flows/FlowTier.h"

/// The UDP port on which Geneve datagrams arrive and leave, many a system
/// call. Must be used on the loop's thread only.
namespace filbertwall {

class PacketPort {
 public:
  explicit PacketPort(event_base* base);
  ~PacketPort();
  PacketPort(const PacketPort&) = delete;
  PacketPort& operator=(const PacketPort&) = delete;

  /// The datagrams are valid until the handlers return.
  sigc::signal<void(const PacketsArrived&)> on_packets;

  /// False when the address can't be bound.
  bool Start(const Endpoint& address);

  /// Sends what the decisions ordered. Precondition: forwarded packets belong
  /// to the event that is being handled.
  void Send(const FlowEffects& effects);

  /// Datagrams that the system refused to take.
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
