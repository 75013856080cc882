#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Control/Replica.h"

/// Replicas, their disks and the packets between them, for tests of histories.
namespace filbertwall {

struct Packet {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  wire::ControlMessage message;
};

struct Faults {
  bool forget_promises = false;  ///< Planted: votes kept in memory only.
  bool blank_keeps_incarnation = false;  ///< Planted: a lost disk still votes.
};

/// A few replicas, their disks, and the packets between them.
struct Group {
  std::mt19937_64 random;
  Faults faults;
  TimePoint now{std::chrono::hours(1)};
  std::map<std::uint32_t, Replica> replicas;
  std::map<std::uint32_t, std::vector<wire::DurableRecord>> disks;
  std::vector<Packet> network;
  std::set<std::uint32_t> down;
  std::set<std::uint32_t> cut_off;               ///< Run, but no packet passes.
  std::map<std::uint64_t, std::string> decided;  ///< seq -> change.
  std::map<std::uint64_t, wire::RulesFile> submitted;  ///< token -> file.
  std::map<std::uint64_t, std::string> accepted;       ///< version -> digest.
  std::vector<wire::RulesFile> refused;
  std::string violation;
  std::uint64_t next_token = 1;
  std::uint64_t next_incarnation = 100;
  bool open_membership = false;  ///< As in a fleet.
  std::set<std::uint32_t> founders;
  std::set<std::uint32_t> replaced;  ///< Gone for good.
};

inline std::uint64_t Below(Group& group, std::uint64_t limit) {
  return group.random() % limit;
}

inline std::uint32_t RandomInstance(Group& group) {
  auto item = group.replicas.begin();
  std::advance(
      item, static_cast<std::ptrdiff_t>(Below(group, group.replicas.size())));
  return item->first;
}

inline void Violate(Group& group, const std::string& what) {
  if (group.violation.empty()) {
    group.violation = what;
  }
}

/// Each committed version is the same everywhere and for ever.
inline void CheckState(Group& group, const Replica& replica) {
  for (const wire::VersionRecord& record : replica.committed.history()) {
    const auto [item, added] =
        group.decided.emplace(record.version(), record.digest());
    if (!added && item->second != record.digest()) {
      Violate(group,
              "version " + std::to_string(record.version()) + " has two texts");
    }
  }
}

inline void TakeVerdict(Group& group, const ControlVerdict& verdict) {
  const auto file = group.submitted.find(verdict.token);
  if (file == group.submitted.end()) {
    return;
  }
  if (verdict.verdict == wire::ACCEPTED) {
    group.accepted[file->second.version()] = file->second.digest();
  }
  if (verdict.verdict == wire::REFUSED) {
    group.refused.push_back(file->second);
  }
}

inline void Apply(Group& group, std::uint32_t id, const ControlEvent& event) {
  Replica& replica = group.replicas.at(id);
  for (const ControlEffect& effect : Reduce(replica, event, group.now)) {
    if (const auto* send = std::get_if<ControlSend>(&effect)) {
      group.network.push_back(
          Packet{.from = id, .to = send->to, .message = send->message});
    } else if (const auto* persist = std::get_if<ControlPersist>(&effect)) {
      group.disks[id].push_back(persist->record);
    } else if (const auto* verdict = std::get_if<ControlVerdict>(&effect)) {
      TakeVerdict(group, *verdict);
    }
  }
  CheckState(group, replica);
}

inline void Boot(Group& group, std::uint32_t id) {
  Replica replica;
  replica.config.self = id;
  for (const auto& [other, disk] : group.disks) {
    replica.config.control_instances.insert(other);
  }
  if (group.open_membership) {
    replica.config.open_membership = true;
    replica.config.lease = Milliseconds(600);
    replica.config.restart_wait = Milliseconds(250);
    replica.config.election_spread = Milliseconds(250);
  }
  for (wire::DurableRecord record : group.disks[id]) {
    if (group.faults.forget_promises) {
      record.clear_promised();
    }
    Restore(replica, record);
  }
  group.replicas[id] = replica;
  group.down.erase(id);
  Apply(group, id, ControlStarted{});
}

inline wire::DurableRecord BlankRecord(Group& group) {
  wire::DurableRecord record;
  record.set_incarnation(group.next_incarnation++);
  return record;
}

inline void LoseDisk(Group& group, std::uint32_t id) {
  const std::uint64_t incarnation = group.replicas.at(id).incarnation;
  const std::uint64_t cluster = 7;
  wire::DurableRecord record = BlankRecord(group);
  if (group.faults.blank_keeps_incarnation) {
    record.set_incarnation(incarnation);
    record.mutable_state()->set_cluster(cluster);
    *record.mutable_state()->mutable_members() =
        group.replicas.at(id).committed.members();
  }
  group.disks[id] = {record};
  Boot(group, id);
}

inline Group MakeGroup(std::uint64_t seed, std::uint32_t size,
                       Faults faults = {}) {
  Group group{.random = std::mt19937_64(seed), .faults = faults};
  for (std::uint32_t id = 1; id <= size; ++id) {
    group.disks[id] = {};
  }
  group.disks[1] = {FormatRecord(1, 50, 7)};
  for (std::uint32_t id = 2; id <= size; ++id) {
    group.disks[id] = {BlankRecord(group)};
  }
  for (std::uint32_t id = 1; id <= size; ++id) {
    Boot(group, id);
  }
  return group;
}

/// Founders start in the order of their ids reversed; the others join.
inline Group MakeFleet(std::uint64_t seed, std::uint32_t founders,
                       std::uint32_t size) {
  Group group{.random = std::mt19937_64(seed), .open_membership = true};
  for (std::uint32_t id = 1; id <= founders; ++id) {
    group.founders.insert(id);
  }
  for (std::uint32_t id = 1; id <= size; ++id) {
    group.disks[id] = {group.founders.contains(id)
                           ? FoundingRecord(id, group.founders)
                           : BlankRecord(group)};
  }
  for (std::uint32_t id = size; id >= 1; --id) {
    Boot(group, id);
  }
  return group;
}

/// `id` is gone for good; an empty one comes under the next id.
inline std::uint32_t ReplaceInstance(Group& group, std::uint32_t id) {
  group.replicas.erase(id);
  group.down.erase(id);
  group.replaced.insert(id);
  const std::uint32_t fresh = group.disks.rbegin()->first + 1;
  group.disks[fresh] = {BlankRecord(group)};
  Boot(group, fresh);
  return fresh;
}

inline void Deliver(Group& group, std::size_t index) {
  const Packet packet = group.network[index];
  group.network.erase(group.network.begin() +
                      static_cast<std::ptrdiff_t>(index));
  const bool passes = !group.cut_off.contains(packet.from) &&
                      !group.cut_off.contains(packet.to);
  if (passes && !group.down.contains(packet.to) &&
      group.replicas.contains(packet.to)) {
    Apply(group, packet.to,
          ControlReceived{.from = packet.from, .message = packet.message});
  }
}

inline void Tick(Group& group, Milliseconds step) {
  group.now += step;
  for (const auto& [id, replica] : std::map(group.replicas)) {
    if (!group.down.contains(id)) {
      Apply(group, id, ControlTick{});
    }
  }
}

/// Lets time pass; every packet that may pass arrives at once.
inline void PassTime(Group& group, Milliseconds time) {
  constexpr Milliseconds kStep{20};
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    Tick(group, kStep);
    while (!group.network.empty()) {
      Deliver(group, 0);
    }
  }
}

