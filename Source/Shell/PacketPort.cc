#include "Shell/PacketPort.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace filbertwall {
namespace {

constexpr std::size_t kBatchSize = 64;
constexpr std::size_t kMaxDatagramBytes = 9216;
constexpr int kSocketBufferBytes = 8 << 20;
constexpr int kMaxBatchesPerWakeUp = 8;

sockaddr_in ToSystem(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.ip);
  address.sin_port = htons(endpoint.port);
  return address;
}

/// Collects datagrams and sends them a batch at a time.
class Sender {
 public:
  explicit Sender(int socket_fd) : fd(socket_fd) {}

  void Add(const Endpoint& to, const std::uint8_t* bytes, std::size_t size) {
    this->addresses[this->count] = ToSystem(to);
    iovec& vector = this->vectors[this->count];
    vector.iov_base = const_cast<std::uint8_t*>(bytes);
    vector.iov_len = size;
    msghdr& header = this->messages[this->count].msg_hdr;
    header = msghdr{};
    header.msg_name = &this->addresses[this->count];
    header.msg_namelen = sizeof(sockaddr_in);
    header.msg_iov = &vector;
    header.msg_iovlen = 1;
    this->count += 1;
    if (this->count == kBatchSize) {
      this->Flush();
    }
  }

  /// Sends the collected datagrams. Returns the number of datagrams that could
  /// not be sent so far.
  std::uint64_t Flush() {
    std::size_t sent = 0;
    while (sent < this->count) {
      const int accepted =
          sendmmsg(this->fd, this->messages.data() + sent,
                   static_cast<unsigned>(this->count - sent), MSG_DONTWAIT);
      if (accepted <= 0) {
        this->failures += 1;
        sent += 1;  // Skips the datagram that was refused.
      } else {
        sent += static_cast<std::size_t>(accepted);
      }
    }
    this->count = 0;
    return this->failures;
  }

 private:
  int fd;
  std::size_t count = 0;
  std::uint64_t failures = 0;
  std::array<sockaddr_in, kBatchSize> addresses;
  std::array<iovec, kBatchSize> vectors;
  std::array<mmsghdr, kBatchSize> messages;
};

}  // namespace

PacketPort::PacketPort(event_base* event_loop)
    : base(event_loop), buffer(kBatchSize * kMaxDatagramBytes) {}

PacketPort::~PacketPort() {
  if (this->readable != nullptr) {
    event_free(this->readable);
  }
  if (this->fd >= 0) {
    close(this->fd);
  }
}

bool PacketPort::Start(const Endpoint& address) {
  this->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof kSocketBufferBytes);
  setsockopt(this->fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof kSocketBufferBytes);
  const sockaddr_in own = ToSystem(address);
  if (bind(this->fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) !=
      0) {
    return false;
  }
  this->readable = event_new(this->base, this->fd, EV_READ | EV_PERSIST,
                             &PacketPort::OnReadable, this);
  event_add(this->readable, nullptr);
  return true;
}

void PacketPort::OnReadable(evutil_socket_t, short, void* self) {
  auto& port = *static_cast<PacketPort*>(self);
  // The limit keeps a flood of packets from starving other events.
  for (int i = 0; i < kMaxBatchesPerWakeUp && port.ReceiveBatch(); ++i) {
  }
}

bool PacketPort::ReceiveBatch() {
  std::array<sockaddr_in, kBatchSize> addresses{};
  std::array<iovec, kBatchSize> vectors{};
  std::array<mmsghdr, kBatchSize> messages{};
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    vectors[i].iov_base = this->buffer.data() + i * kMaxDatagramBytes;
    vectors[i].iov_len = kMaxDatagramBytes;
    messages[i].msg_hdr.msg_name = &addresses[i];
    messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    messages[i].msg_hdr.msg_iov = &vectors[i];
    messages[i].msg_hdr.msg_iovlen = 1;
  }
  const int received =
      recvmmsg(this->fd, messages.data(), kBatchSize, MSG_DONTWAIT, nullptr);
  if (received <= 0) {
    return false;
  }
  this->batch.datagrams.clear();
  for (std::size_t i = 0; i < static_cast<std::size_t>(received); ++i) {
    this->batch.datagrams.push_back(
        {.bytes = std::span(this->buffer)
                      .subspan(i * kMaxDatagramBytes, messages[i].msg_len),
         .from = {.ip = ntohl(addresses[i].sin_addr.s_addr),
                  .port = ntohs(addresses[i].sin_port)}});
  }
  this->on_packets.emit(this->batch);
  return static_cast<std::size_t>(received) == kBatchSize;
}

void PacketPort::Send(const FlowEffects& effects) {
  Sender sender(this->fd);
  for (const ForwardedPacket& packet : effects.forwarded) {
    const Datagram& datagram = this->batch.datagrams[packet.index];
    sender.Add(packet.to, datagram.bytes.data(), datagram.bytes.size());
  }
  for (const FlowDatagram& datagram : effects.datagrams) {
    sender.Add(datagram.to, datagram.bytes.data(), datagram.bytes.size());
  }
  this->send_failures += sender.Flush();
}

std::uint64_t PacketPort::SendFailures() const { return this->send_failures; }

}  // namespace filbertwall
