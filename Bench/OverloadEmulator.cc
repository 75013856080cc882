#include "Bench/OverloadEmulator.h"

#include <cmath>
#include <deque>
#include <random>
#include <string>

#include "Admission/Admission.h"
#include "Bench/EventQueue.h"
#include "Placement/Placement.h"

namespace filbertwall {
namespace {

constexpr double kOneWayDelayMs = 2;
constexpr double kColdFactor = 1.6;
constexpr double kWorkSpread = 0.5;
constexpr std::uint32_t kMaxAttempts = 3;
/// Delay before a caller's first retry. It doubles with each further retry.
constexpr double kInitialBackoffMs = 100;

struct Request {
  double asked_ms = 0;
  std::uint32_t tries = 0;
  std::uint64_t caller = 0;
  bool order = false;
  bool in_surge = false;
  std::size_t kind = 0;  ///< Index into the kinds.
};

/// Returns the kinds of a scenario that names none.
std::vector<OverloadKind> UsualKinds(const OverloadScenario& scenario) {
  OverloadKind kind{.work_ms = scenario.work_ms,
                    .objective_ms = scenario.objective_ms,
                    .timeout_ms = scenario.timeout_ms};
  OverloadKind order = kind;
  order.name = "orders";
  order.retryable = false;
  kind.name = "look-ups";
  return {order, kind};
}

/// One attempt at a request, through one instance to one server.
struct Attempt {
  std::size_t request = 0;
  std::uint32_t instance = 0;
  ServerIndex server = 0;
  double opened_ms = 0;
};

struct EmulatedServer {
  std::uint32_t busy = 0;
  std::deque<Attempt> queue;
  bool lost = false;
  bool cold = false;
};

struct EmulatedInstance {
  Placement placement;
  Admission admission;
};

class Emulator {
 public:
  Emulator(const OverloadScenario& scenario, const OverloadPolicy& policy)
      : scenario(scenario),
        policy(policy),
        kinds(scenario.kinds.empty() ? UsualKinds(scenario) : scenario.kinds),
        random(scenario.seed) {
    this->outcome.kinds.resize(this->kinds.size());
    this->AddServers();
    this->AddInstances();
  }

  OverloadOutcome Play() {
    this->events.At(this->scenario.calm_s * 1000,
                    [this] { this->StartSurge(); });
    this->Arrive();
    this->events.Run([](double) {});
    return this->outcome;
  }

 private:
  void AddServers() {
    this->servers.resize(this->scenario.servers);
    this->capacity_per_ms =
        this->scenario.servers * this->scenario.slots / this->scenario.work_ms;
  }

  void AddInstances() {
    this->instances.resize(this->scenario.instances);
    for (std::uint32_t i = 0; i < this->scenario.instances; ++i) {
      EmulatedInstance& instance = this->instances[i];
      instance.placement.config = {.data_centre = "a", .seed = i * 977 + 5};
      for (std::uint32_t s = 0; s < this->scenario.servers; ++s) {
        wire::ServerRecord record;
        record.set_id(std::to_string(1000 + s));
        record.set_service("desk");
        record.set_ip(1000 + s);
        record.set_port(80);
        record.set_slots(this->scenario.slots);
        record.set_incarnation(1);
        record.set_data_centre("a");
        UpdateServer(instance.placement, record, this->events.Now());
      }
      RefreshUsable(instance.placement);
      instance.admission.fair_callers = this->policy.fair_callers;
      this->TellCapacity(instance, this->scenario.servers);
    }
  }

  void TellCapacity(EmulatedInstance& instance, double servers) {
    if (this->policy.capacity) {
      UpdateCapacity(instance.admission, 0, servers * this->scenario.slots,
                     this->events.Now());
    }
  }

  /// Takes servers from the placement of all instances. Returns their number.
  double Evacuate(std::uint32_t first) {
    const std::uint32_t last = first + this->scenario.evacuated_servers;
    for (EmulatedInstance& instance : this->instances) {
      std::erase_if(
          instance.placement.usable_by_service.at(0),
          [&](ServerIndex server) { return server >= first && server < last; });
    }
    return this->scenario.evacuated_servers;
  }

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  bool InSurge() const {
    const double begin = this->scenario.calm_s * 1000;
    return this->events.now_ms >= begin &&
           this->events.now_ms < begin + this->scenario.surge_s * 1000;
  }

