#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Shell/FleetLoop.h"
#include "Shell/Runtime.h"

/// Opens the ports of an instance of a fleet at its start.
namespace filbertwall {

/// An address from the settings, and what binds it.
struct FleetPort {
  std::string setting;
  Endpoint address;
  std::function<bool(const Endpoint&)> open;  ///< False: may be tried again.
};

/// Opens the ports in order. Tries for some seconds, as a predecessor that is
/// being ended may still hold an address. Returns empty when all are open,
/// `kNone` when the process was asked to stop meanwhile, and `kNetwork`, after
/// logging it, when an address can't be bound. Must be called on the loop's
/// thread before `FleetLoop::Run`.
std::optional<RunError> OpenFleetPorts(FleetLoop& loop,
                                       const std::vector<FleetPort>& ports);

}  // namespace filbertwall
