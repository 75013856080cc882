#include <algorithm>
#include <iterator>

#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Handles reports of backend servers.
namespace filbertwall {
namespace {

/// A report of a server that is not ready is answered only once another control
/// instance has confirmed the record, or fails after this time.
constexpr Milliseconds kConfirmTimeout{500};
/// Servers are sent elsewhere once this instance is out of sync for this long.
/// An election takes less, and the others mark a server as silent only later.
constexpr Milliseconds kOutOfSyncLimit{1500};

/// Returns where a server should report next. What an instance that is out of
/// touch is told does not reach the others, so it names the leader if it hears
/// one, and otherwise each of the others in turn.
InstanceAddress NextReportAddress(const ControlContext& context,
                                  const wire::ServerRecord& record) {
  const ControlInstance& instance = context.instance;
  if (context.now - instance.in_sync_until <= kOutOfSyncLimit) {
    return instance.config.self;
  }
  const InstanceAddress leader = RedirectTarget(context);
  if (leader != 0) {
    return leader;
  }
  const std::set<InstanceAddress> others =
      OtherControlInstances(instance, context.now);
  if (others.empty()) {
    return instance.config.self;
  }
  const auto turn =
      static_cast<std::ptrdiff_t>(record.sequence() % others.size());
  return *std::next(others.begin(), turn);
}

/// Returns how a report contradicts the server's own last report here, if that
/// is recent. A record from another instance doesn't count: it may be another
/// writer's, and the server would be refused for as long as it is kept.
std::string FindContradictionWithLast(const ControlContext& context,
                                      const Server& server,
                                      const wire::ServerRecord& record) {
  const Milliseconds recent =
      context.instance.config.announce_interval * kIntervalsUntilSettled;
  const bool comparable = !server.reported.id().empty() &&
                          context.now - server.reported_at <= recent;
  return comparable ? FindContradiction(server.reported, record) : "";
}

/// Returns why a report can't replace the record of a known server; empty when
/// it can. A service that no rule names can't replace one that is named.
std::string FindConflict(const ControlContext& context,
                         const wire::ServerRecord& record) {
  const ControlInstance& instance = context.instance;
  const auto known = instance.registry.servers.find(record.id());
  if (known == instance.registry.servers.end()) {
    return "";
  }
  const Server& server = known->second;
  const bool loses_service =
      instance.named_services.contains(server.record.service()) &&
      !instance.named_services.contains(record.service());
  return loses_service ? "service: expected one that the rules name"
                       : FindContradictionWithLast(context, server, record);
}

/// Answers a report that is invalid, or that contradicts others of the same
/// server. Returns whether it did.
bool RefuseReport(ControlContext& context, const ServerReported& event) {
  InputError error = InputError::kOutOfRange;
  std::string finding = CheckServerRecord(event.record);
  if (finding.empty() && event.record.phase() != wire::SERVER_GONE) {
    error = InputError::kContradicts;
    finding = FindConflict(context, event.record);
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
    record.set_warmup_ms(static_cast<std::uint32_t>(
        RemainingWarmup(known->second, context.now).count()));
    if (incarnation == 0 || incarnation >= record.incarnation()) {
      record.set_incarnation(std::max(incarnation, record.incarnation()));
      record.set_phase(wire::SERVER_GONE);
      record.set_silent(false);
    }
  }
  PreserveFailingState(instance.registry, record);
  const bool starts = StartsNewLife(context, record);
  if (MergeServerRecord(instance.registry, record, context.now)) {
    LogServer(context, record, "itself");
    SchedulePush(context);
  }
  if (starts) {
    StartWarmupOfNewServer(context, record.id());
  }
  Server& server = instance.registry.servers.at(record.id());
  if (record.incarnation() >= server.record.incarnation()) {
    server.reported_at = context.now;
    if (event.record.phase() != wire::SERVER_GONE) {
      server.reported = event.record;
    }
  }
  if (record.phase() == wire::SERVER_DRAINING &&
      server.record.phase() == wire::SERVER_READY) {
    // A record that takes precedence says that the server is ready.
    Answer(context, AnswerCall{.call = event.call,
                               .verdict = CallVerdict::kUnavailable,
                               .reason = "a later record says ready"});
    return;
  }
  if (record.phase() == wire::SERVER_READY) {
    Answer(context, AnswerCall{.call = event.call,
                               .verdict = CallVerdict::kAccepted,
                               .next_report_address =
                                   NextReportAddress(context, record)});
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
