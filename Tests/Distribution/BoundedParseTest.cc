#include <string>

#include "Distribution/BoundedParse.h"
#include "Wire/distribution.pb.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

TEST_GROUP(BoundedParse){};

TEST(BoundedParse, NestedGroupsOverflowNoStack) {
  constexpr std::size_t kDepth = 1000000;
  constexpr char kStartGroup = (15 << 3) | 3;  // A field that is not known.
  wire::FleetMessage message;
  CHECK_FALSE(ParseBounded(message, std::string(kDepth, kStartGroup),
                           kMaxMessageMemory));
  CHECK_FALSE(message.ParseFromString(std::string(kDepth, kStartGroup)));
}

TEST(BoundedParse, EmptySubmessagesTakeLittleMemory) {
  constexpr std::size_t kCount = 1000000;
  std::string routes;
  for (std::size_t i = 0; i < kCount; ++i) {
    routes += std::string("\x1a\x00", 2);
  }
  wire::RoutesUpdate parsed;
  CHECK_FALSE(ParseBounded(parsed, routes, kMaxMessageMemory));
  LONGS_EQUAL(0, parsed.set_size());
}
