#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "Shell/ControlStore.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

wire::DurableRecord RecordWithTip(std::uint64_t seq, std::size_t bytes = 10) {
  wire::DurableRecord record;
  record.mutable_tip()->set_seq(seq);
  record.mutable_tip()->mutable_change()->mutable_rules()->set_text(
      std::string(bytes, 'x'));
  return record;
}

constexpr std::size_t kSectorBytes = 512;

/// Returns the sector boundaries of the part of a file from `begin` to `end`,
/// both included.
std::vector<std::size_t> SectorBounds(std::size_t begin, std::size_t end) {
  std::vector<std::size_t> bounds = {begin};
  for (std::size_t at = (begin / kSectorBytes + 1) * kSectorBytes; at < end;
       at += kSectorBytes) {
    bounds.push_back(at);
  }
  bounds.push_back(end);
  return bounds;
}

/// Returns `bytes` with each sector behind `begin` zero that `present` doesn't
/// name by its bit.
std::string KeepSectors(std::string bytes, std::size_t begin,
                        std::uint32_t present) {
  const std::vector<std::size_t> bounds = SectorBounds(begin, bytes.size());
  for (std::size_t i = 0; i + 1 < bounds.size(); ++i) {
    if ((present >> i & 1U) == 0) {
      std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(bounds[i]),
                bytes.begin() + static_cast<std::ptrdiff_t>(bounds[i + 1]),
                '\0');
    }
  }
  return bytes;
}

bool IsEndAfterOneRecord(const std::string& bytes, std::size_t first_bytes) {
  const auto contents = DecodeLog(bytes);
  return contents && contents.value().tail_truncated &&
         contents.value().records.size() == 1 &&
         contents.value().valid_bytes == first_bytes;
}

bool IsCorrupt(const std::string& bytes) {
  const auto contents = DecodeLog(bytes);
  return !contents && contents.error().error == StoreError::kCorrupt;
}

}  // namespace

TEST_GROUP(ControlStore) {
  std::string folder;
  void setup() override {
    this->folder = (std::filesystem::temp_directory_path() /
                    ("filbertwall-store-" + std::to_string(getpid())))
                       .string();
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directories(this->folder);
  }
  void teardown() override { std::filesystem::remove_all(this->folder); }

  std::string LogPath() const { return this->folder + "/control.log"; }
  void Write(const std::string& bytes) const {
    std::ofstream(this->LogPath(), std::ios::binary) << bytes;
  }
};

TEST(ControlStore, RestoresAppendedRecords) {
  {
    ControlStore store;
    CHECK(store.Open(this->folder).has_value());
    CHECK(store.Append(RecordWithTip(1)).has_value());
    CHECK(store.Append(RecordWithTip(2)).has_value());
  }
  ControlStore store;
  const auto contents = store.Open(this->folder);
  LONGS_EQUAL(2, contents.value().records.size());
  LONGS_EQUAL(2, contents.value().records[1].tip().seq());
}

TEST(ControlStore, DropsIncompleteLastRecordOfEveryLength) {
  const std::string first = EncodeRecord(RecordWithTip(1));
  const std::string second = EncodeRecord(RecordWithTip(2));
  for (std::size_t kept = 1; kept < second.size(); ++kept) {
    const auto contents = DecodeLog(first + second.substr(0, kept));
    CHECK(contents.has_value());
    CHECK(contents.value().tail_truncated);
    LONGS_EQUAL(1, contents.value().records.size());
    LONGS_EQUAL(first.size(), contents.value().valid_bytes);
  }
}

TEST(ControlStore, AppendsAfterTruncatedTail) {
  const std::string second = EncodeRecord(RecordWithTip(2));
  this->Write(EncodeRecord(RecordWithTip(1)) + second.substr(0, 20));
  {
    ControlStore store;
    CHECK(store.Open(this->folder).has_value());
    CHECK(store.Append(RecordWithTip(3)).has_value());
  }
  ControlStore store;
  LONGS_EQUAL(3, store.Open(this->folder).value().records[1].tip().seq());
}

TEST(ControlStore, ReportsEveryFlippedByteBeforeLastRecord) {
  const std::string first = EncodeRecord(RecordWithTip(1));
  const std::string second = EncodeRecord(RecordWithTip(2));
  for (std::size_t i = 0; i < first.size(); ++i) {
    std::string bytes = first + second;
    bytes[i] = static_cast<char>(bytes[i] ^ 0x40);
    const auto contents = DecodeLog(bytes);
    CHECK_FALSE(contents.has_value());
    CHECK(contents.error().error == StoreError::kCorrupt);
  }
}

TEST(ControlStore, RecordTornAtAnyByteWithZerosBehindIsTheEnd) {
  const std::string first = EncodeRecord(RecordWithTip(1));
  for (const std::size_t length : {0U, 1U, 10U, 100U, 236U, 500U, 1500U}) {
    const std::string second = EncodeRecord(RecordWithTip(2, length));
    for (std::size_t kept = 0; kept < second.size(); ++kept) {
      const std::string zeros(second.size() - kept, '\0');
      const std::string torn = first + second.substr(0, kept) + zeros;
      CHECK(torn == first + second || IsEndAfterOneRecord(torn, first.size()));
    }
  }
}

TEST(ControlStore, LastRecordThatLacksAnySectorsIsTheEnd) {
  for (std::size_t shift = 0; shift < kSectorBytes; ++shift) {
    const std::string first = EncodeRecord(RecordWithTip(1, 10 + shift));
    const std::string whole = first + EncodeRecord(RecordWithTip(2, 1700));
    const std::size_t sectors =
        SectorBounds(first.size(), whole.size()).size() - 1;
    for (std::uint32_t present = 0; present < 1U << sectors; ++present) {
      const std::string torn = KeepSectors(whole, first.size(), present);
      CHECK(torn == whole || IsEndAfterOneRecord(torn, first.size()));
      std::string short_file = torn;
      short_file.resize(torn.find_last_not_of('\0') + 1);
      CHECK(short_file.size() <= first.size() || torn == whole ||
            IsEndAfterOneRecord(short_file, first.size()));
    }
  }
}

