#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <limits>
#include <random>

#include "FleetWorld.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr std::uint32_t kLimit = 3;
constexpr Milliseconds kWarmup{8000};
constexpr Milliseconds kStep{5};
constexpr Milliseconds kDuration{40};  ///< Of a flow.
/// Packets arrive at the servers up to this much later than they are sent.
constexpr std::uint32_t kMaxTransitMs = 150;
/// A server that was not known to be down may get flows of its earlier start
/// until all entry instances have heard of the new one.
constexpr Milliseconds kAnnouncementTime{300};

/// Least share of the limit that is used in the first seconds when demand
/// suffices.
constexpr double kMinUsedShare = 0.75;
/// An entry instance notices within this time that it is cut off, also when the
/// control instance that it follows is cut off with it.
constexpr Milliseconds kContactLossTime{1000};

/// One start of a backend server.
struct EmulatedServer {
  std::string service = "proof";
  std::string data_centre;
  std::uint64_t incarnation = 1;
  std::uint64_t sequence = 0;
  bool running = true;
  TimePoint next_report_at;
  TimePoint limited_from;           ///< Flows are limited from this time on,
  TimePoint limited_until;          ///< to this one.
  std::vector<TimePoint> arrivals;  ///< Of new flows.
};

/// A flow that its caller closes later.
struct OpenedFlow {
  TimePoint ends_at;
  InstanceAddress entry = 0;
  FlowPacket last;
};

/// A fleet with backend servers and callers.
struct WarmupWorld {
  FleetWorld world;
  std::map<std::string, EmulatedServer> servers;
  std::map<InstanceAddress, double> flows_per_second;  ///< By entry instance.
  std::map<InstanceAddress, double> flows_due;
  std::set<InstanceAddress> frozen;  ///< Handle nothing and answer nothing.
  /// Messages to frozen instances.
  std::vector<std::pair<InstanceAddress, PeerMessage>> queued;
  std::deque<OpenedFlow> open_flows;
  std::mt19937 random{1};
  std::uint32_t next_caller = 1;
  std::uint64_t version = 0;
  std::uint64_t refused = 0;
  std::uint64_t placed = 0;
  std::uint64_t lease_messages = 0;
  /// Called in each step before callers open flows; may plant a fault.
  std::function<void(WarmupWorld&)> plant = [](WarmupWorld&) {};
};

std::string RulesText(std::uint64_t version, const std::string& options) {
  return "version " + std::to_string(version) + "  # by: test\nservice proof " +
         options +
         "  # by: test\naddress 10.0.0.1:80 proof timeout=2s  # by: test\n";
}

const std::string kLimitOptions = "warmup=8s warmup-rate=3.9";

/// Submits rules until a control instance accepts them.
void SubmitRules(WarmupWorld& test, const std::string& options) {
  test.version += 1;
  for (int i = 0; i < 40; ++i) {
    for (const auto& [id, instance] : test.world.controls) {
      if (test.world.down.contains(id)) {
        continue;
      }
      const CallId call = test.world.next_call++;
      RulesSubmitted event{.call = call};
      event.file.set_version(test.version);
      event.file.set_text(RulesText(test.version, options));
      event.file.set_digest("digest" + std::to_string(test.version));
      Apply(test.world, id, ControlInstanceEvent(event));
      Run(test.world, Milliseconds(200));
      const auto answer = test.world.answers.find(call);
      if (answer != test.world.answers.end() &&
          answer->second.verdict == CallVerdict::kAccepted) {
        return;
      }
    }
  }
  FAIL("no control instance accepts the rules");
}

/// Sends the report of a server to a control instance that is in sync with a
/// leader if there is one, as servers are told to.
void ReportServer(WarmupWorld& test, const std::string& id,
                  std::uint32_t warmup_ms = 0) {
  EmulatedServer& server = test.servers.at(id);
  server.next_report_at = test.world.now + Milliseconds(1200);
  ServerReported event{.call = test.world.next_call++};
  event.record.set_id(id);
  event.record.set_service(server.service);
  event.record.set_data_centre(server.data_centre);
  event.record.set_ip(static_cast<std::uint32_t>(ParseServerNumber(id)));
  event.record.set_port(80);
  event.record.set_slots(2);
  event.record.set_incarnation(server.incarnation);
  event.record.set_sequence(++server.sequence);
  event.record.set_warmup_ms(warmup_ms);
  std::vector<InstanceAddress> running;
  std::vector<InstanceAddress> in_sync;
  for (const auto& [address, instance] : test.world.controls) {
    if (!test.world.down.contains(address)) {
      running.push_back(address);
      if (instance.in_sync) {
        in_sync.push_back(address);
      }
    }
  }
  const auto& targets = in_sync.empty() ? running : in_sync;
  if (!targets.empty()) {
    const std::size_t turn = ParseServerNumber(id) % targets.size();
    Apply(test.world, targets[turn], ControlInstanceEvent(event));
  }
}

