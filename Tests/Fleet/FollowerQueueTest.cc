#include "Fleet/FollowerQueue.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

FollowerRequest MakeRequest(InstanceAddress from, bool brief) {
  FollowerRequest request{.from = from};
  request.subscribe.set_brief(brief);
  return request;
}

}  // namespace

TEST_GROUP(FollowerQueue) { FollowerQueue queue; };

TEST(FollowerQueue, AnIdleQueueAnswersAtOnce) {
  Enqueue(this->queue, MakeRequest(1, true), kStart);
  CHECK(Dequeue(this->queue, kStart).has_value());
  CHECK(NextDue(this->queue) == TimePoint::max());
}

TEST(FollowerQueue, RepeatedRequestsDoNotMakeItLonger) {
  for (int round = 0; round < 50; ++round) {
    for (InstanceAddress from = 1; from <= 300; ++from) {
      Enqueue(this->queue, MakeRequest(from, true), kStart);
    }
  }
  LONGS_EQUAL(300, this->queue.order.size());
  LONGS_EQUAL(300, this->queue.pending.size());
}

TEST(FollowerQueue, AnswersPerIntervalAreBounded) {
  for (InstanceAddress from = 1; from <= 300; ++from) {
    Enqueue(this->queue, MakeRequest(from, false), kStart);
  }
  int answered = 0;
  while (Dequeue(this->queue, kStart)) {
    answered += 1;
  }
  CHECK(answered >= 1 && answered <= 4);
  const TimePoint next = NextDue(this->queue);
  CHECK(next > kStart && next <= kStart + Milliseconds(10));
  CHECK(Dequeue(this->queue, next).has_value());
}

TEST(FollowerQueue, ABusyEventLoopAnswersFewerPerInterval) {
  const auto answered_after = [](Milliseconds lateness) {
    FollowerQueue queue;
    InstanceAddress from = 1;
    TimePoint now = kStart;
    int answered = 0;
    for (int interval = 0; interval < 40; ++interval) {
      for (int i = 0; i < 50; ++i) {
        Enqueue(queue, MakeRequest(from++, true), now);
      }
      answered = 0;
      while (Dequeue(queue, now)) {
        answered += 1;
      }
      now = NextDue(queue) + lateness;
    }
    return answered;
  };
  CHECK(answered_after(Milliseconds(0)) >= 16);
  CHECK(answered_after(Milliseconds(10)) <= 4);
}

TEST(FollowerQueue, TheOldestRequestComesFirst) {
  Enqueue(this->queue, MakeRequest(1, true), kStart);
  Enqueue(this->queue, MakeRequest(2, true), kStart);
  Enqueue(this->queue, MakeRequest(1, true), kStart);
  LONGS_EQUAL(1, Dequeue(this->queue, kStart)->from);
  LONGS_EQUAL(2, Dequeue(this->queue, kStart)->from);
}

TEST(FollowerQueue, ABriefRequestDoesNotReplaceAFullOne) {
  Enqueue(this->queue, MakeRequest(1, false), kStart);
  Enqueue(this->queue, MakeRequest(1, true), kStart);
  CHECK_FALSE(Dequeue(this->queue, kStart)->subscribe.brief());
}
