#include "Control/VoterChange.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr Milliseconds kNotSilent{0};
constexpr Milliseconds kSilent{3100};
constexpr Milliseconds kLongSilent{5100};

/// Returns a membership with the voters 1 to `count`, led by voter 1.
MembershipStatus MakeVoters(std::uint32_t count) {
  MembershipStatus membership;
  for (std::uint32_t instance = 1; instance <= count; ++instance) {
    membership.voters.push_back(
        VoterStatus{.instance = instance, .is_leader = instance == 1});
  }
  return membership;
}

void AddStandby(MembershipStatus& membership, std::uint32_t instance) {
  membership.standbys.push_back(
      StandbyStatus{.instance = instance, .incarnation = instance * 10});
  membership.reachable_standbys += 1;
}

}  // namespace

TEST_GROUP(VoterChange){};

TEST(VoterChange, OneStandbyIsNotAddedToAnOddNumber) {
  MembershipStatus membership = MakeVoters(3);
  AddStandby(membership, 4);
  CHECK_FALSE(PlanVoterChange(membership).has_value());
}

TEST(VoterChange, TwoStandbysAreAdmittedInTurn) {
  MembershipStatus membership = MakeVoters(3);
  AddStandby(membership, 4);
  AddStandby(membership, 5);
  const auto change = PlanVoterChange(membership);
  CHECK(change.has_value());
  LONGS_EQUAL(4, change->instance());
  LONGS_EQUAL(40, change->incarnation());
  LONGS_EQUAL(0, change->replaced());
}

TEST(VoterChange, FourthVoterStaysWhileTheFifthInstanceLags) {
  MembershipStatus membership = MakeVoters(4);
  membership.reachable_standbys = 1;
  CHECK_FALSE(PlanVoterChange(membership).has_value());
}

TEST(VoterChange, SilentVoterIsReplacedInOneChange) {
  MembershipStatus membership = MakeVoters(3);
  membership.voters[1].silence = kSilent;
  AddStandby(membership, 4);
  const auto change = PlanVoterChange(membership);
  CHECK(change.has_value());
  LONGS_EQUAL(4, change->instance());
  LONGS_EQUAL(2, change->replaced());
}

/// Guards against a voter that is stopped and is replaced only after seconds of
/// silence.
TEST(VoterChange, LeavingVoterIsReplacedAtOnce) {
  MembershipStatus membership = MakeVoters(3);
  membership.voters[1].is_leaving = true;
  AddStandby(membership, 4);
  const auto change = PlanVoterChange(membership);
  CHECK(change.has_value());
  LONGS_EQUAL(4, change->instance());
  LONGS_EQUAL(2, change->replaced());
}

TEST(VoterChange, SilentVoterIsReplacedBeforeALeavingOne) {
  MembershipStatus membership = MakeVoters(3);
  membership.voters[1].is_leaving = true;
  membership.voters[2].silence = kSilent;
  AddStandby(membership, 4);
  const auto change = PlanVoterChange(membership);
  CHECK(change.has_value());
  LONGS_EQUAL(3, change->replaced());
}

/// Guards against a restart that changes the voters for nothing.
TEST(VoterChange, LeavingVoterStaysWhileTheOthersTolerateALoss) {
  MembershipStatus membership = MakeVoters(5);
  membership.voters[1].is_leaving = true;
  CHECK_FALSE(PlanVoterChange(membership).has_value());
}

/// Guards against voters that are stopped in turn until a loss leaves no
/// majority.
TEST(VoterChange, LeavingVotersAreRemovedBeforeALossLeavesNoMajority) {
  MembershipStatus membership = MakeVoters(5);
  membership.voters[1].is_leaving = true;
  membership.voters[2].is_leaving = true;
  const auto first = PlanVoterChange(membership);
  CHECK(first.has_value());
  LONGS_EQUAL(2, first->instance());
  LONGS_EQUAL(0, first->incarnation());
  membership.voters.erase(membership.voters.begin() + 1);
  const auto second = PlanVoterChange(membership);
  CHECK(second.has_value());
  LONGS_EQUAL(3, second->instance());
  LONGS_EQUAL(0, second->incarnation());
}

TEST(VoterChange, LeavingVoterStaysWhenTooFewWouldRemain) {
  MembershipStatus membership = MakeVoters(3);
  membership.voters[1].is_leaving = true;
  CHECK_FALSE(PlanVoterChange(membership).has_value());
}

TEST(VoterChange, RestartingVoterIsNotReplaced) {
  MembershipStatus membership = MakeVoters(3);
  membership.voters[1].silence = Milliseconds(2000);
  AddStandby(membership, 4);
  CHECK_FALSE(PlanVoterChange(membership).has_value());
}

TEST(VoterChange, SilentVoterStaysWhenTooFewWouldRemain) {
  MembershipStatus membership = MakeVoters(3);
  membership.voters[1].silence = kLongSilent;
  CHECK_FALSE(PlanVoterChange(membership).has_value());
}

TEST(VoterChange, VotersShrinkToAnOddNumberOfResponsiveInstances) {
  MembershipStatus membership = MakeVoters(5);
  membership.voters[1].silence = kLongSilent;
  const auto first = PlanVoterChange(membership);
  CHECK(first.has_value());
  LONGS_EQUAL(2, first->instance());
  LONGS_EQUAL(0, first->incarnation());
  membership.voters.erase(membership.voters.begin() + 1);
  const auto second = PlanVoterChange(membership);
  CHECK(second.has_value());
  LONGS_EQUAL(5, second->instance());
  LONGS_EQUAL(0, second->incarnation());
}

TEST(VoterChange, LeaderNeverRemovesItself) {
  MembershipStatus membership = MakeVoters(4);
  membership.voters[0].silence = kLongSilent;
  const auto change = PlanVoterChange(membership);
  CHECK(change.has_value());
  CHECK(change->instance() != 1);
}

TEST(VoterChange, LostDiskIsReadmittedUnderItsNewIncarnation) {
  MembershipStatus membership = MakeVoters(3);
  membership.voters[1].silence = kNotSilent;
  AddStandby(membership, 2);
  const auto change = PlanVoterChange(membership);
  CHECK(change.has_value());
  LONGS_EQUAL(2, change->instance());
  LONGS_EQUAL(20, change->incarnation());
  LONGS_EQUAL(0, change->replaced());
}
