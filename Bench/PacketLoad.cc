#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

#include "Base/Text.h"
#include "Bench/BenchPacket.h"

/// Sends packets of established flows to an instance, or to a plain relay, and
/// counts the packets that reach the backend server. Can also be the relay.
///
/// packet_load send TARGET RECEIVER FLOWS SECONDS: prints packets per second.
/// packet_load relay LISTEN TARGET: forwards datagrams in batches until killed.
namespace filbertwall::bench {
namespace {

constexpr std::size_t kBatch = 64;
constexpr std::size_t kPacketBytes = 48;
constexpr int kSocketBytes = 8 << 20;

int OpenSocket(const Endpoint& own) {
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBytes, sizeof kSocketBytes);
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBytes, sizeof kSocketBytes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(own.ip);
  address.sin_port = htons(own.port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    std::perror("bind");
    std::exit(1);
  }
  return fd;
}

/// A batch of datagrams to one address.
struct Batch {
  sockaddr_in to{};
  std::array<std::array<std::uint8_t, 2048>, kBatch> bytes{};
  std::array<iovec, kBatch> vectors{};
  std::array<mmsghdr, kBatch> messages{};

  explicit Batch(const Endpoint& target) {
    this->to.sin_family = AF_INET;
    this->to.sin_addr.s_addr = htonl(target.ip);
    this->to.sin_port = htons(target.port);
    for (std::size_t i = 0; i < kBatch; ++i) {
      this->vectors[i] = {this->bytes[i].data(), this->bytes[i].size()};
      this->messages[i].msg_hdr.msg_iov = &this->vectors[i];
      this->messages[i].msg_hdr.msg_iovlen = 1;
    }
  }
  void Address(bool set) {
    for (mmsghdr& message : this->messages) {
      message.msg_hdr.msg_name = set ? &this->to : nullptr;
      message.msg_hdr.msg_namelen = set ? sizeof this->to : 0;
    }
  }
};

void Relay(const Endpoint& listen, const Endpoint& target) {
  const int fd = OpenSocket(listen);
  Batch batch(target);
  while (true) {
    batch.Address(false);
    for (iovec& vector : batch.vectors) {
      vector.iov_len = 2048;
    }
    const int received =
        recvmmsg(fd, batch.messages.data(), kBatch, MSG_WAITFORONE, nullptr);
    batch.Address(true);
    for (int i = 0; i < received; ++i) {
      batch.vectors[i].iov_len = batch.messages[i].msg_len;
    }
    int sent = 0;
    while (sent < received) {
      const int taken = sendmmsg(fd, batch.messages.data() + sent,
                                 static_cast<unsigned>(received - sent), 0);
      sent += taken > 0 ? taken : 1;
    }
  }
}

void Send(const Endpoint& target, const Endpoint& receiver, std::uint32_t flows,
          int seconds) {
  const int in = OpenSocket(receiver);
  const int out = OpenSocket({.ip = receiver.ip, .port = 0});
  std::atomic<bool> over = false;
  std::atomic<std::uint64_t> received = 0;
  std::thread counter([&] {
    Batch batch(target);
    while (!over) {
      const int count =
          recvmmsg(in, batch.messages.data(), kBatch, MSG_WAITFORONE, nullptr);
      received += count > 0 ? static_cast<std::uint64_t>(count) : 0;
    }
  });
  Batch batch(target);
  batch.Address(true);
  std::uint32_t flow = 0;
  const auto send_round = [&](std::uint8_t flags) {
    for (std::size_t i = 0; i < kBatch; ++i) {
      const auto packet = MakePacket(flow, flags);
      std::memcpy(batch.bytes[i].data(), packet.data(), kPacketBytes);
      batch.vectors[i].iov_len = kPacketBytes;
      flow = (flow + 1) % flows;
    }
    sendmmsg(out, batch.messages.data(), kBatch, 0);
  };
  for (std::uint32_t opened = 0; opened < flows; opened += kBatch) {
    send_round(kSyn);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const std::uint64_t before = received;
  const auto started = std::chrono::steady_clock::now();
  const auto end = started + std::chrono::seconds(seconds);
  while (std::chrono::steady_clock::now() < end) {
    send_round(kAck);
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - started;
  std::printf("%.0f\n", static_cast<double>(received - before) / took.count());
  std::fflush(stdout);
  over = true;
  std::_Exit(0);  // The counter may block on a receive forever.
}

}  // namespace
}  // namespace filbertwall::bench

int main(int argc, char** argv) {
  using filbertwall::ParseEndpoint;
  const std::string mode = argc > 1 ? argv[1] : "";
  const auto first = ParseEndpoint(argc > 2 ? argv[2] : "");
  const auto second = ParseEndpoint(argc > 3 ? argv[3] : "");
  if (mode == "relay" && first && second) {
    filbertwall::bench::Relay(*first, *second);
  }
  if (mode == "send" && first && second && argc == 6) {
    filbertwall::bench::Send(*first, *second,
                             static_cast<std::uint32_t>(std::stoul(argv[4])),
                             std::stoi(argv[5]));
  }
  std::fprintf(stderr,
               "usage: packet_load send TARGET RECEIVER FLOWS SECONDS\n"
               "       packet_load relay LISTEN TARGET\n");
  return 2;
}
