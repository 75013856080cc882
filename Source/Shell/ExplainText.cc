#include "Shell/ExplainText.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace filbertwall {
namespace {

using Json = nlohmann::json;

/// Returns a text field without control characters. Throws if it is missing.
std::string Text(const Json& object, const char* name) {
  return ReplaceControls(object.at(name).get<std::string>());
}

std::string Whole(const Json& object, const char* name) {
  return std::to_string(object.at(name).get<std::uint64_t>());
}

std::string Decimal(double number, int digits = 2) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << number;
  return out.str();
}

std::string Decimal(const Json& object, const char* name) {
  return Decimal(object.at(name).get<double>());
}

std::string Percent(const Json& object, const char* name) {
  constexpr double kPercent = 100;
  return Decimal(object.at(name).get<double>() * kPercent, 0) + " %";
}

bool Flag(const Json& object, const char* name) {
  return object.at(name).get<bool>();
}

/// Returns what a name stands for; the name itself when it is not known, as an
/// instance of a later build may use others.
std::string Meaning(const std::map<std::string, std::string>& meanings,
                    const std::string& name) {
  const auto found = meanings.find(name);
  return found == meanings.end() ? name : found->second;
}

std::string FormatFlow(const Json& document) {
  const Json& flow = document.at("flow");
  const std::string from = Text(flow, "from");
  const std::string open_at = Text(flow, "open_at");
  return "flow " + from + " > " + Text(flow, "to") +
         (from == "0.0.0.0:0" ? " (no caller given)" : "") +
         (open_at.empty() ? ""
                          : ": open at server " + open_at +
                                "; what follows is for a new one") +
         "\n";
}

std::string FormatInstance(const Json& document) {
  const Json& instance = document.at("instance");
  const std::string control = Text(instance, "control");
  std::string text =
      "instance in " + Text(instance, "data_centre") + ": rules version " +
      Whole(instance, "rules_version") + ", " +
      (control.empty() ? "out of contact with the control instances"
                       : "follows control instance " + control);
  text += Flag(instance, "serving") ? ", serving" : ", holds new flows back";
  if (!Flag(instance, "rules_confirmed")) {
    text += "; not confirmed yet that its rules and evacuations are the newest";
  }
  if (!Flag(instance, "servers_known")) {
    text += "; has not received all servers yet";
  }
  return text + (Flag(instance, "stopping") ? "; stopping\n" : "\n");
}

std::string FormatRoute(const Json& document) {
  const Json& route = document.at("route");
  if (route.is_null()) {
    return std::string("route: none") +
           (Flag(document, "route_removed") ? ", it was removed\n" : "\n");
  }
  std::string text = "route: service " + Text(route, "service") + ", kind " +
                     Text(route, "kind") + ", priority " +
                     Whole(route, "priority") + ", timeout " +
                     Whole(route, "timeout_ms") + " ms, objective " +
                     Whole(route, "objective_ms") + " ms";
  const Json& shares = route.at("shares");
  if (shares.empty()) {
    return text + ", no service has a share of it\n";
  }
  for (const Json& share : shares) {
    if (shares.size() > 1) {
      text +=
          ", weight " + Whole(share, "weight") + " " + Text(share, "service");
    }
  }
  std::string regions;
  for (const Json& region : route.at("regions")) {
    regions += (regions.empty() ? ", only regions " : " ") +
               Text(Json{{"name", region}}, "name");
  }
  return text + regions + "\n";
}

std::string FormatDataCentre(const Json& item) {
  static const std::map<std::string, std::string> kMeanings = {
      {"in", "in"},
      {"out-of-region", "out: not in a region of the route"},
      {"evacuated", "out: evacuated"},
      {"no-server", "out: no server is ready and reports"},
      {"unreachable", "unreachable, only used when there is no other"},
      {"not-answering", "no server answers, only used when there is no other"}};
  const std::string region = Text(item, "region");
  return "data centre " + Text(item, "name") +
         (region.empty() ? "" : " (" + region + ")") + ": " +
         Meaning(kMeanings, Text(item, "state")) + "; " +
         Whole(item, "usable") + " of " + Whole(item, "servers") +
         " servers usable, load " + Decimal(item, "load") + ", " +
         Percent(item, "diverted_share") + " diverted\n";
}