/// Starts a server anew. Its statement may say nothing of a warm-up.
void StartServer(WarmupWorld& test, const std::string& id,
                 std::uint32_t warmup_ms = 0) {
  const bool is_new = !test.servers.contains(id);
  EmulatedServer& server = test.servers[id];
  server.data_centre = "dc" + std::to_string(ParseServerNumber(id) % 4);
  server.incarnation += 1;
  server.running = true;
  server.arrivals.clear();
  server.limited_from =
      test.world.now + (is_new ? Milliseconds(0) : kAnnouncementTime);
  server.limited_until = test.world.now + kWarmup;
  ReportServer(test, id, warmup_ms);
}

std::string ServerId(int number) {
  constexpr int kFirst = 0x100000;
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%x", kFirst + number);
  return text.data();
}

/// Opens a flow through an entry instance and closes it at once.
void OpenFlow(WarmupWorld& test, InstanceAddress entry) {
  Forwarder& forwarder = test.world.entries.at(entry).forwarder;
  const std::uint32_t caller = test.next_caller++;
  FlowPacket packet{.key = {.caller = {.ip = 0x0B000000 + caller, .port = 1000},
                            .address = *ParseEndpoint("10.0.0.1:80")},
                    .opens = true,
                    .retransmit_after = Milliseconds(200)};
  DetectStall(test.world.entries.at(entry), test.world.now);
  const Decision decision = DecidePacket(forwarder, packet, test.world.now);
  if (decision.verdict != Verdict::kForward) {
    test.refused += 1;
    return;
  }
  test.placed += 1;
  const PlacedServer& server = forwarder.placement.servers[decision.server];
  const auto target = test.servers.find(server.id);
  // A packet to an earlier start reaches the server as well.
  if (target != test.servers.end() && target->second.running) {
    target->second.arrivals.push_back(
        test.world.now + Milliseconds(test.random() % kMaxTransitMs));
  }
  packet.opens = false;
  packet.token = server.token;
  DecidePacket(forwarder, packet, test.world.now);
  packet.closes = true;
  test.open_flows.push_back(
      {.ends_at = test.world.now + kDuration, .entry = entry, .last = packet});
}

/// Closes the flows whose requests are answered.
void CloseFlows(WarmupWorld& test) {
  while (!test.open_flows.empty() &&
         test.open_flows.front().ends_at <= test.world.now) {
    const OpenedFlow flow = test.open_flows.front();
    test.open_flows.pop_front();
    if (!test.world.down.contains(flow.entry)) {
      DecidePacket(test.world.entries.at(flow.entry).forwarder, flow.last,
                   test.world.now);
    }
  }
}

/// Advances the time. Servers report and callers open flows meanwhile.
void RunWithFlows(WarmupWorld& test, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    // A frozen instance keeps its state, and handles nothing.
    test.world.down.insert(test.frozen.begin(), test.frozen.end());
    Run(test.world, kStep);
    for (auto& [id, server] : test.servers) {
      if (server.running && test.world.now >= server.next_report_at) {
        const auto left = server.limited_until - test.world.now;
        const std::int64_t left_ms =
            std::chrono::duration_cast<Milliseconds>(left).count();
        ReportServer(
            test, id,
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, left_ms)));
      }
    }
    CloseFlows(test);
    test.plant(test);
    for (const auto& [entry, rate] : test.flows_per_second) {
      if (test.world.down.contains(entry)) {
        continue;
      }
      double& due = test.flows_due[entry];
      due += rate * static_cast<double>(kStep.count()) / 1000.0;
      for (; due >= 1; due -= 1) {
        OpenFlow(test, entry);
      }
    }
  }
}

void Freeze(WarmupWorld& test, InstanceAddress entry) {
  test.frozen.insert(entry);
}

/// Wakes a frozen instance. The grants that were sent to it meanwhile are
/// handled first, as they wait in its socket.
void Wake(WarmupWorld& test, InstanceAddress entry) {
  test.frozen.erase(entry);
  test.world.down.erase(entry);
  for (const auto& [to, message] : test.queued) {
    if (to == entry) {
      Apply(test.world, to, EntryEvent(message));
    }
  }
  std::erase_if(test.queued,
                [&](const auto& item) { return item.first == entry; });
}

