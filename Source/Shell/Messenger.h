#pragma once

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "Settings/Settings.h"
#include "Shell/Keys.h"
#include "Wire/wire.pb.h"

/// Messages between instances and from operators over ZeroMQ.
namespace filbertwall {

/// Holds one listening socket and one connection to each other instance. Must
/// be used on the event loop's thread only.
class Messenger {
 public:
  Messenger(event_base* base, const Settings& settings, const KeyPair& keys);
  ~Messenger();
  Messenger(const Messenger&) = delete;
  Messenger& operator=(const Messenger&) = delete;

  /// Emitted for each valid message. `client` identifies an operator's
  /// connection for `Reply`; it is empty for messages from instances.
  sigc::signal<void(std::string client, wire::Envelope envelope)> on_message;

  /// Emitted for each message that cannot be decoded or whose sender is not
  /// authentic.
  sigc::signal<void()> on_malformed;

  /// Binds the listening socket and connects to the other instances. Returns an
  /// error text, empty on success.
  std::string Start();

  /// Passes a message to ZeroMQ, which may drop it.
  void Send(std::uint32_t to, const wire::Envelope& envelope);
  void Reply(const std::string& client, const wire::Envelope& envelope);

  /// Receives all waiting messages. ZeroMQ's descriptor is edge-triggered, so
  /// this must also be called after sends.
  void Drain();

  /// Returns the bytes passed to ZeroMQ, by message kind.
  const std::map<std::string, std::uint64_t>& BytesSent() const;

 private:
  void StartAuthentication();
  void DrainAuthentication();
  void DrainRouter();
  void HandleMessage(const std::string& identity, zmq::message_t& message);
  void Watch(zmq::socket_t& socket);
  void ApplyLimits(zmq::socket_t& socket) const;
  static void OnReadable(evutil_socket_t fd, short what, void* self);

  event_base* base;
  const Settings& settings;
  KeyPair keys;
  std::map<std::string, std::string> allowed_keys;
  zmq::context_t context;
  zmq::socket_t router;
  zmq::socket_t authenticator;
  std::map<std::uint32_t, zmq::socket_t> peers;
  std::vector<event*> events;
  std::map<std::string, std::uint64_t> bytes_sent;
};

/// Sends an operator's request and returns the reply, or an empty envelope when
/// none arrives within `limit`. Blocks, so it is for the command line only.
wire::Envelope SendRequest(const std::string& address,
                           const std::string& server_key, const KeyPair& keys,
                           const wire::Envelope& request, Milliseconds limit);

}  // namespace filbertwall
