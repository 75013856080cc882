#include <nlohmann/json.hpp>
#include <string>

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

}  // namespace

TEST_GROUP(CallAdapter) {
  CallTranslator translator = MakeCallTranslator(kPort);

  FleetCall ParseCall(const std::string& method, const std::string& path,
                      const std::string& body = "") {
    return this->translator.read(
        HttpCall{.method = method, .path = path, .body = body});
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

TEST(CallAdapter, WrongTypesInRequiredFieldsAreRejected) {
  const Json valid_heartbeat = MakeHeartbeat();
  for (const auto& [key, unused] : valid_heartbeat.items()) {
    for (const Json& wrong_value :
         {Json(nullptr), Json(-1), Json("?"), Json(1e300), Json::array(),
          Json::object()}) {
      Json heartbeat = MakeHeartbeat();
      heartbeat[key] = wrong_value;
      const FleetCall call = this->ParseCall(
          "POST", "/api/Instances.Heartbeat/i-7f", heartbeat.dump());
      const bool is_valid_report =
          std::holds_alternative<ReportCall>(call) &&
          CheckServerRecord(std::get<ReportCall>(call).record).empty();
      const bool required =
          key == "Address" || key == "State" || key == "ConcurrencyLimit";
      CHECK_FALSE(required && is_valid_report);
    }
  }
  CHECK(std::holds_alternative<MalformedCall>(
      this->ParseCall("POST", "/api/Instances.Heartbeat/i-7f", "\xff{")));
}

TEST(CallAdapter, DeregistrationNeedsNoBody) {
  const FleetCall call =
      this->ParseCall("POST", "/api/Instances.Deregister/i-7f");
  const wire::ServerRecord& record = std::get<ReportCall>(call).record;
  CHECK_EQUAL(wire::SERVER_GONE, record.phase());
  CHECK_EQUAL(0, record.incarnation());
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