std::string FormatServer(const Json& item) {
  static const std::map<std::string, std::string> kMeanings = {
      {"candidate", "candidate"},
      {"out-of-region", "out: not in a region of the route"},
      {"no-budget", "out: cold, and no budget is left"},
      {"unconfirmed",
       "out: got a flow in the last 1.2 s, and may have started again since "
       "the control instances were last heard"},
      {"not-answering", "does not answer, only used when there is no other"},
      {"failing", "failing, only used when there is no other or as a trial"}};
  constexpr double kMillisecondsPerSecond = 1000;
  const double mean_ms = item.at("mean_duration_ms").get<double>();
  const double warmup_left_ms = item.at("warmup_left_ms").get<double>();
  std::string text =
      "server " + Text(item, "id") + " in " + Text(item, "data_centre") + ": " +
      Meaning(kMeanings, Text(item, "state")) + "; in flight here " +
      Whole(item, "in_flight") + " on " + Whole(item, "slots") +
      " slots, slowness " + Decimal(item, "slowness");
  text += mean_ms > 0 ? ", mean " + Decimal(mean_ms) + " ms" : "";
  if (warmup_left_ms > 0) {
    text += ", warm-up " + Decimal(warmup_left_ms / kMillisecondsPerSecond) +
            " s left";
  }
  const Json& budget = item.at("budget");
  if (!budget.is_null()) {
    text += ", budget " + Whole(budget, "flows_left") + " of " +
            Whole(budget, "flows_per_second") + " flows a second";
  }
  return text + "\n";
}

std::string FormatLeftOut(const Json& document, const char* name,
                          const std::string& what) {
  const auto count = document.at(name).get<std::uint64_t>();
  return count == 0 ? "" : std::to_string(count) + " more " + what + "\n";
}

std::string FormatAdmission(const Json& document) {
  static const std::map<std::string, std::string> kMeanings = {
      {"within-share", "admitted"},
      {"none-in-flight", "admitted, as this instance has no flow in flight"},
      {"starved", "admitted, as none of its class was for 5 s"},
      {"refused", "refused, beyond the share of its class"},
      {"unfair", "refused, its caller asks for more than its fair level"}};
  const Json& admission = document.at("admission");
  if (admission.is_null()) {
    const Json& route = document.at("route");
    const bool no_objective =
        !route.is_null() && Whole(route, "objective_ms") == "0";
    return std::string("admission: not asked") +
           (no_objective ? ", as the route has no objective\n" : "\n");
  }
  return "admission: " + Meaning(kMeanings, Text(admission, "reason")) +
         "; class priority " + Whole(admission, "priority") +
         (Flag(admission, "repeatable") ? ", repeatable" : ", not repeatable") +
         ", admitted share " + Decimal(admission, "admitted_share") +
         ", expected duration " + Decimal(admission, "expected_slowness") +
         " of the objective, in flight here " + Whole(admission, "in_flight") +
         (admission.at("effective_slots").get<double>() > 0
              ? " on " + Decimal(admission, "effective_slots") +
                    " effective slots\n"
              : "\n");
}

std::string FormatDraws(const Json& document) {
  static const std::map<std::string, std::string> kMeanings = {
      {"service", "service by caller"},
      {"admission", "admission by caller, anew each 2 s"},
      {"failing-server", "trials of failing servers"},
      {"load", "loaded data centres and slow servers that are left out"},
      {"equal-cost", "servers of equal cost"}};
  std::string text;
  for (const Json& draw : document.at("draws")) {
    text += (text.empty() ? "drawn: " : "; ") +
            Meaning(kMeanings, Text(Json{{"name", draw}}, "name"));
  }
  return text.empty() ? "" : text + ". Another flow may fare differently.\n";
}

std::string FormatDecision(const Json& document) {
  const Json& decision = document.at("decision");
  const std::string server = Text(decision, "server");
  return "decision: " + Text(decision, "action") +
         (server.empty() ? "" : " to server " + server) + " (" +
         Text(decision, "reason") +
         (Flag(decision, "lacks_budget") ? "; only servers are left that are "
                                           "cold or may be, without budget"
                                         : "") +
         ")\n";
}

std::string Format(const Json& document) {
  std::string text =
      FormatFlow(document) + FormatInstance(document) + FormatRoute(document);
  for (const Json& item : document.at("data_centres")) {
    text += FormatDataCentre(item);
  }
  text += FormatLeftOut(document, "data_centres_left_out", "data centres");
  for (const Json& item : document.at("servers")) {
    text += FormatServer(item);
  }
  return text + FormatLeftOut(document, "servers_left_out", "servers") +
         FormatAdmission(document) + FormatDraws(document) +
         FormatDecision(document);
}

}  // namespace

std::string ReplaceControls(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char byte) {
        constexpr unsigned char kDelete = 0x7F;
        const auto code = static_cast<unsigned char>(byte);
        return code < ' ' || code == kDelete;
      },
      '?');
  return text;
}

std::optional<std::string> FormatExplanationText(const Json& document) {
  try {
    return Format(document);
  } catch (const Json::exception&) {
    return std::nullopt;  // A field is missing or of another type.
  }
}

}  // namespace filbertwall
