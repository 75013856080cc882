#include "Shell/Messenger.h"

#include <array>

namespace filbertwall {
namespace {

constexpr int kHighWaterMark = 2000;
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 3000;
constexpr int kHandshakeTimeoutMs = 3000;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 500;
constexpr std::int64_t kMaxMessageBytes = 64LL << 20;
constexpr char kAuthenticationEndpoint[] = "inproc://zeromq.zap.01";

std::string KindName(const wire::Envelope& envelope) {
  const auto* field = wire::Envelope::descriptor()->FindFieldByNumber(
      static_cast<int>(envelope.kind_case()));
  if (field == nullptr) {
    return "none";
  }
  if (envelope.has_control()) {
    const auto* kind = wire::ControlMessage::descriptor()->FindFieldByNumber(
        static_cast<int>(envelope.control().kind_case()));
    return "control." + (kind == nullptr ? "none" : kind->name());
  }
  return field->name();
}

std::string TcpAddress(const Endpoint& endpoint) {
  return "tcp://" + FormatEndpoint(endpoint);
}

}  // namespace

Messenger::Messenger(event_base* event_loop, const Settings& own_settings,
                     const KeyPair& own_keys)
    : base(event_loop),
      settings(own_settings),
      keys(own_keys),
      allowed_keys(AllowedKeys(own_settings)),
      router(this->context, zmq::socket_type::router),
      authenticator(this->context, zmq::socket_type::rep) {}

Messenger::~Messenger() {
  for (event* watcher : this->events) {
    event_free(watcher);
  }
}

void Messenger::ApplyLimits(zmq::socket_t& socket) const {
  socket.set(zmq::sockopt::linger, 200);
  socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
}

void Messenger::StartAuthentication() {
  this->authenticator.bind(kAuthenticationEndpoint);
  this->Watch(this->authenticator);
  this->router.set(zmq::sockopt::curve_server, true);
  this->router.set(zmq::sockopt::curve_secretkey, this->keys.secret_key);
}

std::string Messenger::Start() {
  try {
    this->ApplyLimits(this->router);
    this->router.set(zmq::sockopt::router_handover, true);
    if (this->settings.security.curve) {
      this->StartAuthentication();
    }
    this->router.bind(TcpAddress(this->settings.control_address));
    this->Watch(this->router);
    for (const auto& [id, peer] : this->settings.peers) {
      zmq::socket_t socket(this->context, zmq::socket_type::dealer);
      this->ApplyLimits(socket);
      // Messages to an instance without a connection are dropped, not queued.
      socket.set(zmq::sockopt::immediate, true);
      socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
      socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
      if (this->settings.security.curve) {
        socket.set(zmq::sockopt::curve_serverkey, peer.public_key);
        socket.set(zmq::sockopt::curve_publickey, this->keys.public_key);
        socket.set(zmq::sockopt::curve_secretkey, this->keys.secret_key);
      }
      socket.connect(TcpAddress(peer.address));
      this->peers.emplace(id, std::move(socket));
    }
  } catch (const zmq::error_t& error) {
    return FormatEndpoint(this->settings.control_address) + ": " + error.what();
  }
  return "";
}

void Messenger::Watch(zmq::socket_t& socket) {
  event* watcher =
      event_new(this->base, socket.get(zmq::sockopt::fd), EV_READ | EV_PERSIST,
                &Messenger::OnReadable, this);
  event_add(watcher, nullptr);
  this->events.push_back(watcher);
}

void Messenger::OnReadable(evutil_socket_t, short, void* self) {
  static_cast<Messenger*>(self)->Drain();
}

void Messenger::Send(std::uint32_t to, const wire::Envelope& envelope) {
  const auto socket = this->peers.find(to);
  if (socket == this->peers.end()) {
    return;
  }
  const std::string bytes = envelope.SerializeAsString();
  this->bytes_sent[KindName(envelope)] += bytes.size();
  socket->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
}

void Messenger::Reply(const std::string& client,
                      const wire::Envelope& envelope) {
  const std::string bytes = envelope.SerializeAsString();
  const bool queued =
      this->router
          .send(zmq::buffer(client),
                zmq::send_flags::dontwait | zmq::send_flags::sndmore)
          .has_value();
  if (queued) {
    this->router.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  }
}

const std::map<std::string, std::uint64_t>& Messenger::BytesSent() const {
  return this->bytes_sent;
}

void Messenger::Drain() {
  if (this->settings.security.curve) {
    this->DrainAuthentication();
  }
  this->DrainRouter();
}

/// Answers ZeroMQ's authentication requests (ZAP, RFC 27); only known keys are
/// accepted.
void Messenger::DrainAuthentication() {
  constexpr std::size_t kKeyPart = 6;
  zmq::message_t part;
  while (this->authenticator.recv(part, zmq::recv_flags::dontwait)) {
    std::vector<std::string> parts = {part.to_string()};
    while (part.more()) {
      if (!this->authenticator.recv(part, zmq::recv_flags::none)) {
        break;
      }
      parts.push_back(part.to_string());
    }
    std::string identity;
    if (parts.size() > kKeyPart && parts[kKeyPart].size() == 32) {
      std::array<char, 41> text{};
      zmq_z85_encode(
          text.data(),
          reinterpret_cast<const std::uint8_t*>(parts[kKeyPart].data()), 32);
      const auto known = this->allowed_keys.find(text.data());
      identity = known == this->allowed_keys.end() ? "" : known->second;
    }
    const std::string request = parts.size() > 1 ? parts[1] : "";
    const std::array<std::string, 6> reply = {
        "1.0", request, identity.empty() ? "400" : "200", "", identity, ""};
    for (std::size_t i = 0; i < reply.size(); ++i) {
      this->authenticator.send(zmq::buffer(reply[i]),
                               i + 1 < reply.size() ? zmq::send_flags::sndmore
                                                    : zmq::send_flags::none);
    }
  }
}

void Messenger::DrainRouter() {
  zmq::message_t identity;
  while (this->router.recv(identity, zmq::recv_flags::dontwait)) {
    zmq::message_t message;
    bool more = identity.more();
    bool first = true;
    while (more && this->router.recv(message, zmq::recv_flags::none)) {
      more = message.more();
      if (first) {
        this->HandleMessage(identity.to_string(), message);
      }
      first = false;
    }
  }
}

void Messenger::HandleMessage(const std::string& identity,
                              zmq::message_t& message) {
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(message.data(),
                               static_cast<int>(message.size()))) {
    this->on_malformed.emit();
    return;
  }
  const bool is_operator = envelope.from() == 0;
  if (this->settings.security.curve) {
    const char* user_id = zmq_msg_gets(message.handle(), "User-Id");
    const std::string sender = user_id == nullptr ? "" : user_id;
    const bool authentic =
        is_operator ? sender.starts_with("operator.")
                    : sender == "peer." + std::to_string(envelope.from());
    if (!authentic) {
      this->on_malformed.emit();
      return;
    }
  }
  this->on_message.emit(is_operator ? identity : "", envelope);
}

wire::Envelope SendRequest(const std::string& address,
                           const std::string& server_key, const KeyPair& keys,
                           const wire::Envelope& request, Milliseconds limit) {
  zmq::context_t context;
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::rcvtimeo, static_cast<int>(limit.count()));
  if (!server_key.empty()) {
    socket.set(zmq::sockopt::curve_serverkey, server_key);
    socket.set(zmq::sockopt::curve_publickey, keys.public_key);
    socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
  }
  socket.connect("tcp://" + address);
  const std::string bytes = request.SerializeAsString();
  socket.send(zmq::buffer(bytes), zmq::send_flags::none);
  zmq::message_t message;
  wire::Envelope reply;
  if (socket.recv(message, zmq::recv_flags::none)) {
    reply.ParseFromArray(message.data(), static_cast<int>(message.size()));
  }
  return reply;
}

}  // namespace filbertwall
