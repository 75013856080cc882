#include "Fleet/EntryBalance.h"

#include "Placement/Capacity.h"
#include "Placement/LoadDraw.h"

namespace filbertwall {
namespace {

/// The log says that flows are diverted from this share on, until the share is
/// below the second one.
constexpr double kDivertedShare = 0.1;
constexpr double kNotDivertedShare = 0.02;

void SetPlacedSlowness(Placement& placement, const wire::ServerRecord& record) {
  const auto placed = placement.by_id.find(record.id());
  if (placed != placement.by_id.end()) {
    placement.servers[placed->second].slowness =
        SlownessFactor(placement.config, record);
  }
}

std::string FormatPercent(double share) {
  constexpr double kPercent = 100;
  return std::to_string(static_cast<int>(share * kPercent));
}

}  // namespace

void AdoptSlowness(EntryInstance& instance, const wire::ServerRecord& record) {
  const auto known = instance.registry.servers.find(record.id());
  if (known == instance.registry.servers.end() ||
      known->second.record.incarnation() != record.incarnation()) {
    return;
  }
  SetSlowness(instance.registry, record.id(), record.slowness_percent());
  SetPlacedSlowness(instance.forwarder.placement, record);
}

void ForgetSlowness(EntryInstance& instance, InstanceAddress primary) {
  for (auto& [id, server] : instance.registry.servers) {
    server.record.set_slowness_percent(0);
    SetPlacedSlowness(instance.forwarder.placement, server.record);
  }
  instance.sources.at(primary).position = {};
}

void UpdateCapacities(EntryInstance& instance, TimePoint now) {
  Forwarder& forwarder = instance.forwarder;
  if (!forwarder.placement.config.balance_by_load) {
    return;
  }
  const auto services = forwarder.placement.usable_by_service.size();
  for (ServiceIndex service = 0; service < services; ++service) {
    UpdateCapacity(forwarder.admission, service,
                   CapacityOf(forwarder.placement, service, now), now);
  }
}

void LogDiversions(EntryInstance& instance, TimePoint now,
                   std::vector<EntryEffect>& effects) {
  Placement& placement = instance.forwarder.placement;
  if (!placement.config.balance_by_load) {
    return;
  }
  for (const auto& [name, service] : placement.services) {
    const LoadView& view = UpdateLoadView(placement, service, now);
    for (std::uint32_t i = 0; i < view.data_centres.size(); ++i) {
      const double share = view.data_centres[i].diverted_share;
      const auto key = std::make_pair(service, i);
      const bool known = instance.diverted.contains(key);
      if (known ? share >= kNotDivertedShare : share < kDivertedShare) {
        continue;
      }
      if (known) {
        instance.diverted.erase(key);
      } else {
        instance.diverted.insert(key);
      }
      effects.emplace_back(LogRecord{
          .id = known ? EventId::kDataCentreNotDiverted
                      : EventId::kDataCentreDiverted,
          .severity = known ? Severity::kInfo : Severity::kWarning,
          .text = "service=" + name +
                  " data_centre=" + placement.data_centres[i].name +
                  " diverted_percent=" + FormatPercent(share) +
                  " load=" + std::to_string(view.data_centres[i].load)});
    }
  }
}

}  // namespace filbertwall
