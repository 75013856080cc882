#include <string>

#include "Shell/ExplainAnswer.h"
#include "Shell/ExplainText.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

std::string ErrorOf(const std::string& path, const std::string& method) {
  return ReadExplainCall({.method = method, .path = path}).error;
}

EntryExplanation MakeExplanation() {
  EntryExplanation explanation{
      .data_centre = "n1",
      .serving = true,
      .rules_confirmed = true,
      .servers_known = true,
      .control = 0x0A000001,
      .flow = {.key = {.address = {.ip = 0xC6120001, .port = 443}},
               .rules_version = 4,
               .route = ExplainedRoute{.shares = {{.service = "catalogue",
                                                   .weight = 1}},
                                       .service = "catalogue",
                                       .kind = wire::REQUEST_SAFE,
                                       .priority = 2,
                                       .timeout = Milliseconds(1000),
                                       .objective = Milliseconds(500),
                                       .regions = {"north"}},
               .data_centres = {{.name = "n1",
                                 .region = "north",
                                 .state = DataCentreState::kEvacuated,
                                 .servers = 3}},
               .servers = {{.id = "i-2",
                            .data_centre = "n2",
                            .state = ServerState::kNoBudget,
                            .in_flight = 1,
                            .slots = 2,
                            .slowness = 1.5,
                            .warmup_left = Milliseconds(7900),
                            .limited = true,
                            .allowance = {.flows_per_second = 2}}},
               .servers_left_out = 7,
               .admission =
                   ExplainedAdmission{
                       .flow_class = {.priority = 2, .retryable = true},
                       .decision = {.reason = AdmissionReason::kRefused,
                                    .expected_slowness = 0.8,
                                    .share = 0.25},
                       .in_flight = 9,
                       .effective_slots = 4},
               .draws = {.admission = true},
               .verdict = Verdict::kReset,
               .reason = ForwardReason::kOverload}};
  return explanation;
}

std::string Format(const EntryExplanation& explanation) {
  const auto text = FormatExplanationText(
      nlohmann::json::parse(FormatExplanationJson(explanation)));
  return text.value_or("not readable");
}

}  // namespace

TEST_GROUP(Explain){};

/// Guards against a call that is answered for another flow than was meant.
TEST(Explain, OddCallsAreRefused) {
  const std::string good = "/explain?to=10.0.0.1:443";
  STRCMP_EQUAL("", ErrorOf(good, "GET").c_str());
  STRCMP_EQUAL("", ErrorOf(good + "&from=10.0.0.2:5", "GET").c_str());
  STRCMP_EQUAL("expected GET", ErrorOf(good, "POST").c_str());
  STRCMP_EQUAL("to: expected once",
               ErrorOf(good + "&to=10.0.0.1:443", "GET").c_str());
  STRCMP_EQUAL("from: \"10.0.0.2\": expected IP:PORT",
               ErrorOf(good + "&from=10.0.0.2", "GET").c_str());
  STRCMP_EQUAL("to: \"\\x00\": expected IP:PORT",
               ErrorOf("/explain?to=%00", "GET").c_str());
  for (const char* odd : {"/explain", "/explain?", "/explain?from=10.0.0.2:5",
                          "/explain?to=10.0.0.1:443&", "/explain?to==",
                          "/explain?to=10.0.0.1:443#x", "/explain?TO=1"}) {
    CHECK_TRUE_TEXT(!ErrorOf(odd, "GET").empty(), odd);
  }
  CHECK(!ErrorOf(good + std::string(kMaxExplainTarget, '0'), "GET").empty());
  CHECK(IsExplainTarget("/explain"));
  CHECK(!IsExplainTarget("/explained?to=10.0.0.1:443"));
}

/// Guards against a command that asks for another flow than it was told.
TEST(Explain, TheTargetIsReadAsItWasMade) {
  const Endpoint address{.ip = 0x0A000001, .port = 443};
  const Endpoint caller{.ip = 0x0A000002, .port = 5};
  const ExplainCall call = ReadExplainCall(
      {.method = "GET", .path = MakeExplainTarget(address, caller)});
  CHECK(call.error.empty());
  CHECK(call.key.address == address);
  CHECK(call.key.caller == caller);
}

/// Guards against a cause that the text leaves out.
TEST(Explain, TextSaysEachCause) {
  STRCMP_EQUAL(
      "flow 0.0.0.0:0 > 198.18.0.1:443 (no caller given)\n"
      "instance in n1: rules version 4, follows control instance 10.0.0.1, "
      "serving\n"
      "route: service catalogue, kind safe, priority 2, timeout 1000 ms, "
      "objective 500 ms, only regions north\n"
      "data centre n1 (north): out: evacuated; 0 of 3 servers usable, "
      "load 1.00, 0 % diverted\n"
      "server i-2 in n2: out: cold, and no budget is left; in flight here 1 on "
      "2 slots, slowness 1.50, warm-up 7.90 s left, budget 0 of 2 flows a "
      "second\n"
      "7 more servers\n"
      "admission: refused, beyond the share of its class; class priority 2, "
      "repeatable, admitted share 0.25, expected duration 0.80 of the "
      "objective, in flight here 9 on 4.00 effective slots\n"
      "drawn: admission by caller, anew each 2 s. Another flow may fare "
      "differently.\n"
      "decision: reset (overload)\n",
      Format(MakeExplanation()).c_str());
}

/// Guards against the impression that admission control had its say.
TEST(Explain, TextSaysWhenAdmissionControlIsNotAsked) {
  EntryExplanation explanation = MakeExplanation();
  explanation.flow.admission.reset();
  STRCMP_CONTAINS("admission: not asked\n", Format(explanation).c_str());
  explanation.flow.route->objective = Milliseconds(0);
  STRCMP_CONTAINS("admission: not asked, as the route has no objective\n",
                  Format(explanation).c_str());
}

/// Guards against an instance that is out of contact and does not say so.
TEST(Explain, TextSaysWhyFlowsAreHeldBack) {
  EntryExplanation explanation{.data_centre = "n1"};
  explanation.flow.verdict = Verdict::kHold;
  explanation.flow.reason = ForwardReason::kNotServing;
  const std::string text = Format(explanation);
  STRCMP_CONTAINS(
      "out of contact with the control instances, holds new flows back; not "
      "confirmed yet that its rules and evacuations are the newest; has not "
      "received all servers yet\n",
      text.c_str());
  STRCMP_CONTAINS("route: none\n", text.c_str());
  STRCMP_CONTAINS("decision: hold (not-serving)\n", text.c_str());
}

/// Guards against a document of another program that ends the command or is
/// printed as an answer, and against names that forge lines.
TEST(Explain, OddDocumentsAreNoAnswers) {
  for (const char* odd :
       {"{}", "[]", "7", R"({"flow":{"to":7,"from":"","open_at":""}})"}) {
    CHECK_TRUE_TEXT(!FormatExplanationText(nlohmann::json::parse(odd)), odd);
  }
  nlohmann::json document =
      nlohmann::json::parse(FormatExplanationJson(MakeExplanation()));
  document["servers"][0]["id"] = "i-2\n\x1b[1m";
  STRCMP_CONTAINS("server i-2??[1m in n2",
                  FormatExplanationText(document)->c_str());
  document["servers"] = 7;
  CHECK(!FormatExplanationText(document));
}
