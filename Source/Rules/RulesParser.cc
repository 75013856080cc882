#include "Rules/RulesParser.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include "Base/InputError.h"
#include "Base/Text.h"

namespace filbertwall {
namespace {

constexpr std::string_view kRequesterPrefix = "by:";
constexpr std::uint32_t kMaxNumber = INT32_MAX;

using Options = std::map<std::string, std::string>;

/// State of parsing one file.
struct Parser {
  ParsedRules result;
  std::string file;
  std::string line_text;
  Origin origin;
  bool version_seen = false;
  Origin version_origin;
  bool bounds_seen = false;
  Origin bounds_origin;
};

void Report(Parser& parser, const std::string& text,
            const std::string& expected) {
  parser.result.findings.push_back(Finding{.file = parser.file,
                                           .line = parser.origin.line,
                                           .text = text,
                                           .expected = expected});
}

void ReportConflict(Parser& parser, const Origin& earlier) {
  Report(parser, parser.line_text,
         "no other wish than line " + std::to_string(earlier.line) +
             "; asked by \"" + parser.origin.requester +
             "\", and against it by \"" + earlier.requester + "\"");
}

/// Splits "key=value" words. Reports each unknown key, duplicate key and word
/// without "=".
Options ParseOptions(Parser& parser, const std::vector<std::string>& words,
                     std::size_t first, const std::set<std::string>& known) {
  Options options;
  std::string known_list;
  for (const std::string& key : known) {
    known_list += (known_list.empty() ? "" : ", ") + key + "=";
  }
  for (std::size_t i = first; i < words.size(); ++i) {
    const std::size_t equals = words[i].find('=');
    const std::string key = words[i].substr(0, equals);
    if (equals == std::string::npos || !known.contains(key)) {
      Report(parser, words[i], "one of " + known_list);
      continue;
    }
    if (!options.emplace(key, words[i].substr(equals + 1)).second) {
      Report(parser, words[i], key + "= once");
    }
  }
  return options;
}

template <typename Value>
void ReadChoiceOption(Parser& parser, const Options& options,
                      const std::string& key,
                      const std::map<std::string, Value>& choices,
                      Value& target) {
  const auto option = options.find(key);
  if (option == options.end()) {
    return;
  }
  const auto choice = choices.find(option->second);
  if (choice != choices.end()) {
    target = choice->second;
    return;
  }
  std::string list;
  for (const auto& [name, value] : choices) {
    list += (list.empty() ? "" : " or ") + name;
  }
  Report(parser, key + "=" + option->second, list);
}

void ReadNumberOption(Parser& parser, const Options& options,
                      const std::string& key, std::uint32_t min,
                      std::uint32_t max, std::uint32_t& target) {
  const auto option = options.find(key);
  if (option == options.end()) {
    return;
  }
  const auto number = ParseNumber(option->second, min, max);
  if (!number) {
    Report(
        parser, key + "=" + option->second,
        "a number from " + std::to_string(min) + " to " + std::to_string(max));
    return;
  }
  target = static_cast<std::uint32_t>(*number);
}

void ReadTextOption(const Options& options, const std::string& key,
                    std::string& target) {
  const auto option = options.find(key);
  if (option != options.end()) {
    target = option->second;
  }
}

void ReadDurationOption(Parser& parser, const Options& options,
                        const std::string& key, Milliseconds minimum,
                        Milliseconds& target) {
  const auto option = options.find(key);
  if (option == options.end()) {
    return;
  }
  const auto duration = ParseDuration(option->second);
  if (!duration || *duration < minimum) {
    Report(
        parser, key + "=" + option->second,
        "a duration from " + std::to_string(minimum.count()) + "ms to 3600s");
    return;
  }
  target = *duration;
}

/// Parses a duration of up to an hour, also seconds with a fraction.
std::optional<Milliseconds> ParseWarmupDuration(std::string_view text) {
  constexpr double kMaxSeconds = 3600;
  constexpr double kMillisecondsPerSecond = 1000;
  if (text.ends_with("ms") || !text.ends_with("s")) {
    return ParseDuration(text);
  }
  text.remove_suffix(1);
  const auto seconds = ParseDecimal(text, 0, kMaxSeconds);
  if (!seconds) {
    return std::nullopt;
  }
  return Milliseconds(
      static_cast<std::int64_t>(std::ceil(*seconds * kMillisecondsPerSecond)));
}

/// Reads the limit on new flows to a server that warms up.
void ReadWarmupOptions(Parser& parser, const Options& options,
                       WarmupRule& warmup) {
  constexpr double kMaxFlowsPerSecond = 1000000;
  ReadTextOption(options, "warmup", warmup.duration_word);
  ReadTextOption(options, "warmup-rate", warmup.rate_word);
  if (options.contains("warmup")) {
    const auto duration = ParseWarmupDuration(warmup.duration_word);
    if (!duration) {
      Report(parser, "warmup=" + warmup.duration_word,
             "a duration from 0s to 3600s");
    }
    warmup.duration = duration.value_or(Milliseconds(0));
  }
  if (options.contains("warmup-rate")) {
    const auto rate = ParseDecimal(warmup.rate_word, 0, kMaxFlowsPerSecond);
    if (!rate) {
      Report(parser, "warmup-rate=" + warmup.rate_word,
             "a number from 0 to 1000000, also with a fraction");
    }
    warmup.flows_per_second = rate.value_or(0);
  }
}

bool HasMinWords(Parser& parser, const std::vector<std::string>& words,
                 std::size_t count, const std::string& syntax) {
  if (words.size() >= count) {
    return true;
  }
  Report(parser, parser.line_text, syntax);
  return false;
}

std::optional<Endpoint> ParseEndpointWord(Parser& parser,
                                          const std::string& word) {
  const auto endpoint = ParseEndpoint(word);
  if (!endpoint) {
    Report(parser, word, "an IPv4 address and a port, such as 10.0.0.1:80");
  }
  return endpoint;
}

void ParseVersion(Parser& parser, const std::vector<std::string>& words) {
  const auto number = words.size() == 2 ? ParseNumber(words[1], 1, INT64_MAX)
                                        : std::optional<std::uint64_t>();
  if (!number) {
    Report(parser, parser.line_text, "version NUMBER, from 1 upwards");
    return;
  }
  if (parser.version_seen) {
    if (parser.result.rules.version != *number) {
      ReportConflict(parser, parser.version_origin);
    }
    return;
  }
  parser.version_seen = true;
  parser.version_origin = parser.origin;
  parser.result.rules.version = *number;
}

void ParseService(Parser& parser, const std::vector<std::string>& words) {
  if (!HasMinWords(parser, words, 2,
                   "service NAME [protocol=http|packets] "
                   "[prefer=stability|balance] [warmup=] [warmup-rate=]")) {
    return;
  }
  const Options options =
      ParseOptions(parser, words, 2,
                   {"protocol", "prefer", "health", "application", "flows",
                    "tls", "warmup", "warmup-rate"});
  ServiceRule rule{.name = words[1], .origin = parser.origin};
  ReadTextOption(options, "health", rule.details.health_path);
  ReadTextOption(options, "application", rule.details.application);
  ReadNumberOption(parser, options, "flows", 0, kMaxNumber,
                   rule.details.flow_limit);
  ReadChoiceOption<bool>(parser, options, "tls", {{"yes", true}, {"no", false}},
                         rule.details.tls);
  ReadWarmupOptions(parser, options, rule.warmup);
  ReadChoiceOption<Protocol>(
      parser, options, "protocol",
      {{"http", Protocol::kHttp}, {"packets", Protocol::kPackets}},
      rule.protocol);
  ReadChoiceOption<Preference>(parser, options, "prefer",
                               {{"stability", Preference::kStability},
                                {"balance", Preference::kBalance}},
                               rule.preference);
  const auto [position, added] =
      parser.result.rules.services.emplace(rule.name, rule);
  const ServiceRule& first = position->second;
  if (!added &&
      (first.protocol != rule.protocol || first.preference != rule.preference ||
       first.details != rule.details ||
       !HaveSameLimit(first.warmup, rule.warmup))) {
    ReportConflict(parser, first.origin);
  }
}

/// Parses SERVICE or SERVICE=WEIGHT[,SERVICE=WEIGHT...].
void ParseShares(Parser& parser, const std::string& word, AddressRule& rule) {
  constexpr std::uint32_t kMaxShareWeight = 1000000;
  std::uint64_t total = 0;
  for (const std::string& part : SplitAt(word, ',')) {
    const std::vector<std::string> sides = SplitAt(part, '=');
    WeightedService share{.service = sides[0]};
    if (sides.size() > 1) {
      const auto weight = ParseNumber(sides[1], 0, kMaxShareWeight);
      if (sides.size() > 2 || !weight) {
        Report(parser, part, "SERVICE=WEIGHT, the weight from 0 to 1000000");
        return;
      }
      share.weight = static_cast<std::uint32_t>(*weight);
      rule.weighted = true;
    }
    total += share.weight;
    rule.shares.push_back(share);
  }
  if (total == 0) {
    Report(parser, word, "a service with a weight above 0");
  }
  rule.service = rule.shares.front().service;
}

/// Reads names separated by commas. In a name, a comma and other reserved
/// characters are percent-encoded.
void ReadRegionsOption(Parser& parser, const Options& options,
                       std::vector<std::string>& target) {
  constexpr std::size_t kMaxRegions = 32;
  const auto option = options.find("regions");
  if (option == options.end()) {
    return;
  }
  for (const std::string& word : SplitAt(option->second, ',')) {
    target.push_back(PercentDecode(word));
  }
  const bool unnamed =
      std::any_of(target.begin(), target.end(),
                  [](const std::string& name) { return name.empty(); });
  if (unnamed || target.size() > kMaxRegions) {
    Report(parser, "regions=" + option->second,
           "1 to 32 names, separated by commas");
  }
}

void ParseRouteSettings(Parser& parser, const std::vector<std::string>& words,
                        RouteSettings& route_settings) {
  const Options options = ParseOptions(parser, words, 3,
                                       {"name", "kind", "timeout", "objective",
                                        "priority", "attempts", "regions"});
  ReadTextOption(options, "name", route_settings.name);
  ReadChoiceOption<RouteKind>(parser, options, "kind",
                              {{"unsafe", RouteKind::kUnsafe},
                               {"safe", RouteKind::kSafe},
                               {"download", RouteKind::kDownload}},
                              route_settings.kind);
  ReadDurationOption(parser, options, "timeout", Milliseconds(1),
                     route_settings.timeout);
  ReadDurationOption(parser, options, "objective", Milliseconds(0),
                     route_settings.objective);
  ReadNumberOption(parser, options, "priority", 0, kMaxNumber,
                   route_settings.priority);
  ReadNumberOption(parser, options, "attempts", 0, kMaxNumber,
                   route_settings.attempts);
  ReadRegionsOption(parser, options, route_settings.regions);
}

void ParseBounds(Parser& parser, const std::vector<std::string>& words) {
  const Options options =
      ParseOptions(parser, words, 1, {"header", "body", "header-wait", "idle"});
  BoundsRule& bounds = parser.result.rules.bounds;
  const BoundsRule before = bounds;
  ReadNumberOption(parser, options, "header", 0, kMaxNumber,
                   bounds.header_bytes);
  ReadNumberOption(parser, options, "body", 0, kMaxNumber, bounds.body_bytes);
  ReadDurationOption(parser, options, "header-wait", Milliseconds(0),
                     bounds.header_timeout);
  ReadDurationOption(parser, options, "idle", Milliseconds(0),
                     bounds.idle_timeout);
  if (parser.bounds_seen && bounds != before) {
    ReportConflict(parser, parser.bounds_origin);
  }
  parser.bounds_seen = true;
  parser.bounds_origin = parser.origin;
}

void ParseAddress(Parser& parser, const std::vector<std::string>& words) {
  if (!HasMinWords(
          parser, words, 3,
          "address IP:PORT SERVICE[=WEIGHT][,SERVICE[=WEIGHT]] [name=] "
          "[kind=] [timeout=] [objective=] [priority=] [attempts=] "
          "[regions=]")) {
    return;
  }
  AddressRule rule{.origin = parser.origin};
  ParseShares(parser, words[2], rule);
  ParseRouteSettings(parser, words, rule.route_settings);
  const auto endpoint = ParseEndpointWord(parser, words[1]);
  if (!endpoint || rule.shares.empty()) {
    return;
  }
  rule.address = *endpoint;
  const auto [position, added] =
      parser.result.rules.addresses.emplace(*endpoint, rule);
  if (!added && (position->second.shares != rule.shares ||
                 position->second.route_settings != rule.route_settings)) {
    ReportConflict(parser, position->second.origin);
  }
}

bool SameSettings(const RequestRule& left, const RequestRule& right) {
  return left.deadline == right.deadline && left.retries == right.retries &&
         left.queue == right.queue && left.idempotence == right.idempotence &&
         left.traffic_class == right.traffic_class;
}

void ParseRequest(Parser& parser, const std::vector<std::string>& words) {
  if (!HasMinWords(parser, words, 4,
                   "request SERVICE METHOD PATH [deadline=] [retries=] "
                   "[idempotent=] [queue=] [class=]")) {
    return;
  }
  const Options options =
      ParseOptions(parser, words, 4,
                   {"deadline", "retries", "idempotent", "queue", "class"});
  RequestRule rule{.service = words[1],
                   .method = words[2],
                   .path = words[3],
                   .origin = parser.origin};
  ReadDurationOption(parser, options, "deadline", Milliseconds(1),
                     rule.deadline);
  constexpr std::uint32_t kMaxRetries = 10;
  constexpr std::uint32_t kMaxQueueLength = 100000;
  ReadNumberOption(parser, options, "retries", 0, kMaxRetries, rule.retries);
  ReadNumberOption(parser, options, "queue", 0, kMaxQueueLength, rule.queue);
  ReadChoiceOption<Idempotence>(
      parser, options, "idempotent",
      {{"yes", Idempotence::kYes}, {"no", Idempotence::kNo}}, rule.idempotence);
  ReadChoiceOption<TrafficClass>(parser, options, "class",
                                 {{"interactive", TrafficClass::kInteractive},
                                  {"bulk", TrafficClass::kBulk}},
                                 rule.traffic_class);
  if (!rule.path.starts_with("/")) {
    Report(parser, rule.path, "a path that starts with /");
  }
  if (rule.retries > 0 && !IsIdempotent(&rule, rule.method)) {
    Report(parser, "retries=" + std::to_string(rule.retries),
           "retries=0, as the request is not idempotent");
  }
  for (const RequestRule& earlier : parser.result.rules.requests) {
    const bool same_match = earlier.service == rule.service &&
                            earlier.method == rule.method &&
                            earlier.path == rule.path;
    if (same_match && !SameSettings(earlier, rule)) {
      ReportConflict(parser, earlier.origin);
    }
  }
  parser.result.rules.requests.push_back(rule);
}

void ParseWeight(Parser& parser, const std::vector<std::string>& words) {
  if (!HasMinWords(parser, words, 4, "weight SERVICE IP:PORT NUMBER")) {
    return;
  }
  ParseOptions(parser, words, 4, {});
  constexpr std::uint32_t kMaxWeight = 1000;
  WeightRule rule{.service = words[1], .origin = parser.origin};
  const auto endpoint = ParseEndpointWord(parser, words[2]);
  const auto weight = ParseNumber(words[3], 0, kMaxWeight);
  if (!weight) {
    Report(parser, words[3], "a weight from 0 to 1000");
  }
  if (!endpoint || !weight) {
    return;
  }
  rule.backend = *endpoint;
  rule.weight = static_cast<std::uint32_t>(*weight);
  for (const WeightRule& earlier : parser.result.rules.weights) {
    const bool same_match =
        earlier.service == rule.service && earlier.backend == rule.backend;
    if (same_match && earlier.weight != rule.weight) {
      ReportConflict(parser, earlier.origin);
    }
  }
  parser.result.rules.weights.push_back(rule);
}

void ParseLimit(Parser& parser, const std::vector<std::string>& words) {
  if (!HasMinWords(parser, words, 3, "limit SERVICE slots=NUMBER")) {
    return;
  }
  constexpr std::uint32_t kMaxSlots = 100000;
  const Options options = ParseOptions(parser, words, 2, {"slots"});
  LimitRule rule{.service = words[1], .origin = parser.origin};
  ReadNumberOption(parser, options, "slots", 1, kMaxSlots, rule.slots);
  const auto [position, added] =
      parser.result.rules.limits.emplace(rule.service, rule);
  if (!added && position->second.slots != rule.slots) {
    ReportConflict(parser, position->second.origin);
  }
}

void ParseEvacuate(Parser& parser, const std::vector<std::string>& words) {
  if (!HasMinWords(parser, words, 2, "evacuate DATA_CENTRE")) {
    return;
  }
  ParseOptions(parser, words, 2, {});
  constexpr std::size_t kMaxNameBytes = 200;
  auto& evacuations = parser.result.rules.evacuations;
  if (words[1].size() > kMaxNameBytes) {
    Report(parser, Excerpt(words[1]), "a data centre of at most 200 bytes");
    return;
  }
  evacuations.emplace(words[1], EvacuationRule{.data_centre = words[1],
                                               .origin = parser.origin});
  if (evacuations.size() > kMaxEvacuationRules) {
    Report(parser, words[1], "at most 64 evacuated data centres");
  }
}

void ParseRule(Parser& parser, const std::vector<std::string>& words) {
  static const std::map<std::string,
                        void (*)(Parser&, const std::vector<std::string>&)>
      kRuleParsers = {{"version", ParseVersion}, {"service", ParseService},
                      {"address", ParseAddress}, {"request", ParseRequest},
                      {"weight", ParseWeight},   {"limit", ParseLimit},
                      {"bounds", ParseBounds},   {"evacuate", ParseEvacuate}};
  const auto kind = kRuleParsers.find(words[0]);
  if (kind == kRuleParsers.end()) {
    Report(parser, words[0],
           "version, service, address, request, weight, limit, bounds or "
           "evacuate");
    return;
  }
  kind->second(parser, words);
}

void ParseLine(Parser& parser, std::string_view line) {
  const std::size_t hash = line.find('#');
  const std::string_view rule = Trim(line.substr(0, hash));
  if (rule.empty()) {
    return;
  }
  std::string_view comment;
  if (hash != std::string_view::npos) {
    comment = Trim(line.substr(hash + 1));
  }
  parser.line_text = std::string(rule);
  parser.origin.requester.clear();
  if (comment.starts_with(kRequesterPrefix)) {
    parser.origin.requester = Trim(comment.substr(kRequesterPrefix.size()));
  }
  if (parser.origin.requester.empty()) {
    Report(parser, parser.line_text,
           "a comment that names who asked for it: # by: NAME");
  }
  ParseRule(parser, SplitWords(rule));
}

/// Reports a rule whose service is not defined by any line.
void CheckReference(Parser& parser, const std::string& service,
                    const Origin& origin) {
  if (parser.result.rules.services.contains(service)) {
    return;
  }
  parser.origin = origin;
  Report(parser, service, "a service that a service line defines");
}

void CheckReferences(Parser& parser) {
  const Rules& rules = parser.result.rules;
  for (const auto& [endpoint, rule] : rules.addresses) {
    for (const WeightedService& share : rule.shares) {
      CheckReference(parser, share.service, rule.origin);
    }
  }
  for (const RequestRule& rule : rules.requests) {
    CheckReference(parser, rule.service, rule.origin);
  }
  for (const WeightRule& rule : rules.weights) {
    CheckReference(parser, rule.service, rule.origin);
  }
  for (const auto& [service, rule] : rules.limits) {
    CheckReference(parser, service, rule.origin);
  }
}

}  // namespace

ParsedRules ParseRules(std::string_view text, const std::string& file_name) {
  Parser parser{.file = file_name};
  int number = 0;
  for (const std::string& line : SplitAt(text, '\n')) {
    parser.origin.line = ++number;
    if (!IsUtf8(line)) {
      Report(parser, Excerpt(line), "UTF-8 text");
      continue;
    }
    ParseLine(parser, line);
  }
  CheckReferences(parser);
  if (!parser.version_seen) {
    parser.origin.line = 0;
    Report(parser, "", "a line: version NUMBER  # by: NAME");
  }
  std::stable_sort(parser.result.findings.begin(), parser.result.findings.end(),
                   [](const Finding& left, const Finding& right) {
                     return left.line < right.line;
                   });
  return std::move(parser.result);
}

}  // namespace filbertwall
