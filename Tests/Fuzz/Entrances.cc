#include "Fuzz/Entrances.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "Base/InputError.h"
#include "Fleet/ControlInstance.h"
#include "Fleet/EntryInstance.h"
#include "Rules/RulesParser.h"
#include "Settings/Settings.h"
#include "Shell/ControlStore.h"
#include "Transport/Fragments.h"
#include "platform/CallAdapter.h"
#include "platform/ConfigDocument.h"
#include "platform/PacketAdapter.h"

namespace filbertwall {
namespace {

using Bytes = std::span<const std::uint8_t>;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr InstanceAddress kControl = 0x7F000001;
constexpr InstanceAddress kEntry = 0x7F000002;

/// Aborts with a message when a promise is broken.
void Expect(bool holds, const char* promise) {
  if (!holds) {
    std::fprintf(stderr, "broken: %s\n", promise);
    std::abort();
  }
}

std::string ToText(Bytes bytes) { return {bytes.begin(), bytes.end()}; }

/// Checks what the rest of the system relies on after a call was read.
struct CallChecker {
  void operator()(const HealthCall&) const {}
  void operator()(const ReadRulesCall&) const {}
  void operator()(const EvacuationCall& call) const {
    Expect(!CheckServerName(call.change.data_centre()),
           "an evacuated data centre has a valid name");
  }
  void operator()(const MalformedCall& call) const {
    Expect(call.status >= 400 && call.status < 500, "a refusal is a 4xx");
  }
  void operator()(const ReportCall& call) const {
    wire::ServerRecord copy;
    Expect(copy.ParseFromString(call.record.SerializeAsString()),
           "a report can be sent on");
  }
  void operator()(const SubmitCall& call) const {
    Expect(ParseRules(call.file.text(), "rules").findings.empty(),
           "a config that was read is valid");
    const std::string document = platform::WriteDocument(call.file);
    Expect(nlohmann::json::accept(document), "a config can be read back");
    Expect(platform::ReadDocument(document).has_value(),
           "a config that is read back is valid");
  }
};

/// The first line is the method and the path, the rest is the body.
void FeedCall(Bytes bytes) {
  const std::string text = ToText(bytes);
  const std::size_t line_end = text.find('\n');
  const std::string line = text.substr(0, line_end);
  const std::size_t space = line.find(' ');
  const HttpCall request{
      .method = line.substr(0, space),
      .path = space == std::string::npos ? "/" : line.substr(space + 1),
      .body = line_end == std::string::npos ? "" : text.substr(line_end + 1)};
  const CallTranslator translator = platform::MakeCallTranslator(8166);
  const FleetCall call = translator.read(request);
  std::visit(CallChecker(), call);
  for (const CallVerdict verdict :
       {CallVerdict::kRefused, CallVerdict::kUnavailable,
        CallVerdict::kRedirected}) {
    const wire::Answer answer = translator.write(
        request, call,
        AnswerCall{
            .verdict = verdict, .leader = kControl, .reason = request.path});
    Expect(nlohmann::json::accept(answer.body()), "an answer is JSON");
  }
}

wire::Update MakeValidUpdate() {
  wire::Update update;
  update.set_fresh(true);
  update.set_settled(true);
  update.set_registry_epoch(1);
  update.set_registry_change(1);
  update.set_rules_version(1);
  update.set_data_centre("dc0");
  update.mutable_routes()->set_version(1);
  wire::Route& route = *update.mutable_routes()->add_set();
  route.set_ip(0xC6120001);
  route.set_port(443);
  route.add_shares()->set_service("alpha");
  route.mutable_shares(0)->set_weight(1);
  wire::ServerRecord& server = *update.add_servers();
  server.set_id("i-00000001");
  server.set_service("alpha");
  server.set_ip(0x7F000009);
  server.set_port(9000);
  server.set_data_centre("dc0");
  server.set_slots(2);
  server.set_incarnation(1);
  server.set_sequence(1);
  return update;
}

EntryInstance MakeServingEntry() {
  EntryInstance entry = MakeEntryInstance(
      FleetConfig{.self = kEntry, .data_centre = "dc0", .seeds = {kControl}});
  Reduce(entry, EntryStarted{}, kNow);
  PeerMessage message{.from = kControl};
  *message.message.mutable_update() = MakeValidUpdate();
  Reduce(entry, message, kNow);
  return entry;
}

ControlInstance MakeStartedControl() {
  const FleetConfig config{
      .self = kControl, .data_centre = "dc0", .seeds = {kControl}};
  ControlInstance control =
      MakeControlInstance(config, {InitialRecord(config, true)});
  Reduce(control, ControlInstanceStarted{}, kNow);
  return control;
}

/// Several packets, each behind a byte with its length.
void FeedPackets(Bytes bytes) {
  EntryInstance entry = MakeServingEntry();
  const PacketCodec codec = platform::MakePacketCodec();
  while (!bytes.empty()) {
    const std::size_t length =
        std::min<std::size_t>(bytes.front(), bytes.size() - 1);
    std::vector<std::uint8_t> packet(
        bytes.begin() + 1,
        bytes.begin() + 1 + static_cast<std::ptrdiff_t>(length));
    bytes = bytes.subspan(1 + length);
    FlowPacket parsed;
    if (!codec.parse(packet, parsed)) {
      continue;
    }
    const Decision decision = DecidePacket(entry.forwarder, parsed, kNow);
    if (decision.verdict == Verdict::kForward) {
      Expect(decision.server < entry.forwarder.placement.servers.size(),
             "a packet goes to a server that is known");
      codec.write_token(packet, 1);
    }
    std::array<std::uint8_t, 64> out{};
    Expect(codec.write_reset(packet, out) <= out.size(), "a reset fits");
  }
}

/// Several datagrams between instances, each behind two bytes with its length.
void FeedMessages(Bytes bytes) {
  EntryInstance entry = MakeServingEntry();
  ControlInstance control = MakeStartedControl();
  Reassembler reassembler;
  while (bytes.size() >= 2) {
    const std::size_t length =
        std::min<std::size_t>(bytes[0] + 256U * bytes[1], bytes.size() - 2);
    const std::string datagram = ToText(bytes.subspan(2, length));
    bytes = bytes.subspan(2 + length);
    const auto assembled = reassembler.AddDatagram(kEntry, datagram, kNow);
    PeerMessage message{.from = kControl + 8};
    if (assembled && message.message.ParseFromString(*assembled)) {
      Reduce(entry, message, kNow);
      Reduce(control, message, kNow);
    }
  }
}

void FeedSettings(Bytes bytes) { ParseSettings(ToText(bytes), "fuzz"); }

void FeedRules(Bytes bytes) { ParseRules(ToText(bytes), "fuzz"); }

void FeedLog(Bytes bytes) {
  const std::string text = ToText(bytes);
  const auto contents = DecodeLog(text);
  if (contents) {
    Expect(contents.value().valid_bytes <= text.size(),
           "a log is not longer than its file");
    const FleetConfig config{.self = kControl, .seeds = {kControl}};
    MakeControlInstance(config, contents.value().records);
  }
  ControlInstanceStarted started;
  if (started.saved.ParseFromString(text)) {
    ControlInstance control = MakeStartedControl();
    Reduce(control, started, kNow);
  }
}

}  // namespace

/// Defined in GeneveEntrance.cc.
void FeedGenevePacket(std::span<const std::uint8_t> bytes);

const std::vector<Entrance>& AllEntrances() {
  static const std::vector<Entrance> kEntrances = {
      {"calls", FeedCall},         {"packets", FeedPackets},
      {"messages", FeedMessages},  {"settings", FeedSettings},
      {"rules", FeedRules},        {"logs", FeedLog},
      {"geneve", FeedGenevePacket}};
  return kEntrances;
}

}  // namespace filbertwall