/// Returns the largest number of new flows that a server got in a second of the
/// time in which they are limited.
std::size_t MaxFlowsInASecond(const EmulatedServer& server) {
  std::vector<TimePoint> arrivals;
  for (const TimePoint arrival : server.arrivals) {
    if (arrival >= server.limited_from && arrival < server.limited_until) {
      arrivals.push_back(arrival);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[first] + Milliseconds(1000) <= arrivals[last]) {
      first += 1;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

std::size_t MaxFlowsInASecond(const WarmupWorld& test) {
  std::size_t most = 0;
  for (const auto& [id, server] : test.servers) {
    most = std::max(most, MaxFlowsInASecond(server));
  }
  return most;
}

/// Returns the flows that servers got while they were limited.
std::size_t CountLimitedFlows(const WarmupWorld& test) {
  std::size_t count = 0;
  for (const auto& [id, server] : test.servers) {
    count += static_cast<std::size_t>(std::count_if(
        server.arrivals.begin(), server.arrivals.end(), [&](TimePoint at) {
          return at >= server.limited_from && at < server.limited_until;
        }));
  }
  return count;
}

/// Makes a fleet with `servers` that have been running for long.
WarmupWorld MakeWarmupWorld(InstanceAddress controls, InstanceAddress entries,
                            int servers, double flows_per_second,
                            const std::string& options = kLimitOptions) {
  WarmupWorld test{.world = MakeWorld(controls, entries)};
  Run(test.world, Milliseconds(3000));
  SubmitRules(test, options);
  for (int i = 0; i < servers; ++i) {
    StartServer(test, ServerId(i));
    test.servers.at(ServerId(i)).limited_until = {};
  }
  RunWithFlows(test, kWarmup + Milliseconds(2000));
  for (InstanceAddress id = 101; id < 101 + entries; ++id) {
    test.flows_per_second[id] = flows_per_second;
  }
  return test;
}

/// Keeps the messages to frozen instances. `test` must not move afterwards.
void QueueForFrozen(WarmupWorld& test) {
  test.world.on_send = [&test](InstanceAddress from,
                               const SendMessage& effect) {
    test.lease_messages +=
        effect.message.has_warmup_request() || effect.message.has_warmup_grant()
            ? 1
            : 0;
    if (test.frozen.contains(effect.to)) {
      test.queued.emplace_back(
          effect.to, PeerMessage{.from = from, .message = effect.message});
    }
  };
}

void RestartServers(WarmupWorld& test, int first, int count) {
  for (int i = first; i < first + count; ++i) {
    test.servers.at(ServerId(i)).running = false;
  }
  RunWithFlows(test, Milliseconds(300));
  for (int i = first; i < first + count; ++i) {
    StartServer(test, ServerId(i));
  }
}

void StopInstance(WarmupWorld& test, InstanceAddress id) {
  test.world.down.insert(id);
}

void CutOff(WarmupWorld& test, const std::set<InstanceAddress>& group) {
  test.world.is_lost = [group](InstanceAddress from, InstanceAddress to) {
    return group.contains(from) != group.contains(to);
  };
}

void Reconnect(WarmupWorld& test) {
  test.world.is_lost = [](InstanceAddress, InstanceAddress) { return false; };
}

/// Leaves callers at one entry instance only, and restarts all servers, so that
/// this instance holds nearly all leases.
void LeaseToOneInstance(WarmupWorld& test) {
  for (auto& [id, rate] : test.flows_per_second) {
    rate = id == 101 ? 100 : 0;
  }
  RunWithFlows(test, Milliseconds(3000));
  RestartServers(test, 0, static_cast<int>(test.servers.size()));
  RunWithFlows(test, Milliseconds(1500));
}

/// A history in which the holder of the leases freezes, others take over, and
/// it wakes: breaks the limit when leases do not expire, or are spent after
/// waking.
void FreezeAndWake(WarmupWorld& test) {
  QueueForFrozen(test);
  LeaseToOneInstance(test);
  Freeze(test, 101);
  test.flows_per_second[102] = 100;
  RunWithFlows(test, Milliseconds(4000));
  Wake(test, 101);
  RunWithFlows(test, Milliseconds(2000));
}

/// A history in which the leader stops, and the holder of the leases is cut
/// off, while another entry instance has callers from then on: breaks the limit
/// when the next leader grants at once. Leases are longer than usual: it takes
/// about as long as the usual ones until the next leader is elected and its
/// address is known.
void StopLeader(WarmupWorld& test) {
  constexpr Milliseconds kLongLease{2500};
  for (auto& [id, entry] : test.world.entries) {
    entry.forwarder.placement.warmup.timing.lease = kLongLease;
  }
  for (auto& [id, control] : test.world.controls) {
    control.warmup.leases.timing.lease = kLongLease;
  }
  LeaseToOneInstance(test);
  StopInstance(test, FindLeader(test.world));
  CutOff(test, {101});
  test.flows_per_second[102] = 100;
  RunWithFlows(test, Milliseconds(5000));
}

/// A history in which an entry instance is cut off, and all servers restart
/// once it has noticed: breaks the limit when it sends its usual flows.
void RestartServersUnheard(WarmupWorld& test) {
  CutOff(test, {101});
  RunWithFlows(test, kContactLossTime);
  RestartServers(test, 0, static_cast<int>(test.servers.size()));
  RunWithFlows(test, Milliseconds(4000));
}

/// Orders that all data centres be evacuated, or ends it.
void OrderEvacuations(WarmupWorld& test, bool active) {
  for (int i = 0; i < 4; ++i) {
    EvacuationOrdered event{.call = test.world.next_call++};
    event.change.set_data_centre("dc" + std::to_string(i));
    event.change.set_active(active);
    event.change.set_requester("127.0.0.9");
    Apply(test.world, FindLeader(test.world), ControlInstanceEvent(event));
    RunWithFlows(test, Milliseconds(100));
  }
}

/// Returns all data centres from an evacuation while callers ask for twice the
/// limit of the servers. Checks the flows that the servers get.
void CheckCrowd(InstanceAddress entries, int servers) {
  WarmupWorld test = MakeWarmupWorld(5, entries, servers, 0);
  OrderEvacuations(test, true);
  const double total = 2.0 * kLimit * servers;
  const InstanceAddress busy = entries / 10;
  for (auto& [id, rate] : test.flows_per_second) {
    rate = total / 2 / (id < 101 + busy ? busy : entries - busy);
  }
  RunWithFlows(test, Milliseconds(500));
  for (auto& [id, server] : test.servers) {
    server.limited_from = test.world.now;
    server.limited_until = test.world.now + kWarmup;
  }
  CHECK_EQUAL(0U, test.placed);
  OrderEvacuations(test, false);
  constexpr int kSeconds = 6;
  RunWithFlows(test, Milliseconds(1000 * kSeconds));
  const double allowed = static_cast<double>(kLimit) * servers * kSeconds;
  CHECK_TRUE(static_cast<double>(CountLimitedFlows(test)) >=
             kMinUsedShare * allowed);
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  for (const auto& [id, entry] : test.world.entries) {
    CHECK_TRUE(
        CountLeasedFlows(entry.forwarder.placement.warmup, test.world.now) > 0);
  }
}

}  // namespace

TEST_GROUP(Warmup){};

// Guards against a server that is hit by its full share as soon as it starts.
TEST(Warmup, AStartedServerGetsTheLimitAtMostAndIsUsed) {
  WarmupWorld test = MakeWarmupWorld(3, 4, 4, 100);
  QueueForFrozen(test);
  RestartServers(test, 0, 2);
  RunWithFlows(test, kWarmup);
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  // Two servers, three flows a window of 1.2 s, for about 7 s.
  CHECK_TRUE(CountLimitedFlows(test) >= 24);
  CHECK_EQUAL(0U, test.refused);
  RunWithFlows(test, Milliseconds(3000));
  CHECK_TRUE(test.servers.at(ServerId(0)).arrivals.size() > 100);
  // No leases are asked for once nothing is cold.
  RunWithFlows(test, Milliseconds(1000));
  const std::uint64_t before = test.lease_messages;
  RunWithFlows(test, Milliseconds(2000));
  CHECK_EQUAL(before, test.lease_messages);
}

// Guards against a capacity told to admission control that changes with the
// leases of an instance, and against one that counts what nobody may use.
TEST(Warmup, CapacityFollowsTheLimitAndNotTheOwnLeases) {
  // 12 flows a second for 16 instances: some have no lease.
  WarmupWorld test = MakeWarmupWorld(3, 16, 4, 30);
  for (auto& [id, entry] : test.world.entries) {
    entry.forwarder.placement.config.balance_by_load = true;
  }
  RunWithFlows(test, Milliseconds(3000));
  RestartServers(test, 0, 4);
  RunWithFlows(test, Milliseconds(1000));
  double lowest = std::numeric_limits<double>::infinity();
  double highest = 0;
  bool without_lease = false;
  test.plant = [&](WarmupWorld& world) {
    for (const auto& [id, entry] : world.world.entries) {
      const double slots =
          entry.forwarder.admission.services[0].capacity.effective_slots;
      lowest = std::min(lowest, slots);
      highest = std::max(highest, slots);
      without_lease =
          without_lease || CountLeasedFlows(entry.forwarder.placement.warmup,
                                            world.world.now) == 0;
    }
  };
  test.flows_per_second[101] = 300;
  RunWithFlows(test, Milliseconds(3000));
  CHECK_TRUE(without_lease);
  CHECK_TRUE(lowest > 0);
  CHECK_TRUE(highest < 1.05 * lowest);
  // 4 servers, 3 flows of 40 ms in 1.2 s each.
  DOUBLES_EQUAL(4 * 3 * 0.04 / 1.2, highest, 0.05);
  StopInstance(test, FindLeader(test.world));
  RunWithFlows(test, Milliseconds(2500));
  DOUBLES_EQUAL(0, lowest, 0);
}

// Guards against admission control that decides by the capacity although
// balancing by load is off.
TEST(Warmup, WithoutBalancingNoCapacityIsTold) {
  WarmupWorld test = MakeWarmupWorld(3, 2, 4, 30);
  RestartServers(test, 0, 4);
  RunWithFlows(test, Milliseconds(2000));
  for (const auto& [id, entry] : test.world.entries) {
    const auto& services = entry.forwarder.admission.services;
    CHECK_TRUE(std::all_of(services.begin(), services.end(),
                           [](const ServiceMeasurements& measured) {
                             return measured.capacity.effective_slots == 0;
                           }));
  }
}

// Guards against messages and limits for services without a rate.
TEST(Warmup, WithoutALimitNothingIsLimitedOrSent) {
  WarmupWorld test = MakeWarmupWorld(3, 2, 2, 100, "warmup=8s warmup-rate=0.0");
  QueueForFrozen(test);
  RestartServers(test, 0, 2);
  RunWithFlows(test, Milliseconds(3000));
  CHECK_TRUE(MaxFlowsInASecond(test) > 20);
  CHECK_EQUAL(0U, test.lease_messages);
  CHECK_EQUAL(0U, test.world.entries.at(101).warmup.leader);
}

// Guards against a rate below one that allows nothing.
TEST(Warmup, ARateBelowOneAllowsOneFlowASecond) {
  WarmupWorld test = MakeWarmupWorld(3, 2, 2, 50, "warmup=8s warmup-rate=0.25");
  RestartServers(test, 0, 1);
  RunWithFlows(test, kWarmup);
  LONGS_EQUAL(1, MaxFlowsInASecond(test));
  CHECK_TRUE(CountLimitedFlows(test) >= 4);
}

// Guards against flows that wait or go to cold servers without a lease.
TEST(Warmup, OnlyColdServersWithoutBudgetResetNewFlows) {
  WarmupWorld test = MakeWarmupWorld(3, 2, 2, 100);
  RestartServers(test, 0, 2);
  RunWithFlows(test, kWarmup - Milliseconds(500));
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  CHECK_TRUE(test.refused > 1000);
  CHECK_TRUE(CountLimitedFlows(test) >= 20);
}

// Guards against an instance with few flows that never has a lease when one of
// its callers comes.
TEST(Warmup, InstancesWithFewFlowsKeepALease) {
  WarmupWorld test = MakeWarmupWorld(3, 6, 4, 0.4);
  RestartServers(test, 0, 4);
  RunWithFlows(test, Milliseconds(3000));
  test.refused = 0;
  test.placed = 0;
  RunWithFlows(test, kWarmup - Milliseconds(3500));
  CHECK_TRUE(test.placed > 4 * test.refused);
}

// Guards against leases by an equal share, of which an instance with many
// callers can't use more than one with few.
TEST(Warmup, HundredsOfColdServersAndUnevenDemand) {
  WarmupWorld test = MakeWarmupWorld(3, 8, 200, 0);
  for (InstanceAddress id = 101; id < 109; ++id) {
    test.flows_per_second[id] = 2;
  }
  test.flows_per_second[101] = 400;
  RestartServers(test, 0, 200);
  RunWithFlows(test, Milliseconds(4000));
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  test.refused = 0;
  test.placed = 0;
  RunWithFlows(test, Milliseconds(2000));
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  // Capacity is 200 servers by 3 flows by 1.2 s: 500 a second.
  CHECK_TRUE(test.placed > 9 * test.refused);
}

// Guards against leases that many instances and servers exceed, or leave
// unused. Half of the demand comes to a tenth of the instances. A lease of one
// flow allows one in 1.2 s, so at most 0.83 of the limit can be used.
TEST(Warmup, ManyInstancesUseAndKeepTheLimitOfHundredsOfColdServers) {
  CheckCrowd(76, 300);
  CheckCrowd(300, 400);
}

// Guards against an instance that starts or comes back and spends what its
// earlier life or another instance holds.
TEST(Warmup, InstancesThatStartAndStopKeepTheLimit) {
  WarmupWorld test = MakeWarmupWorld(3, 6, 4, 100);
  RestartServers(test, 0, 4);
  for (int i = 0; i < 7; ++i) {
    RunWithFlows(test, Milliseconds(500));
    const InstanceAddress id = 101 + static_cast<InstanceAddress>(i % 6);
    StopInstance(test, id);
    RunWithFlows(test, Milliseconds(50));
    StartEntry(test.world, id);
    RunWithFlows(test, Milliseconds(450));
  }
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  CHECK_TRUE(CountLimitedFlows(test) >= 30);
}

// Guards against an instance that does not know a warm-up as it started after
// the records were sent, or as the control instances restarted.
TEST(Warmup, AnInstanceThatStartsLaterKnowsWhatIsCold) {
  WarmupWorld test = MakeWarmupWorld(3, 3, 3, 100);
  RestartServers(test, 0, 3);
  RunWithFlows(test, Milliseconds(2000));
  for (const InstanceAddress id : {1U, 2U, 3U, 101U, 102U, 103U}) {
    StopInstance(test, id);
  }
  Run(test.world, Milliseconds(300));
  for (const InstanceAddress id : {1U, 2U, 3U}) {
    StartControl(test.world, id, false);
  }
  for (const InstanceAddress id : {101U, 102U, 103U}) {
    StartEntry(test.world, id);
  }
  RunWithFlows(test, Milliseconds(4000));
  CHECK_TRUE(IsReady(test.world.entries.at(101)));
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
}

TEST(Warmup, InstancesThatFreezeAndWakeKeepTheLimit) {
  WarmupWorld test = MakeWarmupWorld(3, 3, 2, 100);
  FreezeAndWake(test);
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  CHECK_TRUE(CountLimitedFlows(test) >= 12);
}

// Guards against an instance that goes on with its lease when it reaches no
// control instance.
TEST(Warmup, InstancesThatAreCutOffKeepTheLimit) {
  WarmupWorld test = MakeWarmupWorld(3, 4, 4, 100);
  RestartServers(test, 0, 2);
  RunWithFlows(test, Milliseconds(1500));
  CutOff(test, {101, 102});
  RunWithFlows(test, Milliseconds(3500));
  Reconnect(test);
  RunWithFlows(test, Milliseconds(2500));
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  CHECK_TRUE(CountLimitedFlows(test) >= 20);
}

// Guards against an instance that sends its usual flows to a server of whose
// start it can't hear.
TEST(Warmup, AnInstanceOutOfContactAddsOneFlowToTheLimit) {
  WarmupWorld test = MakeWarmupWorld(3, 3, 2, 40);
  RestartServersUnheard(test);
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit + 1);
  CHECK_TRUE(CountLimitedFlows(test) >= 12);
}

// Guards against refusals by an instance out of contact at the usual load, and
// against a limit on services that have no rate.
TEST(Warmup, AnInstanceOutOfContactServesItsCallers) {
  for (const bool limited : {true, false}) {
    WarmupWorld test = MakeWarmupWorld(3, 3, 20, limited ? 10 : 200,
                                       limited ? kLimitOptions : "warmup=8s");
    CutOff(test, {101, 102, 103});
    RunWithFlows(test, Milliseconds(5000));
    CHECK_EQUAL(0U, test.refused);
    Reconnect(test);
    RunWithFlows(test, Milliseconds(1500));
    for (auto& [id, rate] : test.flows_per_second) {
      rate = 200;
    }
    RunWithFlows(test, Milliseconds(1000));
    CHECK_EQUAL(0U, test.refused);
  }
}

// Guards against a control instance that restarts and passes nothing on until
// the others ask it in their turn, up to a second later.
TEST(Warmup, AControlInstanceThatRestartedPassesStartsOnAtOnce) {
  for (int wait_ms = 0; wait_ms < 1000; wait_ms += 95) {
    WarmupWorld test = MakeWarmupWorld(5, 5, 5, 1);
    RunWithFlows(test, Milliseconds(wait_ms));
    StopInstance(test, 3);
    for (auto& [id, server] : test.servers) {
      server.running = false;
    }
    RunWithFlows(test, Milliseconds(600));
    StartControl(test.world, 3, false);
    while (!test.world.controls.at(3).in_sync) {
      Run(test.world, kStep);
    }
    for (int i = 0; i < 5; ++i) {
      StartServer(test, ServerId(i));
    }
    Run(test.world, Milliseconds(60));
    for (const auto& [id, entry] : test.world.entries) {
      for (const PlacedServer& server : entry.forwarder.placement.servers) {
        CHECK_EQUAL(test.servers.at(server.id).incarnation, server.incarnation);
      }
    }
  }
}

// Guards against a new leader that leases what the old one has leased.
TEST(Warmup, ANewLeaderWaitsForTheLeasesOfTheOldOne) {
  WarmupWorld test = MakeWarmupWorld(3, 4, 2, 100);
  StopLeader(test);
  CHECK_TRUE(FindLeader(test.world) != 0);
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  const std::size_t before = CountLimitedFlows(test);
  RunWithFlows(test, Milliseconds(1000));
  CHECK_TRUE(CountLimitedFlows(test) > before);
}

// Guards against two leaders that lease the same limit to the instances on
// their sides.
TEST(Warmup, APartitionOfTheControlInstancesKeepsTheLimit) {
  WarmupWorld test = MakeWarmupWorld(5, 4, 4, 100);
  RestartServers(test, 0, 4);
  RunWithFlows(test, Milliseconds(1500));
  const InstanceAddress leader = FindLeader(test.world);
  const InstanceAddress other = leader == 1 ? 2 : 1;
  CutOff(test, {leader, other, 101, 102});
  RunWithFlows(test, Milliseconds(4000));
  Reconnect(test);
  RunWithFlows(test, Milliseconds(2000));
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  CHECK_TRUE(CountLimitedFlows(test) >= 20);
}

// Guards against a data centre whose servers are hit by all when its evacuation
// ends, also through instances that start afterwards.
TEST(Warmup, ServersOfAReturnedDataCentreAreCold) {
  WarmupWorld test = MakeWarmupWorld(3, 3, 8, 600);
  const std::string returned = "dc1";
  for (auto& [id, instance] : test.world.controls) {
    // As after an evacuation: the servers had no flows.
    instance.warmup.evacuated.insert(returned);
  }
  for (auto& [id, server] : test.servers) {
    if (server.data_centre == returned) {
      server.limited_from = test.world.now + kAnnouncementTime;
      server.limited_until = test.world.now + kWarmup;
    }
  }
  // A commit shows all control instances that it is not evacuated any more.
  SubmitRules(test, kLimitOptions);
  RunWithFlows(test, Milliseconds(2000));
  StopInstance(test, 103);
  StartEntry(test.world, 103);
  RunWithFlows(test, Milliseconds(3000));
  CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit);
  CHECK_TRUE(CountLimitedFlows(test) >= 10);
}

