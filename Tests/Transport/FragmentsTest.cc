#include <algorithm>
#include <cstring>
#include <random>
#include <string>

#include "Transport/Compression.h"
#include "Transport/Fragments.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kSender = 7;

std::string RandomBytes(std::size_t size, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random());
  }
  return bytes;
}

std::optional<std::string> AddDatagrams(
    Reassembler& reassembler, const std::vector<std::string>& datagrams) {
  std::optional<std::string> reassembled;
  for (const std::string& datagram : datagrams) {
    auto completed = reassembler.AddDatagram(kSender, datagram, kStart);
    if (completed) {
      reassembled = std::move(completed);
    }
  }
  return reassembled;
}

}  // namespace

TEST_GROUP(Fragments){};

TEST(Fragments, ReassemblesMessagesOfAnySize) {
  std::uint32_t id = 1;
  for (const std::size_t size :
       {0UL, 1UL, 599UL, 600UL, 1391UL, 1392UL, 5000UL, 300000UL}) {
    Reassembler reassembler;
    const std::string message = RandomBytes(size, size);
    const auto datagrams = SplitMessage(message, id++);
    for (const std::string& datagram : datagrams) {
      CHECK(datagram.size() <= kMaxDatagramBytes);
    }
    const auto reassembled = AddDatagrams(reassembler, datagrams);
    CHECK(reassembled.has_value());
    CHECK(*reassembled == message);
  }
}

TEST(Fragments, CompressesRepetitiveMessages) {
  const std::string message(100000, 'r');
  CHECK(SplitMessage(message, 1).size() < 3);
}

TEST(Fragments, AcceptsReorderedAndDuplicatedDatagrams) {
  Reassembler reassembler;
  const std::string message = RandomBytes(9000, 3);
  auto datagrams = SplitMessage(message, 5);
  std::reverse(datagrams.begin(), datagrams.end());
  CHECK_FALSE(
      reassembler.AddDatagram(kSender, datagrams[0], kStart).has_value());
  const auto reassembled = AddDatagrams(reassembler, datagrams);
  CHECK(reassembled.has_value());
  CHECK(*reassembled == message);
}

TEST(Fragments, KeepsFragmentsOfTwoSendersApart) {
  Reassembler reassembler;
  const auto left = SplitMessage(RandomBytes(2000, 1), 9);
  const auto right = SplitMessage(RandomBytes(2000, 2), 9);
  CHECK_FALSE(reassembler.AddDatagram(1, left[0], kStart).has_value());
  CHECK_FALSE(reassembler.AddDatagram(2, right[1], kStart).has_value());
}

TEST(Fragments, CountsAndRejectsMalformedDatagrams) {
  Reassembler reassembler;
  std::mt19937_64 random(11);
  std::uint64_t accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string datagram = SplitMessage(RandomBytes(1500, 4), 8)[0];
    datagram[random() % 9] = static_cast<char>(random());
    datagram.resize(random() % datagram.size());
    accepted += reassembler.AddDatagram(kSender, datagram, kStart) ? 1 : 0;
  }
  CHECK(reassembler.MalformedCount() > 0);
  // A truncated datagram of an uncompressed message in one fragment is accepted
  // as a shorter message, because the header has no length field.
  CHECK(accepted < 20000);
}

TEST(Fragments, DropsExpiredPartialMessages) {
  Reassembler reassembler;
  const auto datagrams = SplitMessage(RandomBytes(2000, 1), 1);
  CHECK_FALSE(
      reassembler.AddDatagram(kSender, datagrams[0], kStart).has_value());
  const auto others = SplitMessage(RandomBytes(2000, 2), 2);
  const TimePoint later = kStart + std::chrono::seconds(10);
  CHECK_FALSE(reassembler.AddDatagram(kSender, others[0], later).has_value());
  CHECK_FALSE(
      reassembler.AddDatagram(kSender, datagrams[1], later).has_value());
}

TEST(Fragments, LargestMessageIsKeptWhole) {
  Reassembler reassembler;
  const std::string message = RandomBytes(kMaxMessageBytes, 5);
  const auto reassembled = AddDatagrams(reassembler, SplitMessage(message, 1));
  CHECK(reassembled.has_value());
  CHECK(*reassembled == message);
  CHECK_EQUAL(0, reassembler.PartialBytes());
  CHECK(SplitMessage(RandomBytes(kMaxMessageBytes + 1, 5), 1).empty());
}

TEST(Fragments, PartialMessagesTakeBoundedMemory) {
  Reassembler reassembler;
  const std::string fragment = SplitMessage(RandomBytes(2000, 6), 1)[0];
  for (std::uint32_t id = 0; id < 40000; ++id) {
    std::string datagram = fragment;
    std::memcpy(&datagram[1], &id, sizeof(id));
    reassembler.AddDatagram(id % 50, datagram, kStart);
    CHECK(reassembler.PartialBytes() <= kMaxPartialBytes);
  }
  CHECK(reassembler.PartialBytes() > kMaxPartialBytes / 2);
  const TimePoint later = kStart + std::chrono::seconds(10);
  reassembler.AddDatagram(60, fragment, later);
  CHECK(reassembler.PartialBytes() < 2 * kMaxDatagramBytes);
}

TEST(Fragments, PartialMessagesOfOneSenderEvictNoOther) {
  Reassembler reassembler;
  const std::string message = RandomBytes(4U << 20U, 7);
  const auto datagrams = SplitMessage(message, 1);
  const std::string fragment = SplitMessage(RandomBytes(2000, 8), 1)[0];
  std::optional<std::string> reassembled;
  std::uint32_t id = 0;
  for (const std::string& datagram : datagrams) {
    for (int i = 0; i < 10; ++i) {
      std::string flood = fragment;
      std::memcpy(&flood[1], &++id, sizeof(id));
      reassembler.AddDatagram(9, flood, kStart);
    }
    reassembled = reassembler.AddDatagram(kSender, datagram, kStart);
  }
  CHECK(reassembled.has_value());
  CHECK(*reassembled == message);
}

TEST(Fragments, DatagramThatClaimsManyFragmentsTakesLittleMemory) {
  Reassembler reassembler;
  std::string datagram = SplitMessage(RandomBytes(2000, 6), 1)[0];
  for (const std::uint16_t count : {8000, 65535}) {
    std::memcpy(&datagram[1], &count, sizeof(count));
    std::memcpy(&datagram[7], &count, sizeof(count));
    CHECK_FALSE(reassembler.AddDatagram(kSender, datagram, kStart).has_value());
  }
  CHECK(reassembler.PartialBytes() < 2 * kMaxDatagramBytes);
  CHECK_EQUAL(1, reassembler.MalformedCount());
}

TEST(Fragments, ClaimedLengthThatCannotBeReachedIsRejected) {
  std::string compressed = Compress(std::string(100000, 'r'));
  CHECK(Uncompress(compressed) == std::string(100000, 'r'));
  const std::uint32_t claimed = 16U << 20U;
  std::memcpy(compressed.data(), &claimed, sizeof(claimed));
  CHECK_FALSE(Uncompress(compressed).has_value());
  CHECK_FALSE(Uncompress(compressed.substr(0, 4)).has_value());
}
