#include "Shell/FleetPorts.h"

#include "Shell/FleetLink.h"
#include "Shell/Log.h"

namespace filbertwall {
namespace {

constexpr Milliseconds kRetryTime{5000};
constexpr Milliseconds kRetryInterval{50};

}  // namespace

std::optional<RunError> OpenFleetPorts(FleetLoop& loop,
                                       const std::vector<FleetPort>& ports) {
  const TimePoint deadline = FleetNow() + kRetryTime;
  for (const FleetPort& port : ports) {
    while (!port.open(port.address)) {
      if (FleetNow() >= deadline) {
        WriteLog({.id = EventId::kSettingsRejected,
                  .severity = Severity::kError,
                  .text = "cannot listen: " + port.setting + " " +
                          FormatEndpoint(port.address)});
        return RunError::kNetwork;
      }
      if (!loop.Wait(kRetryInterval)) {
        return RunError::kNone;
      }
    }
  }
  return std::nullopt;
}

}  // namespace filbertwall
