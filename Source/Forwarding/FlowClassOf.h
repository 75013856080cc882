#pragma once

#include "Admission/Admission.h"
#include "Base/Time.h"
#include "Forwarding/FlowPacket.h"
#include "Forwarding/LateOpenings.h"
#include "Forwarding/RouteTable.h"

/// Translation of a packet and its route into requests to admission control.
/// Pure functions; thread safe.
namespace filbertwall {

/// Returns the class of the route's flows.
FlowClass FlowClassOf(const RouteEntry& route);

/// Returns whether admission control may refuse the flow that `packet` opens: a
/// copy may have been accepted by a server already, and without an objective
/// there is no measure of an overload.
bool IsSubjectToAdmission(const FlowPacket& packet, const RouteEntry& route);

/// Returns the request to admit the flow that `packet` opens.
AdmissionRequest MakeAdmissionRequest(const FlowPacket& packet,
                                      const RouteEntry& route,
                                      ServiceIndex service);

/// Returns the order of a late opening packet whose flow would take `duration`.
/// Its caller gives up when the route's timeout has passed since the first
/// copy.
LateOrder MakeLateOrder(const FlowPacket& packet, const RouteEntry& route,
                        Milliseconds duration, TimePoint now);

}  // namespace filbertwall
