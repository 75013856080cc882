#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "Bench/BenchPacket.h"
#include "Node/Node.h"
#include "Rules/RulesParser.h"

/// Measures how state, messages and CPU time grow with the deployment.
/// Prints `figure,size,value,unit` for docs/CAPACITY.md.
namespace filbertwall::bench {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

void Print(const char* figure, std::size_t size, double value,
           const char* unit) {
  std::printf("%s,%zu,%.4f,%s\n", figure, size, value, unit);
  std::fflush(stdout);
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Returns the median of nine timings of `work`, in microseconds per call.
double TimeUs(int calls, const std::function<void()>& work) {
  std::vector<double> timings;
  for (int round = 0; round < 9; ++round) {
    const auto started = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
      work();
    }
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - started;
    timings.push_back(took.count() / calls);
  }
  std::sort(timings.begin(), timings.end());
  return timings[timings.size() / 2];
}

Node MakeNodeWithPeers(std::uint32_t peers) {
  NodeInitialState initial_state{.incarnation = 77};
  initial_state.settings.id = 1;
  initial_state.settings.data_centre = "dc";
  initial_state.settings.roles.entry = true;
  for (std::uint32_t id = 2; id < peers + 2; ++id) {
    initial_state.settings.peers[id] =
        PeerSettings{.id = id,
                     .packet_address = {.ip = id, .port = 6081},
                     .data_centre = "dc",
                     .roles = {.entry = true}};
  }
  return MakeNode(initial_state);
}

MessageArrived HelloFrom(std::uint32_t id) {
  MessageArrived event;
  event.envelope.set_from(id);
  wire::Hello& hello = *event.envelope.mutable_hello();
  hello.set_incarnation(0x1234567812345678ULL);
  hello.set_heard_incarnation(0x1234567812345678ULL);
  hello.set_rules_version(7);
  hello.set_directory_digest(0x1234567812345678ULL);
  hello.set_serving(true);
  return event;
}

void MeasurePeers() {
  for (const std::uint32_t peers : {8U, 64U, 512U, 4096U, 19000U}) {
    const double before = HeapBytes();
    Node node = MakeNodeWithPeers(peers);
    TimePoint now = kStart;
    for (std::uint32_t id = 2; id < peers + 2; ++id) {
      Reduce(node, HelloFrom(id), now);
      Reduce(node, HelloFrom(id), now);
    }
    Print("peer_memory", peers, HeapBytes() - before, "bytes");
    const MessageArrived hello = HelloFrom(2);
    Print("hello_receive", peers,
          TimeUs(2000, [&] { Reduce(node, hello, now); }), "us");
    double bytes = 0;
    const auto send_round = [&] {
      now += std::chrono::seconds(1);
      bytes = 0;
      for (const NodeEffect& effect : Reduce(node, NodeTick{}, now)) {
        if (const auto* send = std::get_if<SendToPeer>(&effect)) {
          bytes += static_cast<double>(send->envelope.ByteSizeLong());
        }
      }
    };
    Print("hello_send_round", peers, TimeUs(3, send_round), "us");
    Print("hello_send_bytes", peers, bytes, "bytes");
    Print("idle_tick", peers,
          TimeUs(200, [&] { Reduce(node, NodeTick{}, now); }), "us");
    PacketFlowKey key{.protocol = 6};
    Print("flow_owner", peers,
          TimeUs(20,
                 [&] {
                   key.source.ip += 1;
                   OwnersOf(node.flows, node.silent, key);
                 }),
          "us");
  }
}

void MeasureDirectory() {
  for (const std::uint32_t backends : {18U, 180U, 1800U, 18000U, 100000U}) {
    const double before = HeapBytes();
    Directory directory;
    for (std::uint32_t i = 0; i < backends; ++i) {
      Announce(directory, i, wire::READY, 1, kStart);
    }
    Print("directory_memory", backends, HeapBytes() - before, "bytes");
    std::uint64_t sequence = 2;
    Print("announcement", backends,
          TimeUs(1000,
                 [&] {
                   Announce(directory,
                            static_cast<std::uint32_t>(sequence % backends),
                            wire::READY, sequence, kStart);
                   sequence += 1;
                 }),
          "us");
    Print("directory_message", backends,
          static_cast<double>(
              BuildDirectoryMessage(directory, kStart).ByteSizeLong()),
          "bytes");
  }
}

std::string RulesText(std::uint32_t addresses) {
  std::string text = "version 1  # by: Ana, operations\n";
  for (std::uint32_t i = 0; i < addresses; ++i) {
    if (i % 10 == 0) {
      text += "service s" + std::to_string(i / 10) +
              " protocol=packets  # by: Ana, operations\n";
    }
    text += "address " + FormatIp(0x0A000000 + i) + ":80 s" +
            std::to_string(i / 10) + "  # by: Petar, product\n";
  }
  return text;
}

void MeasureRules() {
  for (const std::uint32_t addresses : {15U, 150U, 1500U, 15000U}) {
    const std::string text = RulesText(addresses);
    Print("rules_text", addresses, static_cast<double>(text.size()), "bytes");
    const double before = HeapBytes();
    const ParsedRules parsed = ParseRules(text, "rules");
    Print("rules_memory", addresses, HeapBytes() - before, "bytes");
    Print("rules_parse", addresses,
          TimeUs(3, [&] { ParseRules(text, "rules"); }), "us");
  }
}

void MeasureHistory() {
  for (const int versions : {100, 1000, 10000, 90000}) {
    const double before = HeapBytes();
    wire::ControlState state;
    wire::Entry entry;
    wire::RulesFile& file = *entry.mutable_change()->mutable_rules();
    file.set_digest(std::string(16, 'd'));
    file.set_submitter("Ana, operations");
    for (int i = 1; i <= versions; ++i) {
      entry.set_seq(static_cast<std::uint64_t>(i));
      file.set_version(static_cast<std::uint64_t>(i));
      ApplyEntry(state, entry);
    }
    const auto size = static_cast<std::size_t>(versions);
    Print("history_memory", size, HeapBytes() - before, "bytes");
    Print("state_message", size, static_cast<double>(state.ByteSizeLong()),
          "bytes");
    Print(
        "ruling", size,
        TimeUs(100,
               [&] {
                 wire::RulesFile old_file;
                 old_file.set_version(static_cast<std::uint64_t>(versions / 2));
                 DecideRulesFile(state, old_file);
               }),
        "us");
  }
}

void MeasureOrders() {
  for (const int records : {1000, 10000, 50000, 200000}) {
    const double before = HeapBytes();
    OrderLog log{.limit = 1000000};
    wire::Claim claim;
    claim.mutable_record()->mutable_answer()->set_body(std::string(200, 'b'));
    for (int i = 0; i < records; ++i) {
      claim.mutable_record()->set_key("catalogue\norder-" + std::to_string(i));
      claim.mutable_record()->set_attempt(static_cast<std::uint64_t>(i) + 1);
      ProcessClaim(log, claim, kStart);
    }
    const auto size = static_cast<std::size_t>(records);
    Print("order_memory", size, HeapBytes() - before, "bytes");
    std::uint64_t attempt = 1;
    Print("order_claim", size,
          TimeUs(1000,
                 [&] {
                   claim.mutable_record()->set_attempt(attempt++);
                   ProcessClaim(log, claim, kStart);
                 }),
          "us");
  }
}

void MeasureFlows() {
  for (const std::uint32_t flows : {1000U, 10000U, 100000U, 1000000U}) {
    FlowTable table;
    PacketFlowKey key{.destination = kVirtual, .protocol = 6};
    for (std::uint32_t i = 0; i < flows; ++i) {
      key.source.ip = i;
      InsertFlow(table, key);
    }
    Print("flow_memory", flows,
          static_cast<double>(table.slots.size() * sizeof(FlowEntry)), "bytes");
  }
}

}  // namespace
}  // namespace filbertwall::bench

int main() {
  std::printf("figure,size,value,unit\n");
  filbertwall::bench::MeasurePeers();
  filbertwall::bench::MeasureDirectory();
  filbertwall::bench::MeasureRules();
  filbertwall::bench::MeasureHistory();
  filbertwall::bench::MeasureOrders();
  filbertwall::bench::MeasureFlows();
  return 0;
}
