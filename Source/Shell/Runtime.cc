#include "Shell/Runtime.h"

#include <event2/event.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <csignal>
#include <filesystem>
#include <functional>
#include <random>

#include "Node/Node.h"
#include "Shell/ControlStore.h"
#include "Shell/HttpClient.h"
#include "Shell/HttpServer.h"
#include "Shell/Log.h"
#include "Shell/Messenger.h"
#include "Shell/PacketPort.h"
#include "Shell/ProcessSetup.h"

namespace filbertwall {
namespace {

namespace acc = boost::accumulators;

constexpr Milliseconds kTickInterval{10};
constexpr char kRulesName[] = "/rules.saved";

using DurationStatistics = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                       acc::tag::p_square_quantile>>;

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::uint64_t RandomNumber() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32U | source()) | 1U;
}

/// One running instance: its node, event loop, network ports and control log.
class Runtime {
 public:
  Runtime(const Settings& own_settings, const KeyPair& keys);
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  RunError Run();

  // Execute the effects of the node; called by std::visit.
  void operator()(const SendToPeer& effect);
  void operator()(const ReplyToOperator& effect);
  void operator()(const PersistControl& effect);
  void operator()(const PersistRules& effect);
  void operator()(const AnswerLocalHttp& effect);
  void operator()(const StartAttempt& effect);
  void operator()(const CancelAttempt& effect);
  void operator()(const AnswerCaller& effect);
  void operator()(const FlowEffects& effect);
  void operator()(const LogRecord& effect);
  void operator()(const Stopped& effect);

 private:
  RunError LoadDisk();
  RunError OpenPorts();
  void ConnectSignals();
  void Handle(const NodeEvent& event);
  void HandleDiskFailure(const StoreFailure& failure);
  void AddMetrics(wire::NodeDump& dump);
  static void OnTick(evutil_socket_t fd, short what, void* self);
  static void OnSignal(evutil_socket_t signal, short what, void* self);
  static void OnHangup(evutil_socket_t signal, short what, void* self);

  Settings settings;
  std::unique_ptr<event_base, decltype(&event_base_free)> loop;
  event_base* base;
  Messenger messenger;
  HttpServer caller_server;
  HttpServer announce_server;
  HttpClient client;
  PacketPort packets;
  ControlStore store;
  Node node;
  event* tick = nullptr;
  event* terminate = nullptr;
  event* interrupt = nullptr;
  event* hangup = nullptr;
  bool stop_requested = false;
  RunError result = RunError::kNone;
  DurationStatistics event_us{acc::quantile_probability = 0.99};
  DurationStatistics sync_us{acc::quantile_probability = 0.99};
};

Runtime::Runtime(const Settings& own_settings, const KeyPair& keys)
    : settings(own_settings),
      loop(event_base_new(), &event_base_free),
      base(this->loop.get()),
      messenger(this->base, this->settings, keys),
      caller_server(this->base),
      announce_server(this->base),
      client(this->base),
      packets(this->base) {}

Runtime::~Runtime() {
  BlockStopSignals();  // The handlers are removed here.
  for (event* item :
       {this->tick, this->terminate, this->interrupt, this->hangup}) {
    if (item != nullptr) {
      event_free(item);
    }
  }
}

RunError Runtime::LoadDisk() {
  NodeInitialState initial_state{.settings = this->settings,
                                 .incarnation = RandomNumber()};
  const std::string& folder = this->settings.data_folder;
  if (this->settings.roles.control) {
    auto contents = this->store.Open(folder);
    if (!contents) {
      WriteLog({.id = EventId::kLogCorrupt,
                .severity = Severity::kError,
                .text = contents.error().detail});
      return RunError::kDisk;
    }
    initial_state.control_log = contents.value().records;
    if (contents.value().tail_truncated) {
      WriteLog(
          {.id = EventId::kLogTailTruncated,
           .severity = Severity::kWarning,
           .text = "dropped an incomplete last record of the control log"});
    }
    if (initial_state.control_log.empty()) {
      // An empty log gets a new incarnation: no vote or entry that another
      // instance may rely on has been written to this disk.
      wire::DurableRecord record;
      record.set_incarnation(RandomNumber());
      const auto appended = this->store.Append(record);
      if (!appended) {
        this->HandleDiskFailure(appended.error());
        return RunError::kDisk;
      }
      initial_state.control_log.push_back(record);
    }
  } else if (!folder.empty() && std::filesystem::exists(folder + kRulesName)) {
    const auto bytes = LoadFile(folder + kRulesName);
    wire::RulesFile rules;
    if (bytes && rules.ParseFromString(bytes.value())) {
      initial_state.saved_rules = rules;
    }
  }
  this->node = MakeNode(initial_state);
  return RunError::kNone;
}