TEST(Warmup, ADataCentreThatReturnedHereIsCold) {
  WarmupWorld test = MakeWarmupWorld(3, 1, 2, 10);
  Placement& placement = test.world.entries.at(101).forwarder.placement;
  for (PlacedDataCentre& data_centre : placement.data_centres) {
    data_centre.returned_at = test.world.now;
  }
  RunWithFlows(test, Milliseconds(1000));
  CHECK_TRUE(test.refused > 5);
  RunWithFlows(test, kWarmup - Milliseconds(1000));
  test.refused = 0;
  RunWithFlows(test, Milliseconds(1000));
  CHECK_EQUAL(0U, test.refused);
}

// Guards against an update that lacks a change, or states none, and is taken
// for the whole view.
TEST(Warmup, OnlyACompleteUpdateConfirmsTheServers) {
  const TimePoint now{std::chrono::hours(1)};
  const RegistryPosition position{.epoch = 7, .change = 20};
  const auto is_confirmed = [&](std::uint64_t epoch, std::uint64_t change,
                                bool partial) {
    wire::Update update;
    update.set_registry_epoch(epoch);
    update.set_registry_change(change);
    update.set_partial(partial);
    WarmupBudget budget{.confirmed_until = TimePoint()};
    RecordLastFlow(budget, 3, now);
    ConfirmServers(budget, position, update, now + Milliseconds(400), now);
    return MayBeSentFlow(budget, 3, now);
  };
  CHECK_TRUE(is_confirmed(7, 20, false));
  CHECK_FALSE(is_confirmed(0, 0, false));
  CHECK_FALSE(is_confirmed(6, 20, false));
  CHECK_FALSE(is_confirmed(7, 21, false));
  CHECK_FALSE(is_confirmed(7, 20, true));
}

