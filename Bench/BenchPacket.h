#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Backends/Directory.h"
#include "Flows/FlowTier.h"

/// Test packets, rules and backend servers shared by the benchmarks.
namespace filbertwall::bench {

inline constexpr std::uint8_t kSyn = 0x02;
inline constexpr std::uint8_t kAck = 0x10;
inline constexpr Endpoint kVirtual{.ip = 0x0A000002, .port = 80};

/// Returns a Geneve datagram with an inner TCP header for flow number `flow`.
inline std::vector<std::uint8_t> MakePacket(std::uint32_t flow,
                                            std::uint8_t flags) {
  std::vector<std::uint8_t> bytes(8 + 20 + 20);
  bytes[2] = 0x08;
  std::uint8_t* ip = bytes.data() + 8;
  ip[0] = 0x45;
  ip[3] = 40;
  ip[9] = 6;
  for (int i = 0; i < 4; ++i) {
    ip[12 + i] = static_cast<std::uint8_t>(flow >> (24 - 8 * i));
    ip[16 + i] = static_cast<std::uint8_t>(kVirtual.ip >> (24 - 8 * i));
  }
  std::uint8_t* tcp = ip + 20;
  tcp[1] = 7;
  tcp[3] = 80;
  tcp[12] = 0x50;
  tcp[13] = flags;
  return bytes;
}

inline Rules MakeRules(Preference preference = Preference::kStability) {
  Rules rules;
  rules.services["proof"] = ServiceRule{.name = "proof",
                                        .protocol = Protocol::kPackets,
                                        .preference = preference};
  rules.addresses[kVirtual] =
      AddressRule{.address = kVirtual, .service = "proof"};
  return rules;
}

inline Endpoint BackendNumber(std::uint32_t number) {
  return {.ip = 0x0B000000 + number, .port = 9000};
}

inline void Announce(Directory& directory, std::uint32_t number,
                     wire::BackendPhase phase, std::uint64_t sequence,
                     TimePoint now) {
  wire::BackendRecord record;
  wire::Announcement& announcement = *record.mutable_announcement();
  announcement.set_address(FormatEndpoint(BackendNumber(number)));
  announcement.set_service("proof");
  announcement.set_slots(3);
  announcement.set_phase(phase);
  announcement.set_sequence(sequence);
  ApplyAnnouncement(directory, record, now);
}

}  // namespace filbertwall::bench
