#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Control/Replica.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

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
  std::map<std::uint64_t, std::string> decided;        ///< seq -> change.
  std::map<std::uint64_t, wire::RulesFile> submitted;  ///< token -> file.
  std::map<std::uint64_t, std::string> accepted;       ///< version -> digest.
  std::vector<wire::RulesFile> refused;
  std::string violation;
  std::uint64_t next_token = 1;
  std::uint64_t next_incarnation = 100;
};

std::uint64_t Below(Group& group, std::uint64_t limit) {
  return group.random() % limit;
}

void Violate(Group& group, const std::string& what) {
  if (group.violation.empty()) {
    group.violation = what;
  }
}

/// Each committed version is the same everywhere and for ever.
void CheckState(Group& group, const Replica& replica) {
  for (const wire::VersionRecord& record : replica.committed.history()) {
    const auto [item, added] =
        group.decided.emplace(record.version(), record.digest());
    if (!added && item->second != record.digest()) {
      Violate(group,
              "version " + std::to_string(record.version()) + " has two texts");
    }
  }
}

void TakeVerdict(Group& group, const ControlVerdict& verdict) {
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

void Apply(Group& group, std::uint32_t id, const ControlEvent& event) {
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

void Boot(Group& group, std::uint32_t id) {
  Replica replica;
  replica.config.self = id;
  for (const auto& [other, disk] : group.disks) {
    replica.config.control_instances.insert(other);
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

wire::DurableRecord BlankRecord(Group& group) {
  wire::DurableRecord record;
  record.set_incarnation(group.next_incarnation++);
  return record;
}

void LoseDisk(Group& group, std::uint32_t id) {
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

Group MakeGroup(std::uint64_t seed, std::uint32_t size, Faults faults = {}) {
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

void Deliver(Group& group, std::size_t index) {
  const Packet packet = group.network[index];
  group.network.erase(group.network.begin() +
                      static_cast<std::ptrdiff_t>(index));
  if (!group.down.contains(packet.to)) {
    Apply(group, packet.to,
          ControlReceived{.from = packet.from, .message = packet.message});
  }
}

void Tick(Group& group, Milliseconds step) {
  group.now += step;
  for (const auto& [id, replica] : std::map(group.replicas)) {
    if (!group.down.contains(id)) {
      Apply(group, id, ControlTick{});
    }
  }
}

/// Lets time pass without faults until nothing more happens.
void Settle(Group& group) {
  constexpr int kRounds = 400;
  for (std::uint32_t id : std::set(group.down)) {
    Boot(group, id);
  }
  for (int round = 0; round < kRounds; ++round) {
    Tick(group, Milliseconds(20));
    while (!group.network.empty()) {
      Deliver(group, 0);
    }
  }
}

void Submit(Group& group, std::uint32_t id, std::uint64_t version,
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

std::uint64_t HighestVersion(const Group& group) {
  std::uint64_t highest = 0;
  for (const auto& [id, replica] : group.replicas) {
    highest = std::max(highest, replica.committed.rules().version());
  }
  return highest;
}

void SubmitRandom(Group& group) {
  const auto id =
      static_cast<std::uint32_t>(1 + Below(group, group.replicas.size()));
  if (!group.down.contains(id)) {
    Submit(group, id, HighestVersion(group) + Below(group, 2),
           std::string(1, static_cast<char>('a' + Below(group, 4))));
  }
}

/// One random step. At most one disk is lost while the group is not settled.
void Step(Group& group, int& disks_to_lose) {
  const std::uint64_t choice = Below(group, 1000);
  const auto id =
      static_cast<std::uint32_t>(1 + Below(group, group.replicas.size()));
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

void CheckVerdicts(Group& group) {
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
void CheckConverged(Group& group) {
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
std::string Explore(std::uint64_t seed, std::uint32_t size, int steps,
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

std::string ExploreMany(std::uint64_t first_seed, int runs, Faults faults) {
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

std::uint32_t LeaderOf(const Group& group) {
  for (const auto& [id, replica] : group.replicas) {
    if (HasLease(replica, group.now)) {
      return id;
    }
  }
  return 0;
}

}  // namespace

TEST_GROUP(Replica){};

TEST(Replica, RandomHistoriesKeepAcceptedFiles) {
  const std::string found = ExploreMany(1, 300, {});
  STRCMP_EQUAL("", found.c_str());
}

TEST(Replica, CheckFindsVotesKeptInMemory) {
  const std::string found =
      ExploreMany(1, 400, Faults{.forget_promises = true});
  CHECK_FALSE(found.empty());
}

TEST(Replica, CheckFindsLostDiskThatStillVotes) {
  const std::string found =
      ExploreMany(1, 400, Faults{.blank_keeps_incarnation = true});
  CHECK_FALSE(found.empty());
}

TEST(Replica, OneOfTwoEqualVersionsIsAccepted) {
  Group group = MakeGroup(1, 3);
  Settle(group);
  const std::uint32_t leader = LeaderOf(group);
  Submit(group, leader, 1, "a");
  Submit(group, leader, 1, "b");
  Settle(group);
  STRCMP_EQUAL("a", group.accepted.at(1).c_str());
  LONGS_EQUAL(1, group.refused.size());
  STRCMP_EQUAL("b", group.refused[0].digest().c_str());
}

TEST(Replica, ResentFileGetsItsFirstVerdictEverywhere) {
  Group group = MakeGroup(1, 3);
  Settle(group);
  Submit(group, LeaderOf(group), 1, "a");
  Settle(group);
  group.accepted.clear();
  for (const std::uint32_t id : {1U, 2U, 3U}) {
    Boot(group, id);
    Submit(group, id, 1, "a");
    STRCMP_EQUAL("a", group.accepted.at(1).c_str());
  }
}

TEST(Replica, LeaderThatSleptPastItsLeaseDoesNotClaimIt) {
  Group group = MakeGroup(1, 3);
  Settle(group);
  const std::uint32_t leader = LeaderOf(group);
  Replica& replica = group.replicas.at(leader);
  group.now += replica.config.lease + Milliseconds(1);
  CHECK_FALSE(HasLease(replica, group.now));
  Submit(group, leader, 1, "a");
  CHECK(replica.role != ReplicaRole::kLeader);
  CHECK(group.accepted.empty());
  CHECK(group.refused.empty());
}

TEST(Replica, NoPromiseWithinALeaseGrantedBeforeARestart) {
  Group group = MakeGroup(1, 3);
  Settle(group);
  const std::uint32_t leader = LeaderOf(group);
  const std::uint32_t voter = leader == 1 ? 2 : 1;
  Boot(group, voter);
  group.network.clear();
  wire::ControlMessage message;
  message.set_cluster(7);
  const std::uint32_t other = 6 - leader - voter;
  message.set_incarnation(group.replicas.at(other).incarnation);
  message.mutable_prepare()->mutable_ballot()->set_round(99);
  Apply(group, voter, ControlReceived{.from = other, .message = message});
  CHECK(group.network.empty());
}

TEST(Replica, LostDiskIsReadmittedAndASecondLossLosesNothing) {
  Group group = MakeGroup(3, 3);
  Settle(group);
  Submit(group, LeaderOf(group), 1, "a");
  Settle(group);
  LoseDisk(group, 2);
  Settle(group);
  CHECK(IsVoter(group.replicas.at(2)));
  LoseDisk(group, 3);
  Settle(group);
  CHECK(IsVoter(group.replicas.at(3)));
  CheckConverged(group);
  STRCMP_EQUAL("", group.violation.c_str());
}

TEST(Replica, RemovedVoterDoesNotComeBackByItself) {
  Group group = MakeGroup(3, 3);
  Settle(group);
  const std::uint32_t leader = LeaderOf(group);
  const std::uint32_t removed = leader == 3 ? 2 : 3;
  ControlSubmitted event{.token = 0};
  event.change.mutable_member()->set_instance(removed);
  Apply(group, leader, event);
  Settle(group);
  CHECK_FALSE(IsVoter(group.replicas.at(removed)));
  LONGS_EQUAL(2, group.replicas.at(leader).committed.members_size());
}

TEST(Replica, HistoryIsBoundedAndOldVersionsAreUnknown) {
  wire::ControlState state;
  wire::Entry entry;
  for (int i = 1; i <= kHistoryLimit + 1; ++i) {
    entry.set_seq(static_cast<std::uint64_t>(i));
    entry.mutable_change()->mutable_rules()->set_version(
        static_cast<std::uint64_t>(i));
    ApplyEntry(state, entry);
  }
  CHECK(state.history_size() <= kHistoryLimit);
  wire::RulesFile old_file;
  old_file.set_version(1);
  CHECK(RuleOn(state, old_file).kind == Ruling::Kind::kForgotten);
}
