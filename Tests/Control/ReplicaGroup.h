#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Control/Replica.h"

/// Simulated replicas with disks and a network, for tests that inject faults.
namespace filbertwall {

struct Packet {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  wire::ControlMessage message;
};

/// Deliberate violations of the protocol. A test enables one to verify that the
/// checks of the simulation detect it.
struct Faults {
  /// A restarted replica does not restore its promised ballot.
  bool forget_promises = false;
  /// An instance that lost its disk keeps its incarnation and its vote.
  bool lost_disk_keeps_incarnation = false;
};

struct ReplicaGroup {
  std::mt19937_64 random;
  Faults faults;
  TimePoint now{std::chrono::hours(1)};
  std::map<std::uint32_t, Replica> replicas;
  std::map<std::uint32_t, std::vector<wire::DurableRecord>> disks;
  std::vector<Packet> network;
  std::set<std::uint32_t> stopped_instances;
  /// Packets from and to these instances are dropped.
  std::set<std::uint32_t> partitioned;
  /// Version -> digest, as first seen in the committed state of any replica.
  std::map<std::uint64_t, std::string> committed_digests;
  std::map<std::uint64_t, wire::RulesFile> submitted;  ///< token -> file.
  std::map<std::uint64_t, std::string> accepted;       ///< version -> digest.
  std::vector<wire::RulesFile> refused;
  std::string violation;
  std::uint64_t next_token = 1;
  std::uint64_t next_incarnation = 100;
  std::uint64_t starts = 0;      ///< Starts of all instances so far.
  bool open_membership = false;  ///< Set by `MakeFleet`.
  std::uint32_t min_voters = 3;  ///< As in `ReplicaConfig`.
  std::set<std::uint32_t> founders;
  std::set<std::uint32_t> replaced;  ///< Removed permanently.
};

inline std::uint64_t RandomBelow(ReplicaGroup& group, std::uint64_t limit) {
  return group.random() % limit;
}

inline std::uint32_t RandomInstance(ReplicaGroup& group) {
  auto item = group.replicas.begin();
  std::advance(item, static_cast<std::ptrdiff_t>(
                         RandomBelow(group, group.replicas.size())));
  return item->first;
}

inline void RecordViolation(ReplicaGroup& group, const std::string& what) {
  if (group.violation.empty()) {
    group.violation = what;
  }
}

/// Checks that no version is committed with two different digests, on any
/// replicas.
inline void CheckDigests(ReplicaGroup& group, const Replica& replica) {
  for (const wire::VersionRecord& record : replica.committed.history()) {
    const auto [item, added] =
        group.committed_digests.emplace(record.version(), record.digest());
    if (!added && item->second != record.digest()) {
      RecordViolation(group, "version " + std::to_string(record.version()) +
                                 " has two digests");
    }
  }
}

inline void RecordVerdict(ReplicaGroup& group, const ControlVerdict& verdict) {
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

inline void Apply(ReplicaGroup& group, std::uint32_t id,
                  const ControlEvent& event) {
  Replica& replica = group.replicas.at(id);
  for (const ControlEffect& effect : Reduce(replica, event, group.now)) {
    if (const auto* send = std::get_if<ControlSend>(&effect)) {
      group.network.push_back(
          Packet{.from = id, .to = send->to, .message = send->message});
    } else if (const auto* persist = std::get_if<ControlPersist>(&effect)) {
      group.disks[id].push_back(persist->record);
    } else if (const auto* verdict = std::get_if<ControlVerdict>(&effect)) {
      RecordVerdict(group, *verdict);
    }
  }
  CheckDigests(group, replica);
}

inline void StartInstance(ReplicaGroup& group, std::uint32_t id) {
  Replica replica;
  replica.config.self = id;
  for (const auto& [other, disk] : group.disks) {
    replica.config.control_instances.insert(other);
  }
  if (group.open_membership) {
    replica.config.open_membership = true;
    replica.config.min_voters = group.min_voters;
    replica.config.lease = Milliseconds(600);
    replica.config.election_jitter = Milliseconds(250);
  }
  for (wire::DurableRecord record : group.disks[id]) {
    if (group.faults.forget_promises) {
      record.clear_promised();
    }
    Restore(replica, record);
  }
  group.replicas[id] = replica;
  group.stopped_instances.erase(id);
  Apply(group, id, ControlStarted{.start = ++group.starts});
}

inline wire::DurableRecord EmptyDiskRecord(ReplicaGroup& group) {
  wire::DurableRecord record;
  record.set_incarnation(group.next_incarnation++);
  return record;
}

inline void LoseDisk(ReplicaGroup& group, std::uint32_t id) {
  const std::uint64_t incarnation = group.replicas.at(id).incarnation;
  const std::uint64_t cluster = 7;
  wire::DurableRecord record = EmptyDiskRecord(group);
  if (group.faults.lost_disk_keeps_incarnation) {
    record.set_incarnation(incarnation);
    record.mutable_state()->set_cluster(cluster);
    *record.mutable_state()->mutable_members() =
        group.replicas.at(id).committed.members();
  }
  group.disks[id] = {record};
  StartInstance(group, id);
}

inline ReplicaGroup MakeGroup(std::uint64_t seed, std::uint32_t size,
                              Faults faults = {}) {
  ReplicaGroup group{.random = std::mt19937_64(seed), .faults = faults};
  for (std::uint32_t id = 1; id <= size; ++id) {
    group.disks[id] = {};
  }
  group.disks[1] = {SingleVoterRecord(1, 50, 7)};
  for (std::uint32_t id = 2; id <= size; ++id) {
    group.disks[id] = {EmptyDiskRecord(group)};
  }
  for (std::uint32_t id = 1; id <= size; ++id) {
    StartInstance(group, id);
  }
  return group;
}

/// Starts `size` instances in descending order of their ids. Instances 1 to
/// `founders` have the founding record on their disks; the others have empty
/// disks.
inline ReplicaGroup MakeFleet(std::uint64_t seed, std::uint32_t founders,
                              std::uint32_t size,
                              std::uint32_t min_voters = 3) {
  ReplicaGroup group{.random = std::mt19937_64(seed),
                     .open_membership = true,
                     .min_voters = min_voters};
  for (std::uint32_t id = 1; id <= founders; ++id) {
    group.founders.insert(id);
  }
  for (std::uint32_t id = 1; id <= size; ++id) {
    group.disks[id] = {group.founders.contains(id)
                           ? FoundingRecord(id, group.founders)
                           : EmptyDiskRecord(group)};
  }
  for (std::uint32_t id = size; id >= 1; --id) {
    StartInstance(group, id);
  }
  return group;
}

/// Starts an instance with an empty disk under the next id. Returns the id.
inline std::uint32_t AddInstance(ReplicaGroup& group) {
  const std::uint32_t new_id = group.disks.rbegin()->first + 1;
  group.disks[new_id] = {EmptyDiskRecord(group)};
  StartInstance(group, new_id);
  return new_id;
}

/// Removes an instance permanently.
inline void RemoveInstance(ReplicaGroup& group, std::uint32_t id) {
  group.replicas.erase(id);
  group.stopped_instances.erase(id);
  group.replaced.insert(id);
}

/// Removes `id` permanently and starts an instance with an empty disk under the
/// next id. Returns the new id.
inline std::uint32_t ReplaceInstance(ReplicaGroup& group, std::uint32_t id) {
  RemoveInstance(group, id);
  return AddInstance(group);
}

inline void Deliver(ReplicaGroup& group, std::size_t index) {
  const Packet packet = group.network[index];
  group.network.erase(group.network.begin() +
                      static_cast<std::ptrdiff_t>(index));
  const bool passes = !group.partitioned.contains(packet.from) &&
                      !group.partitioned.contains(packet.to);
  if (passes && !group.stopped_instances.contains(packet.to) &&
      group.replicas.contains(packet.to)) {
    Apply(group, packet.to,
          ControlReceived{.from = packet.from, .message = packet.message});
  }
}

inline void Tick(ReplicaGroup& group, Milliseconds step) {
  group.now += step;
  for (const auto& [id, replica] : std::map(group.replicas)) {
    if (!group.stopped_instances.contains(id)) {
      Apply(group, id, ControlTick{});
    }
  }
}

/// Advances the clock by `time` in steps and delivers all packets after each
/// step.
inline void RunFor(ReplicaGroup& group, Milliseconds time) {
  constexpr Milliseconds kStep{20};
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    Tick(group, kStep);
    while (!group.network.empty()) {
      Deliver(group, 0);
    }
  }
}

/// Starts the stopped instances and runs long enough to converge.
inline void Settle(ReplicaGroup& group) {
  for (std::uint32_t id : std::set(group.stopped_instances)) {
    StartInstance(group, id);
  }
  RunFor(group, Milliseconds(8000));
}

inline void Submit(ReplicaGroup& group, std::uint32_t id, std::uint64_t version,
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

inline std::uint64_t HighestVersion(const ReplicaGroup& group) {
  std::uint64_t highest = 0;
  for (const auto& [id, replica] : group.replicas) {
    highest = std::max(highest, replica.committed.rules().version());
  }
  return highest;
}

inline void SubmitRandom(ReplicaGroup& group) {
  const auto id = RandomInstance(group);
  if (!group.stopped_instances.contains(id)) {
    Submit(group, id, HighestVersion(group) + RandomBelow(group, 2),
           std::string(1, static_cast<char>('a' + RandomBelow(group, 4))));
  }
}

/// Executes one random step. It may lose a disk if `disks_to_lose` is positive
/// and then decrements it. Callers allow at most one lost disk between two
/// calls of `Settle`.
inline void Step(ReplicaGroup& group, int& disks_to_lose) {
  const std::uint64_t choice = RandomBelow(group, 1000);
  const auto id = RandomInstance(group);
  if (choice < 600 && !group.network.empty()) {
    Deliver(group, RandomBelow(group, group.network.size()));
  } else if (choice < 650 && !group.network.empty()) {
    group.network.erase(
        group.network.begin() +
        static_cast<std::ptrdiff_t>(RandomBelow(group, group.network.size())));
  } else if (choice < 700 && !group.network.empty()) {
    const std::size_t index = RandomBelow(group, group.network.size());
    group.network.push_back(Packet(group.network[index]));
  } else if (choice < 880) {
    Tick(group, Milliseconds(1 + RandomBelow(group, 120)));
  } else if (choice < 960) {
    SubmitRandom(group);
  } else if (choice < 975) {
    group.stopped_instances.insert(id);
  } else if (choice < 995) {
    StartInstance(group, id);
  } else if (disks_to_lose > 0) {
    disks_to_lose -= 1;
    LoseDisk(group, id);
  }
}

inline void CheckVerdicts(ReplicaGroup& group) {
  for (const auto& [version, digest] : group.accepted) {
    const auto committed_digest = group.committed_digests.find(version);
    if (committed_digest == group.committed_digests.end() ||
        committed_digest->second != digest) {
      RecordViolation(group, "accepted version " + std::to_string(version) +
                                 " is not committed");
    }
  }
  for (const wire::RulesFile& file : group.refused) {
    const auto committed_digest = group.committed_digests.find(file.version());
    if (committed_digest != group.committed_digests.end() &&
        committed_digest->second == file.digest()) {
      RecordViolation(group, "refused version " +
                                 std::to_string(file.version()) +
                                 " is committed");
    }
  }
}

/// Checks that all replicas have committed the newest version and that no
/// accepted version was lost.
inline void CheckConverged(ReplicaGroup& group) {
  const std::uint64_t highest = HighestVersion(group);
  for (const auto& [id, replica] : group.replicas) {
    if (replica.committed.rules().version() != highest) {
      RecordViolation(group, "instance " + std::to_string(id) +
                                 " has not committed the newest version");
    }
  }
  for (const auto& [version, digest] : group.accepted) {
    if (version > highest) {
      RecordViolation(
          group, "accepted version " + std::to_string(version) + " was lost");
    }
  }
}

/// Runs one random sequence of steps. Returns the first violation or an empty
/// string.
inline std::string RunRandomHistory(std::uint64_t seed, std::uint32_t size,
                                    int steps, Faults faults = {}) {
  ReplicaGroup group = MakeGroup(seed, size, faults);
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

inline std::string RunRandomHistories(std::uint64_t first_seed, int runs,
                                      Faults faults) {
  for (int run = 0; run < runs; ++run) {
    const std::uint64_t seed = first_seed + static_cast<std::uint64_t>(run);
    const auto size = static_cast<std::uint32_t>(3 + 2 * (seed % 2));
    const std::string found = RunRandomHistory(seed, size, 1200, faults);
    if (!found.empty()) {
      return found;
    }
  }
  return "";
}

/// Returns the first instance that holds a lease, or 0.
inline std::uint32_t FindLeader(const ReplicaGroup& group) {
  for (const auto& [id, replica] : group.replicas) {
    if (HasLease(replica, group.now)) {
      return id;
    }
  }
  return 0;
}

/// Submits a change to the current leader until one is accepted. Returns false
/// if none is accepted within `limit`.
inline bool AcceptsChange(ReplicaGroup& group, Milliseconds limit) {
  const std::uint64_t version = HighestVersion(group) + 1;
  constexpr Milliseconds kRetryInterval{200};
  for (Milliseconds waited{0}; waited < limit; waited += kRetryInterval) {
    if (const std::uint32_t leader = FindLeader(group); leader != 0) {
      Submit(group, leader, version, "v" + std::to_string(version));
    }
    RunFor(group, kRetryInterval);
    if (group.accepted.contains(version)) {
      return true;
    }
  }
  return false;
}

}  // namespace filbertwall