  void StartSurge() {
    for (std::uint32_t s = 0; s < this->scenario.lost_servers; ++s) {
      this->servers[s].lost = true;
    }
    const std::uint32_t cold_end =
        this->scenario.lost_servers + this->scenario.cold_servers;
    for (std::uint32_t s = this->scenario.lost_servers; s < cold_end; ++s) {
      this->servers[s].cold = true;
    }
    const double left = this->scenario.servers - this->scenario.lost_servers -
                        this->scenario.cold_servers * (1 - 1 / kColdFactor) -
                        this->Evacuate(cold_end);
    for (EmulatedInstance& instance : this->instances) {
      this->TellCapacity(instance, this->policy.capacity_falls
                                       ? left
                                       : this->scenario.servers);
    }
    this->surge_capacity_per_ms =
        left * this->scenario.slots / this->scenario.work_ms;
    this->outcome.capacity =
        this->surge_capacity_per_ms * this->scenario.surge_s * 1000;
  }

  /// Returns the requests of a kind per millisecond.
  double RateOf(const OverloadKind& kind) const {
    return kind.usual_load * (this->InSurge() ? kind.burst : 1) *
           this->scenario.servers * this->scenario.slots / kind.work_ms;
  }

  double TotalRate() const {
    if (this->scenario.kinds.empty()) {
      return this->InSurge()
                 ? this->scenario.surge_load * this->surge_capacity_per_ms
                 : this->scenario.usual_load * this->capacity_per_ms;
    }
    double total = 0;
    for (const OverloadKind& kind : this->kinds) {
      total += this->RateOf(kind);
    }
    return total;
  }

  std::size_t DrawKind() {
    const double draw = this->Draw();
    if (this->scenario.kinds.empty()) {
      return draw < this->scenario.order_share ? 0 : 1;
    }
    double rest = draw * this->TotalRate();
    std::size_t kind = 0;
    while (kind + 1 < this->kinds.size() &&
           rest >= this->RateOf(this->kinds[kind])) {
      rest -= this->RateOf(this->kinds[kind]);
      kind += 1;
    }
    return kind;
  }

  /// Draws a caller; the first `heavy_callers` are the heavy ones.
  std::uint64_t DrawCaller() {
    const double draw = this->Draw();
    const double heavy_share = this->scenario.heavy_share;
    const std::uint32_t heavy = this->scenario.heavy_callers;
    if (draw < heavy_share) {
      return static_cast<std::uint64_t>(draw / heavy_share * heavy);
    }
    return heavy +
           static_cast<std::uint64_t>((draw - heavy_share) / (1 - heavy_share) *
                                      (this->scenario.callers - heavy));
  }

  KindOutcome& OutcomeOf(const Request& request) {
    return this->outcome.kinds[request.kind];
  }

  CallerOutcome& CallerOutcomeOf(const Request& request) {
    return request.caller < this->scenario.heavy_callers
               ? this->outcome.heavy_callers
               : this->outcome.light_callers;
  }

  bool HasLeft(const Request& request) const {
    return this->events.now_ms >
           request.asked_ms + this->kinds[request.kind].timeout_ms;
  }

  void Arrive() {
    const double rate = this->TotalRate();
    const double pause = -std::log(1 - this->Draw()) / rate;
    const double end =
        (2 * this->scenario.calm_s + this->scenario.surge_s) * 1000;
    if (this->events.now_ms + pause > end) {
      return;
    }
    this->events.At(this->events.now_ms + pause, [this] {
      Request request{.asked_ms = this->events.now_ms,
                      .caller = this->DrawCaller(),
                      .in_surge = this->InSurge(),
                      .kind = this->DrawKind()};
      request.order = !this->kinds[request.kind].retryable;
      this->outcome.asked += request.in_surge ? 1 : 0;
      this->outcome.orders += request.in_surge && request.order ? 1 : 0;
      this->OutcomeOf(request).asked += request.in_surge ? 1 : 0;
      this->CallerOutcomeOf(request).asked += request.in_surge ? 1 : 0;
      this->requests.push_back(request);
      this->Try(this->requests.size() - 1);
      this->Arrive();
    });
  }

