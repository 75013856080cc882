#pragma once

#include <sigc++/sigc++.h>

#include <map>
#include <string>

#include "Fleet/Fleet.h"
#include "Shell/DatagramPort.h"
#include "Transport/Fragments.h"

/// Sends and receives messages between the instances of a fleet over UDP. Must
/// be used on the thread of the event loop only.
namespace filbertwall {

/// Returns the time since the machine booted, including suspended time: a lease
/// must not remain valid across a suspension.
TimePoint FleetNow();

class FleetLink {
 public:
  explicit FleetLink(event_base* base);

  sigc::signal<void(const PeerMessage&)> on_message;

  /// Binds to `address`. Messages are sent to `port_of_peers` of the other
  /// instances, or to the port of `address` when it is 0. Returns false when
  /// the address can't be bound.
  bool Start(const Endpoint& address, std::uint16_t port_of_peers);

  /// Sends the message once, without acknowledgement or retransmission.
  void Send(const SendMessage& effect);

  /// Returns the number of malformed datagrams and messages received.
  std::uint64_t MalformedCount() const;
  std::uint64_t BytesSent() const { return this->bytes_sent; }

 private:
  void HandleBatch(std::span<const ReceivedDatagram> batch);

  DatagramPort port;
  Reassembler reassembler;
  std::uint16_t peer_port = 0;
  std::uint32_t next_message_id = 1;
  std::uint64_t malformed = 0;
  std::uint64_t bytes_sent = 0;
};

}  // namespace filbertwall