TEST(ControlStore, DamagedRecordBeforeALaterOneIsAnErrorHoweverItIsTorn) {
  const std::string third = EncodeRecord(RecordWithTip(3, 700));
  for (std::size_t shift = 0; shift < kSectorBytes; shift += 5) {
    const std::string first = EncodeRecord(RecordWithTip(1, 10 + shift));
    const std::string two = first + EncodeRecord(RecordWithTip(2, 1100));
    const std::size_t sectors =
        SectorBounds(first.size(), two.size()).size() - 1;
    for (std::uint32_t present = 0; present < 1U << sectors; ++present) {
      const std::string torn = KeepSectors(two, first.size(), present);
      CHECK(torn == two || IsCorrupt(torn + third));
      CHECK(torn == two || IsCorrupt(torn + third.substr(0, 300)));
    }
    for (std::size_t kept = first.size(); kept < two.size(); ++kept) {
      const std::string torn =
          two.substr(0, kept) + std::string(two.size() - kept, '\0');
      CHECK(IsCorrupt(torn + third));
    }
  }
}

TEST(ControlStore, FlippedByteOfTheLastRecordIsNoTornWrite) {
  const std::string first = EncodeRecord(RecordWithTip(1));
  const std::string whole = first + EncodeRecord(RecordWithTip(2, 300));
  for (std::size_t i = first.size(); i < whole.size(); ++i) {
    std::string bytes = whole;
    bytes[i] = static_cast<char>(bytes[i] ^ 0x40);
    const auto contents = DecodeLog(bytes);
    // A length that leads beyond the file fails its check.
    CHECK_FALSE(contents.has_value());
  }
}

TEST(ControlStore, PassesRecordsToAVisitorWithoutKeepingThem) {
  std::string bytes;
  for (std::uint64_t seq = 1; seq <= 5; ++seq) {
    bytes += EncodeRecord(RecordWithTip(seq, 100000));
  }
  this->Write(bytes + "torn");
  ControlStore store;
  std::uint64_t last = 0;
  const auto contents = store.Open(
      this->folder,
      [&](wire::DurableRecord&& record) { last = record.tip().seq(); });
  CHECK(contents.value().records.empty());
  CHECK(contents.value().tail_truncated);
  LONGS_EQUAL(5, last);
  LONGS_EQUAL(bytes.size(), contents.value().valid_bytes);
}

TEST(ControlStore, FailedReplacementLeavesTheLogAndNoOtherFile) {
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit previous_limit{};
  getrlimit(RLIMIT_FSIZE, &previous_limit);
  {
    ControlStore store;
    CHECK(store.Open(this->folder).has_value());
    CHECK(store.Append(RecordWithTip(1, 1000)).has_value());
    const rlimit reduced_limit{.rlim_cur = 16,
                               .rlim_max = previous_limit.rlim_max};
    setrlimit(RLIMIT_FSIZE, &reduced_limit);
    CHECK_FALSE(store.Replace(RecordWithTip(2, 1000)).has_value());
    setrlimit(RLIMIT_FSIZE, &previous_limit);
  }
  CHECK_FALSE(std::filesystem::exists(this->LogPath() + ".new"));
  ControlStore store;
  LONGS_EQUAL(1, store.Open(this->folder).value().records[0].tip().seq());
}

TEST(ControlStore, RejectsSecondOpenOfSameFolder) {
  ControlStore first;
  CHECK(first.Open(this->folder).has_value());
  ControlStore second;
  CHECK(second.Open(this->folder).error().error == StoreError::kLocked);
}

TEST(ControlStore, ReplacesLogBySnapshotRecord) {
  {
    ControlStore store;
    CHECK(store.Open(this->folder).has_value());
    for (std::uint64_t i = 1; i <= 100; ++i) {
      CHECK(store.Append(RecordWithTip(i, 1000)).has_value());
    }
    CHECK(store.NeedsSnapshot());
    CHECK(store.Replace(RecordWithTip(100)).has_value());
    CHECK_FALSE(store.NeedsSnapshot());
    CHECK(store.Append(RecordWithTip(101)).has_value());
  }
  CHECK(std::filesystem::file_size(this->LogPath()) < 1000);
  ControlStore store;
  LONGS_EQUAL(2, store.Open(this->folder).value().records.size());
}

TEST(ControlStore, RejectsWritesAfterFullDiskAndKeepsLogValid) {
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit previous_limit{};
  getrlimit(RLIMIT_FSIZE, &previous_limit);
  {
    ControlStore store;
    CHECK(store.Open(this->folder).has_value());
    CHECK(store.Append(RecordWithTip(1, 1000)).has_value());
    const rlimit reduced_limit{.rlim_cur = 2000,
                               .rlim_max = previous_limit.rlim_max};
    setrlimit(RLIMIT_FSIZE, &reduced_limit);
    CHECK(store.Append(RecordWithTip(2, 1000)).error().error ==
          StoreError::kWriteFailed);
    setrlimit(RLIMIT_FSIZE, &previous_limit);
    // The disk has free space again, but it is unknown which data reached it.
    CHECK_FALSE(store.Append(RecordWithTip(3)).has_value());
    CHECK_FALSE(store.Replace(RecordWithTip(3)).has_value());
  }
  ControlStore store;
  const auto contents = store.Open(this->folder);
  CHECK(contents.has_value());
  LONGS_EQUAL(1, contents.value().records.size());
}