  void Try(std::size_t index) {
    Request& request = this->requests[index];
    request.tries += 1;
    const auto chosen =
        static_cast<std::uint32_t>(this->Draw() * this->scenario.instances);
    EmulatedInstance& instance = this->instances[chosen];
    instance.admission.refusal_interval =
        static_cast<std::uint64_t>(this->events.now_ms) / 2000;
    if (this->policy.admission &&
        !Admit(instance.admission,
               {.service = 0,
                .caller = static_cast<std::uint32_t>(request.caller),
                .priority = this->policy.priorities
                                ? this->kinds[request.kind].priority
                                : 0,
                .retryable = !request.order,
                .flow = this->attempts++},
               this->events.Now())) {
      this->NoteRefused();
      this->TryAgain(index, &OverloadOutcome::refused, &KindOutcome::refused);
      return;
    }
    const auto server = ChooseServer(
        instance.placement, {.service = 0, .retryable = !request.order},
        this->events.Now());
    RecordOpening(instance.placement.servers[*server], this->events.Now());
    const Attempt attempt{.request = index,
                          .instance = chosen,
                          .server = *server,
                          .opened_ms = this->events.now_ms};
    this->events.At(this->events.now_ms + kOneWayDelayMs,
                    [this, attempt] { this->Reach(attempt); });
  }

  void NoteRefused() {
    constexpr double kSettleMs = 300;
    const double end =
        (this->scenario.calm_s + this->scenario.surge_s) * 1000 + kSettleMs;
    this->outcome.refused_when_calm += this->events.now_ms > end ? 1 : 0;
  }

  void TryAgain(std::size_t index, std::uint32_t OverloadOutcome::*last,
                std::uint32_t KindOutcome::*last_of_kind) {
    const Request& request = this->requests[index];
    const double pause = kInitialBackoffMs * std::pow(2, request.tries - 1) *
                         (0.5 + this->Draw());
    const bool may =
        request.tries < kMaxAttempts &&
        this->events.now_ms + pause <
            request.asked_ms + this->kinds[request.kind].timeout_ms;
    if (may) {
      this->events.At(this->events.now_ms + pause,
                      [this, index] { this->Try(index); });
    } else if (request.in_surge) {
      this->outcome.*last += 1;
      this->OutcomeOf(request).*last_of_kind += 1;
    }
  }

  void Reach(const Attempt& attempt) {
    EmulatedServer& server = this->servers[attempt.server];
    Placement& placement = this->instances[attempt.instance].placement;
    if (server.lost) {
      constexpr double kRetransmitDelayMs = 200;
      this->events.At(
          attempt.opened_ms + kRetransmitDelayMs, [this, attempt, &placement] {
            RecordUnanswered(placement, attempt.server, this->events.Now());
            Request& request = this->requests[attempt.request];
            if (!this->scenario.kinds.empty() && this->HasLeft(request)) {
              this->RecordLate(request);
              return;
            }
            request.tries -= 1;  // A retransmission is not a retry.
            this->Try(attempt.request);
          });
      return;
    }
    this->events.At(
        this->events.now_ms + 2 * kOneWayDelayMs, [this, attempt, &placement] {
          RecordAnswered(placement, attempt.server, this->events.Now());
          AddFlowInFlight(this->instances[attempt.instance].admission, 0);
        });
    if (server.busy < this->scenario.slots) {
      this->Begin(attempt);
    } else if (server.queue.size() < this->scenario.queue) {
      server.queue.push_back(attempt);
    } else {
      this->events.At(this->events.now_ms + 3 * kOneWayDelayMs, [this, attempt,
                                                                 &placement] {
        const auto took = Milliseconds(
            static_cast<std::int64_t>(this->events.now_ms - attempt.opened_ms));
        RecordFlowEnd(placement, attempt.server, true, took,
                      this->events.Now());
        RemoveFlowInFlight(this->instances[attempt.instance].admission, 0);
        this->TryAgain(attempt.request, &OverloadOutcome::shed,
                       &KindOutcome::shed);
      });
    }
  }

