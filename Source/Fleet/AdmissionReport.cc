#include "Fleet/AdmissionReport.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "Base/Endpoint.h"

namespace filbertwall {
namespace {

/// Smaller changes of the effective slots are not reported.
constexpr double kReportedSlotsChange = 0.1;

/// Returns the increase of a counter. A class that was replaced and added again
/// starts from 0.
std::uint64_t Increase(std::uint64_t before, std::uint64_t now) {
  return now >= before ? now - before : now;
}

ClassCounters Increase(const ClassCounters& before, const ClassCounters& now) {
  return {.admitted = Increase(before.admitted, now.admitted),
          .refused = Increase(before.refused, now.refused),
          .starved = Increase(before.starved, now.starved),
          .unfair = Increase(before.unfair, now.unfair)};
}

std::string ServiceName(const Placement& placement, ServiceIndex service) {
  const auto found =
      std::find_if(placement.services.begin(), placement.services.end(),
                   [&](const auto& item) { return item.second == service; });
  return found == placement.services.end() ? "" : found->first;
}

std::string FormatClass(const Placement& placement, ServiceIndex service,
                        const FlowClass& flow_class) {
  return "service=" + ServiceName(placement, service) +
         " priority=" + std::to_string(flow_class.priority) +
         " repeatable=" + (flow_class.retryable ? "1" : "0");
}

/// Returns the caller with the highest demand, as log text.
std::string FormatTopCaller(const CallerDemand& demand) {
  double total = 0;
  TrackedCaller top;
  for (const TrackedCaller& tracked : demand.callers) {
    total += tracked.demand;
    top = tracked.demand > top.demand ? tracked : top;
  }
  const double percent = total > 0 ? 100 * top.demand / total : 0;
  return " callers=" + std::to_string(demand.callers.size()) +
         " top=" + FormatIp(top.caller) +
         " top_percent=" + std::to_string(std::lround(percent));
}

/// Reports the beginning and the end of refusals of a class.
void ReportClass(ReportedClass& reported, const ClassMeasurements& measured,
                 const std::string& name, std::vector<LogRecord>& records) {
  const ClassCounters increase = Increase(reported.counters, measured.counters);
  reported.counters = measured.counters;
  const bool refusing = increase.refused > 0;
  if (refusing != reported.refusing) {
    reported.refusing = refusing;
    records.push_back(
        {.id = EventId::kClassRefused,
         .severity = refusing ? Severity::kWarning : Severity::kInfo,
         .text = name + " refusing=" + (refusing ? "1" : "0") +
                 " admitted=" + std::to_string(increase.admitted) +
                 " refused=" + std::to_string(increase.refused) +
                 " starved=" + std::to_string(increase.starved)});
  }
  const bool unfair = increase.unfair > 0;
  if (unfair != reported.unfair) {
    reported.unfair = unfair;
    records.push_back(
        {.id = EventId::kCallersLimited,
         .severity = unfair ? Severity::kWarning : Severity::kInfo,
         .text = name + " limiting=" + (unfair ? "1" : "0") +
                 " refused=" + std::to_string(increase.unfair) +
                 FormatTopCaller(measured.callers)});
  }
}

/// Reports a change of the effective slots of a service.
void ReportSlots(double& reported, const ServiceCapacity& capacity,
                 const std::string& service, std::vector<LogRecord>& records) {
  const double slots = capacity.effective_slots;
  if (std::abs(slots - reported) <= kReportedSlotsChange * reported) {
    return;
  }
  const bool known = reported > 0;
  if (known) {
    records.push_back(
        {.id = EventId::kCapacityChanged,
         .severity = slots < reported ? Severity::kWarning : Severity::kInfo,
         .text = "service=" + service +
                 " slots=" + std::to_string(std::lround(slots)) +
                 " before=" + std::to_string(std::lround(reported))});
  }
  reported = slots;
}

}  // namespace

std::vector<LogRecord> ReportAdmission(AdmissionReport& report,
                                       const Forwarder& forwarder) {
  std::vector<LogRecord> records;
  const std::vector<ServiceMeasurements>& services =
      forwarder.admission.services;
  report.slots.resize(std::max(report.slots.size(), services.size()));
  std::map<std::pair<ServiceIndex, FlowClass>, ReportedClass> previous;
  previous.swap(report.classes);
  for (ServiceIndex service = 0; service < services.size(); ++service) {
    ReportSlots(report.slots[service], services[service].capacity,
                ServiceName(forwarder.placement, service), records);
    for (const ClassMeasurements& measured : services[service].classes) {
      const std::pair key{service, measured.flow_class};
      ReportedClass& reported = report.classes[key];
      reported = previous[key];
      ReportClass(
          reported, measured,
          FormatClass(forwarder.placement, service, measured.flow_class),
          records);
    }
  }
  return records;
}

}  // namespace filbertwall
