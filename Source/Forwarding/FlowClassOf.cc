#include "Forwarding/FlowClassOf.h"

namespace filbertwall {

FlowClass FlowClassOf(const RouteEntry& route) {
  return {.priority = route.priority,
          .retryable = route.kind != wire::REQUEST_UNSAFE};
}

bool IsSubjectToAdmission(const FlowPacket& packet, const RouteEntry& route) {
  return packet.copies == 0 && route.objective.count() > 0;
}

AdmissionRequest MakeAdmissionRequest(const FlowPacket& packet,
                                      const RouteEntry& route,
                                      ServiceIndex service) {
  const FlowClass flow_class = FlowClassOf(route);
  return {.service = service,
          .caller = packet.key.caller.ip,
          .priority = flow_class.priority,
          .retryable = flow_class.retryable,
          .flow = FlowKeyHash()(packet.key)};
}

LateOrder MakeLateOrder(const FlowPacket& packet, const RouteEntry& route,
                        Milliseconds duration, TimePoint now) {
  const TimePoint gives_up_at = now - packet.since_first_copy + route.timeout;
  return {.flow_class = FlowClassOf(route),
          .latest_start = gives_up_at - duration};
}

}  // namespace filbertwall
