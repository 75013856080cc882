#include "Forwarding/FlowPacket.h"

#include "Base/Hash.h"
#include "Forwarding/RouteTable.h"

namespace filbertwall {

std::size_t FlowKeyHash::operator()(const FlowKey& key) const {
  const std::uint64_t caller = KeyOf(key.caller);
  return MixHash(caller, KeyOf(key.address));
}

}  // namespace filbertwall
