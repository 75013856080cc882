#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "Tests/Fleet/FleetWorld.h"
#include "Transport/Fragments.h"

/// Measures how the control plane's cost grows with the fleet: CPU time and
/// bytes per control instance and per entry instance. Includes decisions and
/// message encoding, but not sockets and system calls.
///
/// Usage: fleet_bench CONTROLS ENTRIES SERVERS
namespace filbertwall {
namespace {

constexpr Milliseconds kReportInterval{1200};
constexpr Milliseconds kStep{5};

/// Totals of one phase of the benchmark.
struct Figures {
  double control_s = 0;
  double entry_s = 0;
  double encode_s = 0;
  std::size_t messages = 0;
  std::size_t control_bytes = 0;  ///< Sent by control instances.
  std::size_t entry_bytes = 0;
};

struct FleetLoad {
  FleetWorld world;
  int servers = 0;
  std::uint64_t sequence = 1;
  Figures figures;
};

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

/// Encodes each sent message as a real process would, and counts its bytes.
void CountMessages(FleetLoad& load) {
  load.world.on_send = [&load](InstanceAddress from,
                               const SendMessage& effect) {
    const auto start = std::chrono::steady_clock::now();
    std::size_t bytes = 0;
    for (const std::string& datagram :
         SplitMessage(effect.message.SerializeAsString(), 1)) {
      bytes += datagram.size();
    }
    load.figures.encode_s += SecondsSince(start);
    load.figures.messages += 1;
    const bool control = load.world.controls.contains(from);
    (control ? load.figures.control_bytes : load.figures.entry_bytes) += bytes;
  };
}

/// Sends the reports of the servers that are due in this step.
void SendDueReports(FleetLoad& load, int step) {
  const int steps = static_cast<int>(kReportInterval / kStep);
  const auto controls = static_cast<int>(load.world.controls.size());
  for (int i = step % steps; i < load.servers; i += steps) {
    const auto to = static_cast<InstanceAddress>(1 + i % controls);
    char id[24];
    std::snprintf(id, sizeof(id), "i-%010x", i + 1);
    Report(load.world, to, id, load.sequence + static_cast<unsigned>(step));
  }
  load.world.answers.clear();
}

void RunLoad(FleetLoad& load, Milliseconds time) {
  FleetWorld& world = load.world;
  const auto steps = static_cast<int>(time / kStep);
  for (int step = 0; step < steps; ++step) {
    world.now += kStep;
    auto start = std::chrono::steady_clock::now();
    SendDueReports(load, step);
    for (auto& [id, instance] : world.controls) {
      if (world.now >= NextDue(instance)) {
        Apply(world, id, ControlInstanceTick{});
      }
    }
    load.figures.control_s += SecondsSince(start);
    start = std::chrono::steady_clock::now();
    for (auto& [id, instance] : world.entries) {
      if (world.now >= NextDue(instance)) {
        Apply(world, id, EntryTick{});
      }
    }
    load.figures.entry_s += SecondsSince(start);
    start = std::chrono::steady_clock::now();
    DeliverAll(world);
    load.figures.control_s += SecondsSince(start);
  }
  load.sequence += static_cast<unsigned>(steps);
}

void Print(const char* phase, const FleetLoad& load, Milliseconds time) {
  const double seconds = static_cast<double>(time.count()) / 1000.0;
  const auto controls = static_cast<double>(load.world.controls.size());
  const Figures& figures = load.figures;
  std::printf(
      "%s,%zu,%zu,%d,%.4f,%.4f,%.0f,%.1f\n", phase, load.world.controls.size(),
      load.world.entries.size(), load.servers,
      (figures.control_s - figures.encode_s) / seconds,
      figures.encode_s / seconds,
      static_cast<double>(figures.messages) / seconds,
      static_cast<double>(figures.control_bytes) / seconds / controls / 1000.0);
}

template <typename Act>
void Measure(const char* phase, FleetLoad& load, Milliseconds time, Act act) {
  load.figures = Figures{};
  act();
  RunLoad(load, time);
  Print(phase, load, time);
}

int Main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: fleet_bench CONTROLS ENTRIES SERVERS\n");
    return EXIT_FAILURE;
  }
  const auto controls = static_cast<InstanceAddress>(std::atoi(argv[1]));
  const auto entries = static_cast<InstanceAddress>(std::atoi(argv[2]));
  FleetLoad load{.world = MakeWorld(controls, entries),
                 .servers = std::atoi(argv[3])};
  CountMessages(load);
  std::printf(
      "phase,controls,entries,servers,decide_s,encode_s,messages_s,"
      "control_kb_s\n");
  constexpr Milliseconds kPhase{4000};
  Measure("start", load, kPhase, [] {});
  SubmitUntilAccepted(load.world, 5);
  Measure("steady", load, kPhase, [] {});
  Measure("control_restarts", load, kPhase,
          [&load] { StartControl(load.world, 1, false); });
  Measure("entries_restart", load, kPhase, [&load, entries] {
    for (InstanceAddress id = 101; id < 101 + entries; ++id) {
      StartEntry(load.world, id);
    }
  });
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace filbertwall

int main(int argc, char** argv) { return filbertwall::Main(argc, argv); }
