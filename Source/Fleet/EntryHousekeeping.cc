#include "Fleet/EntryHousekeeping.h"

#include <utility>

#include "Fleet/EntryBalance.h"

namespace filbertwall {
namespace {

/// How long the record of a gone server is kept. This is longer than any flow
/// lasts, so that the token of each flow can still be resolved to its server.
constexpr Milliseconds kGoneRetention{90000};

}  // namespace

void ConfigureAdmission(Forwarder& forwarder, const FleetConfig& config) {
  forwarder.refuses_overload = config.refuse_overload;
  forwarder.admission.fair_callers = config.fair_callers;
}

void RunHousekeeping(EntryInstance& instance, std::vector<EntryEffect>& effects,
                     TimePoint now) {
  RemoveExpiredServers(instance.registry, kGoneRetention, now);
  for (LogRecord& record :
       ReportAdmission(instance.admission_report, instance.forwarder)) {
    effects.emplace_back(std::move(record));
  }
  LogDiversions(instance, now, effects);
}

}  // namespace filbertwall
