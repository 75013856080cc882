#include <algorithm>
#include <deque>
#include <filesystem>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "Fleet/ControlInstance.h"
#include "Shell/ControlStore.h"
#include "Shell/EndReport.h"
#include "Shell/ExplainAnswer.h"
#include "Shell/FleetLink.h"
#include "Shell/FleetLoop.h"
#include "Shell/FleetPorts.h"
#include "Shell/FleetRuntime.h"
#include "Shell/FleetSettingsFile.h"
#include "Shell/HttpServer.h"
#include "Shell/Log.h"
#include "Shell/MetricsServer.h"
#include "Shell/MetricsText.h"
#include "Shell/SavedRegistry.h"

/// Runs a control instance of a fleet.
namespace filbertwall {
namespace {

constexpr Milliseconds kSettingsCheckInterval{2000};
constexpr Milliseconds kDiskRetryInterval{300};
/// A log that can't be read stays so until the folder is emptied.
constexpr Milliseconds kUnreadableLogRetryInterval{5000};
constexpr Milliseconds kStopDelay{300};
/// Longest time for which a stop waits for answers that are being sent.
constexpr Milliseconds kMaxSendDelay{2000};
constexpr Milliseconds kEndCheckInterval{20};
/// Longest time for which a stop waits for a standby to take over the vote: as
/// long as a standby usually takes to catch up.
constexpr Milliseconds kMaxLeaveTime{4000};
/// Time of `drain_limit` that is left for the end of the process.
constexpr Milliseconds kEndReserve{1500};
constexpr char kRegistryName[] = "/servers.saved";

std::uint64_t RandomNumber() {
  std::random_device source;
  return static_cast<std::uint64_t>(source()) << 32U | source();
}

/// A command that lay in a socket after its caller had left is recognized by
/// the end of its connection, which is read within this time.
constexpr Milliseconds kCallerCheckTime{10};

/// A command that is handled at `due_at` if its caller is still connected.
struct DelayedCall {
  CallId id = 0;
  TimePoint due_at;
  wire::EvacuationChange change;
};

/// A call whose answer is still outstanding.
struct PendingCall {
  HttpCall request;
  FleetCall call;
};

class ControlRuntime {
 public:
  ControlRuntime(const FleetSource& source, const FleetAdapter& fleet_adapter)
      : settings(source.settings),
        adapter(fleet_adapter),
        file(source.path, source.text),
        link(this->loop.Base()),
        http(this->loop.Base()),
        metrics(
            this->loop.Base(), [this] { return this->FormatCurrentMetrics(); },
            [](const HttpRequest&) {
              return RefuseExplainCall(
                  "a control instance forwards no flows: ask an entry "
                  "instance");
            }) {}

  RunError Run();

  // Execute the effects of the reducer; called by std::visit.
  void operator()(const SendMessage& effect) { this->link.Send(effect); }
  void operator()(const LogRecord& effect) { WriteLog(effect); }
  void operator()(const AnswerCall& effect);
  void operator()(const PersistRecord& effect);
  void operator()(const SaveRegistry& effect);

  // Start the handling of a call; called by std::visit.
  void StartCall(CallId id, const ReportCall& call);
  void StartCall(CallId id, const SubmitCall& call);
  void StartCall(CallId id, const ReadRulesCall&);
  void StartCall(CallId id, const EvacuationCall& call);
  void StartCall(CallId id, const HealthCall&);
  void StartCall(CallId id, const MalformedCall&);

 private:
  std::optional<RunError> OpenPorts();
  void ConnectSignals();
  /// Opens the control log and returns its whole content as one record, which
  /// is the initial one if the log is empty. The log is replaced by this
  /// record, so an instance takes part only once its disk accepts writes, and a
  /// record whose sync failed earlier is synced. Logs the error and returns
  /// nothing when the disk fails.
  std::optional<wire::DurableRecord> OpenStore();
  void Handle(const ControlInstanceEvent& event);
  void HandleCall(std::uint64_t id, const HttpRequest& request);
  void HandleTimer();
  void StartStop();
  /// Returns whether the process has to go on for answers that are being sent,
  /// or until a standby has taken over its vote.
  bool MayNotEndYet(TimePoint now) const;
  void HandleDelayedCalls();
  void HandleDiskFailure(const StoreFailure& failure);
  void ReloadSettings();
  void RearmTimer();
  std::string FormatCurrentMetrics() const;

