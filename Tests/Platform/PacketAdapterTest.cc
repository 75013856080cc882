#include <array>
#include <random>
#include <vector>

#include "platform/PacketAdapter.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;
using namespace filbertwall::platform;

namespace {

/// Returns the example from the platform's documentation: a SYN from
/// 100.64.0.7:40001 to 198.18.0.1:443.
std::vector<std::uint8_t> MakeSyn() {
  return {0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0xd5, 0xc3, 0xb2,
          0xa1, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00, 0x12, 0xc6, 0x41, 0x9c,
          0xbb, 0x01, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00};
}

}  // namespace

TEST_GROUP(PacketAdapter) { PacketCodec codec = MakePacketCodec(); };

TEST(PacketAdapter, ParsesASyn) {
  FlowPacket packet;
  CHECK(this->codec.parse(MakeSyn(), packet));
  CHECK(packet.opens);
  CHECK_FALSE(packet.closes);
  STRCMP_EQUAL("100.64.0.7:40001", FormatEndpoint(packet.key.caller).c_str());
  STRCMP_EQUAL("198.18.0.1:443", FormatEndpoint(packet.key.address).c_str());
  CHECK_EQUAL(0, packet.token);
}

TEST(PacketAdapter, CopyCountOfASynGivesTheTimeToTheNextCopy) {
  const std::array<int, 5> expected = {200, 400, 800, 0, 0};
  for (std::uint8_t copies = 0; copies < expected.size(); ++copies) {
    std::vector<std::uint8_t> bytes = MakeSyn();
    bytes[4] = copies;
    FlowPacket packet;
    CHECK(this->codec.parse(bytes, packet));
    LONGS_EQUAL(expected[copies], packet.retransmit_after.count());
  }
}

TEST(PacketAdapter, CountsThatNoCallerReachesAreRejected) {
  for (const std::uint32_t copies :
       {16U, 255U, 256U, 1U << 31U, UINT32_MAX - 1, UINT32_MAX}) {
    std::vector<std::uint8_t> bytes = MakeSyn();
    for (std::size_t i = 0; i < 4; ++i) {
      bytes[4 + i] = static_cast<std::uint8_t>(copies >> (8 * i));
    }
    FlowPacket packet;
    CHECK_FALSE(this->codec.parse(bytes, packet));
  }
}

TEST(PacketAdapter, ACopyBeyondTheScheduleComesAfterItsEnd) {
  for (const std::uint8_t copies : {3, 4, 15}) {
    std::vector<std::uint8_t> bytes = MakeSyn();
    bytes[4] = copies;
    FlowPacket packet;
    CHECK(this->codec.parse(bytes, packet));
    LONGS_EQUAL(1400, packet.since_first_copy.count());
  }
}

TEST(PacketAdapter, ASynWithAnotherFlagIsNoCallersPacket) {
  constexpr std::size_t kFlagsOffset = 26;
  for (const std::uint8_t other : {4, 8, 2, 4 | 8 | 2}) {
    std::vector<std::uint8_t> bytes = MakeSyn();
    bytes[kFlagsOffset] |= other;
    FlowPacket packet;
    CHECK_FALSE(this->codec.parse(bytes, packet));
  }
}

TEST(PacketAdapter, CallersThatNothingCanBeSentToAreRejected) {
  constexpr std::size_t kIpOffset = 12;
  constexpr std::size_t kPortOffset = 20;
  const std::vector<std::vector<std::uint8_t>> addresses = {
      {0, 0, 0, 0}, {255, 255, 255, 255}, {1, 0, 0, 224}, {1, 0, 0, 239}};
  FlowPacket packet;
  for (const std::vector<std::uint8_t>& address : addresses) {
    std::vector<std::uint8_t> bytes = MakeSyn();
    std::copy(address.begin(), address.end(), bytes.begin() + kIpOffset);
    CHECK_FALSE(this->codec.parse(bytes, packet));
  }
  std::vector<std::uint8_t> bytes = MakeSyn();
  bytes[kPortOffset] = bytes[kPortOffset + 1] = 0;
  CHECK_FALSE(this->codec.parse(bytes, packet));
}

TEST(PacketAdapter, PayloadsLongerThanAPacketsAreRejected) {
  constexpr std::size_t kLengthOffset = 24;
  for (const std::size_t payload : {1200UL, 1201UL, 1468UL, 2016UL, 65475UL}) {
    std::vector<std::uint8_t> bytes = MakeSyn();
    bytes.resize(32 + payload);
    bytes[kLengthOffset] = static_cast<std::uint8_t>(payload);
    bytes[kLengthOffset + 1] = static_cast<std::uint8_t>(payload >> 8U);
    FlowPacket packet;
    CHECK_EQUAL(payload == 1200, this->codec.parse(bytes, packet));
  }
}

TEST(PacketAdapter, ResetMatchesThePlatformExample) {
  const std::vector<std::uint8_t> expected = {
      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
      0x00, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64, 0xbb, 0x01,
      0x41, 0x9c, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00};
  std::array<std::uint8_t, 64> out{};
  const std::size_t length = this->codec.write_reset(MakeSyn(), out);
  CHECK(std::vector<std::uint8_t>(out.begin(), out.begin() + length) ==
        expected);
}

TEST(PacketAdapter, WritingTheTokenKeepsTheOtherFields) {
  std::vector<std::uint8_t> bytes = MakeSyn();
  this->codec.write_token(bytes, 0x7f3a91c2);
  FlowPacket packet;
  CHECK(this->codec.parse(bytes, packet));
  CHECK_EQUAL(0x7f3a91c2, packet.token);
  const std::vector<std::uint8_t> original = MakeSyn();
  CHECK(std::equal(bytes.begin(), bytes.begin() + 28, original.begin()));
}

TEST(PacketAdapter, ServerNumberIsBigEndian) {
  std::array<std::uint8_t, 16> out{};
  LONGS_EQUAL(8, this->codec.write_header(0x92c3923b0d, out));
  const std::array<std::uint8_t, 8> expected = {0,    0,    0,    0x92,
                                                0xc3, 0x92, 0x3b, 0x0d};
  CHECK(std::equal(expected.begin(), expected.end(), out.begin()));
}

TEST(PacketAdapter, WrongLengthsAreRejected) {
  FlowPacket packet;
  std::vector<std::uint8_t> bytes = MakeSyn();
  bytes.push_back(0);
  CHECK_FALSE(this->codec.parse(bytes, packet));
  std::mt19937 random(3);
  for (std::size_t length = 0; length < 32; ++length) {
    std::vector<std::uint8_t> noise(length);
    for (std::uint8_t& byte : noise) {
      byte = static_cast<std::uint8_t>(random());
    }
    CHECK_FALSE(this->codec.parse(noise, packet));
  }
}
