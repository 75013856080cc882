#include <cstdint>
#include <span>

#include "Flows/Packet.h"

namespace filbertwall {

void FeedGenevePacket(std::span<const std::uint8_t> bytes) {
  ReadPacket(bytes);
}

}  // namespace filbertwall