// Guards against grants that are damaged, or were meant for an earlier life of
// the instance.
TEST(Warmup, GrantsWithOddTimesOrOfAnEarlierLifeAreIgnored) {
  WarmupRequester requester;
  Placement placement;
  const TimePoint now{std::chrono::hours(1)};
  wire::ServerRecord record;
  record.set_id("1");
  record.set_incarnation(5);
  UpdateServer(placement, record, now);
  const std::int64_t now_us = 3'600'000'000;
  const auto apply = [&](std::int64_t echoed_us, std::uint64_t incarnation) {
    wire::WarmupGrant grant;
    grant.set_incarnation(incarnation);
    grant.set_echoed_us(echoed_us);
    wire::WarmupLease& lease = *grant.add_leases();
    lease.set_server("1");
    lease.set_incarnation(5);
    lease.set_flows_per_second(3);
    grant.add_leases()->set_server("unknown");
    HandleWarmupGrant(requester, placement, 7, grant, now);
    return CountLeasedFlows(placement.warmup, now);
  };
  for (const std::int64_t odd : {std::numeric_limits<std::int64_t>::min(),
                                 std::int64_t{-1}, std::int64_t{0}, now_us + 1,
                                 std::numeric_limits<std::int64_t>::max()}) {
    CHECK_EQUAL(0U, apply(odd, 7));
  }
  CHECK_EQUAL(0U, apply(now_us, 6));
  CHECK_EQUAL(3U, apply(now_us, 7));
}

