#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

/// Runs series of losses in every order and at every instance: a planned
/// replacement, an unplanned one, a lost disk and a network partition. The
/// instances tolerate each of these losses alone. The tests guard against a
/// loss after which the voters no longer tolerate the next one. After each
/// loss, with all running instances connected, a leader must accept changes,
/// and no accepted change may be lost.
using namespace filbertwall;

namespace {

constexpr std::uint32_t kFounders = 3;
/// Time before the first loss and after each one.
constexpr Milliseconds kLossInterval{6000};
/// Duration of a network partition.
constexpr Milliseconds kPartitionTime{4000};
/// Planned replacement: time during which both instances run. Unplanned: time
/// between the loss and the start of the new instance.
constexpr Milliseconds kReplacementTime{3000};
/// A leader must accept changes this long after the last loss.
constexpr Milliseconds kRecoveryLimit{4000};

enum class Loss { kPlannedReplacement, kReplacement, kDisk, kPartition };

std::string LossName(Loss loss) {
  switch (loss) {
    case Loss::kPlannedReplacement:
      return "planned replacement";
    case Loss::kReplacement:
      return "replacement";
    case Loss::kDisk:
      return "lost disk";
    case Loss::kPartition:
      return "network partition";
  }
  return "";
}

/// Returns the running instance at position `index`, modulo their number.
std::uint32_t InstanceAtIndex(const ReplicaGroup& group, std::size_t index) {
  auto item = group.replicas.begin();
  std::advance(item,
               static_cast<std::ptrdiff_t>(index % group.replicas.size()));
  return item->first;
}

void InjectLoss(ReplicaGroup& group, Loss loss, std::uint32_t id) {
  switch (loss) {
    case Loss::kPlannedReplacement:
      AddInstance(group);
      RunFor(group, kReplacementTime);
      RemoveInstance(group, id);
      return;
    case Loss::kReplacement:
      RemoveInstance(group, id);
      RunFor(group, kReplacementTime);
      AddInstance(group);
      return;
    case Loss::kDisk:
      LoseDisk(group, id);
      return;
    case Loss::kPartition:
      group.partitioned.insert(id);
      RunFor(group, kPartitionTime);
      group.partitioned.clear();
      return;
  }
}

/// Runs one series of losses. Returns the violation or an empty string.
std::string RunSeries(std::uint32_t size, const std::vector<Loss>& losses,
                      const std::vector<std::size_t>& indexes) {
  ReplicaGroup group = MakeFleet(1, kFounders, size);
  RunFor(group, kLossInterval);
  std::string series = std::to_string(size) + " instances";
  for (std::size_t i = 0; i < losses.size(); ++i) {
    const std::uint32_t id = InstanceAtIndex(group, indexes[i]);
    series += ", " + LossName(losses[i]) + " at " + std::to_string(id);
    InjectLoss(group, losses[i], id);
    if (!AcceptsChange(group, kRecoveryLimit)) {
      return series + ": no change is accepted";
    }
    RunFor(group, kLossInterval);
  }
  CheckVerdicts(group);
  CheckConverged(group);
  return group.violation.empty() ? "" : series + ": " + group.violation;
}

/// Runs `losses` in the given order, at every combination of instances.
std::string RunAtEveryInstance(std::uint32_t size,
                               const std::vector<Loss>& losses) {
  std::vector<std::size_t> indexes(losses.size(), 0);
  while (true) {
    const std::string found = RunSeries(size, losses, indexes);
    if (!found.empty()) {
      return found;
    }
    std::size_t digit = 0;
    while (digit < indexes.size() && ++indexes[digit] == size) {
      indexes[digit++] = 0;
    }
    if (digit == indexes.size()) {
      return "";
    }
  }
}

std::string RunInEveryOrder(std::uint32_t size, std::vector<Loss> losses) {
  std::sort(losses.begin(), losses.end());
  do {
    const std::string found = RunAtEveryInstance(size, losses);
    if (!found.empty()) {
      return found;
    }
  } while (std::next_permutation(losses.begin(), losses.end()));
  return "";
}

}  // namespace

TEST_GROUP(VoterLoss){};

TEST(VoterLoss, PlannedReplacementThenLostDiskIsTolerated) {
  for (std::uint32_t size = 3; size <= 5; ++size) {
    STRCMP_EQUAL("",
                 RunInEveryOrder(size, {Loss::kPlannedReplacement, Loss::kDisk})
                     .c_str());
  }
}

TEST(VoterLoss, ThreeInstancesTolerateEverySeries) {
  STRCMP_EQUAL("", RunInEveryOrder(3, {Loss::kPlannedReplacement, Loss::kDisk,
                                       Loss::kPartition})
                       .c_str());
  STRCMP_EQUAL("", RunInEveryOrder(
                       3, {Loss::kReplacement, Loss::kDisk, Loss::kPartition})
                       .c_str());
}

TEST(VoterLoss, FourInstancesTolerateEverySeries) {
  STRCMP_EQUAL("", RunInEveryOrder(4, {Loss::kPlannedReplacement, Loss::kDisk,
                                       Loss::kPartition})
                       .c_str());
}

TEST(VoterLoss, FiveInstancesTolerateTwoReplacementsInARow) {
  STRCMP_EQUAL("", RunInEveryOrder(5, {Loss::kPlannedReplacement,
                                       Loss::kReplacement, Loss::kDisk})
                       .c_str());
}
