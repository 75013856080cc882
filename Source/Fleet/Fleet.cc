#include "Fleet/Fleet.h"

#include <algorithm>

namespace filbertwall {

void AdvancePosition(RegistryPosition& position, const wire::Update& update) {
  if (update.registry_epoch() == position.epoch) {
    const bool contiguous = update.registry_from() <= position.change;
    // Updates may arrive out of order, so the position never moves back.
    position.change = contiguous
                          ? std::max(position.change, update.registry_change())
                          : position.change;
  } else if (update.registry_from() == 0) {
    position.epoch = update.registry_epoch();
    position.change = update.registry_change();
  }
}

wire::Knowledge ExtractKnowledge(const wire::Update& update) {
  wire::Knowledge knowledge;
  knowledge.set_voter(update.voter());
  knowledge.set_seq(update.seq());
  knowledge.set_newest_version(
      std::max(update.rules_version(), update.pending_version()));
  *knowledge.mutable_control_instances() = update.control_instances();
  return knowledge;
}

}  // namespace filbertwall