/// Lets time pass without faults until nothing more happens.
inline void Settle(Group& group) {
  for (std::uint32_t id : std::set(group.down)) {
    Boot(group, id);
  }
  PassTime(group, Milliseconds(8000));
}

inline void Submit(Group& group, std::uint32_t id, std::uint64_t version,
                   const std::string& digest) {
  const std::uint64_t token = group.next_token++;
  ControlSubmitted event{.token = token};
  wire::RulesFile& file = *event.change.mutable_rules();
  file.set_version(version);
  file.set_digest(digest);
  file.set_submitter("operator " + digest);
  group.submitted[token] = file;
  Apply(group, id, event);
}

inline std::uint64_t HighestVersion(const Group& group) {
  std::uint64_t highest = 0;
  for (const auto& [id, replica] : group.replicas) {
    highest = std::max(highest, replica.committed.rules().version());
  }
  return highest;
}

inline void SubmitRandom(Group& group) {
  const auto id = RandomInstance(group);
  if (!group.down.contains(id)) {
    Submit(group, id, HighestVersion(group) + Below(group, 2),
           std::string(1, static_cast<char>('a' + Below(group, 4))));
  }
}

/// One random step. At most one disk is lost while the group is not settled.
inline void Step(Group& group, int& disks_to_lose) {
  const std::uint64_t choice = Below(group, 1000);
  const auto id = RandomInstance(group);
  if (choice < 600 && !group.network.empty()) {
    Deliver(group, Below(group, group.network.size()));
  } else if (choice < 650 && !group.network.empty()) {
    group.network.erase(
        group.network.begin() +
        static_cast<std::ptrdiff_t>(Below(group, group.network.size())));
  } else if (choice < 700 && !group.network.empty()) {
    const std::size_t index = Below(group, group.network.size());
    group.network.push_back(Packet(group.network[index]));
  } else if (choice < 880) {
    Tick(group, Milliseconds(1 + Below(group, 120)));
  } else if (choice < 960) {
    SubmitRandom(group);
  } else if (choice < 975) {
    group.down.insert(id);
  } else if (choice < 995) {
    Boot(group, id);
  } else if (disks_to_lose > 0) {
    disks_to_lose -= 1;
    LoseDisk(group, id);
  }
}

