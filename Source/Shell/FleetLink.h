#pragma once

#include <sigc++/sigc++.h>

#include <map>
#include <string>

#include "Fleet/Fleet.h"
#include "Shell/DatagramPort.h"
#include "Transport/Fragments.h"

/// Messages between the instances of a fleet, over UDP.
///
/// Must be used on the loop's thread only.
namespace filbertwall {

/// Time since the machine started, with the time that it was suspended: a lease
/// must not outlive a suspension.
TimePoint FleetNow();

class FleetLink {
 public:
  explicit FleetLink(event_base* base);

  sigc::signal<void(const PeerMessage&)> on_message;

  /// Sends to others at `port_of_peers`, or at the own port when it is 0.
  /// False when the address can't be bound.
  bool Start(const Endpoint& address, std::uint16_t port_of_peers);

  /// Sends once, without a word of its arrival.
  void Send(const SendMessage& effect);

  std::uint64_t Malformed() const;
  std::uint64_t BytesSent() const { return this->bytes_sent; }

 private:
  void TakeBatch(std::span<const ReceivedDatagram> batch);

  DatagramPort port;
  Reassembler reassembler;
  std::uint16_t peer_port = 0;
  std::uint32_t next_message = 1;
  std::uint64_t malformed = 0;
  std::uint64_t bytes_sent = 0;
};

}  // namespace filbertwall
