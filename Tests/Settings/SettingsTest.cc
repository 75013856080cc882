#include <string>

#include "Settings/Settings.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

/// Returns the settings of an entry instance of a fleet, with these lines added
/// to its section [instance].
std::string MakeText(const std::string& lines) {
  return "[instance]\nid = 10.1.0.1\nroles = entry\n"
         "packet_address = 10.1.0.1:8172\nannounce_address = 10.1.0.1:8167\n"
         "control_address = 10.1.0.1:7720\n" +
         lines + "\n[fleet]\nseeds = 10.1.0.2:8166\n[security]\nmode = none\n";
}

ParsedSettings Parse(const std::string& text) {
  return ParseSettings(text, "test.ini");
}

std::string DataCentreOf(const std::string& value) {
  return Parse(MakeText("data_centre = " + value)).settings.data_centre;
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, AnEmptyValueCountsAsLeftOut) {
  const ParsedSettings parsed =
      Parse(MakeText("data_centre = dc\ndrain_limit =\ndata_folder = "));
  LONGS_EQUAL(0, parsed.findings.size());
  LONGS_EQUAL(30000, parsed.settings.drain_limit.count());
}

/// A share is a limit that the operator sets, so a value that could be read in
/// two ways must not be taken.
TEST(Settings, SharesOfExtraWorkAreLimited) {
  const auto parse = [](const std::string& value) {
    return Parse(MakeText("data_centre = dc\nhedge_budget = " + value));
  };
  for (const std::string value : {"0", "0.02", "0.5", ".5", "0.125"}) {
    const ParsedSettings parsed = parse(value);
    LONGS_EQUAL(0, parsed.findings.size());
    DOUBLES_EQUAL(std::stod(value), parsed.settings.hedge_budget, 1e-9);
  }
  for (const std::string value :
       {"0.51", "1", "-0.1", "-0", "5%", "0,1", "nan", "inf", "1e-1", "0.1234",
        "0x0.1", "0.1 0.2", "+0.1"}) {
    const ParsedSettings parsed = parse(value);
    LONGS_EQUAL(1, parsed.findings.size());
    DOUBLES_EQUAL(0, parsed.settings.hedge_budget, 0);
    CHECK(parsed.usable);
  }
}

TEST(Settings, LongPathsAreReadInFull) {
  const std::string path = "/" + std::string(4000, 'p');
  const ParsedSettings parsed =
      Parse(MakeText("data_centre = dc\ndata_folder = " + path));
  LONGS_EQUAL(0, parsed.findings.size());
  CHECK(parsed.settings.data_folder == path);
}

TEST(Settings, ALineBeyondTheLimitIsAFindingOfItsLine) {
  const ParsedSettings parsed = Parse(
      MakeText("data_centre = dc\ndata_folder = " + std::string(5000, 'p')));
  LONGS_EQUAL(1, parsed.findings.size());
  LONGS_EQUAL(8, parsed.findings[0].line);
  CHECK(parsed.usable);
}