  void Begin(const Attempt& attempt) {
    EmulatedServer& server = this->servers[attempt.server];
    server.busy += 1;
    std::lognormal_distribution<double> spread(-kWorkSpread * kWorkSpread / 2,
                                               kWorkSpread);
    const OverloadKind& kind =
        this->kinds[this->requests[attempt.request].kind];
    const double work =
        kind.work_ms * spread(this->random) * (server.cold ? kColdFactor : 1);
    this->events.At(this->events.now_ms + work,
                    [this, attempt] { this->Finish(attempt); });
  }

  void Finish(const Attempt& attempt) {
    EmulatedServer& server = this->servers[attempt.server];
    server.busy -= 1;
    const Request& request = this->requests[attempt.request];
    this->OutcomeOf(request).worked_after_left +=
        request.in_surge && this->HasLeft(request) ? 1 : 0;
    if (!server.queue.empty()) {
      const Attempt next = server.queue.front();
      server.queue.pop_front();
      this->Begin(next);
    }
    this->events.At(this->events.now_ms + 2 * kOneWayDelayMs,
                    [this, attempt] { this->End(attempt); });
  }

  void End(const Attempt& attempt) {
    EmulatedInstance& instance = this->instances[attempt.instance];
    const auto took = Milliseconds(
        static_cast<std::int64_t>(this->events.now_ms - attempt.opened_ms));
    RecordFlowEnd(instance.placement, attempt.server, true, took,
                  this->events.Now());
    RemoveFlowInFlight(instance.admission, 0);
    const Request& request = this->requests[attempt.request];
    const double objective_ms = this->kinds[request.kind].objective_ms;
    RecordFlowDuration(instance.admission, 0, took,
                       Milliseconds(static_cast<std::int64_t>(objective_ms)),
                       this->events.Now());
    if (!request.in_surge) {
      return;
    }
    if (this->events.now_ms - request.asked_ms > objective_ms) {
      this->RecordLate(request);
      return;
    }
    this->outcome.in_time += 1;
    this->OutcomeOf(request).in_time += 1;
    this->CallerOutcomeOf(request).in_time += 1;
    this->outcome.orders_in_time += request.order ? 1 : 0;
  }

  void RecordLate(const Request& request) {
    if (request.in_surge) {
      this->outcome.late += 1;
      this->OutcomeOf(request).late += 1;
    }
  }

  OverloadScenario scenario;
  OverloadPolicy policy;
  std::vector<OverloadKind> kinds;
  std::mt19937_64 random;
  std::vector<EmulatedServer> servers;
  std::vector<EmulatedInstance> instances;
  std::vector<Request> requests;
  EventQueue events;
  std::uint64_t attempts = 0;  ///< Used as the flow's key.
  double capacity_per_ms = 0;
  double surge_capacity_per_ms = 0;
  OverloadOutcome outcome;
};

}  // namespace

std::vector<OverloadKind> UsualAndOtherKinds() {
  return {{.name = "urgent",
           .priority = 0,
           .work_ms = 20,
           .objective_ms = 250,
           .timeout_ms = 1000,
           .usual_load = 0.02},
          {.name = "orders",
           .priority = 1,
           .retryable = false,
           .work_ms = 30,
           .objective_ms = 400,
           .timeout_ms = 2000,
           .usual_load = 0.05},
          {.name = "look-ups",
           .priority = 2,
           .work_ms = 25,
           .objective_ms = 300,
           .timeout_ms = 1500,
           .usual_load = 0.09},
          {.name = "reports",
           .priority = 3,
           .work_ms = 35,
           .objective_ms = 600,
           .timeout_ms = 3000,
           .usual_load = 0.04}};
}

OverloadOutcome SimulateOverload(const OverloadScenario& scenario,
                                 const OverloadPolicy& policy) {
  return Emulator(scenario, policy).Play();
}

}  // namespace filbertwall
