#include <nlohmann/json.hpp>
#include <string>

#include "Rules/RulesParser.h"
#include "platform/ConfigDocument.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;
using namespace filbertwall::platform;
using Json = nlohmann::json;

namespace {

Json MakeDocument() {
  return Json::parse(R"({
    "Version": 7,
    "Routes": [
      {"Name": "r-1", "Hostname": "198.18.0.1", "PathPrefix": "/8080/",
       "Type": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 150,
       "Priority": 1, "Service": "orders", "MaxAttempts": 2},
      {"Name": "r-2", "Hostname": "198.18.0.1", "PathPrefix": "/8443/",
       "Type": "safe", "TimeoutMs": 1200, "TargetLatencyMs": 120,
       "Priority": 2, "MaxAttempts": 2,
       "Backends": [{"Service": "orders", "Weight": 90},
                    {"Service": "odd name #1", "Weight": 10}]}],
    "Services": [
      {"Name": "orders", "HealthCheckPath": "/health", "MaxFlows": 2000,
       "Protocol": "h1", "Tls": false},
      {"Name": "odd name #1", "HealthCheckPath": "/h", "MaxFlows": 10,
       "Protocol": "h1", "Tls": true}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})");
}

/// Sorts the lists of a document, whose order is not significant.
Json SortLists(Json document) {
  for (const char* list : {"Routes", "Services"}) {
    std::sort(document[list].begin(), document[list].end(),
              [](const Json& left, const Json& right) {
                return left["Name"] < right["Name"];
              });
  }
  return document;
}

/// Returns a rules file with the lines of a stored file.
wire::RulesFile MakeStoredFile(const std::string& lines) {
  wire::RulesFile file;
  file.set_version(3);
  file.set_text("version 3 # by: x\n" + lines);
  return file;
}

std::string ErrorName(const std::string& json) {
  const DocumentResult file = ReadDocument(json);
  return file ? "" : InputErrorName(file.error().error);
}

bool IsRejected(const Json& document) {
  return !ReadDocument(document.dump()).has_value();
}

}  // namespace

TEST_GROUP(ConfigDocument){};

TEST(ConfigDocument, RoundTripKeepsTheDocument) {
  const Json document = MakeDocument();
  const auto file = ReadDocument(document.dump());
  CHECK(file.has_value());
  const Json round_trip = Json::parse(WriteDocument(file.value()));
  STRCMP_EQUAL(SortLists(document).dump().c_str(),
               SortLists(round_trip).dump().c_str());
}

TEST(ConfigDocument, BecomesARulesFileThatNamesTheRequester) {
  const auto file = ReadDocument(MakeDocument().dump());
  const ParsedRules parsed = ParseRules(file.value().text(), "rules");
  LONGS_EQUAL(0, parsed.findings.size());
  CHECK_EQUAL(7, parsed.rules.version);
  LONGS_EQUAL(2, parsed.rules.addresses.size());
  STRCMP_EQUAL("platform operator",
               parsed.rules.addresses.begin()->second.origin.requester.c_str());
}

TEST(ConfigDocument, TruncatedDocumentIsRejected) {
  const std::string text = MakeDocument().dump();
  for (std::size_t length = 0; length < text.size(); ++length) {
    CHECK_FALSE(ReadDocument(text.substr(0, length)).has_value());
  }
}

TEST(ConfigDocument, UnknownServiceIsRejected) {
  Json document = MakeDocument();
  document["Routes"][0]["Service"] = "nobody";
  CHECK(IsRejected(document));
  document = MakeDocument();
  document["Routes"][1]["Backends"][0]["Service"] = "nobody";
  CHECK(IsRejected(document));
}

TEST(ConfigDocument, TwoRoutesWithTheSameAddressAreRejected) {
  Json document = MakeDocument();
  document["Routes"][0]["PathPrefix"] = "/8443/";
  CHECK(IsRejected(document));
}

