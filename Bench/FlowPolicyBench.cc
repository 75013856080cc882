#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "Base/Hash.h"
#include "Bench/BenchPacket.h"

/// Compares broken flows and load imbalance of several placement policies.
///
/// The flow reducers of several instances exchange datagrams directly. Updates
/// reach each instance at a different time.
namespace filbertwall::bench {
namespace {

/// Instances have the ids 1 to 8; the slot of id 0 stays unused.
constexpr std::uint32_t kInstances = 9;

/// The policies compared in docs/design/0005-flows.md.
enum class Policy { kRendezvousOnly, kLocalTable, kOwner, kOwnerBalance };

struct Case {
  std::string name;
  bool replace_backends = false;
  bool restart_instances = false;
  bool kill_two = false;
  bool cut = false;
};

struct World {
  Policy policy = Policy::kOwner;
  std::mt19937_64 random;
  Rules rules;
  std::vector<FlowTier> tiers;
  std::vector<Directory> directories;
  std::vector<std::set<std::uint32_t>> silent;
  std::vector<std::function<void(std::uint32_t)>> updates;  ///< Per instance.
  std::vector<std::vector<std::size_t>> updates_due;
  std::set<std::uint32_t> down;
  TimePoint now{std::chrono::hours(1)};
  Endpoint reached;  ///< Destination of the last packet.
};

Endpoint AddressOf(std::uint32_t instance) {
  return {.ip = 0x7F000000 + instance, .port = 6081};
}

FlowTier FreshTier(std::uint32_t instance, bool with_peers) {
  FlowTier tier{.self = instance};
  for (std::uint32_t other = 1; with_peers && other < kInstances; ++other) {
    if (other != instance) {
      tier.packet_addresses[other] = AddressOf(other);
      tier.instances[AddressOf(other)] = other;
    }
  }
  return tier;
}

World MakeWorld(Policy policy, std::uint32_t backends, std::uint64_t seed) {
  World world{.policy = policy, .random = std::mt19937_64(seed)};
  world.rules =
      MakeRules(policy == Policy::kOwnerBalance ? Preference::kBalance
                                                : Preference::kStability);
  const bool owners =
      policy == Policy::kOwner || policy == Policy::kOwnerBalance;
  world.down.insert(0);
  for (std::uint32_t i = 0; i < kInstances; ++i) {
    world.tiers.push_back(FreshTier(i, owners));
    world.directories.emplace_back();
    world.silent.emplace_back();
    world.updates_due.emplace_back();
    for (std::uint32_t b = 0; b < backends; ++b) {
      Announce(world.directories[i], b, wire::READY, 1, world.now);
    }
  }
  return world;
}

FlowEnvironment EnvironmentOf(World& world, std::uint32_t instance) {
  return {.rules = world.rules,
          .directory = world.directories[instance],
          .silent = world.silent[instance],
          .now = world.now};
}

void Deliver(World& world, std::uint32_t instance,
             std::vector<std::uint8_t> bytes, const Endpoint& from);

void CarryOut(World& world, std::uint32_t instance, const FlowEffects& effects,
              const std::vector<std::uint8_t>& packet) {
  const auto send = [&](const Endpoint& to,
                        const std::vector<std::uint8_t>& bytes) {
    const std::uint32_t other = to.ip - 0x7F000000;
    if (other >= kInstances) {
      world.reached = to;
    } else if (!world.down.contains(other)) {
      Deliver(world, other, bytes, AddressOf(instance));
    }
  };
  for (const ForwardedPacket& forwarded : effects.forwarded) {
    send(forwarded.to, packet);
  }
  for (const FlowDatagram& datagram : effects.datagrams) {
    send(datagram.to, datagram.bytes);
  }
}

void Deliver(World& world, std::uint32_t instance,
             std::vector<std::uint8_t> bytes, const Endpoint& from) {
  if (world.policy == Policy::kRendezvousOnly) {
    world.tiers[instance] = FreshTier(instance, false);
  }
  PacketsArrived event;
  event.datagrams.push_back({.bytes = bytes, .from = from});
  CarryOut(world, instance,
           Reduce(world.tiers[instance], event, EnvironmentOf(world, instance)),
           bytes);
}

/// Sends a packet to a random running instance, as the network fabric would.
/// Returns the server reached, or an empty endpoint if there was none.
Endpoint Spray(World& world, std::uint32_t flow, std::uint8_t flags) {
  std::uint32_t instance = 0;
  do {
    instance = static_cast<std::uint32_t>(world.random() % kInstances);
  } while (world.down.contains(instance));
  // Each pending update is delayed by a random number of packets.
  auto& due = world.updates_due[instance];
  while (!due.empty() && world.random() % 20 == 0) {
    world.updates[due.front()](instance);
    due.erase(due.begin());
  }
  world.reached = {};
  Deliver(world, instance, MakePacket(flow, flags), {});
  // The packet may be waiting for replies that never arrive.
  if (world.reached.port == 0) {
    world.now += Milliseconds(200);
    CarryOut(world, instance,
             Reduce(world.tiers[instance], FlowTick{},
                    EnvironmentOf(world, instance)),
             {});
    for (std::uint32_t other = 0; other < kInstances; ++other) {
      if (!world.down.contains(other)) {
        CarryOut(
            world, other,
            Reduce(world.tiers[other], FlowTick{}, EnvironmentOf(world, other)),
            {});
      }
    }
  }
  return world.reached;
}

void Update(World& world, std::function<void(std::uint32_t)> change) {
  world.updates.push_back(std::move(change));
  for (std::uint32_t i = 0; i < kInstances; ++i) {
    world.updates_due[i].push_back(world.updates.size() - 1);
  }
}

void Flush(World& world) {
  for (std::uint32_t i = 0; i < kInstances; ++i) {
    for (const std::size_t update : world.updates_due[i]) {
      world.updates[update](i);
    }
    world.updates_due[i].clear();
  }
}

void ReplaceBackend(World& world, std::uint32_t old_number,
                    std::uint32_t new_number) {
  Update(world, [&world, old_number, new_number](std::uint32_t instance) {
    Directory& directory = world.directories[instance];
    Announce(directory, new_number, wire::READY, 1, world.now);
    Announce(directory, old_number, wire::DRAINING, 2, world.now);
  });
}

void SetSilent(World& world, std::uint32_t instance, bool is_silent) {
  Update(world, [&world, instance, is_silent](std::uint32_t observer) {
    if (observer == instance) {
      return;
    }
    if (is_silent) {
      world.silent[observer].insert(instance);
    } else {
      world.silent[observer].erase(instance);
    }
  });
}

void Stop(World& world, std::uint32_t instance, bool graceful) {
  if (graceful) {
    SetSilent(world, instance, true);
    Flush(world);
    CarryOut(world, instance,
             Reduce(world.tiers[instance], FlowHandover{},
                    EnvironmentOf(world, instance)),
             {});
  }
  world.down.insert(instance);
  const bool owners = !world.tiers[instance].packet_addresses.empty();
  world.tiers[instance] = FreshTier(instance, owners);
  if (!graceful) {
    SetSilent(world, instance, true);
    Flush(world);
  }
}

void StartAgain(World& world, std::uint32_t instance) {
  world.down.erase(instance);
  SetSilent(world, instance, false);
}

struct Result {
  double broken_per_100k = 0;
  double max_over_mean = 0;
};

struct Flows {
  std::vector<Endpoint> places;
  std::vector<bool> broken;
};

void OpenFlows(World& world, Flows& flows, std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto flow = static_cast<std::uint32_t>(flows.places.size());
    flows.places.push_back(Spray(world, flow, kSyn));
    flows.broken.push_back(false);
  }
}

void SendOnAll(World& world, Flows& flows) {
  for (std::uint32_t flow = 0; flow < flows.places.size(); ++flow) {
    if (Spray(world, flow, kAck) != flows.places[flow]) {
      flows.broken[flow] = true;
    }
  }
}

Result RunCase(Policy policy, const Case& chosen, std::uint32_t backends,
               std::uint32_t flows_per_backend, std::uint64_t seed) {
  World world = MakeWorld(policy, backends, seed);
  Flows flows;
  OpenFlows(world, flows, backends * flows_per_backend);
  SendOnAll(world, flows);
  std::map<Endpoint, std::uint32_t> held;
  for (const Endpoint& place : flows.places) {
    held[place] += 1;
  }
  std::uint32_t most = 0;
  for (const auto& [place, count] : held) {
    most = std::max(most, count);
  }
  const std::uint32_t rounds = std::max(backends, kInstances);
  for (std::uint32_t round = 0; round < rounds; ++round) {
    if (chosen.replace_backends && round < backends) {
      ReplaceBackend(world, round, 1000 + round);
    }
    if (chosen.restart_instances && round + 1 < kInstances) {
      Stop(world, round + 1, true);
      SendOnAll(world, flows);
      StartAgain(world, round + 1);
    }
    if (chosen.kill_two && (round == 1 || round == 3)) {
      Stop(world, round, false);
    }
    if (chosen.cut && round == 0) {
      for (std::uint32_t i = 1; i <= 2; ++i) {
        world.down.insert(i);
        SetSilent(world, i, true);
      }
      Flush(world);
    }
    SendOnAll(world, flows);
  }
  const auto broken = static_cast<double>(
      std::count(flows.broken.begin(), flows.broken.end(), true));
  const auto all = static_cast<double>(flows.places.size());
  return {.broken_per_100k = broken * 100000 / all,
          .max_over_mean =
              static_cast<double>(most) * static_cast<double>(backends) / all};
}

void PrintUser(const char* user, std::uint32_t backends) {
  const std::vector<Case> cases = {
      {.name = "steady"},
      {.name = "replace-servers", .replace_backends = true},
      {.name = "restart-instances", .restart_instances = true},
      {.name = "both-at-once",
       .replace_backends = true,
       .restart_instances = true},
      {.name = "two-kills", .kill_two = true},
      {.name = "cut-of-two", .cut = true}};
  const std::vector<std::pair<Policy, const char*>> policies = {
      {Policy::kRendezvousOnly, "rendezvous-only"},
      {Policy::kLocalTable, "local-table"},
      {Policy::kOwner, "owner"},
      {Policy::kOwnerBalance, "owner-balance"}};
  constexpr std::uint32_t kFlowsPerBackend = 500;
  constexpr std::uint64_t kSeeds = 3;
  for (const Case& chosen : cases) {
    for (const auto& [policy, name] : policies) {
      std::vector<double> broken;
      std::vector<double> imbalance;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Result result =
            RunCase(policy, chosen, backends, kFlowsPerBackend, seed);
        broken.push_back(result.broken_per_100k);
        imbalance.push_back(result.max_over_mean);
      }
      std::sort(broken.begin(), broken.end());
      std::sort(imbalance.begin(), imbalance.end());
      std::printf("%s,%u,%s,%s,%.0f,%.0f,%.0f,%.3f\n", user, backends,
                  chosen.name.c_str(), name, broken[1], broken[0], broken[2],
                  imbalance[1]);
    }
  }
}

}  // namespace
}  // namespace filbertwall::bench

int main() {
  std::printf(
      "user,servers,case,policy,broken_median_per_100k,broken_least,"
      "broken_most,max_over_mean_median\n");
  filbertwall::bench::PrintUser("tetradka-catalogue", 14);
  filbertwall::bench::PrintUser("tetradka-proof", 4);
  return 0;
}