RunError Runtime::OpenPorts() {
  std::string error = this->messenger.Start();
  const Settings& own = this->settings;
  if (error.empty() && own.roles.entry) {
    if (!this->caller_server.Start(own.http_address)) {
      error = "http_address " + FormatEndpoint(own.http_address);
    } else if (!this->announce_server.Start(own.announce_address)) {
      error = "announce_address " + FormatEndpoint(own.announce_address);
    } else if (!this->packets.Start(own.packet_address)) {
      error = "packet_address " + FormatEndpoint(own.packet_address);
    }
  }
  if (!error.empty()) {
    WriteLog({.id = EventId::kSettingsRejected,
              .severity = Severity::kError,
              .text = "cannot listen: " + error});
    return RunError::kNetwork;
  }
  return RunError::kNone;
}

void Runtime::ConnectSignals() {
  this->messenger.on_message.connect(
      [this](const std::string& client_id, wire::Envelope envelope) {
        this->Handle(MessageArrived{.client = client_id,
                                    .envelope = std::move(envelope)});
      });
  this->messenger.on_malformed.connect([this] {
    this->node.counters["messages_malformed"] += 1;
    WriteLog({.id = EventId::kMalformedInput,
              .severity = Severity::kWarning,
              .text = "malformed message between instances"});
  });
  this->caller_server.on_request.connect(
      [this](std::uint64_t id, HttpRequest request) {
        this->Handle(RequestArrived{.id = id, .request = std::move(request)});
      });
  this->caller_server.on_caller_disconnected.connect(
      [this](std::uint64_t id) { this->Handle(CallerDisconnected{.id = id}); });
  this->announce_server.on_request.connect(
      [this](std::uint64_t id, const HttpRequest& request) {
        if (request.method == "POST" && request.path == "/announce") {
          this->Handle(AnnouncementArrived{.id = id, .json = request.body});
        } else if (request.path == "/ready") {
          this->Handle(HealthCheckRequested{.id = id});
        } else {
          (*this)(AnswerLocalHttp{.id = id, .status = 404});
        }
      });
  this->packets.on_packets.connect(
      [this](const PacketsArrived& event) { this->Handle(event); });
  this->client.on_ended.connect([this](std::uint64_t attempt,
                                       AttemptResult ended) {
    this->Handle(AttemptEnded{.attempt = attempt, .result = std::move(ended)});
  });
}

RunError Runtime::Run() {
  RunError error = this->LoadDisk();
  if (error != RunError::kNone) {
    return error;
  }
  error = this->OpenPorts();
  if (error != RunError::kNone) {
    return error;
  }
  this->ConnectSignals();
  this->tick = event_new(this->base, -1, EV_PERSIST, &Runtime::OnTick, this);
  const timeval interval{
      .tv_sec = 0, .tv_usec = std::chrono::microseconds(kTickInterval).count()};
  event_add(this->tick, &interval);
  this->terminate = evsignal_new(this->base, SIGTERM, &Runtime::OnSignal, this);
  this->interrupt = evsignal_new(this->base, SIGINT, &Runtime::OnSignal, this);
  event_add(this->terminate, nullptr);
  event_add(this->interrupt, nullptr);
  this->hangup = evsignal_new(this->base, SIGHUP, &Runtime::OnHangup, this);
  event_add(this->hangup, nullptr);
  this->Handle(NodeStarted{});
  event_base_dispatch(this->base);
  return this->result;
}

void Runtime::Handle(const NodeEvent& event) {
  const TimePoint started = Now();
  const std::vector<NodeEffect> effects = Reduce(this->node, event, started);
  this->event_us(static_cast<double>(
      std::chrono::duration_cast<Microseconds>(Now() - started).count()));
  for (const NodeEffect& effect : effects) {
    if (this->result == RunError::kDisk) {
      return;  // Nothing may be sent that relies on a failed write.
    }
    std::visit(*this, effect);
  }
}

void Runtime::OnTick(evutil_socket_t, short, void* self) {
  auto& runtime = *static_cast<Runtime*>(self);
  runtime.Handle(NodeTick{});
  runtime.messenger.Drain();
}

void Runtime::OnSignal(evutil_socket_t signal, short, void* self) {
  auto& runtime = *static_cast<Runtime*>(self);
  if (runtime.stop_requested) {
    if (signal == SIGINT) {
      event_base_loopbreak(runtime.base);
    }
    return;
  }
  runtime.stop_requested = true;
  runtime.caller_server.StartClosing();
  runtime.Handle(StopRequested{});
}

