#include "Fleet/Fleet.h"

#include <algorithm>

namespace filbertwall {

void AdvancePosition(RegistryPosition& position, const wire::Update& update) {
  if (update.registry_epoch() == 0) {
    return;  // A summary, which states no position.
  }
  if (update.position_reset() && update.registry_from() == 0) {
    position = {.epoch = update.registry_epoch(),
                .change = update.registry_change()};
  } else if (update.registry_epoch() == position.epoch) {
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

bool MayConfirm(const RegistryPosition& position, const wire::Update& update) {
  return update.confirm() && update.registry_epoch() == position.epoch &&
         position.change > update.registry_from();
}

wire::RulesStatus ExtractRulesStatus(const wire::Update& update) {
  wire::RulesStatus rules_status;
  rules_status.set_voter(update.voter());
  rules_status.set_seq(update.seq());
  rules_status.set_newest_version(
      std::max(update.rules_version(), update.pending_version()));
  rules_status.set_newest_evacuation_seq(
      std::max(update.evacuations().seq(), update.evacuations().pending_seq()));
  *rules_status.mutable_control_instances() = update.control_instances();
  return rules_status;
}

}  // namespace filbertwall