inline void CheckVerdicts(Group& group) {
  for (const auto& [version, digest] : group.accepted) {
    const auto decided = group.decided.find(version);
    if (decided == group.decided.end() || decided->second != digest) {
      Violate(group, "accepted version " + std::to_string(version) +
                         " is not in force");
    }
  }
  for (const wire::RulesFile& file : group.refused) {
    const auto decided = group.decided.find(file.version());
    if (decided != group.decided.end() && decided->second == file.digest()) {
      Violate(group, "refused version " + std::to_string(file.version()) +
                         " is in force");
    }
  }
}

/// Whether all replicas hold the same newest state, with all accepted files.
inline void CheckConverged(Group& group) {
  const std::uint64_t highest = HighestVersion(group);
  for (const auto& [id, replica] : group.replicas) {
    if (replica.committed.rules().version() != highest) {
      Violate(group, "instance " + std::to_string(id) + " stays behind");
    }
  }
  for (const auto& [version, digest] : group.accepted) {
    if (version > highest) {
      Violate(group,
              "accepted version " + std::to_string(version) + " was lost");
    }
  }
}

/// Runs one random history and gives the violation found, if any.
inline std::string Explore(std::uint64_t seed, std::uint32_t size, int steps,
                           Faults faults = {}) {
  Group group = MakeGroup(seed, size, faults);
  Settle(group);
  const int rounds = 4;
  for (int round = 0; round < rounds && group.violation.empty(); ++round) {
    int disks_to_lose = size >= 3 ? 1 : 0;
    for (int step = 0; step < steps / rounds; ++step) {
      Step(group, disks_to_lose);
    }
    Settle(group);
    CheckVerdicts(group);
    CheckConverged(group);
  }
  if (group.violation.empty()) {
    return "";
  }
  return "seed " + std::to_string(seed) + ": " + group.violation;
}

inline std::string ExploreMany(std::uint64_t first_seed, int runs,
                               Faults faults) {
  for (int run = 0; run < runs; ++run) {
    const std::uint64_t seed = first_seed + static_cast<std::uint64_t>(run);
    const auto size = static_cast<std::uint32_t>(3 + 2 * (seed % 2));
    const std::string found = Explore(seed, size, 1200, faults);
    if (!found.empty()) {
      return found;
    }
  }
  return "";
}

inline std::uint32_t LeaderOf(const Group& group) {
  for (const auto& [id, replica] : group.replicas) {
    if (HasLease(replica, group.now)) {
      return id;
    }
  }
  return 0;
}

}  // namespace filbertwall
