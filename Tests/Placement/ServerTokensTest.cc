#include <map>
#include <set>
#include <string>
#include <utility>

#include "Placement/Placement.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

wire::ServerRecord MakeRecord(const std::string& id, std::uint32_t ip) {
  wire::ServerRecord record;
  record.set_id(id);
  record.set_service("catalogue");
  record.set_ip(ip);
  record.set_port(80);
  record.set_slots(3);
  record.set_data_centre("here");
  record.set_incarnation(1);
  return record;
}

/// Returns two ids that have both tokens in common.
std::pair<std::string, std::string> FindIdsWithAllTokensInCommon() {
  constexpr int kMaxIds = 1000000;
  std::map<TokenList, std::string> seen;
  for (int i = 0; i < kMaxIds; ++i) {
    const std::string id = "i-" + std::to_string(i) + "00000007";
    const auto [other, added] =
        seen.emplace(TokensOf(id, ParseServerNumber(id)), id);
    if (!added) {
      return {other->second, id};
    }
  }
  return {};
}

}  // namespace

TEST_GROUP(ServerTokens) {
  Placement placement{.config = {.data_centre = "here", .seed = 5}};
  std::uint32_t next_ip = 1;

  void Add(const std::string& id) {
    UpdateServer(this->placement, MakeRecord(id, this->next_ip++), kStart);
    RefreshUsable(this->placement);
  }

  std::uint32_t TokenOf(const std::string& id) {
    return this->placement.servers[this->placement.by_id.at(id)].token;
  }

  std::set<std::string> ChosenServers() {
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i) {
      if (const auto index =
              ChooseServer(this->placement, PlacementRequest{}, kStart)) {
        chosen.insert(this->placement.servers[*index].id);
      }
    }
    return chosen;
  }
};

/// Guards against builds before 0.11 that don't understand the tokens of this
/// one: they read the low 32 bits of the server's number.
TEST(ServerTokens, TokenIsTheLowEndOfTheNumberUnlessItIsShared) {
  this->Add("i-0100000001");
  CHECK_EQUAL(0x00000001U, this->TokenOf("i-0100000001"));
  this->Add("i-0100000002");
  CHECK_EQUAL(0x00000001U, this->TokenOf("i-0100000001"));
}

/// Guards against a server that gets no flows because another one has the same
/// token, and against flows whose server only the order of records decides.
TEST(ServerTokens, ServersWithACommonTokenAreAllChosenAndGetOthers) {
  this->Add("i-0100000001");
  this->Add("i-0200000001");
  this->Add("i-0300000001");
  LONGS_EQUAL(3, this->ChosenServers().size());
  const std::set<std::uint32_t> tokens = {this->TokenOf("i-0100000001"),
                                          this->TokenOf("i-0200000001"),
                                          this->TokenOf("i-0300000001")};
  LONGS_EQUAL(3, tokens.size());
  CHECK_FALSE(tokens.contains(0x00000001U));
  CHECK_FALSE(tokens.contains(kNoToken));
}

/// Guards against a token that packets without one seem to carry.
TEST(ServerTokens, NoServerIsGivenTheTokenOfPacketsWithoutOne) {
  this->Add("i-0100000000");
  this->Add("xyz");
  LONGS_EQUAL(2, this->ChosenServers().size());
  CHECK(this->TokenOf("i-0100000000") != kNoToken);
  CHECK(this->TokenOf("xyz") != kNoToken);
}

/// Guards against flows of a server whose packets other instances would send to
/// another one.
TEST(ServerTokens, ExcludesOnlyServersWithoutATokenOfTheirOwn) {
  const auto [first, second] = FindIdsWithAllTokensInCommon();
  CHECK(!first.empty());
  const std::string third = "i-0100000007";
  this->Add(first);
  this->Add(third);
  LONGS_EQUAL(2, this->ChosenServers().size());
  this->Add(second);
  CHECK(this->ChosenServers() == std::set<std::string>{third});
  CHECK_EQUAL(kNoToken, this->TokenOf(first));
  CHECK_EQUAL(kNoToken, this->TokenOf(second));
}