  Settings settings;
  const FleetAdapter& adapter;
  FleetSettingsFile file;
  FleetLoop loop;
  FleetLink link;
  HttpServer http;
  MetricsServer metrics;
  Histogram sync_time;
  InputErrorCounts refused_calls;
  std::unique_ptr<ControlStore> store;
  ControlInstance instance;
  std::map<CallId, PendingCall> calls;
  std::deque<DelayedCall> delayed_calls;
  TimePoint next_settings_check_at;
  TimePoint next_disk_retry_at = TimePoint::max();
  TimePoint stop_at = TimePoint::max();
  TimePoint send_limit = TimePoint::max();
  TimePoint leave_limit = TimePoint::max();
  bool disk_failed = false;
  std::string disk_failure;  ///< As last logged; empty while the disk works.
  bool registry_not_saved = false;
};

std::optional<wire::DurableRecord> ControlRuntime::OpenStore() {
  const std::string& folder = this->settings.data_folder;
  this->store = std::make_unique<ControlStore>();
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  Replica stored;
  std::size_t count = 0;
  const auto contents =
      this->store->Open(folder, [&](wire::DurableRecord&& record) {
        Restore(stored, record);
        count += 1;
      });
  if (!contents) {
    this->HandleDiskFailure(contents.error());
    return std::nullopt;
  }
  if (contents.value().tail_truncated) {
    WriteLog({.id = EventId::kLogTailTruncated,
              .severity = Severity::kWarning,
              .text = "dropped an incomplete last record of the control log"});
  }
  wire::DurableRecord record =
      count > 0 ? SnapshotRecord(stored)
                : InitialRecord(this->instance.config,
                                this->settings.fleet.first_start);
  const auto replaced = this->store->Replace(record);
  if (!replaced) {
    this->HandleDiskFailure(replaced.error());
    return std::nullopt;
  }
  return record;
}

std::optional<RunError> ControlRuntime::OpenPorts() {
  const Settings& own = this->settings;
  return OpenFleetPorts(
      this->loop,
      {{"control_address", own.control_address,
        [&](const Endpoint& address) {
          return this->link.Start(address, own.fleet.peer_port);
        }},
       {"announce_address", own.announce_address,
        [&](const Endpoint& address) { return this->http.Start(address); }}});
}

void ControlRuntime::ConnectSignals() {
  this->link.on_message.connect(
      [this](const PeerMessage& message) { this->Handle(message); });
  this->http.on_request.connect(
      [this](std::uint64_t id, const HttpRequest& request) {
        this->HandleCall(id, request);
      });
  this->http.on_caller_disconnected.connect(
      [this](std::uint64_t id) { this->calls.erase(id); });
  this->loop.on_timer.connect([this] { this->HandleTimer(); });
  this->loop.on_stop.connect([this] {
    this->http.StartClosing();
    this->StartStop();
  });
  this->loop.on_reload.connect([this] { this->ReloadSettings(); });
}

RunError ControlRuntime::Run() {
  const FleetConfig config =
      MakeFleetConfig(this->settings, RandomNumber() | 1U);
  this->instance.config = config;
  // The log is read once a predecessor, which would write to it, has ended.
  if (const auto error = this->OpenPorts()) {
    return *error;
  }
  const auto stored = this->OpenStore();
  this->instance =
      MakeControlInstance(config, stored ? std::vector{*stored}
                                         : std::vector<wire::DurableRecord>());
  this->ConnectSignals();
  this->metrics.Start({.ip = this->settings.announce_address.ip,
                       .port = this->settings.fleet.metrics_port});
  this->next_settings_check_at = FleetNow() + kSettingsCheckInterval;
  this->instance.disk_failed = this->disk_failed;
  this->Handle(ControlInstanceStarted{
      .saved = LoadSavedRegistry(this->settings.data_folder + kRegistryName)});
  this->loop.Run();
  return RunError::kNone;
}

void ControlRuntime::RearmTimer() {
  const TimePoint delayed_due = this->delayed_calls.empty()
                                    ? TimePoint::max()
                                    : this->delayed_calls.front().due_at;
  this->loop.WakeAt(
      std::min({NextDue(this->instance), this->next_settings_check_at,
                this->next_disk_retry_at, this->stop_at, delayed_due}));
}

void ControlRuntime::Handle(const ControlInstanceEvent& event) {
  const bool disk_worked = !this->disk_failed;
  for (const ControlInstanceEffect& effect :
       Reduce(this->instance, event, FleetNow())) {
    if (!disk_worked || !this->disk_failed) {
      std::visit(*this, effect);
    } else if (const auto allowed = EffectAfterFailedWrite(effect)) {
      std::visit(*this, *allowed);
    }
  }
  if (disk_worked && this->disk_failed) {
    this->Handle(ControlDiskFailed{});
  }
  if (std::exchange(this->registry_not_saved, false)) {
    this->Handle(RegistryNotSaved{});
  }
  this->RearmTimer();
}

void ControlRuntime::StartStop() {
  const TimePoint now = FleetNow();
  const Milliseconds leave_time = std::clamp(
      this->settings.drain_limit - kEndReserve, Milliseconds(0), kMaxLeaveTime);
  this->stop_at = now + kStopDelay;
  this->send_limit = this->stop_at + kMaxSendDelay;
  this->leave_limit = now + leave_time;
  this->Handle(ControlStopRequested{.limit = leave_time});
}

bool ControlRuntime::MayNotEndYet(TimePoint now) const {
  const bool sending = now < this->send_limit && this->http.IsSending();
  return sending || (now < this->leave_limit && !MayEnd(this->instance));
}

void ControlRuntime::HandleTimer() {
  const TimePoint now = FleetNow();
  if (now >= this->stop_at && this->MayNotEndYet(now)) {
    this->stop_at = now + kEndCheckInterval;
  }
  if (now >= this->stop_at) {
    WriteLog({.id = EventId::kStopped, .text = "control instance"});
    this->stop_at = TimePoint::max();
    this->loop.Stop();
    return;
  }
  if (now >= this->next_disk_retry_at) {
    if (auto stored = this->OpenStore()) {
      this->disk_failed = false;
      this->disk_failure.clear();
      this->next_disk_retry_at = TimePoint::max();
      WriteLog({.id = EventId::kDiskRestored,
                .text = "seq=" + std::to_string(stored->state().seq())});
      this->Handle(ControlDiskRestored{.log = {std::move(*stored)}});
    }
  }
  if (now >= this->next_settings_check_at) {
    this->next_settings_check_at = now + kSettingsCheckInterval;
    this->ReloadSettings();
  }
  this->HandleDelayedCalls();
  this->Handle(ControlInstanceTick{});
}

void ControlRuntime::HandleDiskFailure(const StoreFailure& failure) {
  const bool unreadable = failure.error == StoreError::kCorrupt ||
                          failure.error == StoreError::kTooLarge;
  if (failure.detail != this->disk_failure) {
    WriteLog({.id = unreadable ? EventId::kLogCorrupt : EventId::kSyncFailed,
              .severity = Severity::kError,
              .text = failure.detail});
    this->disk_failure = failure.detail;
  }
  this->disk_failed = true;
  this->next_disk_retry_at =
      FleetNow() +
      (unreadable ? kUnreadableLogRetryInterval : kDiskRetryInterval);
}

void ControlRuntime::HandleCall(std::uint64_t id, const HttpRequest& request) {
  const InputMark mark(InputKind::kCall,
                       request.path.size() + request.body.size());
  const HttpCall http_call{.method = request.method,
                           .path = request.path,
                           .body = request.body,
                           .caller = request.caller};
  const auto [position, added] = this->calls.emplace(
      id, PendingCall{.request = http_call,
                      .call = this->adapter.calls.read(http_call)});
  // `StartCall` may answer the call and thereby remove it from `calls`.
  const FleetCall call = position->second.call;
  std::visit([&](const auto& item) { this->StartCall(id, item); }, call);
}

void ControlRuntime::StartCall(CallId id, const ReportCall& call) {
  this->Handle(ServerReported{.call = id, .record = call.record});
}

void ControlRuntime::StartCall(CallId id, const SubmitCall& call) {
  this->Handle(RulesSubmitted{.call = id, .file = call.file});
}

void ControlRuntime::StartCall(CallId id, const ReadRulesCall&) {
  this->Handle(RulesRead{.call = id});
}

void ControlRuntime::StartCall(CallId id, const EvacuationCall& call) {
  this->delayed_calls.push_back({.id = id,
                                 .due_at = FleetNow() + kCallerCheckTime,
                                 .change = call.change});
  this->RearmTimer();
}

void ControlRuntime::HandleDelayedCalls() {
  while (!this->delayed_calls.empty() &&
         FleetNow() >= this->delayed_calls.front().due_at) {
    const DelayedCall call = std::move(this->delayed_calls.front());
    this->delayed_calls.pop_front();
    if (this->calls.contains(call.id)) {
      this->Handle(EvacuationOrdered{.call = call.id, .change = call.change});
    }
  }
}

void ControlRuntime::StartCall(CallId id, const HealthCall&) {
  (*this)(AnswerCall{.call = id, .verdict = CallVerdict::kAccepted});
}

void ControlRuntime::StartCall(CallId id, const MalformedCall& call) {
  const HttpCall& request = this->calls.at(id).request;
  this->refused_calls.Add(call.error);
  WriteLog({.id = EventId::kMalformedInput,
            .severity = Severity::kWarning,
            .text = "call=" + Excerpt(request.path) +
                    " error=" + InputErrorName(call.error) + " " + call.reason +
                    " bytes=" + std::to_string(request.body.size()) +
                    " body=\"" + Excerpt(request.body) + "\""});
  (*this)(AnswerCall{.call = id, .verdict = CallVerdict::kRefused});
}

void ControlRuntime::operator()(const AnswerCall& effect) {
  const auto found = this->calls.find(effect.call);
  if (found == this->calls.end()) {
    return;  // The caller has disconnected.
  }
  const PendingCall pending = std::move(found->second);
  this->calls.erase(found);
  const wire::Answer answer =
      this->adapter.calls.write(pending.request, pending.call, effect);
  const bool report = std::holds_alternative<ReportCall>(pending.call);
  if (!report || effect.verdict != CallVerdict::kAccepted) {
    WriteLog({.id = EventId::kSubmissionResult,
              .text = "call=" + Excerpt(pending.request.path) +
                      " status=" + std::to_string(answer.status()) +
                      " leader=" + FormatIp(effect.leader) + " " +
                      effect.reason});
  }
  this->http.Answer(effect.call, answer);
}

void ControlRuntime::operator()(const PersistRecord& effect) {
  const TimePoint started = FleetNow();
  auto written = this->store->Append(effect.record);
  if (written && this->store->NeedsSnapshot()) {
    written = this->store->Replace(SnapshotRecord(this->instance.replica));
  }
  this->sync_time.Add(
      std::chrono::duration_cast<Microseconds>(FleetNow() - started));
  if (!written) {
    this->HandleDiskFailure(written.error());
  }
}

std::string ControlRuntime::FormatCurrentMetrics() const {
  return FormatMetrics(CollectMetrics(
      this->instance,
      ProcessStatistics{.log_lines_lost = LogLinesLost(),
                        .malformed_messages = this->link.MalformedCount(),
                        .refused_calls = this->refused_calls,
                        .message_bytes_sent = this->link.BytesSent(),
                        .sync = this->sync_time},
      FleetNow()));
}

void ControlRuntime::operator()(const SaveRegistry& effect) {
  const auto saved = SaveFile(this->settings.data_folder + kRegistryName,
                              effect.saved.SerializeAsString());
  if (!saved) {
    WriteLog({.id = EventId::kRegistryNotSaved,
              .severity = Severity::kWarning,
              .text = saved.error().detail});
    this->registry_not_saved = true;
  }
}

void ControlRuntime::ReloadSettings() {
  const auto reloaded = this->file.Reload();
  if (!reloaded) {
    return;
  }
  this->instance.config.seeds =
      MakeFleetConfig(*reloaded, this->instance.config.incarnation).seeds;
  WriteLog(
      {.id = EventId::kSettingsReloaded,
       .text = "seeds=" + std::to_string(this->instance.config.seeds.size())});
}

}  // namespace

RunError RunControlInstance(const FleetSource& source,
                            const FleetAdapter& adapter) {
  StartFleetLog(source);
  ControlRuntime runtime(source, adapter);
  return runtime.Run();
}

}  // namespace filbertwall
