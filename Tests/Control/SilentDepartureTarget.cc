#include "ReplicaGroup.h"

#include <CppUTest/TestHarness.h>

/// The target for control instances that are removed without notice once their
/// successor is ready: the next loss is tolerated, as after a removal with
/// notice. Not reached yet; see docs/design/0002-control.md.
using namespace filbertwall;

namespace {

constexpr std::uint32_t kFounders = 3;
constexpr Milliseconds kSettleTime{6000};
constexpr Milliseconds kRecoveryLimit{4000};

}  // namespace

TEST_GROUP(SilentDepartureTarget){};

/// Guards against a voter that ends without notice and leaves too few voters
/// for the disk that is lost next.
TEST(SilentDepartureTarget, DiskLostAfterARemovalWithoutNoticeIsTolerated) {
  for (const int delay : {0, 500, 1000, 2000, 3500}) {
    for (std::uint32_t leaving = 1; leaving <= kFounders; ++leaving) {
      ReplicaGroup group = MakeFleet(1, kFounders, kFounders);
      RunFor(group, kSettleTime);
      AddInstance(group);
      RunFor(group, kSettleTime);
      RemoveInstance(group, leaving);
      RunFor(group, Milliseconds(delay));
      LoseDisk(group, leaving == 1 ? 2 : 1);
      CHECK(AcceptsChange(group, kRecoveryLimit));
    }
  }
}
