#include <string>

#include "Distribution/PackedContents.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kMaxRecords = 50;

/// Values of packed fields that cannot be decoded.
const std::vector<std::string> kUndecodable = {
    std::string("c"), std::string("cxxxxxxxxxxxx"), std::string("p\x0a\xff"),
    std::string("c\xff\xff\xff\xff")};

Rules MakeRules(std::uint64_t version, std::uint16_t last_port) {
  Rules rules{.version = version};
  for (std::uint16_t port = 1; port <= last_port; ++port) {
    AddressRule rule{.address = {.ip = 5, .port = port}, .service = "proof"};
    rule.shares.push_back(WeightedService{.service = "proof"});
    rules.addresses[rule.address] = rule;
  }
  return rules;
}

void AddServer(Registry& registry, const std::string& id) {
  wire::ServerRecord record;
  record.set_id(id);
  record.set_service("proof");
  record.set_ip(7);
  record.set_port(80);
  record.set_slots(2);
  record.set_incarnation(1);
  MergeServerRecord(registry, record, kStart);
}

}  // namespace

TEST_GROUP(PackedContents) {
  PackedContents packed;
  RouteHistory history;
  Registry registry;

  void setup() override {
    AddVersion(this->history, MakeRules(3, 1000));
    for (int i = 0; i < 80; ++i) {
      AddServer(this->registry, "a" + std::to_string(i));
    }
  }
};

TEST(PackedContents, PacksRoutesOnceForAllReceivers) {
  const std::string& first = PackRoutesSince(this->packed, this->history, 0);
  const std::string& other = PackRoutesSince(this->packed, this->history, 1);
  CHECK(first.data() == other.data());
  CHECK(first.size() < 10000);
  wire::Update update;
  update.set_packed_routes(first);
  CHECK(UnpackUpdate(update));
  LONGS_EQUAL(1000, update.routes().set_size());
  CHECK(update.packed_routes().empty());
}

TEST(PackedContents, PacksRoutesAgainForANewVersion) {
  PackRoutesSince(this->packed, this->history, 0);
  AddVersion(this->history, MakeRules(4, 1001));
  wire::Update update;
  update.set_packed_routes(PackRoutesSince(this->packed, this->history, 3));
  CHECK(UnpackUpdate(update));
  CHECK_EQUAL(3, update.routes().base_version());
  LONGS_EQUAL(1, update.routes().set_size());
  CHECK(PackRoutesSince(this->packed, this->history, 4).empty());
}

TEST(PackedContents, PacksRecordsOnceUntilOneChanges) {
  const PackedRecords& first =
      PackRecordsAfter(this->packed, this->registry, 0, kMaxRecords, kStart);
  CHECK_FALSE(first.complete);
  LONGS_EQUAL(kMaxRecords, first.change);
  const char* bytes = first.bytes.data();
  CHECK(bytes ==
        PackRecordsAfter(this->packed, this->registry, 0, kMaxRecords, kStart)
            .bytes.data());
  AddServer(this->registry, "b");
  wire::Update update;
  update.set_packed_servers(
      PackRecordsAfter(this->packed, this->registry, 80, kMaxRecords, kStart)
          .bytes);
  CHECK(UnpackUpdate(update));
  LONGS_EQUAL(1, update.servers_size());
  CHECK_EQUAL(std::string("b"), update.servers(0).id());
}

TEST(PackedContents, RefreshesTheRemainingWarmupTime) {
  wire::ServerRecord record;
  record.set_id("cold");
  record.set_service("proof");
  record.set_ip(7);
  record.set_port(80);
  record.set_slots(2);
  record.set_incarnation(1);
  record.set_warmup_ms(2000);
  MergeServerRecord(this->registry, record, kStart);
  PackRecordsAfter(this->packed, this->registry, 80, kMaxRecords, kStart);
  wire::Update update;
  update.set_packed_servers(PackRecordsAfter(this->packed, this->registry, 80,
                                             kMaxRecords,
                                             kStart + Milliseconds(1500))
                                .bytes);
  CHECK(UnpackUpdate(update));
  LONGS_EQUAL(500, update.servers(0).warmup_ms());
}

TEST(PackedContents, UndecodableRecordsAreNotTakenAndHideNoRoutes) {
  for (const std::string& bytes : kUndecodable) {
    wire::Update update;
    update.set_packed_routes(PackRoutesSince(this->packed, this->history, 0));
    update.set_packed_servers(bytes);
    update.set_registry_epoch(9);
    update.set_registry_change(80);
    CHECK_FALSE(UnpackUpdate(update));
    LONGS_EQUAL(1000, update.routes().set_size());
    LONGS_EQUAL(0, update.servers_size());
    // The receiver's position must not move past records that it lacks.
    CHECK_EQUAL(0, update.registry_epoch());
    CHECK_EQUAL(0, update.registry_change());
  }
}

TEST(PackedContents, UndecodableRoutesAreNotTakenAndHideNoRecords) {
  for (const std::string& bytes : kUndecodable) {
    wire::Update update;
    update.set_packed_routes(bytes);
    update.set_packed_servers(
        PackRecordsAfter(this->packed, this->registry, 0, kMaxRecords, kStart)
            .bytes);
    update.set_registry_epoch(9);
    CHECK_FALSE(UnpackUpdate(update));
    CHECK_FALSE(update.has_routes());
    LONGS_EQUAL(kMaxRecords, update.servers_size());
    CHECK_EQUAL(9, update.registry_epoch());
  }
}

TEST(PackedContents, RecordThatIsNoTextHidesNoOtherRecord) {
  AddServer(this->registry, "i-\xff\xfe");
  wire::ServerRecords records;
  for (const auto& [id, server] : this->registry.servers) {
    *records.add_servers() = server.record;
  }
  wire::Update update;
  update.set_packed_servers("p" + records.SerializeAsString());
  const SetAsideRecords set_aside = ReadUpdate(update);
  CHECK_EQUAL(1, set_aside.total);
  CHECK_EQUAL(1, set_aside.counts.Get(InputError::kNotUtf8));
  LONGS_EQUAL(80, update.servers_size());
}

TEST(PackedContents, RecordThatIsNoTextIsNotSentOn) {
  AddServer(this->registry, "i-\xff\xfe");
  AddServer(this->registry, "b");
  const PackedRecords& records =
      PackRecordsAfter(this->packed, this->registry, 80, kMaxRecords, kStart);
  wire::Update update;
  update.set_packed_servers(records.bytes);
  CHECK(UnpackUpdate(update));
  LONGS_EQUAL(1, update.servers_size());
  CHECK_EQUAL(82, records.change);
}