TEST(ConfigDocument, TimeoutMustBeAboveZero) {
  for (const Json& value : {Json(0), Json(-1), Json("5"), Json(nullptr)}) {
    Json document = MakeDocument();
    document["Routes"][0]["TimeoutMs"] = value;
    CHECK(IsRejected(document));
  }
  Json document = MakeDocument();
  document["Routes"][0].erase("TimeoutMs");
  CHECK(IsRejected(document));
}

TEST(ConfigDocument, SumOfWeightsMustBeAboveZero) {
  Json document = MakeDocument();
  document["Routes"][1]["Backends"][0]["Weight"] = 0;
  CHECK_FALSE(IsRejected(document));
  document["Routes"][1]["Backends"][1]["Weight"] = 0;
  CHECK(IsRejected(document));
  document["Routes"][1]["Backends"][1].erase("Weight");
  CHECK(IsRejected(document));
}

TEST(ConfigDocument, WrongTypesAtTheTopAreRejected) {
  const Json valid_document = MakeDocument();
  for (const auto& [key, value] : valid_document.items()) {
    for (const Json& wrong_value :
         {Json(nullptr), Json("x"), Json(-3), Json(1.5), Json(true),
          Json::array({1}), Json::object({{"MaxBodyBytes", "a"}})}) {
      Json document = valid_document;
      document[key] = wrong_value;
      CHECK(IsRejected(document));
    }
  }
  for (const char* text : {"", "[]", "7", "null", "{\"Version\":"}) {
    CHECK_FALSE(ReadDocument(text).has_value());
  }
}

TEST(ConfigDocument, WrongTypesInRoutesServicesAndLimitsAreRejected) {
  for (const char* path : {"/Routes/0", "/Routes/1", "/Routes/1/Backends/0",
                           "/Services/0", "/Services/1", "/Limits"}) {
    const Json::json_pointer place(path);
    const Json valid_object = MakeDocument().at(place);
    for (const auto& [key, value] : valid_object.items()) {
      for (const Json& wrong_value :
           {Json(nullptr), Json(""), Json(-1), Json(1.5), Json(1e300),
            Json(18446744073709551615U), Json::array(), Json::object(),
            value.is_string() ? Json(1) : Json("1")}) {
        Json document = MakeDocument();
        document[place / key] = wrong_value;
        CHECK(IsRejected(document));
      }
    }
  }
}

TEST(ConfigDocument, ElementsThatAreNoObjectsAreRejected) {
  for (const char* path :
       {"/Routes/0", "/Services/0", "/Routes/1/Backends/0"}) {
    for (const Json& wrong_value :
         {Json(nullptr), Json("orders"), Json(1), Json::array()}) {
      Json document = MakeDocument();
      document[Json::json_pointer(path)] = wrong_value;
      CHECK(IsRejected(document));
    }
  }
}

TEST(ConfigDocument, FieldsThatMayBeMissingMayBeMissing) {
  Json document = MakeDocument();
  document.erase("Limits");
  for (const char* key :
       {"Name", "Type", "TargetLatencyMs", "Priority", "MaxAttempts"}) {
    document["Routes"][0].erase(key);
  }
  for (const char* key : {"HealthCheckPath", "MaxFlows", "Protocol", "Tls"}) {
    document["Services"][0].erase(key);
  }
  CHECK_FALSE(IsRejected(document));
  document["odd"] = {{"a", {1.5, nullptr}}};
  document["Limits"] = Json::object();
  CHECK_FALSE(IsRejected(document));
}

TEST(ConfigDocument, ConfigThatIsReadBackIsAcceptedAgain) {
  const Json document = {{"Version", 3},
                         {"Routes",
                          {{{"Hostname", "198.18.0.1"},
                            {"PathPrefix", "/443/"},
                            {"TimeoutMs", 1000},
                            {"Service", "alpha"}}}},
                         {"Services", {{{"Name", "alpha"}}}}};
  const auto file = ReadDocument(document.dump());
  const auto again = ReadDocument(WriteDocument(file.value()));
  CHECK(again.has_value());
  CHECK_EQUAL(3, again.value().version());
}

