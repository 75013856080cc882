#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Rules/RulesParser.h"
#include "platform/CallAdapter.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;
using namespace filbertwall::platform;
using Json = nlohmann::json;

namespace {

constexpr std::uint16_t kPort = 8166;

Json MakeHeartbeat() {
  return {{"Service", "orders"},      {"Address", "10.128.0.9:8080"},
          {"Zone", "providence"},     {"Version", "v1"},
          {"ConcurrencyLimit", 2},    {"State", "ready"},
          {"WarmupRemainingMs", 700}, {"Sequence", 4},
          {"born", 1775979203709}};
}

/// Returns the text of a heartbeat in which `from` is replaced by `to`.
std::string ReplaceInHeartbeat(const std::string& from, const std::string& to) {
  std::string text = MakeHeartbeat().dump();
  const std::size_t position = text.find(from);
  CHECK(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

bool HasBody(const wire::Answer& answer) { return Json::accept(answer.body()); }

}  // namespace

TEST_GROUP(CallAdapter) {
  CallTranslator translator = MakeCallTranslator(kPort);

  FleetCall ParseCall(const std::string& method, const std::string& path,
                      const std::string& body = "") {
    return this->translator.read(
        HttpCall{.method = method, .path = path, .body = body});
  }

  FleetCall ParseReport(const std::string& body) {
    return this->ParseCall("POST", "/api/Instances.Heartbeat/i-7f", body);
  }

  FleetCall ParseDeregistration(const std::string& body) {
    return this->ParseCall("POST", "/api/Instances.Deregister/i-7f", body);
  }

  /// Expects a call to be refused, and with an answer that can be sent.
  void CheckRefused(const FleetCall& call, InputError error) {
    CHECK(std::holds_alternative<MalformedCall>(call));
    const MalformedCall& malformed = std::get<MalformedCall>(call);
    STRCMP_EQUAL(InputErrorName(error), InputErrorName(malformed.error));
    const wire::Answer answer = this->BuildAnswer("/", call, AnswerCall{});
    LONGS_EQUAL(400, answer.status());
    CHECK(HasBody(answer));
    CHECK(answer.body().size() < 1000);
  }

  wire::Answer BuildAnswer(const std::string& path, const FleetCall& call,
                           const AnswerCall& answer) {
    return this->translator.write(HttpCall{.method = "POST", .path = path},
                                  call, answer);
  }
};

TEST(CallAdapter, ParsesAHeartbeat) {
  const FleetCall call = this->ParseCall(
      "POST", "/api/Instances.Heartbeat/i-7f", MakeHeartbeat().dump());
  const wire::ServerRecord& record = std::get<ReportCall>(call).record;
  STRCMP_EQUAL("i-7f", record.id().c_str());
  STRCMP_EQUAL("orders", record.service().c_str());
  STRCMP_EQUAL("providence", record.data_centre().c_str());
  LONGS_EQUAL(8080, record.port());
  LONGS_EQUAL(2, record.slots());
  LONGS_EQUAL(700, record.warmup_ms());
  CHECK_EQUAL(4, record.sequence());
  CHECK_EQUAL(1775979203709, record.incarnation());
  CHECK_EQUAL(wire::SERVER_READY, record.phase());
}

TEST(CallAdapter, TheExampleOfTheDocumentationIsAReport) {
  const FleetCall call = this->ParseReport(
      R"({"Service":"huvo11a","Address":"10.128.0.9:8080",)"
      R"("Zone":"providence","Version":"v1","ConcurrencyLimit":2,)"
      R"("State":"ready","WarmupRemainingMs":0,"Sequence":4})");
  CHECK_EQUAL(0, std::get<ReportCall>(call).record.incarnation());
}

TEST(CallAdapter, ReportsNameTheServiceAsRoutesDo) {
  for (const std::string& name :
       {std::string("orders"), std::string("práctica #1"),
        std::string(200, '=')}) {
    const Json config = {{"Version", 1},
                         {"Services", {{{"Name", name}}}},
                         {"Routes", Json::array()}};
    const FleetCall submitted =
        this->ParseCall("POST", "/api/Config.Replace", config.dump());
    const Rules rules =
        ParseRules(std::get<SubmitCall>(submitted).file.text(), "rules").rules;
    Json heartbeat = MakeHeartbeat();
    heartbeat["Service"] = name;
    const FleetCall reported = this->ParseReport(heartbeat.dump());
    const wire::ServerRecord& record = std::get<ReportCall>(reported).record;
    STRCMP_EQUAL(rules.services.begin()->first.c_str(),
                 record.service().c_str());
    CHECK(CheckServerRecord(record).empty());
  }
}

TEST(CallAdapter, WrongTypesInReportsAreRejected) {
  const Json valid_heartbeat = MakeHeartbeat();
  for (const auto& [key, unused] : valid_heartbeat.items()) {
    for (const Json& wrong_value :
         {Json(nullptr), Json(-1), Json(""), Json(1e300), Json(1.5), Json(true),
          Json::array(), Json::object()}) {
      Json heartbeat = MakeHeartbeat();
      heartbeat[key] = wrong_value;
      CHECK(std::holds_alternative<MalformedCall>(
          this->ParseReport(heartbeat.dump())));
    }
  }
  CHECK(std::holds_alternative<MalformedCall>(this->ParseReport("\xff{")));
}

TEST(CallAdapter, NumbersAsTextInReportsAreRejected) {
  for (const char* key :
       {"ConcurrencyLimit", "WarmupRemainingMs", "Sequence", "born"}) {
    Json heartbeat = MakeHeartbeat();
    heartbeat[key] = "1";
    this->CheckRefused(this->ParseReport(heartbeat.dump()),
                       InputError::kWrongType);
  }
}

TEST(CallAdapter, ReportsWithAMissingFieldAreRejected) {
  const Json valid_heartbeat = MakeHeartbeat();
  for (const auto& [key, unused] : valid_heartbeat.items()) {
    Json heartbeat = MakeHeartbeat();
    heartbeat.erase(key);
    const FleetCall call = this->ParseReport(heartbeat.dump());
    if (key == "born") {
      CHECK(std::holds_alternative<ReportCall>(call));
      continue;
    }
    this->CheckRefused(call, InputError::kMissingField);
    STRCMP_CONTAINS(key.c_str(), std::get<MalformedCall>(call).reason.c_str());
  }
}

TEST(CallAdapter, NumbersOutOfRangeInReportsAreRejected) {
  const std::vector<std::pair<std::string, std::string>> wrong_numbers = {
      {"ConcurrencyLimit", "0"},
      {"ConcurrencyLimit", "100001"},
      {"ConcurrencyLimit", "4294967297"},
      {"WarmupRemainingMs", "86400001"},
      {"Sequence", "9223372036854775808"},
      {"Sequence", "18446744073709551616"},
      {"born", "0"},
      {"born", "4102444800001"},
      {"born", "18446744073709551615"},
      {"born", "18446744073709551616"},
      {"born", "1e400"},
      {"born", "-1"},
      {"born", "1775979203709.0"}};
  for (const auto& [key, number] : wrong_numbers) {
    const std::string old = "\"" + key + "\":" + MakeHeartbeat()[key].dump();
    const std::string body =
        ReplaceInHeartbeat(old, "\"" + key + "\":" + number);
    CHECK(std::holds_alternative<MalformedCall>(this->ParseReport(body)));
  }
}

TEST(CallAdapter, NamesAndAddressesOutOfRangeInReportsAreRejected) {
  const std::vector<std::pair<std::string, Json>> wrong_texts = {
      {"Service", std::string(201, 'x')},
      {"Service", "a\nb"},
      {"Zone", std::string(201, 'x')},
      {"Zone", std::string("a\0b", 3)},
      {"Zone", "a\x7f"},
      {"Zone", "a\u0085"},
      {"Version", std::string(201, 'x')},
      {"State", "gone"},
      {"State", "?"},
      {"Address", "?"},
      {"State", "Ready"},
      {"Address", "10.128.0.9:0"},
      {"Address", "10.128.0.9:65536"},
      {"Address", "10.128.0.9"},
      {"Address", "0.0.0.0:80"},
      {"Address", "[::1]:80"},
      {"Address", "localhost:80"},
      {"Address", "10.128.0.256:80"},
      {"Address", std::string("10.128.0.9\0x:80", 15)}};
  for (const auto& [key, text] : wrong_texts) {
    Json heartbeat = MakeHeartbeat();
    heartbeat[key] = text;
    this->CheckRefused(this->ParseReport(heartbeat.dump()),
                       InputError::kOutOfRange);
  }
}

TEST(CallAdapter, IdsThatCannotBeSentOnAreRejected) {
  for (const char* call : {"Heartbeat/", "Deregister/"}) {
    const std::string path = std::string("/api/Instances.") + call;
    const std::string body = MakeHeartbeat().dump();
    this->CheckRefused(this->ParseCall("POST", path, body),
                       InputError::kOutOfRange);
    this->CheckRefused(this->ParseCall("POST", path + "i-\xff\xfe", body),
                       InputError::kNotUtf8);
    this->CheckRefused(
        this->ParseCall("POST", path + std::string(201, 'i'), body),
        InputError::kOutOfRange);
    this->CheckRefused(this->ParseCall("POST", path + "i\x01", body),
                       InputError::kOutOfRange);
    CHECK(std::holds_alternative<ReportCall>(
        this->ParseCall("POST", path + std::string(200, 'i'), body)));
  }
}

TEST(CallAdapter, DeeplyNestedBodiesAreRejected) {
  constexpr int kDepth = 200000;
  for (const char* open : {"[", "{\"a\":"}) {
    const std::string close = open[0] == '[' ? "]" : "}";
    for (const std::string& deep :
         {Repeat(open, 7000), Repeat(open, 1000) + "1" + Repeat(close, 1000),
          Repeat(open, kDepth) + "1" + Repeat(close, kDepth)}) {
      const std::string body =
          ReplaceInHeartbeat(R"("v1")", R"("v1","odd":)" + deep);
      for (const FleetCall& call :
           {this->ParseReport(body), this->ParseDeregistration(body),
            this->ParseReport(deep), this->ParseDeregistration(deep)}) {
        CHECK(std::holds_alternative<MalformedCall>(call));
        CHECK(HasBody(this->BuildAnswer("/", call, AnswerCall{})));
      }
    }
  }
  this->CheckRefused(this->ParseReport(Repeat("[", 1000) + Repeat("]", 1000)),
                     InputError::kTooDeep);
}

TEST(CallAdapter, LargeReportsAreRejected) {
  const std::string padding(16 * 1024, ' ');
  this->CheckRefused(this->ParseReport(MakeHeartbeat().dump() + padding),
                     InputError::kTooLarge);
  this->CheckRefused(this->ParseDeregistration(padding + "{}"),
                     InputError::kTooLarge);
  this->CheckRefused(
      this->ParseReport(ReplaceInHeartbeat(
          R"("v1")", R"("v1","odd":[0)" + Repeat(",0", 1000) + "]")),
      InputError::kTooLarge);
}

TEST(CallAdapter, BodiesThatAreNoTextAreRejected) {
  for (const char* bytes :
       {"\xff", "\xc3", "\xe1", "\xc0\x80", "\xed\xa0\x80"}) {
    const std::string body =
        ReplaceInHeartbeat("providence", std::string("a") + bytes);
    this->CheckRefused(this->ParseReport(body), InputError::kNotUtf8);
    this->CheckRefused(this->ParseDeregistration(body), InputError::kNotUtf8);
  }
  this->CheckRefused(
      this->ParseReport(ReplaceInHeartbeat("providence", R"(\ud800)")),
      InputError::kNotReadable);
  this->CheckRefused(
      this->ParseReport(MakeHeartbeat().dump() + std::string("\0x", 2)),
      InputError::kNotReadable);
  this->CheckRefused(this->ParseReport(MakeHeartbeat().dump() + "x"),
                     InputError::kNotReadable);
  this->CheckRefused(this->ParseReport(""), InputError::kNotReadable);
  this->CheckRefused(this->ParseReport("[]"), InputError::kWrongType);
}

TEST(CallAdapter, FieldsThatOccurTwiceAreRejected) {
  this->CheckRefused(this->ParseReport(ReplaceInHeartbeat(
                         R"("v1")", R"("v1","State":"draining")")),
                     InputError::kContradicts);
}

TEST(CallAdapter, UnknownFieldsAndAByteOrderMarkAreIgnored) {
  CHECK(std::holds_alternative<ReportCall>(this->ParseReport(ReplaceInHeartbeat(
      R"("v1")", R"("v1","odd":[{"a":[null,1.5,"x",{}]},[],"pr\u00e1"])"))));
  CHECK(std::holds_alternative<ReportCall>(
      this->ParseReport("\xef\xbb\xbf" + MakeHeartbeat().dump())));
}

TEST(CallAdapter, DeregistrationNeedsNoBody) {
  const FleetCall call =
      this->ParseCall("POST", "/api/Instances.Deregister/i-7f");
  const wire::ServerRecord& record = std::get<ReportCall>(call).record;
  CHECK_EQUAL(wire::SERVER_GONE, record.phase());
  CHECK_EQUAL(0, record.incarnation());
}

TEST(CallAdapter, DeregistrationWithABodyIsChecked) {
  const FleetCall call = this->ParseDeregistration(R"({"born":1775979203709})");
  CHECK_EQUAL(1775979203709, std::get<ReportCall>(call).record.incarnation());
  CHECK(std::holds_alternative<ReportCall>(this->ParseDeregistration("{}")));
  for (const char* body :
       {"null", "[]", "7", "x", " ", "{", R"({"born":"1"})", R"({"born":-1})",
        R"({"born":null})", R"({"born":1.5})", R"({"born":1e400})",
        R"({"born":18446744073709551615})", R"({"born":1,"born":2})"}) {
    CHECK(
        std::holds_alternative<MalformedCall>(this->ParseDeregistration(body)));
  }
}

TEST(CallAdapter, HeartbeatAnswerHasTheNextEndpoint) {
  const wire::Answer answer =
      this->BuildAnswer("/", ReportCall{},
                        AnswerCall{.verdict = CallVerdict::kAccepted,
                                   .next_report_address = 0x0A000001});
  LONGS_EQUAL(200, answer.status());
  STRCMP_EQUAL("10.0.0.1:8166", Json::parse(answer.body())["HeartbeatEndpoint"]
                                    .get<std::string>()
                                    .c_str());
}

TEST(CallAdapter, RedirectHasTheLeaderAddressAndThePath) {
  const wire::Answer answer = this->BuildAnswer(
      "/api/Config.Replace", SubmitCall{},
      AnswerCall{.verdict = CallVerdict::kRedirected, .leader = 0x0A000004});
  LONGS_EQUAL(307, answer.status());
  STRCMP_EQUAL("http://10.0.0.4:8166/api/Config.Replace",
               answer.headers(1).value().c_str());
}

TEST(CallAdapter, StatusDistinguishesUnavailableFromInvalid) {
  LONGS_EQUAL(503, this->BuildAnswer("/", SubmitCall{}, AnswerCall{}).status());
  LONGS_EQUAL(503,
              this->BuildAnswer("/", ReadRulesCall{}, AnswerCall{}).status());
  LONGS_EQUAL(503, this->BuildAnswer("/", ReportCall{}, AnswerCall{}).status());
  const FleetCall invalid = this->ParseCall("POST", "/api/Config.Replace", "{");
  LONGS_EQUAL(400, this->BuildAnswer("/", invalid, AnswerCall{}).status());
  const FleetCall unknown = this->ParseCall("GET", "/nothing");
  LONGS_EQUAL(404, this->BuildAnswer("/", unknown, AnswerCall{}).status());
}

TEST(CallAdapter, ReasonsThatAreNoTextCanBeAnswered) {
  const std::string reason = "odd \xff\xfe\xc3";
  const AnswerCall refused{.verdict = CallVerdict::kRefused, .reason = reason};
  for (const FleetCall& call :
       {FleetCall(ReportCall{}), FleetCall(SubmitCall{}),
        FleetCall(ReadRulesCall{}),
        FleetCall(MalformedCall{.reason = reason})}) {
    const wire::Answer answer = this->BuildAnswer("/", call, refused);
    LONGS_EQUAL(400, answer.status());
    CHECK(HasBody(answer));
  }
}

TEST(CallAdapter, ConfigCutInsideALetterIsAnswered) {
  const std::string config = R"({"Version":1,"Routes":[{"Name":"práctica"}]})";
  for (std::size_t length = 0; length < config.size(); ++length) {
    const FleetCall call = this->ParseCall("POST", "/api/Config.Replace",
                                           config.substr(0, length));
    const wire::Answer answer = this->BuildAnswer("/", call, AnswerCall{});
    LONGS_EQUAL(400, answer.status());
    CHECK(HasBody(answer));
  }
}

/// Guards against a name that is taken as encoded, or for another one.
TEST(CallAdapter, ParsesEvacuations) {
  const std::vector<std::pair<std::string, std::string>> names = {
      {"providence", "providence"},
      {"eu%2Fwest%201", "eu/west 1"},
      {"s%C3%B3fia",
       "s\xC3\xB3"
       "fia"},
      {"s\xC3\xB3"
       "fia",
       "s\xC3\xB3"
       "fia"},
      {"100%25", "100%"},
      {"a+b", "a+b"},
      {Repeat("a", 200), Repeat("a", 200)},
      {Repeat("%61", 200), Repeat("a", 200)}};
  for (const auto& [encoded, name] : names) {
    for (const char* body : {"", "{}", " {}\n"}) {
      const FleetCall start = this->translator.read(
          HttpCall{.method = "POST",
                   .path = "/api/Evacuations.Start/" + encoded,
                   .body = body,
                   .caller = "127.0.0.9"});
      const wire::EvacuationChange& change =
          std::get<EvacuationCall>(start).change;
      STRCMP_EQUAL(name.c_str(), change.data_centre().c_str());
      STRCMP_EQUAL("127.0.0.9", change.requester().c_str());
      CHECK(change.active());
      const FleetCall stop =
          this->ParseCall("POST", "/api/Evacuations.Stop/" + encoded, body);
      CHECK_FALSE(std::get<EvacuationCall>(stop).change.active());
    }
  }
}

/// Guards against input that no server's data centre can have, which could
/// never be withdrawn or sent on.
TEST(CallAdapter, OddEvacuationsAreRefused) {
  const std::vector<std::pair<std::string, InputError>> names = {
      {"", InputError::kOutOfRange},
      {Repeat("a", 201), InputError::kOutOfRange},
      {"a%00b", InputError::kOutOfRange},
      {"a%0Ab", InputError::kOutOfRange},
      {"a%7f", InputError::kOutOfRange},
      {"a%C2%85", InputError::kOutOfRange},
      {"a%FF", InputError::kNotUtf8},
      {"a%C3", InputError::kNotUtf8},
      {"a\xC3", InputError::kNotUtf8},
      {"a%", InputError::kNotReadable},
      {"a%4", InputError::kNotReadable},
      {"a%4g", InputError::kNotReadable},
      {"a?force=1", InputError::kNotReadable}};
  for (const char* path :
       {"/api/Evacuations.Start/", "/api/Evacuations.Stop/"}) {
    for (const auto& [name, error] : names) {
      this->CheckRefused(this->ParseCall("POST", path + name), error);
    }
    for (const char* body : {"x", "[]", "null", R"({"Zone":"a"})"}) {
      this->CheckRefused(
          this->ParseCall("POST", std::string(path) + "providence", body),
          InputError::kNotReadable);
    }
  }
  const FleetCall get = this->ParseCall("GET", "/api/Evacuations.Start/a");
  LONGS_EQUAL(404, this->BuildAnswer("/", get, AnswerCall{}).status());
}

/// Guards against a redirect that loses the encoding of the name.
TEST(CallAdapter, AnswersEvacuations) {
  const std::string path = "/api/Evacuations.Start/eu%2Fwest";
  const FleetCall call = this->ParseCall("POST", path);
  const wire::Answer accepted = this->BuildAnswer(
      path, call, AnswerCall{.verdict = CallVerdict::kAccepted});
  LONGS_EQUAL(200, accepted.status());
  CHECK(HasBody(accepted));
  const wire::Answer redirect = this->BuildAnswer(
      path, call,
      AnswerCall{.verdict = CallVerdict::kRedirected, .leader = 0x0A000004});
  LONGS_EQUAL(307, redirect.status());
  STRCMP_EQUAL("http://10.0.0.4:8166/api/Evacuations.Start/eu%2Fwest",
               redirect.headers(1).value().c_str());
  LONGS_EQUAL(400,
              this->BuildAnswer(path, call,
                                AnswerCall{.verdict = CallVerdict::kRefused})
                  .status());
  LONGS_EQUAL(503, this->BuildAnswer(path, call, AnswerCall{}).status());
}
