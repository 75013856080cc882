#include "Shell/DatagramPort.h"

#include <unistd.h>

#include <algorithm>

namespace filbertwall {
namespace {

constexpr int kSocketBufferBytes = 1 << 20;
constexpr int kMaxBatchesPerWakeUp = 4;

sockaddr_in ToSystem(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.ip);
  address.sin_port = htons(endpoint.port);
  return address;
}

Endpoint FromSystem(const sockaddr_in& address) {
  return Endpoint{.ip = ntohl(address.sin_addr.s_addr),
                  .port = ntohs(address.sin_port)};
}

}  // namespace

DatagramPort::DatagramPort(event_base* event_loop)
    : base(event_loop), buffers(kBatchSize) {}

DatagramPort::~DatagramPort() {
  if (this->readable != nullptr) {
    event_free(this->readable);
  }
  if (this->fd >= 0) {
    close(this->fd);
  }
}

bool DatagramPort::Start(const Endpoint& address) {
  this->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->fd < 0) {
    return false;
  }
  // The kernel may grant a smaller buffer; shorter bursts then lose datagrams.
  setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  const sockaddr_in system = ToSystem(address);
  if (bind(this->fd, reinterpret_cast<const sockaddr*>(&system),
           sizeof(system)) != 0) {
    close(this->fd);
    this->fd = -1;
    return false;
  }
  this->readable = event_new(this->base, this->fd, EV_READ | EV_PERSIST,
                             &DatagramPort::OnReadable, this);
  return event_add(this->readable, nullptr) == 0;
}

std::size_t DatagramPort::ReceiveBatch() {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    this->vectors[i] = {.iov_base = this->buffers[i].data(),
                        .iov_len = kMaxDatagramBytes};
    msghdr& header = this->incoming_messages[i].msg_hdr;
    header = msghdr{};
    header.msg_name = &this->senders[i];
    header.msg_namelen = sizeof(sockaddr_in);
    header.msg_iov = &this->vectors[i];
    header.msg_iovlen = 1;
  }
  const int count = recvmmsg(this->fd, this->incoming_messages.data(),
                             kBatchSize, MSG_DONTWAIT, nullptr);
  if (count <= 0) {
    return 0;
  }
  const auto size = static_cast<std::size_t>(count);
  for (std::size_t i = 0; i < size; ++i) {
    this->received[i] = {
        .from = FromSystem(this->senders[i]),
        .bytes = std::span(this->buffers[i].data(),
                           this->incoming_messages[i].msg_len)};
  }
  this->on_batch.emit(std::span(this->received.data(), size));
  this->Flush();
  return size;
}

void DatagramPort::OnReadable(evutil_socket_t, short, void* self) {
  auto& port = *static_cast<DatagramPort*>(self);
  for (int i = 0; i < kMaxBatchesPerWakeUp; ++i) {
    if (port.ReceiveBatch() < kBatchSize) {
      return;
    }
  }
}

void DatagramPort::Send(const Endpoint& to,
                        std::span<const std::uint8_t> prefix,
                        std::span<const std::uint8_t> body) {
  OutgoingDatagram& item = this->outgoing[this->queued];
  item.address = ToSystem(to);
  const std::size_t prefix_size = std::min(prefix.size(), kMaxPrefixBytes);
  std::copy_n(prefix.begin(), prefix_size, item.prefix.begin());
  item.parts[0] = {.iov_base = item.prefix.data(), .iov_len = prefix_size};
  item.parts[1] = {.iov_base = const_cast<std::uint8_t*>(body.data()),
                   .iov_len = body.size()};
  msghdr& header = this->outgoing_messages[this->queued].msg_hdr;
  header = msghdr{};
  header.msg_name = &item.address;
  header.msg_namelen = sizeof(sockaddr_in);
  header.msg_iov = item.parts.data();
  header.msg_iovlen = item.parts.size();
  this->queued += 1;
  if (this->queued == kBatchSize) {
    this->Flush();
  }
}

void DatagramPort::Flush() {
  std::size_t sent = 0;
  while (sent < this->queued) {
    const int accepted =
        sendmmsg(this->fd, this->outgoing_messages.data() + sent,
                 static_cast<unsigned>(this->queued - sent), MSG_DONTWAIT);
    if (accepted <= 0) {
      // Skips the datagram that was refused; later ones may still be sent.
      this->send_failures += 1;
      sent += 1;
      continue;
    }
    sent += static_cast<std::size_t>(accepted);
  }
  this->queued = 0;
}

}  // namespace filbertwall
