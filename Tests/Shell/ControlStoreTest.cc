#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

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