TEST(ConfigDocument, WhatReceiversCouldNotUseIsRejected) {
  Json document = MakeDocument();
  document["Routes"][0]["Hostname"] = "0.0.0.0";
  CHECK(IsRejected(document));
  document = MakeDocument();
  document["Services"].push_back({{"Name", std::string(601, 'x')}});
  CHECK(IsRejected(document));
  document = MakeDocument();
  for (int i = 0; i < 20; ++i) {
    document["Services"].push_back(
        {{"Name", "s" + std::to_string(i)},
         {"HealthCheckPath", std::string(120000, '!')}});
  }
  CHECK(IsRejected(document));
}

TEST(ConfigDocument, RouteThatNamesAServiceBesideItsSharesIsRejected) {
  Json document = MakeDocument();
  document["Routes"][1]["Service"] = "nobody";
  CHECK(IsRejected(document));
}

TEST(ConfigDocument, HostnameWithANulIsRejected) {
  Json document = MakeDocument();
  document["Routes"][0]["Hostname"] = std::string("198.18.0.9\0x", 12);
  CHECK(IsRejected(document));
}

TEST(ConfigDocument, DeeplyNestedAndLargeDocumentsAreRejected) {
  constexpr int kDepth = 200000;
  std::string deep;
  for (const char bracket : {'[', ']'}) {
    deep += std::string(kDepth, bracket);
  }
  const std::string start = R"({"Version":1,"Routes":[],"Services":[],"odd":)";
  STRCMP_EQUAL("too_deep", ErrorName(start + deep + "}").c_str());
  std::string many = "[0";
  for (int i = 0; i < 2 * kDepth; ++i) {
    many += ",0";
  }
  STRCMP_EQUAL("too_large", ErrorName(start + many + "]}").c_str());
  const std::string long_text(4UL * 1024 * 1024, 'x');
  STRCMP_EQUAL("too_large",
               ErrorName(start + "\"" + long_text + "\"}").c_str());
}

TEST(ConfigDocument, ErrorsAreTextAndBounded) {
  Json document = MakeDocument();
  document["Routes"][0]["Service"] = std::string(100000, 'x');
  const DocumentResult unknown = ReadDocument(document.dump());
  STRCMP_EQUAL("Routes[0].Service: expected one of Services",
               unknown.error().reason.c_str());
  const DocumentResult cut = ReadDocument("{\"Version\":1,\"Name\":\"\xc3");
  STRCMP_EQUAL("not_utf8", InputErrorName(cut.error().error));
  CHECK(IsUtf8(cut.error().reason));
  const DocumentResult twice =
      ReadDocument("{\"" + std::string(100000, 'x') + "\":1,\"" +
                   std::string(100000, 'x') + "\":1}");
  STRCMP_EQUAL("contradicts", InputErrorName(twice.error().error));
  CHECK(twice.error().reason.size() < 300);
}

TEST(ConfigDocument, NamesOfAnyTextAreKept) {
  for (const std::string& name :
       {std::string("práctica"), std::string("a=b,c#d e%2"),
        std::string("tab\there\nand\0nul", 16), std::string("%zz%"),
        std::string("%41")}) {
    Json document = MakeDocument();
    document["Services"][0]["Name"] = name;
    document["Routes"][0]["Service"] = name;
    document["Routes"][1]["Backends"][0]["Service"] = name;
    document["Routes"][0]["Name"] = name;
    const DocumentResult file = ReadDocument(document.dump());
    CHECK(file.has_value());
    LONGS_EQUAL(0, ParseRules(file.value().text(), "rules").findings.size());
    const Json round_trip = Json::parse(WriteDocument(file.value()));
    STRCMP_EQUAL(SortLists(document).dump().c_str(),
                 SortLists(round_trip).dump().c_str());
  }
}

