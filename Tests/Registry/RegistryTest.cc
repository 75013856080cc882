#include <algorithm>
#include <random>

#include "Registry/Registry.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

wire::ServerRecord MakeRecord(std::uint64_t incarnation, std::uint64_t sequence,
                              wire::ServerPhase phase = wire::SERVER_READY) {
  wire::ServerRecord record;
  record.set_id("i-1");
  record.set_service("catalogue");
  record.set_ip(10);
  record.set_port(80);
  record.set_slots(3);
  record.set_incarnation(incarnation);
  record.set_sequence(sequence);
  record.set_phase(phase);
  return record;
}

const wire::ServerRecord& Held(const Registry& registry) {
  return registry.servers.at("i-1").record;
}

}  // namespace

TEST_GROUP(Registry) { Registry registry; };

TEST(Registry, LateReportsChangeNothing) {
  CHECK(MergeRecord(this->registry, MakeRecord(5, 9, wire::SERVER_DRAINING),
                    kStart));
  CHECK_FALSE(MergeRecord(this->registry, MakeRecord(5, 8), kStart));
  CHECK_FALSE(MergeRecord(this->registry, MakeRecord(4, 99), kStart));
  CHECK_EQUAL(wire::SERVER_DRAINING, Held(this->registry).phase());
}

TEST(Registry, AnIdThatStartsAgainCountsAnew) {
  MergeRecord(this->registry, MakeRecord(5, 900, wire::SERVER_GONE), kStart);
  CHECK(MergeRecord(this->registry, MakeRecord(6, 1), kStart));
  CHECK_EQUAL(wire::SERVER_READY, Held(this->registry).phase());
}

TEST(Registry, AnIncarnationThatIsGoneStaysGone) {
  MergeRecord(this->registry, MakeRecord(5, 3, wire::SERVER_GONE), kStart);
  CHECK_FALSE(MergeRecord(this->registry, MakeRecord(5, 4), kStart));
  CHECK_EQUAL(wire::SERVER_GONE, Held(this->registry).phase());
}

TEST(Registry, ReportsWithoutNewsAreNotSentOn) {
  MergeRecord(this->registry, MakeRecord(5, 1), kStart);
  const std::uint64_t change = this->registry.change;
  CHECK_FALSE(MergeRecord(this->registry, MakeRecord(5, 2), kStart));
  CHECK_EQUAL(change, this->registry.change);
  CHECK(RecordsAfter(this->registry, change, kStart).empty());
  // Its sequence counts all the same.
  CHECK_FALSE(MergeRecord(this->registry,
                          MakeRecord(5, 1, wire::SERVER_DRAINING), kStart));
}

TEST(Registry, SilenceIsMarkedAndUndone) {
  constexpr Milliseconds kLimit{6000};
  MergeRecord(this->registry, MakeRecord(5, 1), kStart);
  LONGS_EQUAL(0, MarkSilent(this->registry, kLimit, kStart + kLimit));
  const TimePoint later = kStart + kLimit + Milliseconds(1);
  LONGS_EQUAL(1, MarkSilent(this->registry, kLimit, later));
  CHECK(Held(this->registry).silent());
  NoteHeard(this->registry, "i-1", later);
  CHECK_FALSE(Held(this->registry).silent());
  LONGS_EQUAL(0, MarkSilent(this->registry, kLimit, later));
}

TEST(Registry, WarmupIsToldAsTimeLeft) {
  wire::ServerRecord record = MakeRecord(5, 1);
  record.set_warmup_ms(2000);
  MergeRecord(this->registry, record, kStart);
  const auto soon = RecordsAfter(this->registry, 0, kStart + Milliseconds(500));
  LONGS_EQUAL(1500, soon[0].warmup_ms());
  const auto late =
      RecordsAfter(this->registry, 0, kStart + Milliseconds(2500));
  LONGS_EQUAL(0, late[0].warmup_ms());
}

TEST(Registry, RecordsOfOtherWritersAreChecked) {
  CHECK(CheckRecord(MakeRecord(1, 1)).empty());
  wire::ServerRecord record = MakeRecord(1, 1);
  record.set_slots(0);
  CHECK_FALSE(CheckRecord(record).empty());
  record = MakeRecord(1, 1);
  record.set_port(70000);
  CHECK_FALSE(CheckRecord(record).empty());
  record = MakeRecord(1, 1);
  record.clear_service();
  CHECK_FALSE(CheckRecord(record).empty());
  record = MakeRecord(1, 1);
  record.clear_id();
  CHECK_FALSE(CheckRecord(record).empty());
}

TEST(Registry, AnyOrderOfReportsGivesTheSameResult) {
  std::vector<wire::ServerRecord> records;
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    records.push_back(MakeRecord(incarnation, 1));
    records.push_back(MakeRecord(incarnation, 2));
    records.push_back(MakeRecord(incarnation, 3, wire::SERVER_DRAINING));
    records.push_back(MakeRecord(incarnation, 3, wire::SERVER_GONE));
  }
  std::mt19937_64 random(17);
  for (int run = 0; run < 500; ++run) {
    std::shuffle(records.begin(), records.end(), random);
    Registry shuffled;
    for (const wire::ServerRecord& record : records) {
      MergeRecord(shuffled, record, kStart);
    }
    CHECK_EQUAL(3, Held(shuffled).incarnation());
    CHECK_EQUAL(wire::SERVER_GONE, Held(shuffled).phase());
  }
}
