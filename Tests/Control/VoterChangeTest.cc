#include "Control/VoterChange.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr Milliseconds kNow{0};
constexpr Milliseconds kSilent{3100};
constexpr Milliseconds kLongSilent{5100};

/// Voters 1 to `count`, of which the first leads.
VoterSituation VotersOf(std::uint32_t count) {
  VoterSituation situation;
  for (std::uint32_t instance = 1; instance <= count; ++instance) {
    situation.voters.push_back(
        VoterStatus{.instance = instance, .leads = instance == 1});
  }
  return situation;
}

void AddStandby(VoterSituation& situation, std::uint32_t instance) {
  situation.standbys.push_back(
      StandbyStatus{.instance = instance, .incarnation = instance * 10});
  situation.living_standbys += 1;
}

}  // namespace

TEST_GROUP(VoterChange){};

TEST(VoterChange, OneStandbyBesideAnOddNumberWaits) {
  VoterSituation situation = VotersOf(3);
  AddStandby(situation, 4);
  CHECK_FALSE(PlanVoterChange(situation).has_value());
}

TEST(VoterChange, TwoStandbysAreAdmittedInTurn) {
  VoterSituation situation = VotersOf(3);
  AddStandby(situation, 4);
  AddStandby(situation, 5);
  const auto change = PlanVoterChange(situation);
  CHECK(change.has_value());
  LONGS_EQUAL(4, change->instance());
  LONGS_EQUAL(40, change->incarnation());
  LONGS_EQUAL(0, change->replaced());
}

TEST(VoterChange, FourthStaysWhileTheFifthLagsBehind) {
  VoterSituation situation = VotersOf(4);
  situation.living_standbys = 1;
  CHECK_FALSE(PlanVoterChange(situation).has_value());
}

TEST(VoterChange, SilentVoterGivesItsPlaceInOneChange) {
  VoterSituation situation = VotersOf(3);
  situation.voters[1].silence = kSilent;
  AddStandby(situation, 4);
  const auto change = PlanVoterChange(situation);
  CHECK(change.has_value());
  LONGS_EQUAL(4, change->instance());
  LONGS_EQUAL(2, change->replaced());
}

TEST(VoterChange, RestartDoesNotCostAPlace) {
  VoterSituation situation = VotersOf(3);
  situation.voters[1].silence = Milliseconds(2000);
  AddStandby(situation, 4);
  CHECK_FALSE(PlanVoterChange(situation).has_value());
}

TEST(VoterChange, SilentVoterStaysWhenTooFewWouldBeLeft) {
  VoterSituation situation = VotersOf(3);
  situation.voters[1].silence = kLongSilent;
  CHECK_FALSE(PlanVoterChange(situation).has_value());
}

TEST(VoterChange, SetShrinksToAnOddNumberOfThoseThatLive) {
  VoterSituation situation = VotersOf(5);
  situation.voters[1].silence = kLongSilent;
  const auto first = PlanVoterChange(situation);
  CHECK(first.has_value());
  LONGS_EQUAL(2, first->instance());
  LONGS_EQUAL(0, first->incarnation());
  situation.voters.erase(situation.voters.begin() + 1);
  const auto second = PlanVoterChange(situation);
  CHECK(second.has_value());
  LONGS_EQUAL(5, second->instance());
  LONGS_EQUAL(0, second->incarnation());
}

TEST(VoterChange, LeaderNeverRemovesItself) {
  VoterSituation situation = VotersOf(4);
  situation.voters[0].silence = kLongSilent;
  const auto change = PlanVoterChange(situation);
  CHECK(change.has_value());
  CHECK(change->instance() != 1);
}

TEST(VoterChange, LostDiskIsReadmittedUnderItsNewIncarnation) {
  VoterSituation situation = VotersOf(3);
  situation.voters[1].silence = kNow;
  AddStandby(situation, 2);
  const auto change = PlanVoterChange(situation);
  CHECK(change.has_value());
  LONGS_EQUAL(2, change->instance());
  LONGS_EQUAL(20, change->incarnation());
  LONGS_EQUAL(0, change->replaced());
}
