#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "Shell/SavedRegistry.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

wire::SavedRegistry MakeRegistry() {
  wire::SavedRegistry saved;
  for (const char* id : {"i-01", "i-02", "i-03"}) {
    wire::ServerRecord& record = *saved.add_servers();
    record.set_id(id);
    record.set_service("alpha");
    record.set_port(80);
  }
  saved.add_followers(0x7F000201);
  saved.add_control_instances(0x7F000102);
  return saved;
}

}  // namespace

TEST_GROUP(SavedRegistry) {
  std::string path;
  void setup() override {
    this->path = (std::filesystem::temp_directory_path() /
                  ("filbertwall-servers-" + std::to_string(getpid())))
                     .string();
  }
  void teardown() override {
    std::filesystem::remove_all(this->path);
    std::filesystem::remove_all(this->path + ".unreadable");
  }
  void Write(const std::string& bytes) const {
    std::ofstream(this->path, std::ios::binary) << bytes;
  }
};

TEST(SavedRegistry, IsReadAsItWasSaved) {
  const std::string bytes = MakeRegistry().SerializeAsString();
  const auto parsed = ParseSavedRegistry(bytes);
  LONGS_EQUAL(0, parsed->unreadable_servers);
  CHECK(bytes == parsed->saved.SerializeAsString());
  CHECK(ParseSavedRegistry("")->saved.servers().empty());
}

TEST(SavedRegistry, RecordThatCannotBeParsedHidesNoOtherRecord) {
  std::string bytes = MakeRegistry().SerializeAsString();
  // The length of the id is now beyond the end of its record.
  bytes[bytes.find("i-02") - 1] = '\x7f';
  const auto parsed = ParseSavedRegistry(bytes);
  LONGS_EQUAL(1, parsed->unreadable_servers);
  LONGS_EQUAL(2, parsed->saved.servers_size());
  STRCMP_EQUAL("i-03", parsed->saved.servers(1).id().c_str());
  LONGS_EQUAL(1, parsed->saved.followers_size());
  LONGS_EQUAL(1, parsed->saved.control_instances_size());
}

TEST(SavedRegistry, EveryCutAndEveryFlippedBitIsReadOrRefused) {
  const std::string bytes = MakeRegistry().SerializeAsString();
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    ParseSavedRegistry(bytes.substr(0, i));
    for (unsigned bit = 0; bit < 8; ++bit) {
      std::string damaged = bytes;
      damaged[i] = static_cast<char>(damaged[i] ^ (1U << bit));
      const auto parsed = ParseSavedRegistry(damaged);
      CHECK(!parsed || parsed->saved.servers_size() <= 4);
    }
  }
}

TEST(SavedRegistry, UnreadableFileIsSetAside) {
  for (const std::string& bytes :
       {std::string("no registry"), std::string(100, '\xff'),
        MakeRegistry().SerializeAsString() + "\x0a\x7f"}) {
    this->Write(bytes);
    LONGS_EQUAL(0, LoadSavedRegistry(this->path).servers_size());
    CHECK_FALSE(std::filesystem::exists(this->path));
    CHECK(std::filesystem::exists(this->path + ".unreadable"));
  }
}

TEST(SavedRegistry, FileOfAnyLengthOrKindIsSetAside) {
  this->Write("x");
  std::filesystem::resize_file(this->path, 1UL << 40U);
  LONGS_EQUAL(0, LoadSavedRegistry(this->path).servers_size());
  CHECK_FALSE(std::filesystem::exists(this->path));
  std::filesystem::remove(this->path + ".unreadable");
  std::filesystem::create_directory(this->path);
  LONGS_EQUAL(0, LoadSavedRegistry(this->path).servers_size());
  CHECK_FALSE(std::filesystem::exists(this->path));
}