// Guards against combinations of the failures above. An instance that is cut
// off adds one flow, and so does one that starts and first hears the control
// instance that was cut off with it.
TEST(Warmup, RandomHistoriesKeepTheLimit) {
  for (std::uint32_t seed = 1; seed <= 6; ++seed) {
    WarmupWorld test = MakeWarmupWorld(5, 5, 6, 60);
    QueueForFrozen(test);
    test.random.seed(seed);
    const auto draw = [&](std::uint32_t limit) {
      return static_cast<std::uint32_t>(test.random() % limit);
    };
    bool cut = false;
    TimePoint cut_at;
    std::size_t restarts_while_cut = 0;
    for (int step = 0; step < 25; ++step) {
      const InstanceAddress entry = 101 + draw(5);
      const InstanceAddress control = 1 + draw(5);
      switch (draw(7)) {
        case 0:
          // Nothing is cut off before all know that a server has started, and
          // nothing starts before an instance knows that it is cut off.
          if (!cut || test.world.now - cut_at >= kContactLossTime) {
            restarts_while_cut += cut ? 1 : 0;
            RestartServers(test, static_cast<int>(draw(5)), 2);
            RunWithFlows(test, kAnnouncementTime);
          }
          break;
        case 1:
          if (!test.frozen.contains(entry)) {
            StopInstance(test, entry);
            StartEntry(test.world, entry);
          }
          break;
        case 2:
          if (!cut) {
            Freeze(test, entry);
          }
          break;
        case 3:
          while (!test.frozen.empty()) {
            Wake(test, *test.frozen.begin());
          }
          break;
        case 4:
          if (test.frozen.empty()) {
            CutOff(test, {entry, control});
            cut = true;
            cut_at = test.world.now;
          }
          break;
        case 5:
          Reconnect(test);
          // Time for all to hear what they have missed.
          RunWithFlows(test, cut ? Milliseconds(1500) : Milliseconds(0));
          cut = false;
          break;
        default:
          StopInstance(test, control);
          RunWithFlows(test, Milliseconds(100 + draw(1500)));
          StartControl(test.world, control, false);
          break;
      }
      RunWithFlows(test, Milliseconds(draw(700)));
    }
    const std::size_t unheard = restarts_while_cut > 0 ? 2 : 0;
    CHECK_TRUE(MaxFlowsInASecond(test) <= kLimit + unheard);
  }
}