void Runtime::OnHangup(evutil_socket_t, short, void*) {
  WriteLog(
      {.id = EventId::kSettingsReloaded,
       .text = "SIGHUP ignored: settings with peers are read only at startup"});
}

void Runtime::HandleDiskFailure(const StoreFailure& failure) {
  WriteLog({.id = EventId::kSyncFailed,
            .severity = Severity::kError,
            .text = failure.detail});
  this->result = RunError::kDisk;
  event_base_loopbreak(this->base);
}

void Runtime::AddMetrics(wire::NodeDump& dump) {
  const auto add = [&](const char* name, const DurationStatistics& statistics) {
    wire::MetricDump& metric = *dump.add_metrics();
    metric.set_name(name);
    metric.set_count(acc::count(statistics));
    if (acc::count(statistics) > 0) {
      metric.set_mean(acc::mean(statistics));
      metric.set_max(acc::max(statistics));
      metric.set_p99(acc::p_square_quantile(statistics));
    }
  };
  add("event_us", this->event_us);
  add("sync_us", this->sync_us);
  (*dump.mutable_counters())["packets_send_failures"] =
      this->packets.SendFailures();
  for (const auto& [kind, bytes] : this->messenger.BytesSent()) {
    (*dump.mutable_counters())["bytes_sent_" + kind] = bytes;
  }
}

void Runtime::operator()(const SendToPeer& effect) {
  this->messenger.Send(effect.to, effect.envelope);
}

void Runtime::operator()(const ReplyToOperator& effect) {
  if (!effect.envelope.has_dump_reply()) {
    this->messenger.Reply(effect.client, effect.envelope);
    return;
  }
  wire::Envelope with_metrics = effect.envelope;
  this->AddMetrics(*with_metrics.mutable_dump_reply()->mutable_dump());
  this->messenger.Reply(effect.client, with_metrics);
}

void Runtime::operator()(const PersistControl& effect) {
  const TimePoint started = Now();
  auto written = this->store.Append(effect.record);
  if (written && this->store.NeedsSnapshot()) {
    written = this->store.Replace(SnapshotRecord(this->node.replica));
  }
  this->sync_us(static_cast<double>(
      std::chrono::duration_cast<Microseconds>(Now() - started).count()));
  if (!written) {
    this->HandleDiskFailure(written.error());
  }
}

void Runtime::operator()(const PersistRules& effect) {
  if (this->settings.data_folder.empty() || this->settings.roles.control) {
    return;  // A control instance stores the rules in its log.
  }
  const auto saved = SaveFile(this->settings.data_folder + kRulesName,
                              effect.rules.SerializeAsString());
  if (!saved) {
    this->HandleDiskFailure(saved.error());
  }
}

void Runtime::operator()(const AnswerLocalHttp& effect) {
  wire::Answer answer;
  answer.set_status(static_cast<std::uint32_t>(effect.status));
  answer.set_body(effect.json + "\n");
  this->announce_server.Answer(effect.id, answer);
}

void Runtime::operator()(const StartAttempt& effect) {
  this->client.Start(effect);
}

void Runtime::operator()(const CancelAttempt& effect) {
  this->client.Cancel(effect.attempt);
}

void Runtime::operator()(const AnswerCaller& effect) {
  this->caller_server.Answer(effect.id, effect.answer);
}

void Runtime::operator()(const FlowEffects& effect) {
  this->packets.Send(effect);
}

void Runtime::operator()(const LogRecord& effect) { WriteLog(effect); }

void Runtime::operator()(const Stopped&) {
  // The delay lets answers that were already written be sent.
  const timeval exit_delay{.tv_sec = 0, .tv_usec = 100000};
  event_base_loopexit(this->base, &exit_delay);
}

}  // namespace

ExitCode ExitCodeOf(RunError error) {
  switch (error) {
    case RunError::kNone:
      return kExitSuccess;
    case RunError::kNetwork:
      return kExitNetwork;
    case RunError::kDisk:
      return kExitDisk;
  }
  return kExitSuccess;
}

RunError RunInstance(const Settings& settings, const KeyPair& keys) {
  StartLog(settings.id);
  Runtime runtime(settings, keys);
  return runtime.Run();
}

std::string FormatDataFolder(const Settings& settings) {
  const std::string& folder = settings.data_folder;
  if (folder.empty()) {
    return "data_folder: expected a folder in the settings";
  }
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  ControlStore store;
  const auto contents = store.Open(folder);
  if (!contents) {
    return contents.error().detail;
  }
  if (!contents.value().records.empty()) {
    return folder + ": expected a folder without a control log";
  }
  const auto written = store.Append(
      SingleVoterRecord(settings.id, RandomNumber(), RandomNumber()));
  return written ? "" : written.error().detail;
}

}  // namespace filbertwall
