#include <algorithm>
#include <array>
#include <random>

#include "Registry/Registry.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kMaxRecords = 100;

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

void SetId(wire::ServerRecord& record, const std::string& name) {
  record.set_id(name);
}
void SetService(wire::ServerRecord& record, const std::string& name) {
  record.set_service(name);
}
void SetDataCentre(wire::ServerRecord& record, const std::string& name) {
  record.set_data_centre(name);
}

const wire::ServerRecord& CurrentRecord(const Registry& registry) {
  return registry.servers.at("i-1").record;
}

}  // namespace

TEST_GROUP(Registry) { Registry registry; };

TEST(Registry, IgnoresOutdatedReports) {
  CHECK(MergeServerRecord(this->registry,
                          MakeRecord(5, 9, wire::SERVER_DRAINING), kStart));
  CHECK_FALSE(MergeServerRecord(this->registry, MakeRecord(5, 8), kStart));
  CHECK_FALSE(MergeServerRecord(this->registry, MakeRecord(4, 99), kStart));
  CHECK_EQUAL(wire::SERVER_DRAINING, CurrentRecord(this->registry).phase());
}

TEST(Registry, ALaterIncarnationStartsANewSequence) {
  MergeServerRecord(this->registry, MakeRecord(5, 900, wire::SERVER_GONE),
                    kStart);
  CHECK(MergeServerRecord(this->registry, MakeRecord(6, 1), kStart));
  CHECK_EQUAL(wire::SERVER_READY, CurrentRecord(this->registry).phase());
}

TEST(Registry, AnIncarnationThatIsGoneIsNotRevived) {
  MergeServerRecord(this->registry, MakeRecord(5, 3, wire::SERVER_GONE),
                    kStart);
  CHECK_FALSE(MergeServerRecord(this->registry, MakeRecord(5, 4), kStart));
  CHECK_EQUAL(wire::SERVER_GONE, CurrentRecord(this->registry).phase());
}

TEST(Registry, UnchangedReportsAreNotForwarded) {
  MergeServerRecord(this->registry, MakeRecord(5, 1), kStart);
  const std::uint64_t change = this->registry.change;
  CHECK_FALSE(MergeServerRecord(this->registry, MakeRecord(5, 2), kStart));
  CHECK_EQUAL(change, this->registry.change);
  CHECK(RecordsAfter(this->registry, change, kMaxRecords, kStart)
            .records.empty());
  // The sequence number of the unchanged report is kept.
  CHECK_FALSE(MergeServerRecord(
      this->registry, MakeRecord(5, 1, wire::SERVER_DRAINING), kStart));
}

TEST(Registry, MarksAndClearsSilence) {
  constexpr Milliseconds kLimit{6000};
  MergeServerRecord(this->registry, MakeRecord(5, 1), kStart);
  LONGS_EQUAL(0, MarkSilent(this->registry, kLimit, kStart + kLimit));
  const TimePoint later = kStart + kLimit + Milliseconds(1);
  LONGS_EQUAL(1, MarkSilent(this->registry, kLimit, later));
  CHECK(CurrentRecord(this->registry).silent());
  UpdateLastHeard(this->registry, "i-1", later);
  CHECK_FALSE(CurrentRecord(this->registry).silent());
  LONGS_EQUAL(0, MarkSilent(this->registry, kLimit, later));
}

TEST(Registry, ReturnsTheRemainingWarmupTime) {
  wire::ServerRecord record = MakeRecord(5, 1);
  record.set_warmup_ms(2000);
  MergeServerRecord(this->registry, record, kStart);
  const auto early =
      RecordsAfter(this->registry, 0, kMaxRecords, kStart + Milliseconds(500))
          .records;
  LONGS_EQUAL(1500, early[0].warmup_ms());
  const auto late =
      RecordsAfter(this->registry, 0, kMaxRecords, kStart + Milliseconds(2500))
          .records;
  LONGS_EQUAL(0, late[0].warmup_ms());
}

TEST(Registry, ReturnsRecordsInBatchesOrderedByChange) {
  for (int i = 0; i < 5; ++i) {
    wire::ServerRecord record = MakeRecord(1, 1);
    record.set_id("i-" + std::to_string(i));
    MergeServerRecord(this->registry, record, kStart);
  }
  wire::ServerRecord restarted = MakeRecord(2, 1);
  restarted.set_id("i-0");
  MergeServerRecord(this->registry, restarted, kStart);
  const RecordBatch first = RecordsAfter(this->registry, 0, 3, kStart);
  CHECK_FALSE(first.complete);
  LONGS_EQUAL(3, first.records.size());
  STRCMP_EQUAL("i-1", first.records[0].id().c_str());
  const RecordBatch second =
      RecordsAfter(this->registry, first.change, 3, kStart);
  CHECK(second.complete);
  LONGS_EQUAL(2, second.records.size());
  STRCMP_EQUAL("i-0", second.records[1].id().c_str());
  CHECK_EQUAL(this->registry.change, second.change);
}