TEST(Settings, NamesMayHoldAnyPrintableText) {
  STRCMP_EQUAL("a b#c=d:e", DataCentreOf("a b#c=d:e").c_str());
  STRCMP_EQUAL("a ; b", DataCentreOf(R"("a ; b")").c_str());
  STRCMP_EQUAL(" \"x\" ", DataCentreOf(R"(" \"x\" ")").c_str());
  STRCMP_EQUAL("Caf\xC3\xA9", DataCentreOf("Caf\xC3\xA9").c_str());
  STRCMP_EQUAL("a", DataCentreOf("a ; a comment").c_str());
}

TEST(Settings, NamesThatNoMessageCanCarryAreFindings) {
  const std::string nul("a\0b", 3);
  for (const std::string& value :
       {std::string("\xFF\xFE"), std::string("a\xC3"), std::string(201, 'a'),
        nul, std::string(R"("a\u0000b")"), std::string(R"("a\nb")"),
        std::string(R"("a)"), std::string(R"("a"b)")}) {
    const ParsedSettings parsed = Parse(MakeText("data_centre = " + value));
    STRCMP_EQUAL("", parsed.settings.data_centre.c_str());
    LONGS_EQUAL(2, parsed.findings.size());
    LONGS_EQUAL(7, parsed.findings[0].line);
    CHECK(parsed.usable);
  }
}

TEST(Settings, FindingsHoldPrintableTextOnly) {
  const ParsedSettings parsed =
      Parse(MakeText("data_centre = dc\ndrain_limit = \xFF\x1B[2J"));
  LONGS_EQUAL(1, parsed.findings.size());
  STRCMP_EQUAL("\\xFF\\x1B[2J", parsed.findings[0].text.c_str());
}

TEST(Settings, LineEndsAByteOrderMarkAndIndentationAreNoMatter) {
  std::string text = MakeText("  data_centre = dc");
  for (std::size_t at = 0; (at = text.find('\n', at)) != std::string::npos;
       at += 2) {
    text.replace(at, 1, "\r\n");
  }
  const ParsedSettings parsed = Parse("\xEF\xBB\xBF" + text);
  LONGS_EQUAL(0, parsed.findings.size());
  STRCMP_EQUAL("dc", parsed.settings.data_centre.c_str());
}

TEST(Settings, AFleetNeedsNoValueThatHasADefault) {
  for (const char* lines :
       {"", "drain_limit = soon", "colour = red", "not a line", "[odd]\na=b"}) {
    const ParsedSettings parsed = Parse(MakeText(lines));
    CHECK(parsed.usable);
    CHECK_FALSE(parsed.findings.empty());
  }
  const ParsedSettings parsed = Parse(
      "[instance]\nroles = entry\npacket_address = 10.1.0.1:8172\n"
      "announce_address = 10.1.0.1:8167\ncontrol_address = 10.1.0.1:7720\n"
      "[fleet]\ntolerated_losses =\n[security]\nmode = none\n");
  CHECK(parsed.usable);
  LONGS_EQUAL(0x0a010001, parsed.settings.id);
  LONGS_EQUAL(1, parsed.settings.fleet.tolerated_losses);
}

/// Guards against a change of who is refused that no setting asks for.
TEST(Settings, FairCallersIsOffUnlessItIsSetToTrue) {
  const auto parse = [](const std::string& line) {
    return Parse(MakeText("data_centre = dc") + "[fleet]\n" + line + "\n");
  };
  CHECK_FALSE(parse("").settings.fleet.fair_callers);
  CHECK_FALSE(parse("fair_callers = false").settings.fleet.fair_callers);
  CHECK(parse("fair_callers = true").settings.fleet.fair_callers);
  const ParsedSettings bad = parse("fair_callers = yes");
  CHECK_FALSE(bad.settings.fleet.fair_callers);
  LONGS_EQUAL(1, bad.findings.size());
  STRCMP_EQUAL("true or false", bad.findings[0].expected.c_str());
}

TEST(Settings, AFileThatEndsAnywhereIsNotUsable) {
  const std::string text = MakeText("data_centre = dc");
  const std::string needed = text.substr(0, text.size() - 1);
  for (std::size_t size = 0; size < needed.size(); ++size) {
    CHECK_FALSE(Parse(text.substr(0, size)).usable);
  }
  CHECK(Parse(needed).usable);
}

TEST(Settings, AddressesAndTheRoleAreRequired) {
  const std::string text = MakeText("data_centre = dc");
  for (const char* key : {"roles", "packet_address", "announce_address",
                          "control_address", "mode"}) {
    std::string without = text;
    without.replace(without.find(key), 1, ";");
    CHECK_FALSE(Parse(without).usable);
  }
}

// A name may hold characters that end or quote other values.
TEST(Settings, RegionsAreAJsonObject) {
  const ParsedSettings parsed =
      Parse(MakeText("data_centre = dc") +
            "[fleet]\nregions = {\"a ; b\":\"north\",\"c\":\"so \\\"uth\"}\n");
  LONGS_EQUAL(0, parsed.findings.size());
  const auto& regions = parsed.settings.fleet.regions;
  LONGS_EQUAL(2, regions.size());
  STRCMP_EQUAL("north", regions.at("a ; b").c_str());
  STRCMP_EQUAL("so \"uth", regions.at("c").c_str());
}

TEST(Settings, RegionsOfAnotherShapeAreAFinding) {
  for (const std::string value : {"north", "[\"north\"]", "{\"a\":1}",
                                  "{\"a\":\"north\"", "{\"a\":{}}"}) {
    const ParsedSettings parsed = Parse(MakeText("data_centre = dc") +
                                        "[fleet]\nregions = " + value + "\n");
    LONGS_EQUAL(1, parsed.findings.size());
    CHECK(parsed.settings.fleet.regions.empty());
    CHECK(parsed.usable);
  }
}

/// Deployments that don't ask for it keep their decisions and messages.
TEST(Settings, BalancingByLoadIsOffUnlessAskedFor) {
  const std::string text = MakeText("data_centre = dc");
  CHECK_FALSE(Parse(text).settings.fleet.balance_by_load);
  const auto parse_with = [&](const std::string& value) {
    std::string changed = text;
    changed.insert(changed.find("[security]"),
                   "balance_by_load = " + value + "\n");
    return Parse(changed);
  };
  CHECK(parse_with("true").settings.fleet.balance_by_load);
  CHECK(parse_with("true").findings.empty());
  CHECK_FALSE(parse_with("yes").findings.empty());
}
