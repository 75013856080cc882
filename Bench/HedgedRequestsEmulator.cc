#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>

#include "Bench/EventQueue.h"
#include "Bench/HedgingEmulator.h"
#include "Requests/RequestTier.h"

namespace filbertwall {
namespace {

constexpr double kTickMs = 10;
constexpr double kAnnounceMs = 1000;
constexpr double kWorkSpread = 0.25;
constexpr double kOneWayMs = 0.5;
constexpr double kWarmUpMs = 5000;  ///< Before the first request.

struct Caller {
  double asked_ms = 0;
  bool order = false;
  bool slow = false;
  std::uint32_t answers = 0;
  std::uint32_t runs = 0;
};

double QuantileOfSorted(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

class RequestsEmulator {
 public:
  explicit RequestsEmulator(const HedgedRequestsScenario& scenario)
      : scenario(scenario), random(scenario.seed) {
    this->rules.services["shop"] = ServiceRule{.name = "shop"};
    this->rules.requests = {
        RequestRule{.service = "shop", .method = "*", .path = "/"}};
    this->tier.self = 1;
    this->tier.recorder_pool = {1};
    this->tier.hedge_share = scenario.hedge_budget;
    this->busy.resize(scenario.servers);
  }

  HedgedRequestsOutcome Run() {
    this->Announce();
    this->queue.At(kWarmUpMs, [this] { this->Arrive(); });
    this->queue.At(kTickMs, [this] { this->Tick(); });
    this->queue.Run([](double) {});
    std::sort(this->durations_ms.begin(), this->durations_ms.end());
    this->outcome.p50_ms = QuantileOfSorted(this->durations_ms, 0.5);
    this->outcome.p99_ms = QuantileOfSorted(this->durations_ms, 0.99);
    this->outcome.p999_ms = QuantileOfSorted(this->durations_ms, 0.999);
    this->outcome.hedges = this->tier.counters["hedges_sent"];
    return this->outcome;
  }

 private:
  double Uniform() {
    constexpr double kRange = 9007199254740992.0;  // 2^53
    constexpr unsigned kUnusedBits = 11;
    return static_cast<double>(this->random() >> kUnusedBits) / kRange;
  }

  bool IsOver() const {
    return this->callers.size() >= this->scenario.requests &&
           this->tier.open.empty();
  }

  void Announce() {
    this->sequence += 1;
    for (std::uint32_t i = 0; i < this->scenario.servers; ++i) {
      wire::BackendRecord record;
      wire::Announcement& announcement = *record.mutable_announcement();
      announcement.set_address("1.1.1." + std::to_string(i + 1) + ":9");
      announcement.set_service("shop");
      announcement.set_sequence(this->sequence);
      announcement.set_phase(wire::READY);
      announcement.set_slots(this->scenario.slots);
      ApplyAnnouncement(this->directory, record, this->queue.Now());
    }
    if (!this->IsOver()) {
      this->queue.At(this->queue.now_ms + kAnnounceMs,
                     [this] { this->Announce(); });
    }
  }

  void Tick() {
    this->Reduce(RequestTick{});
    if (!this->IsOver()) {
      this->queue.At(this->queue.now_ms + kTickMs, [this] { this->Tick(); });
    }
  }

  void Arrive() {
    const std::uint64_t id = this->callers.size();
    this->callers.push_back(
        Caller{.asked_ms = this->queue.now_ms,
               .order = this->Uniform() < this->scenario.order_share,
               .slow = this->Uniform() < this->scenario.slow_share});
    constexpr double kMsPerS = 1000;
    if (this->callers.size() < this->scenario.requests) {
      this->queue.At(this->queue.now_ms - std::log1p(-this->Uniform()) *
                                              kMsPerS /
                                              this->scenario.requests_per_s,
                     [this] { this->Arrive(); });
    }
    this->Reduce(RequestArrived{
        .id = id,
        .request = {.method = this->callers[id].order ? "POST" : "GET",
                    .path = "/" + std::to_string(id),
                    .host = "shop"}});
  }

  void Reduce(const RequestEvent& event) {
    const RequestEnvironment environment{.rules = this->rules,
                                         .directory = this->directory,
                                         .silent = this->silent,
                                         .now = this->queue.Now()};
    for (const RequestEffect& effect :
         filbertwall::Reduce(this->tier, event, environment)) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->queue.At(this->queue.now_ms + kOneWayMs,
                       [this, attempt = *start] { this->Serve(attempt); });
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        this->Answer(*answer);
      }
    }
  }

  /// A server does not notice that an attempt is cancelled: its slot stays
  /// taken until the work is done.
  void Serve(const StartAttempt& start) {
    const std::uint32_t server = (start.backend.ip & 0xFFU) - 1;
    const std::size_t id = std::stoul(start.request.path.substr(1));
    AttemptResult result{.kind = AttemptResult::Kind::kAnswered};
    double work_ms = 0;
    if (this->busy[server] >= this->scenario.slots) {
      constexpr int kRefused = 503;
      result.answer.set_status(kRefused);
      wire::HeaderField& field = *result.answer.add_headers();
      field.set_name(std::string(kNotRunHeader));
      field.set_value("true");
    } else {
      constexpr int kOk = 200;
      result.answer.set_status(kOk);
      Caller& caller = this->callers[id];
      caller.runs += 1;
      this->outcome.orders_run_twice += caller.order && caller.runs == 2;
      work_ms = this->WorkOf(caller);
      this->outcome.work_ms += work_ms;
      this->busy[server] += 1;
      this->queue.At(this->queue.now_ms + work_ms,
                     [this, server] { this->busy[server] -= 1; });
    }
    this->queue.At(
        this->queue.now_ms + work_ms + kOneWayMs,
        [this, attempt = start.attempt, result] {
          this->Reduce(AttemptEnded{.attempt = attempt, .result = result});
        });
  }

  double WorkOf(const Caller& caller) {
    const bool slow = this->scenario.slow_by_request
                          ? caller.slow
                          : this->Uniform() < this->scenario.slow_share;
    return this->scenario.work_ms * (slow ? this->scenario.slow_factor : 1.0) *
           (1 + kWorkSpread * (2 * this->Uniform() - 1));
  }

  void Answer(const AnswerCaller& answer) {
    Caller& caller = this->callers[answer.id];
    caller.answers += 1;
    this->outcome.answered_twice += caller.answers == 2;
    constexpr int kOk = 200;
    if (answer.answer.status() != kOk) {
      this->outcome.refused += 1;
      return;
    }
    this->outcome.answered += 1;
    if (!caller.order) {
      this->durations_ms.push_back(this->queue.now_ms - caller.asked_ms);
    }
  }

  HedgedRequestsScenario scenario;
  std::mt19937_64 random;
  EventQueue queue;
  Rules rules;
  Directory directory;
  std::set<std::uint32_t> silent;
  RequestTier tier;
  std::uint64_t sequence = 0;
  std::vector<std::uint32_t> busy;  ///< Slots that work, by server.
  std::vector<Caller> callers;
  std::vector<double> durations_ms;
  HedgedRequestsOutcome outcome;
};

}  // namespace

HedgedRequestsOutcome SimulateHedgedRequests(
    const HedgedRequestsScenario& scenario) {
  RequestsEmulator emulator(scenario);
  return emulator.Run();
}

}  // namespace filbertwall