TEST(Registry, DoesNotReturnRemovedServers) {
  constexpr Milliseconds kLimit{1000};
  MergeServerRecord(this->registry, MakeRecord(5, 3, wire::SERVER_GONE),
                    kStart);
  RemoveExpiredServers(this->registry, kLimit,
                       kStart + kLimit + Milliseconds(1));
  CHECK(RecordsAfter(this->registry, 0, kMaxRecords, kStart).records.empty());
}

TEST(Registry, ReportsInvalidRecords) {
  CHECK(CheckServerRecord(MakeRecord(1, 1)).empty());
  wire::ServerRecord record = MakeRecord(1, 1);
  record.set_slots(0);
  CHECK_FALSE(CheckServerRecord(record).empty());
  record = MakeRecord(1, 1);
  record.set_port(70000);
  CHECK_FALSE(CheckServerRecord(record).empty());
  record = MakeRecord(1, 1);
  record.clear_service();
  CHECK_FALSE(CheckServerRecord(record).empty());
  record = MakeRecord(1, 1);
  record.clear_id();
  CHECK_FALSE(CheckServerRecord(record).empty());
}

TEST(Registry, RecordsThatCannotBeSentOnAreInvalid) {
  for (const std::string& name :
       {std::string("a\xff"), std::string("\xc3"), std::string("a\0b", 3),
        std::string("a\nb"), std::string("\x7f"), std::string("\xc2\x85"),
        std::string(601, 'x')}) {
    for (const auto phase : {wire::SERVER_READY, wire::SERVER_GONE}) {
      for (const auto set_name : {&SetId, &SetService, &SetDataCentre}) {
        wire::ServerRecord record = MakeRecord(1, 1, phase);
        set_name(record, name);
        CHECK_FALSE(CheckServerRecord(record).empty());
      }
    }
  }
}

TEST(Registry, LongNamesAreInvalid) {
  constexpr std::size_t kLongestName = 200;
  wire::ServerRecord record = MakeRecord(1, 1);
  record.set_id(std::string(kLongestName, 'x'));
  record.set_data_centre(std::string(kLongestName, 'x'));
  record.set_service(std::string(3 * kLongestName, 'x'));
  CHECK(CheckServerRecord(record).empty());
  for (const auto set_name : {&SetId, &SetDataCentre}) {
    wire::ServerRecord longer = record;
    set_name(longer, std::string(kLongestName + 1, 'x'));
    CHECK_FALSE(CheckServerRecord(longer).empty());
  }
}

TEST(Registry, RecordsOutOfRangeAreInvalid) {
  const auto is_valid = [](auto change, wire::ServerPhase phase) {
    wire::ServerRecord record = MakeRecord(1, 1, phase);
    change(record);
    return CheckServerRecord(record).empty();
  };
  for (const auto phase : {wire::SERVER_READY, wire::SERVER_GONE}) {
    CHECK(is_valid([](wire::ServerRecord&) {}, phase));
    CHECK_FALSE(is_valid([](auto& r) { r.set_port(65536); }, phase));
    CHECK_FALSE(is_valid([](auto& r) { r.set_slots(100001); }, phase));
    CHECK_FALSE(
        is_valid([](auto& r) { r.set_incarnation(UINT64_MAX); }, phase));
    CHECK_FALSE(is_valid([](auto& r) { r.set_sequence(UINT64_MAX); }, phase));
    CHECK_FALSE(is_valid([](auto& r) { r.set_warmup_ms(UINT32_MAX); }, phase));
  }
  CHECK_FALSE(is_valid([](auto&) {}, static_cast<wire::ServerPhase>(3)));
  wire::ServerRecord gone;
  gone.set_id("i-1");
  gone.set_phase(wire::SERVER_GONE);
  CHECK(CheckServerRecord(gone).empty());
}

TEST(Registry, FindsReportsThatContradictTheSameIncarnation) {
  const wire::ServerRecord known = MakeRecord(5, 1);
  CHECK(FindContradiction(known, MakeRecord(5, 2)).empty());
  CHECK(FindContradiction(known, MakeRecord(5, 2, wire::SERVER_DRAINING))
            .empty());
  for (const std::uint64_t incarnation : {4U, 5U, 6U}) {
    std::array<wire::ServerRecord, 4> others;
    others.fill(MakeRecord(incarnation, 2));
    others[0].set_service("stock");
    others[1].set_ip(11);
    others[2].set_port(81);
    others[3].set_data_centre("elsewhere");
    for (const wire::ServerRecord& other : others) {
      CHECK_EQUAL(incarnation != 5, FindContradiction(known, other).empty());
    }
  }
}

