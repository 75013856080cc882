#include "Shell/FleetLink.h"

#include <ctime>

#include "Base/InputError.h"
#include "Distribution/BoundedParse.h"
#include "Shell/EndReport.h"
#include "Shell/Log.h"

namespace filbertwall {

TimePoint FleetNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

FleetLink::FleetLink(event_base* base) : port(base) {
  this->port.on_batch.connect([this](std::span<const ReceivedDatagram> batch) {
    this->HandleBatch(batch);
  });
}

bool FleetLink::Start(const Endpoint& address, std::uint16_t port_of_peers) {
  this->peer_port = port_of_peers != 0 ? port_of_peers : address.port;
  return this->port.Start(address);
}

std::uint64_t FleetLink::MalformedCount() const {
  return this->malformed + this->reassembler.MalformedCount();
}

void FleetLink::Send(const SendMessage& effect) {
  const std::string bytes = effect.message.SerializeAsString();
  const Endpoint to{.ip = effect.to, .port = this->peer_port};
  for (const std::string& datagram :
       SplitMessage(bytes, this->next_message_id++)) {
    const std::span body(reinterpret_cast<const std::uint8_t*>(datagram.data()),
                         datagram.size());
    this->port.Send(to, {}, body);
    this->port.Flush();
    this->bytes_sent += datagram.size();
  }
}

void FleetLink::HandleBatch(std::span<const ReceivedDatagram> batch) {
  for (const ReceivedDatagram& datagram : batch) {
    const InputMark mark(InputKind::kMessage, datagram.bytes.size());
    const std::string_view bytes(
        reinterpret_cast<const char*>(datagram.bytes.data()),
        datagram.bytes.size());
    const auto assembled =
        this->reassembler.AddDatagram(datagram.from.ip, bytes, FleetNow());
    if (!assembled) {
      continue;
    }
    PeerMessage message{.from = datagram.from.ip};
    if (!ParseBounded(message.message, *assembled, kMaxMessageMemory)) {
      this->malformed += 1;
      WriteLog({.id = EventId::kMalformedInput,
                .severity = Severity::kWarning,
                .text = "message from=" + FormatIp(datagram.from.ip) +
                        " bytes=" + std::to_string(assembled->size()) +
                        " message=\"" + Excerpt(*assembled) + "\""});
      continue;
    }
    this->on_message.emit(message);
  }
}

}  // namespace filbertwall
