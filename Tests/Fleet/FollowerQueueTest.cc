#include "Fleet/FollowerQueue.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

FollowerQuestion Ask(InstanceAddress from, bool brief) {
  FollowerQuestion question{.from = from};
  question.subscribe.set_brief(brief);
  return question;
}

}  // namespace

TEST_GROUP(FollowerQueue) { FollowerQueue queue; };

TEST(FollowerQueue, AnswersOneAtOnceWhenIdle) {
  Enqueue(this->queue, Ask(1, true), kStart);
  CHECK(TakeNext(this->queue, kStart).has_value());
  CHECK(NextDue(this->queue) == TimePoint::max());
}

TEST(FollowerQueue, WhatIsAskedAgainDoesNotMakeItLonger) {
  for (int round = 0; round < 50; ++round) {
    for (InstanceAddress from = 1; from <= 300; ++from) {
      Enqueue(this->queue, Ask(from, true), kStart);
    }
  }
  LONGS_EQUAL(300, this->queue.order.size());
  LONGS_EQUAL(300, this->queue.waiting.size());
}

TEST(FollowerQueue, ATurnIsBounded) {
  for (InstanceAddress from = 1; from <= 300; ++from) {
    Enqueue(this->queue, Ask(from, false), kStart);
  }
  int answered = 0;
  while (TakeNext(this->queue, kStart)) {
    answered += 1;
  }
  CHECK(answered >= 1 && answered <= 4);
  const TimePoint next = NextDue(this->queue);
  CHECK(next > kStart && next <= kStart + Milliseconds(10));
  CHECK(TakeNext(this->queue, next).has_value());
}

TEST(FollowerQueue, ABusyLoopAnswersFewerThanAnIdleOne) {
  const auto answered_after = [](Milliseconds lateness) {
    FollowerQueue queue;
    InstanceAddress from = 1;
    TimePoint now = kStart;
    int answered = 0;
    for (int turn = 0; turn < 40; ++turn) {
      for (int i = 0; i < 50; ++i) {
        Enqueue(queue, Ask(from++, true), now);
      }
      answered = 0;
      while (TakeNext(queue, now)) {
        answered += 1;
      }
      now = NextDue(queue) + lateness;
    }
    return answered;
  };
  CHECK(answered_after(Milliseconds(0)) >= 16);
  CHECK(answered_after(Milliseconds(10)) <= 4);
}

TEST(FollowerQueue, WhoWaitedLongestComesFirst) {
  Enqueue(this->queue, Ask(1, true), kStart);
  Enqueue(this->queue, Ask(2, true), kStart);
  Enqueue(this->queue, Ask(1, true), kStart);
  LONGS_EQUAL(1, TakeNext(this->queue, kStart)->from);
  LONGS_EQUAL(2, TakeNext(this->queue, kStart)->from);
}

TEST(FollowerQueue, AQuestionForContentsOutlivesABriefOne) {
  Enqueue(this->queue, Ask(1, false), kStart);
  Enqueue(this->queue, Ask(1, true), kStart);
  CHECK_FALSE(TakeNext(this->queue, kStart)->subscribe.brief());
}
