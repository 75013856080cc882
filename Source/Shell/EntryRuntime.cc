#include <random>

#include "Fleet/EntryExplanation.h"
#include "Fleet/EntryInstance.h"
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

/// Runs an entry instance of a fleet.
namespace filbertwall {
namespace {

constexpr Milliseconds kSettingsCheckInterval{2000};

/// Period for which an overloaded service refuses the same callers.
constexpr Milliseconds kRefusalRoundLength{2000};

/// Time since the wall clock's epoch. The refusal intervals are derived from
/// it, so that all instances refuse the same callers. A jump of the clock
/// changes which callers are refused.
Milliseconds WallClockTime() {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

/// Returns `Admission::refusal_interval` for a wall clock time.
std::uint64_t RefusalIntervalAt(Milliseconds since_epoch) {
  return static_cast<std::uint64_t>(since_epoch / kRefusalRoundLength);
}

class EntryRuntime {
 public:
  EntryRuntime(const FleetSource& source, const FleetAdapter& fleet_adapter)
      : settings(source.settings),
        adapter(fleet_adapter),
        file(source.path, source.text),
        link(this->loop.Base()),
        packets(this->loop.Base()),
        http(this->loop.Base()),
        metrics(
            this->loop.Base(), [this] { return this->FormatCurrentMetrics(); },
            [this](const HttpRequest& request) {
              return this->ExplainCurrent(request);
            }) {}

  RunError Run();

  // Execute the effects of the reducer; called by std::visit.
  void operator()(const SendMessage& effect) { this->link.Send(effect); }
  void operator()(const LogRecord& effect) { WriteLog(effect); }
  void operator()(const EntryStopped&) { this->loop.Stop(); }

 private:
  std::optional<RunError> OpenPorts();
  void ConnectSignals();
  void Handle(const EntryEvent& event);
  void HandleCall(std::uint64_t id, const HttpRequest& request);
  void HandlePackets(std::span<const ReceivedDatagram> batch);
  void HandlePacket(const ReceivedDatagram& datagram, TimePoint now);
  /// Decides on a parsed packet and sends or stores it. `bytes` must remain
  /// valid until the next flush of `packets`.
  void ProcessPacket(const FlowPacket& packet, std::span<std::uint8_t> bytes,
                     TimePoint now);
  /// Decides again on stored opening packets whose release is due.
  void ProcessDueOpenings();
  void ProcessLateOpenings(TimePoint now);
  void ReleaseOpening(HeldOpening& opening, TimePoint now);
  std::string FormatLoad(const FlowPacket& packet) const;
  void UpdateAdmissionRound(TimePoint now);
  void LogDecision(const FlowPacket& packet, const Decision& decision);
  void ReloadSettings();
  std::string FormatCurrentMetrics() const;
  wire::Answer ExplainCurrent(const HttpRequest& request) const;

  Settings settings;
  const FleetAdapter& adapter;
  FleetSettingsFile file;
  FleetLoop loop;
  FleetLink link;
  DatagramPort packets;
  HttpServer http;
  MetricsServer metrics;
  EntryInstance instance;
  TimePoint next_refusal_interval_at;  ///< See `Admission::refusal_interval`.
  Histogram batch_time;
  std::uint64_t malformed_packets = 0;
  TimePoint next_settings_check_at;
  /// Reset packets of one batch. `packets` refers to their bytes until its next
  /// flush, so the vector must not reallocate before that.
  std::vector<std::array<std::uint8_t, 64>> resets;
};

std::optional<RunError> EntryRuntime::OpenPorts() {
  const Settings& own = this->settings;
  return OpenFleetPorts(
      this->loop,
      {{"control_address", own.control_address,
        [&](const Endpoint& address) {
          return this->link.Start(address, own.fleet.peer_port);
        }},
       {"packet_address", own.packet_address,
        [&](const Endpoint& address) { return this->packets.Start(address); }},
       {"announce_address", own.announce_address,
        [&](const Endpoint& address) { return this->http.Start(address); }}});
}

void EntryRuntime::ConnectSignals() {
  this->link.on_message.connect(
      [this](const PeerMessage& message) { this->Handle(message); });
  this->packets.on_batch.connect(
      [this](std::span<const ReceivedDatagram> batch) {
        this->HandlePackets(batch);
      });
  this->http.on_request.connect(
      [this](std::uint64_t id, const HttpRequest& request) {
        this->HandleCall(id, request);
      });
  this->loop.on_timer.connect([this] {
    this->Handle(EntryTick{});
    if (FleetNow() >= this->next_settings_check_at) {
      this->next_settings_check_at = FleetNow() + kSettingsCheckInterval;
      this->ReloadSettings();
    }
  });
  this->loop.on_stop.connect([this] {
    this->http.StartClosing();
    this->Handle(EntryStopRequested{});
  });
  this->loop.on_reload.connect([this] { this->ReloadSettings(); });
}

RunError EntryRuntime::Run() {
  this->instance = MakeEntryInstance(
      MakeFleetConfig(this->settings, std::random_device()()));
  if (const auto error = this->OpenPorts()) {
    return *error;
  }
  this->ConnectSignals();
  this->metrics.Start({.ip = this->settings.announce_address.ip,
                       .port = this->settings.fleet.metrics_port});
  this->next_settings_check_at = FleetNow() + kSettingsCheckInterval;
  WriteLog({.id = EventId::kStarted,
            .text = "role=entry data_centre=" + this->settings.data_centre});
  this->Handle(EntryStarted{});
  this->loop.Run();
  return RunError::kNone;
}

void EntryRuntime::Handle(const EntryEvent& event) {
  for (const EntryEffect& effect : Reduce(this->instance, event, FleetNow())) {
    std::visit(*this, effect);
  }
  this->ProcessDueOpenings();
  this->loop.WakeAt(NextDue(this->instance));
}

void EntryRuntime::HandleCall(std::uint64_t id, const HttpRequest& request) {
  const InputMark mark(InputKind::kCall,
                       request.path.size() + request.body.size());
  const HttpCall http_call{.method = request.method, .path = request.path};
  const FleetCall call = this->adapter.calls.read(http_call);
  const bool ready =
      std::holds_alternative<HealthCall>(call) && IsReady(this->instance);
  const AnswerCall answer{.verdict = ready ? CallVerdict::kAccepted
                                           : CallVerdict::kUnavailable};
  this->http.Answer(id, this->adapter.calls.write(http_call, call, answer));
}

void EntryRuntime::HandlePackets(std::span<const ReceivedDatagram> batch) {
  this->resets.clear();
  this->resets.reserve(batch.size());
  const TimePoint now = FleetNow();
  DetectStall(this->instance, now);
  this->UpdateAdmissionRound(now);
  for (const ReceivedDatagram& datagram : batch) {
    this->HandlePacket(datagram, now);
  }
  this->packets.Flush();
  this->ProcessLateOpenings(now);
  this->loop.WakeAt(NextDue(this->instance));
  this->batch_time.Add(
      std::chrono::duration_cast<Microseconds>(FleetNow() - now));
}

void EntryRuntime::UpdateAdmissionRound(TimePoint now) {
  if (now < this->next_refusal_interval_at) {
    return;
  }
  const Milliseconds since_epoch = WallClockTime();
  this->instance.forwarder.admission.refusal_interval =
      RefusalIntervalAt(since_epoch);
  this->next_refusal_interval_at =
      now + kRefusalRoundLength - since_epoch % kRefusalRoundLength;
}

std::string EntryRuntime::FormatCurrentMetrics() const {
  return FormatMetrics(CollectMetrics(
      this->instance,
      ProcessStatistics{.log_lines_lost = LogLinesLost(),
                        .malformed_messages = this->link.MalformedCount(),
                        .malformed_packets = this->malformed_packets,
                        .send_failures = this->packets.SendFailures(),
                        .message_bytes_sent = this->link.BytesSent(),
                        .batch = this->batch_time},
      FleetNow()));
}

wire::Answer EntryRuntime::ExplainCurrent(const HttpRequest& request) const {
  const ExplainCall call = ReadExplainCall(request);
  if (!call.error.empty()) {
    return RefuseExplainCall(call.error);
  }
  return AnswerExplainCall(ExplainEntryFlow(
      this->instance,
      {.key = call.key, .refusal_interval = RefusalIntervalAt(WallClockTime())},
      FleetNow()));
}

void EntryRuntime::HandlePacket(const ReceivedDatagram& datagram,
                                TimePoint now) {
  const InputMark mark(InputKind::kPacket, datagram.bytes.size());
  const PacketCodec& codec = this->adapter.packets;
  FlowPacket packet;
  if (!codec.parse(datagram.bytes, packet)) {
    this->malformed_packets += 1;
    if (!AcceptsLog(EventId::kMalformedInput)) {
      return;
    }
    WriteLog({.id = EventId::kMalformedInput,
              .severity = Severity::kWarning,
              .text = "malformed packet from " + FormatEndpoint(datagram.from) +
                      " bytes=" + std::to_string(datagram.bytes.size())});
    return;
  }
  this->ProcessPacket(packet, datagram.bytes, now);
}

void EntryRuntime::ProcessPacket(const FlowPacket& packet,
                                 std::span<std::uint8_t> bytes, TimePoint now) {
  const PacketCodec& codec = this->adapter.packets;
  const Decision decision = DecidePacket(this->instance.forwarder, packet, now);
  if (decision.reason != ForwardReason::kToken) {
    this->LogDecision(packet, decision);
  }
  switch (decision.verdict) {
    case Verdict::kForward: {
      const PlacedServer& server =
          this->instance.forwarder.placement.servers[decision.server];
      if (server.token != kNoToken) {
        codec.write_token(bytes, server.token);
      }
      std::array<std::uint8_t, DatagramPort::kMaxPrefixBytes> head{};
      const std::size_t length = codec.write_header(server.number, head);
      this->packets.Send(server.address, std::span(head.data(), length), bytes);
      return;
    }
    case Verdict::kReset: {
      auto& reset = this->resets.emplace_back();
      const std::size_t length = codec.write_reset(bytes, reset);
      const Endpoint caller{.ip = packet.key.caller.ip,
                            .port = this->settings.packet_address.port};
      this->packets.Send(caller, {}, std::span(reset.data(), length));
      return;
    }
    case Verdict::kHold:
      HoldPacket(this->instance.forwarder, packet, decision, bytes, now);
      return;
    case Verdict::kDrop:
      return;
  }
}

void EntryRuntime::ProcessDueOpenings() {
  const TimePoint now = FleetNow();
  std::vector<HeldOpening> due =
      TakeDueOpenings(this->instance.forwarder.held, now);
  if (!due.empty()) {
    this->resets.clear();
    this->resets.reserve(due.size());
    for (HeldOpening& opening : due) {
      this->ReleaseOpening(opening, now);
    }
    this->packets.Flush();
  }
  this->ProcessLateOpenings(now);
}

void EntryRuntime::ProcessLateOpenings(TimePoint now) {
  constexpr std::size_t kMaxBatch = 64;
  LateOpenings& late = this->instance.forwarder.late;
  if (late.positions.empty()) {
    late.next_check_at = TimePoint::max();
    return;
  }
  std::vector<HeldOpening> due;
  due.reserve(kMaxBatch);  // The bytes of each are sent with the flush.
  this->resets.clear();
  this->resets.reserve(kMaxBatch);
  while (due.size() < kMaxBatch) {
    auto opening = TakeLateOpening(late, now);
    if (!opening) {
      break;
    }
    this->ReleaseOpening(due.emplace_back(std::move(*opening)), now);
  }
  this->packets.Flush();
}

void EntryRuntime::ReleaseOpening(HeldOpening& opening, TimePoint now) {
  FlowPacket packet;
  if (this->adapter.packets.parse(opening.bytes, packet)) {
    RestoreTimes(packet, opening, now);
    this->ProcessPacket(packet, opening.bytes, now);
  }
}

/// Returns the measurements behind a refusal due to overload, as log text.
std::string EntryRuntime::FormatLoad(const FlowPacket& packet) const {
  const Forwarder& forwarder = this->instance.forwarder;
  const auto route = forwarder.routes.routes.find(KeyOf(packet.key.address));
  if (route == forwarder.routes.routes.end()) {
    return "";
  }
  const ServiceIndex service =
      ServiceOf(route->second, FlowKeyHash()(packet.key));
  const ServiceMeasurements& pace = forwarder.admission.services.at(service);
  return " expected=" +
         std::to_string(
             ExpectedSlowness(forwarder.admission, service, FleetNow())) +
         " lately=" + std::to_string(pace.slowness) +
         " in_flight=" + std::to_string(pace.in_flight) +
         " objective_ms=" + std::to_string(route->second.objective.count()) +
         " round=" + std::to_string(forwarder.admission.refusal_interval);
}

void EntryRuntime::LogDecision(const FlowPacket& packet,
                               const Decision& decision) {
  const bool forwarded = decision.verdict == Verdict::kForward;
  const EventId refused = decision.verdict == Verdict::kReset
                              ? EventId::kFlowRefused
                              : EventId::kPacketDropped;
  const EventId id = forwarded ? EventId::kFlowPlaced : refused;
  if (!AcceptsLog(id)) {
    return;
  }
  const Placement& placement = this->instance.forwarder.placement;
  std::string text =
      "flow=" + FormatEndpoint(packet.key.caller) + ">" +
      FormatEndpoint(packet.key.address) +
      " reason=" + ForwardReasonName(decision.reason) +
      " version=" + std::to_string(this->instance.forwarder.routes.version) +
      " copies=" + std::to_string(packet.copies);
  if (forwarded) {
    const PlacedServer& server = placement.servers[decision.server];
    text += " server=" + server.id +
            " in_flight=" + std::to_string(server.in_flight);
  } else {
    text += " token=" + std::to_string(packet.token);
  }
  if (decision.reason == ForwardReason::kOverload) {
    text += this->FormatLoad(packet);
  }
  WriteLog({.id = id,
            .severity = forwarded ? Severity::kInfo : Severity::kWarning,
            .text = text});
}

void EntryRuntime::ReloadSettings() {
  const auto reloaded = this->file.Reload();
  if (!reloaded) {
    return;
  }
  this->Handle(SeedsChanged{
      .seeds =
          MakeFleetConfig(*reloaded, this->instance.config.incarnation).seeds});
}

}  // namespace

FleetConfig MakeFleetConfig(const Settings& settings,
                            std::uint64_t incarnation) {
  FleetConfig config{.self = settings.control_address.ip,
                     .data_centre = settings.data_centre,
                     .tolerated_losses = settings.fleet.tolerated_losses,
                     .announce_interval = settings.fleet.announce_interval,
                     .refuse_overload = settings.fleet.refuse_overload,
                     .regions = settings.fleet.regions,
                     .fair_callers = settings.fleet.fair_callers,
                     .balance_by_load = settings.fleet.balance_by_load,
                     .incarnation = incarnation};
  for (const Endpoint& seed : settings.fleet.seeds) {
    config.seeds.insert(seed.ip);
  }
  return config;
}

void StartFleetLog(const FleetSource& source) {
  StartLog(source.settings.id);
  for (const Finding& finding : source.findings) {
    WriteLog({.id = EventId::kSettingsRejected,
              .severity = Severity::kWarning,
              .text = FormatFinding(finding)});
  }
}

RunError RunEntryInstance(const FleetSource& source,
                          const FleetAdapter& adapter) {
  StartFleetLog(source);
  EntryRuntime runtime(source, adapter);
  return runtime.Run();
}

}  // namespace filbertwall
