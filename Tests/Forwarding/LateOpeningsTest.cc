#include "Forwarding/LateOpenings.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr ServiceIndex kService = 0;

}  // namespace

TEST_GROUP(LateOpenings) {
  LateOpenings late;

  /// Stores the packet of a caller that gives up after `patience` and sends its
  /// next copy after `retransmit_after`.
  void Hold(std::uint16_t port, bool retryable, Milliseconds patience,
            Milliseconds retransmit_after = Milliseconds(400),
            std::uint32_t priority = 0) {
    HoldLateOpening(
        this->late, kService,
        LateOrder{.flow_class = {.priority = priority, .retryable = retryable},
                  .latest_start = kStart + patience},
        HeldOpening{.key = {.caller = {.ip = 7, .port = port}},
                    .first_sent_at = kStart,
                    .expires_at = kStart + retransmit_after},
        kStart);
  }

  /// Releases all packets for which there is room; returns the callers' ports.
  std::vector<std::uint16_t> Release(TimePoint now = kStart) {
    std::vector<std::uint16_t> ports;
    while (const auto opening = TakeLateOpening(this->late, now)) {
      ports.push_back(opening->key.caller.port);
      AddLateFlow(LateServiceOf(this->late, kService).window);
    }
    return ports;
  }

  void LimitInFlight(double size) {
    LateServiceOf(this->late, kService).window.size = size;
  }
};

TEST(LateOpenings, OrdersLeaveFirstThenCallersThatGiveUpFirst) {
  this->LimitInFlight(10);
  this->Hold(1, true, Milliseconds(300));
  this->Hold(2, true, Milliseconds(100));
  this->Hold(3, false, Milliseconds(900));
  const std::vector<std::uint16_t> expected = {3, 2, 1};
  CHECK(this->Release() == expected);
  CHECK_EQUAL(3, this->late.released);
}

/// Guards against a less urgent order that takes the capacity of a more urgent
/// look-up.
TEST(LateOpenings, PriorityPrecedesOrdersAndCallersThatGiveUpFirst) {
  this->LimitInFlight(10);
  this->Hold(1, false, Milliseconds(100), Milliseconds(400), 2);
  this->Hold(2, true, Milliseconds(300), Milliseconds(400), 1);
  this->Hold(3, true, Milliseconds(900), Milliseconds(400), 0);
  this->Hold(4, false, Milliseconds(900), Milliseconds(400), 1);
  const std::vector<std::uint16_t> expected = {3, 4, 2, 1};
  CHECK(this->Release() == expected);
}

TEST(LateOpenings, NothingLeavesWhileTheWindowIsFull) {
  this->LimitInFlight(1);
  this->Hold(1, true, Milliseconds(300));
  this->Hold(2, true, Milliseconds(400));
  LONGS_EQUAL(1, this->Release().size());
  LONGS_EQUAL(0, this->Release().size());
  RemoveLateFlow(LateServiceOf(this->late, kService).window);
  LONGS_EQUAL(1, this->Release().size());
}

TEST(LateOpenings, NothingLeavesAfterTheNextCopyOrForACallerThatHasLeft) {
  this->LimitInFlight(10);
  this->Hold(1, true, Milliseconds(900), Milliseconds(50));
  this->Hold(2, true, Milliseconds(60), Milliseconds(400));
  this->Hold(3, true, Milliseconds(900), Milliseconds(400));
  const std::vector<std::uint16_t> expected = {3};
  CHECK(this->Release(kStart + Milliseconds(70)) == expected);
  CHECK_EQUAL(2, this->late.lapsed);
}

TEST(LateOpenings, PacketsOfFlowsOpenedElsewhereAreDiscarded) {
  this->LimitInFlight(10);
  this->Hold(1, true, Milliseconds(300));
  DiscardLateOpening(this->late, {.caller = {.ip = 7, .port = 1}});
  LONGS_EQUAL(0, this->Release().size());
  CHECK(this->late.next_check_at == TimePoint::max());
}

TEST(LateOpenings, ALaterCopyReplacesAnEarlierOne) {
  this->LimitInFlight(10);
  this->Hold(1, true, Milliseconds(300));
  this->Hold(1, true, Milliseconds(300));
  LONGS_EQUAL(1, this->Release().size());
}