// The tests below plant a fault and show that the counts at the servers report
// it; without the fault the same history keeps the limit (see above).

TEST(Warmup, PlantedLeasesWithoutExpiryAreReported) {
  WarmupWorld test = MakeWarmupWorld(3, 3, 2, 100);
  for (auto& [id, entry] : test.world.entries) {
    entry.forwarder.placement.warmup.timing.lease = std::chrono::hours(1);
  }
  FreezeAndWake(test);
  CHECK_TRUE(MaxFlowsInASecond(test) > kLimit);
}

TEST(Warmup, PlantedWindowThatDoesNotSlideIsReported) {
  WarmupWorld test = MakeWarmupWorld(3, 4, 4, 100);
  test.plant = [](WarmupWorld& world) {
    const auto since_start = world.world.now.time_since_epoch();
    if (since_start % std::chrono::seconds(1) < kStep) {
      for (auto& [id, entry] : world.world.entries) {
        for (auto& [index, server] : entry.forwarder.placement.warmup.servers) {
          server.sent.clear();
        }
      }
    }
  };
  RestartServers(test, 0, 2);
  RunWithFlows(test, kWarmup);
  CHECK_TRUE(MaxFlowsInASecond(test) > kLimit);
}

TEST(Warmup, PlantedInstanceThatSpendsItsOldGrantAfterWakingIsReported) {
  WarmupWorld test = MakeWarmupWorld(3, 3, 2, 100);
  test.plant = [](WarmupWorld& world) {
    // As if the clock stood still while the instance is suspended.
    for (const InstanceAddress id : world.frozen) {
      for (auto& [index, server] :
           world.world.entries.at(id).forwarder.placement.warmup.servers) {
        server.requested_at += kStep;
      }
    }
  };
  FreezeAndWake(test);
  CHECK_TRUE(MaxFlowsInASecond(test) > kLimit);
}

