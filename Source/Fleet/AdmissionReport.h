#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Admission/Admission.h"
#include "Base/Event.h"
#include "Forwarding/Forwarder.h"

/// Log records about who gets the capacity of a service. Written when a state
/// changes, not for each flow. Plain state; not thread safe.
namespace filbertwall {

/// What was last reported of a class of a service.
struct ReportedClass {
  ClassCounters counters;  ///< At the last report.
  bool refusing = false;   ///< Flows were refused before the last report.
  bool unfair = false;     ///< Some of them for fairness among callers.
};

struct AdmissionReport {
  std::map<std::pair<ServiceIndex, FlowClass>, ReportedClass> classes;
  std::vector<double> slots;  ///< Last reported effective slots, by service.
};

/// Returns the log records for the changes since the previous call. To be
/// called once a second.
std::vector<LogRecord> ReportAdmission(AdmissionReport& report,
                                       const Forwarder& forwarder);

}  // namespace filbertwall
