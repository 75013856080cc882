#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

/// Checks every series of a few losses, each within what a fleet tolerates at
/// once: a planned replacement, an unplanned one, a lost disk and a cut, in
/// every order and at every instance. Some leader must accept changes once all
/// that run are connected again, and nothing accepted may be lost.
using namespace filbertwall;

namespace {

constexpr std::uint32_t kSeeds = 3;
/// The next loss comes after this time.
constexpr Milliseconds kGap{6000};
/// How long a loss lasts that ends by itself.
constexpr Milliseconds kCutTime{4000};
constexpr Milliseconds kOverlap{3000};
/// A leader must accept changes this long after the last loss.
constexpr Milliseconds kRecoveryLimit{4000};

enum class Loss { kPlannedReplacement, kReplacement, kDisk, kCut };

std::string NameOf(Loss loss) {
  switch (loss) {
    case Loss::kPlannedReplacement:
      return "planned replacement";
    case Loss::kReplacement:
      return "replacement";
    case Loss::kDisk:
      return "lost disk";
    case Loss::kCut:
      return "cut";
  }
  return "";
}

/// Starts an empty instance under the next id.
std::uint32_t AddInstance(Group& group) {
  const std::uint32_t fresh = group.disks.rbegin()->first + 1;
  group.disks[fresh] = {BlankRecord(group)};
  Boot(group, fresh);
  return fresh;
}

void EndForGood(Group& group, std::uint32_t id) {
  group.replicas.erase(id);
  group.replaced.insert(id);
}

/// The `place`-th of the instances that run now.
std::uint32_t InstanceAt(const Group& group, std::size_t place) {
  auto item = group.replicas.begin();
  std::advance(item,
               static_cast<std::ptrdiff_t>(place % group.replicas.size()));
  return item->first;
}

void Suffer(Group& group, Loss loss, std::uint32_t id) {
  switch (loss) {
    case Loss::kPlannedReplacement:
      AddInstance(group);
      PassTime(group, kOverlap);
      EndForGood(group, id);
      return;
    case Loss::kReplacement:
      EndForGood(group, id);
      PassTime(group, kOverlap);
      AddInstance(group);
      return;
    case Loss::kDisk:
      LoseDisk(group, id);
      return;
    case Loss::kCut:
      group.cut_off.insert(id);
      PassTime(group, kCutTime);
      group.cut_off.clear();
      return;
  }
}

/// Submits at whoever leads; false when nobody accepts within the limit.
bool AcceptsChange(Group& group) {
  const std::uint64_t version = HighestVersion(group) + 1;
  constexpr Milliseconds kPause{200};
  for (Milliseconds waited{0}; waited < kRecoveryLimit; waited += kPause) {
    if (const std::uint32_t leader = LeaderOf(group); leader != 0) {
      Submit(group, leader, version, "v" + std::to_string(version));
    }
    PassTime(group, kPause);
    if (group.accepted.contains(version)) {
      return true;
    }
  }
  return false;
}

/// Plays one series; gives what went wrong, if anything.
std::string Play(std::uint32_t size, const std::vector<Loss>& losses,
                 const std::vector<std::size_t>& places) {
  Group group = MakeFleet(1, kSeeds, size);
  PassTime(group, kGap);
  std::string series = std::to_string(size) + " instances";
  for (std::size_t i = 0; i < losses.size(); ++i) {
    const std::uint32_t id = InstanceAt(group, places[i]);
    series += ", " + NameOf(losses[i]) + " at " + std::to_string(id);
    Suffer(group, losses[i], id);
    if (!AcceptsChange(group)) {
      return series + ": no change is accepted";
    }
    PassTime(group, kGap);
  }
  CheckVerdicts(group);
  CheckConverged(group);
  return group.violation.empty() ? "" : series + ": " + group.violation;
}

/// All series of `losses` in their order, at every instance.
std::string PlayEverywhere(std::uint32_t size,
                           const std::vector<Loss>& losses) {
  std::vector<std::size_t> places(losses.size(), 0);
  while (true) {
    const std::string found = Play(size, losses, places);
    if (!found.empty()) {
      return found;
    }
    std::size_t digit = 0;
    while (digit < places.size() && ++places[digit] == size) {
      places[digit++] = 0;
    }
    if (digit == places.size()) {
      return "";
    }
  }
}

std::string PlayEveryOrder(std::uint32_t size, std::vector<Loss> losses) {
  std::sort(losses.begin(), losses.end());
  do {
    const std::string found = PlayEverywhere(size, losses);
    if (!found.empty()) {
      return found;
    }
  } while (std::next_permutation(losses.begin(), losses.end()));
  return "";
}

}  // namespace

TEST_GROUP(VoterLoss){};

TEST(VoterLoss, PlannedReplacementLeavesRoomForALostDisk) {
  for (std::uint32_t size = 3; size <= 5; ++size) {
    STRCMP_EQUAL(
        "",
        PlayEveryOrder(size, {Loss::kPlannedReplacement, Loss::kDisk}).c_str());
  }
}

TEST(VoterLoss, ThreeInstancesBearEverySeries) {
  STRCMP_EQUAL("", PlayEveryOrder(
                       3, {Loss::kPlannedReplacement, Loss::kDisk, Loss::kCut})
                       .c_str());
  STRCMP_EQUAL(
      "",
      PlayEveryOrder(3, {Loss::kReplacement, Loss::kDisk, Loss::kCut}).c_str());
}

TEST(VoterLoss, FourInstancesBearEverySeries) {
  STRCMP_EQUAL("", PlayEveryOrder(
                       4, {Loss::kPlannedReplacement, Loss::kDisk, Loss::kCut})
                       .c_str());
}

TEST(VoterLoss, FiveInstancesBearTwoReplacementsInARow) {
  STRCMP_EQUAL("", PlayEveryOrder(5, {Loss::kPlannedReplacement,
                                      Loss::kReplacement, Loss::kDisk})
                       .c_str());
}