TEST(ConfigDocument, StoredTextThatCannotBeDecodedIsWritten) {
  for (const char* word : {"%zz", "%", "%4", "%4x", "%-1", "% 1", "%FF%FE",
                           "\xff\xfe", "%ED%A0%80"}) {
    const std::string name = word;
    const wire::RulesFile file =
        MakeStoredFile("service " + name + " protocol=packets health=" + name +
                       " # by: x\naddress 198.18.0.1:80 " + name +
                       "=3 name=" + name + " # by: x\n");
    CHECK(Json::accept(WriteDocument(file)));
  }
  for (const char* text :
       {"", "address", "address 1.1.1.1:1 =,=,", "bounds x"}) {
    CHECK(Json::accept(WriteDocument(MakeStoredFile(text))));
  }
}

// Guards against a route that is read back, or obeyed, without its regions.
TEST(ConfigDocument, AllowedRegionsAreKept) {
  Json document = MakeDocument();
  document["Routes"][0]["AllowedRegions"] = {"bg-sofia", "odd, name"};
  const DocumentResult file = ReadDocument(document.dump());
  CHECK(file.has_value());
  CHECK(SortLists(document) ==
        SortLists(Json::parse(WriteDocument(file.value()))));
  const Rules rules = ParseRules(file.value().text(), "rules").rules;
  const auto& regions =
      rules.addresses.at(Endpoint{.ip = 0xC6120001, .port = 8080})
          .route_settings.regions;
  LONGS_EQUAL(2, regions.size());
  STRCMP_EQUAL("odd, name", regions[1].c_str());
}

TEST(ConfigDocument, AllowedRegionsOfAnotherShapeAreRefused) {
  const std::vector<Json> values = {Json::array(),
                                    "bg-sofia",
                                    Json::object(),
                                    Json::array({1}),
                                    Json::array({""}),
                                    Json::array({std::string(201, 'x')}),
                                    Json::array({"a\nb"}),
                                    Json(std::vector<std::string>(33, "a")),
                                    Json::array({"a", nullptr})};
  for (const Json& value : values) {
    Json document = MakeDocument();
    document["Routes"][0]["AllowedRegions"] = value;
    CHECK(IsRejected(document));
  }
}

TEST(ConfigDocument, WarmupLimitsAreReadBackAsSent) {
  const std::vector<std::pair<const char*, const char*>> cases = {
      {"10.0", "2.0"}, {"0.0", "0.0"}, {"7.5", "0.25"},      {"8", "3"},
      {"3600", "1e6"}, {"0", "1e-07"}, {"12.125", "1000000"}};
  for (const auto& [duration, rate] : cases) {
    Json document = MakeDocument();
    document["Services"][0]["WarmupS"] = Json::parse(duration);
    document["Services"][0]["WarmupPerS"] = Json::parse(rate);
    const auto file = ReadDocument(document.dump());
    CHECK(file.has_value());
    LONGS_EQUAL(0, ParseRules(file.value().text(), "rules").findings.size());
    const Json round_trip = Json::parse(WriteDocument(file.value()));
    STRCMP_EQUAL(SortLists(document).dump().c_str(),
                 SortLists(round_trip).dump().c_str());
  }
}

TEST(ConfigDocument, WarmupLimitsOutOfRangeAreRejected) {
  for (const char* value :
       {"-1", "-0.001", "3600.5", "1e300", "\"5\"", "null", "true", "[1]"}) {
    Json document = MakeDocument();
    document["Services"][0]["WarmupS"] = Json::parse(value);
    CHECK(IsRejected(document));
  }
  for (const char* value :
       {"-1", "-2.0", "1000000.5", "1e300", "\"2\"", "null", "false", "{}"}) {
    Json document = MakeDocument();
    document["Services"][0]["WarmupPerS"] = Json::parse(value);
    CHECK(IsRejected(document));
  }
}

TEST(ConfigDocument, WarmupLimitsOfARulesFileAreReadBack) {
  wire::RulesFile file;
  file.set_text(
      "version 7  # by: test\n"
      "service proof warmup=7500ms warmup-rate=.5  # by: test\n");
  const Json document = Json::parse(WriteDocument(file));
  DOUBLES_EQUAL(7.5, document["Services"][0]["WarmupS"].get<double>(), 0);
  DOUBLES_EQUAL(0.5, document["Services"][0]["WarmupPerS"].get<double>(), 0);
}
