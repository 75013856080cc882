#include <algorithm>

#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Handles reports of backend servers.
namespace filbertwall {
namespace {

/// A report of a server that is not ready is answered only once another control
/// instance has confirmed the record, or fails after this time.
constexpr Milliseconds kConfirmTimeout{500};

/// Answers a report that is invalid, or that contradicts others of the same
/// server. Returns whether it did.
bool RefuseReport(ControlContext& context, const ServerReported& event) {
  InputError error = InputError::kOutOfRange;
  std::string finding = CheckServerRecord(event.record);
  if (finding.empty() && event.record.phase() != wire::SERVER_GONE) {
    error = InputError::kContradicts;
    finding = FindContradiction(context.instance.registry, event.record);
  }
  if (finding.empty()) {
    return false;
  }
  context.instance.counters.refused_reports.Add(error);
  Log(context, EventId::kAnnouncementRejected,
      "server=" + Excerpt(event.record.id()) +
          " error=" + InputErrorName(error) + " " + finding,
      Severity::kWarning);
  Answer(context, AnswerCall{.call = event.call,
                             .verdict = CallVerdict::kRefused,
                             .reason = finding});
  return true;
}

}  // namespace

void AnswerPendingReports(ControlContext& context) {
  ControlInstance& instance = context.instance;
  std::uint64_t confirmed = 0;
  for (const auto& [address, subscriber] : instance.subscribers) {
    if (subscriber.control) {
      confirmed = std::max(confirmed, subscriber.registry_change);
    }
  }
  if (instance.replica.committed.members_size() <= 1) {
    confirmed = instance.registry.change;
  }
  std::erase_if(instance.reports, [&](const PendingReport& report) {
    if (report.change <= confirmed) {
      Answer(context, AnswerCall{.call = report.call,
                                 .verdict = CallVerdict::kAccepted,
                                 .next_report_address = instance.config.self});
      return true;
    }
    if (context.now < report.expires_at) {
      return false;
    }
    instance.counters.reports_unconfirmed += 1;
    Log(context, EventId::kReportUnconfirmed,
        "change=" + std::to_string(report.change) +
            " confirmed=" + std::to_string(confirmed),
        Severity::kWarning);
    Answer(context,
           AnswerCall{
               .call = report.call,
               .verdict = CallVerdict::kUnavailable,
               .reason = "no other control instance has confirmed the record"});
    return true;
  });
}

void LogServer(ControlContext& context, const wire::ServerRecord& record,
               const std::string& source) {
  Log(context, EventId::kServerChanged,
      "server=" + record.id() + " service=" + record.service() +
          " phase=" + wire::ServerPhase_Name(record.phase()) +
          " incarnation=" + std::to_string(record.incarnation()) +
          " sequence=" + std::to_string(record.sequence()) + " from=" + source);
}

void HandleReport(ControlContext& context, const ServerReported& event) {
  ControlInstance& instance = context.instance;
  instance.counters.reports += 1;
  if (RefuseReport(context, event)) {
    return;
  }
  wire::ServerRecord record = event.record;
  const auto known = instance.registry.servers.find(record.id());
  if (record.phase() == wire::SERVER_GONE &&
      known != instance.registry.servers.end()) {
    // The known record is kept, since its address and token are still needed
    // for the flows of the server.
    const std::uint64_t incarnation = record.incarnation();
    record = known->second.record;
    if (incarnation == 0 || incarnation >= record.incarnation()) {
      record.set_incarnation(std::max(incarnation, record.incarnation()));
      record.set_phase(wire::SERVER_GONE);
      record.set_silent(false);
    }
  }
  PreserveFailingState(instance.registry, record);
  if (MergeServerRecord(instance.registry, record, context.now)) {
    LogServer(context, record, "itself");
    SchedulePush(context);
  }
  Server& server = instance.registry.servers.at(record.id());
  if (record.incarnation() >= server.record.incarnation()) {
    server.reported_at = context.now;
  }
  if (record.phase() == wire::SERVER_READY) {
    Answer(context, AnswerCall{.call = event.call,
                               .verdict = CallVerdict::kAccepted,
                               .next_report_address = instance.config.self});
    return;
  }
  instance.reports.push_back(
      PendingReport{.call = event.call,
                    .change = server.change,
                    .expires_at = context.now + kConfirmTimeout});
  AnswerPendingReports(context);
  if (!instance.reports.empty()) {
    PushToControlInstances(context);
  }
}

}  // namespace filbertwall