TEST(Registry, MergesReportsInAnyOrderToTheSameResult) {
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
      MergeServerRecord(shuffled, record, kStart);
    }
    CHECK_EQUAL(3, CurrentRecord(shuffled).incarnation());
    CHECK_EQUAL(wire::SERVER_GONE, CurrentRecord(shuffled).phase());
  }
}

// Guards against a warm-up that starts anew and that no other instance hears
// of: the record differs in nothing else.
TEST(Registry, AWarmupThatStartsAnewIsAChange) {
  wire::ServerRecord record = MakeRecord(5, 1);
  record.set_warmup_ms(8000);
  MergeServerRecord(this->registry, record, kStart);
  record.set_sequence(2);
  record.set_warmup_ms(5900);  // 2 s later, and 100 ms on the way.
  CHECK_FALSE(
      MergeServerRecord(this->registry, record, kStart + Milliseconds(2100)));
  record.set_sequence(3);
  record.set_warmup_ms(8000);
  CHECK(MergeServerRecord(this->registry, record, kStart + Milliseconds(4000)));
  CHECK_EQUAL(2, this->registry.change);
  // Also with the sequence number that is known, as control instances start
  // warm-ups by themselves.
  CHECK(MergeServerRecord(this->registry, record, kStart + Milliseconds(9000)));
  CHECK_EQUAL(8000, RemainingWarmup(this->registry.servers.at("i-1"),
                                    kStart + Milliseconds(9000))
                        .count());
}

// Guards against a change for each report at the end of a warm-up, when reports
// take different times to arrive.
TEST(Registry, AboutAsMuchWarmupTimeIsNoChange) {
  wire::ServerRecord record = MakeRecord(5, 1);
  record.set_warmup_ms(1000);
  MergeServerRecord(this->registry, record, kStart);
  record.set_sequence(2);
  record.set_warmup_ms(150);
  CHECK_FALSE(
      MergeServerRecord(this->registry, record, kStart + Milliseconds(1000)));
}

// Guards against a record with another change that ends a warm-up which the
// server does not know of.
TEST(Registry, AMergeDoesNotShortenAWarmup) {
  MergeServerRecord(this->registry, MakeRecord(5, 1), kStart);
  CHECK(StartWarmup(this->registry, "i-1", Milliseconds(8000), kStart));
  CHECK_FALSE(StartWarmup(this->registry, "i-1", Milliseconds(8000),
                          kStart + Milliseconds(500)));
  CHECK(MergeServerRecord(this->registry,
                          MakeRecord(5, 2, wire::SERVER_DRAINING),
                          kStart + Milliseconds(3000)));
  CHECK_EQUAL(5000, RemainingWarmup(this->registry.servers.at("i-1"),
                                    kStart + Milliseconds(3000))
                        .count());
  MergeServerRecord(this->registry, MakeRecord(6, 1),
                    kStart + Milliseconds(3000));
  CHECK_EQUAL(0, CurrentRecord(this->registry).warmup_ms());
}

/// Each control instance decides by itself how slow a server is: the word of a
/// server or of another control instance must not replace it, and a mark must
/// not pass to a server's next incarnation.
TEST(Registry, SlownessIsDecidedHereAndToldAsAChange) {
  Registry registry;
  MergeServerRecord(registry, MakeRecord(5, 1), kStart);
  const std::string id = CurrentRecord(registry).id();
  const std::uint64_t before = registry.change;
  SetSlowness(registry, id, 300);
  CHECK(registry.change > before);
  wire::ServerRecord report = MakeRecord(5, 2);
  report.set_slowness_percent(150);
  PreserveFailingState(registry, report);
  LONGS_EQUAL(300, report.slowness_percent());
  CHECK_FALSE(MergeServerRecord(registry, report, kStart));
  LONGS_EQUAL(300, CurrentRecord(registry).slowness_percent());
  wire::ServerRecord restarted = MakeRecord(6, 1);
  restarted.set_slowness_percent(150);
  PreserveFailingState(registry, restarted);
  LONGS_EQUAL(0, restarted.slowness_percent());
  SetSlowness(registry, "unknown", 300);
  LONGS_EQUAL(1, registry.servers.size());
}

/// An entry instance takes a changed slowness although the report is the same.
TEST(Registry, AChangedSlownessOfTheSameReportIsMerged) {
  Registry registry;
  wire::ServerRecord record = MakeRecord(5, 1);
  MergeServerRecord(registry, record, kStart);
  record.set_slowness_percent(200);
  CHECK(MergeServerRecord(registry, record, kStart));
  LONGS_EQUAL(200, CurrentRecord(registry).slowness_percent());
  record.set_slowness_percent(kMaxSlownessPercent + 1);
  CHECK_FALSE(CheckServerRecord(record).empty());
}