TEST(Warmup, PlantedInstanceThatTrustsAnOldViewIsReported) {
  WarmupWorld test = MakeWarmupWorld(3, 3, 2, 40);
  test.plant = [](WarmupWorld& world) {
    for (auto& [id, entry] : world.world.entries) {
      entry.forwarder.placement.warmup.confirmed_until = TimePoint::max();
    }
  };
  RestartServersUnheard(test);
  CHECK_TRUE(MaxFlowsInASecond(test) > kLimit + 1);
}

TEST(Warmup, PlantedLeaderThatHoldsNoLeaseIsReported) {
  WarmupWorld test = MakeWarmupWorld(3, 4, 4, 100);
  for (auto& [id, control] : test.world.controls) {
    control.warmup.leases.timing.lease = Milliseconds(0);
    control.warmup.leases.timing.hold = Milliseconds(0);
  }
  RestartServers(test, 0, 2);
  RunWithFlows(test, kWarmup);
  CHECK_TRUE(MaxFlowsInASecond(test) > kLimit);
}

TEST(Warmup, PlantedLeaderThatDoesNotWaitIsReported) {
  WarmupWorld test = MakeWarmupWorld(3, 4, 2, 100);
  test.plant = [](WarmupWorld& world) {
    for (auto& [id, control] : world.world.controls) {
      if (control.replica.role == ReplicaRole::kLeader) {
        control.replica.elected_at =
            std::min(control.replica.elected_at,
                     world.world.now - std::chrono::seconds(10));
      }
    }
  };
  StopLeader(test);
  CHECK_TRUE(MaxFlowsInASecond(test) > kLimit);
}
