#include "Bench/BalanceEmulator.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <optional>
#include <random>
#include <string>

#include "Bench/EventQueue.h"
#include "Outcomes/Speeds.h"
#include "Placement/Placement.h"

namespace filbertwall {
namespace {

constexpr double kLocalDelayMs = 1;
constexpr double kWorkSpread = 0.5;
constexpr double kSlowFactor = 5;
constexpr double kHeavyFactor = 7;
constexpr double kWavePeriodMs = 13000;
constexpr double kWaveHeight = 0.9;
constexpr double kRetransmitDelayMs = 200;
/// Interval of an entry instance's polls, and of the forwarding and evaluation
/// at the control instances.
constexpr double kPollMs = 400;
constexpr double kEvaluationMs = 500;
constexpr double kPushDelayMs = 20;
constexpr double kSecondMs = 1000;

struct Attempt {
  double asked_ms = 0;
  double opened_ms = 0;
  std::uint32_t home = 0;  ///< Data centre of the caller.
  std::uint32_t instance = 0;
  ServerIndex server = 0;
};

struct EmulatedServer {
  std::uint32_t busy = 0;
  std::deque<Attempt> queue;
  bool lost = false;
  bool slow = false;
  wire::ServerRecord record;
};

struct ReportedTimes {
  std::uint32_t flows = 0;
  double duration_ms = 0;
};

struct EmulatedInstance {
  Placement placement;
  std::map<ServerIndex, ReportedTimes> unreported;
};

class Emulator {
 public:
  Emulator(const BalanceScenario& scenario, bool by_load)
      : scenario(scenario), by_load(by_load), random(scenario.seed) {
    this->AddServers();
    this->AddInstances();
    const double measured_s = this->scenario.total_s - this->scenario.calm_s;
    this->flows_at_0.resize(static_cast<std::size_t>(std::ceil(measured_s)));
    this->remote_at_0.resize(this->flows_at_0.size());
  }

  BalanceOutcome Play() {
    this->events.At(this->scenario.calm_s * kSecondMs, [this] {
      for (EmulatedServer& server : this->servers) {
        const auto position =
            static_cast<std::uint32_t>(&server - this->servers.data());
        server.slow = position / this->scenario.data_centres <
                      this->scenario.slow_servers;
      }
    });
    this->events.At(this->scenario.lost_at_s * kSecondMs, [this] {
      for (std::size_t i = 0; i < this->scenario.lost_servers; ++i) {
        this->servers[i * this->scenario.data_centres].lost = true;
      }
    });
    for (std::uint32_t i = 0; i < this->scenario.data_centres; ++i) {
      this->Arrive(i);
    }
    if (this->by_load) {
      for (std::uint32_t i = 0; i < this->instances.size(); ++i) {
        this->Poll(i, kPollMs * this->Draw());
      }
      this->Evaluate();
    }
    this->events.Run([](double) {});
    this->Conclude();
    return this->outcome;
  }

 private:
  void AddServers() {
    const std::size_t data_centres = this->scenario.data_centres;
    this->servers.resize(data_centres * this->scenario.servers_per_data_centre);
    for (std::uint32_t i = 0; i < this->servers.size(); ++i) {
      wire::ServerRecord& record = this->servers[i].record;
      record.set_id(std::to_string(1000 + i));
      record.set_service("desk");
      record.set_ip(1000 + i);
      record.set_port(80);
      record.set_slots(this->scenario.slots);
      record.set_incarnation(1);
      record.set_data_centre("dc" + std::to_string(this->DataCentreOf(i)));
    }
  }

  void AddInstances() {
    const std::size_t data_centres = this->scenario.data_centres;
    this->instances.resize(data_centres *
                           this->scenario.instances_per_data_centre);
    for (std::uint32_t i = 0; i < this->instances.size(); ++i) {
      Placement& placement = this->instances[i].placement;
      placement.config = {
          .data_centre =
              "dc" +
              std::to_string(i / this->scenario.instances_per_data_centre),
          .seed = this->scenario.seed * 7919 + i * 977UL + 5,
          .balance_by_load = this->by_load};
      for (const EmulatedServer& server : this->servers) {
        UpdateServer(placement, server.record, this->events.Now());
      }
      RefreshUsable(placement);
    }
  }

  /// Servers of all data centres are in turn, like ids in a registry.
  std::uint32_t DataCentreOf(std::uint32_t server) const {
    return server % this->scenario.data_centres;
  }

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  bool IsMeasured(double at_ms) const {
    return at_ms >= this->scenario.calm_s * kSecondMs;
  }

  /// Returns the requests per millisecond of a data centre's callers.
  double RateOf(std::uint32_t data_centre) const {
    const double mean_work_ms =
        this->scenario.work_ms *
        (1 + this->scenario.heavy_share * (kHeavyFactor - 1));
    const double usual = this->scenario.load *
                         this->scenario.servers_per_data_centre *
                         this->scenario.slots / mean_work_ms;
    if (!this->IsMeasured(this->events.now_ms)) {
      return usual;
    }
    if (this->scenario.demand == DemandPattern::kShift) {
      const double moved = 0.5 * usual * (this->scenario.data_centres - 1);
      return data_centre == 0 ? usual + moved : usual / 2;
    }
    if (this->scenario.demand == DemandPattern::kWaves) {
      const double turn =
          this->events.now_ms / kWavePeriodMs +
          static_cast<double>(data_centre) / this->scenario.data_centres;
      return usual * (1 + kWaveHeight * std::sin(2 * std::numbers::pi * turn));
    }
    return usual;
  }

  void Arrive(std::uint32_t data_centre) {
    // A rate of 0 would end the arrivals for good.
    const double rate = std::max(0.001, this->RateOf(data_centre));
    const double at = this->events.now_ms - std::log(1 - this->Draw()) / rate;
    if (at > this->scenario.total_s * kSecondMs) {
      return;
    }
    this->events.At(at, [this, data_centre] {
      if (this->IsMeasured(this->events.now_ms)) {
        this->outcome.asked += 1;
        this->outcome.asked_at_0 += data_centre == 0 ? 1 : 0;
      }
      const auto chosen = static_cast<std::uint32_t>(
          this->Draw() * this->scenario.instances_per_data_centre);
      this->Open(
          Attempt{.asked_ms = this->events.now_ms,
                  .home = data_centre,
                  .instance =
                      data_centre * this->scenario.instances_per_data_centre +
                      chosen},
          std::nullopt);
      this->Arrive(data_centre);
    });
  }

  double DelayTo(const Attempt& attempt) const {
    return this->DataCentreOf(attempt.server) == attempt.home
               ? kLocalDelayMs
               : kLocalDelayMs + this->scenario.remote_delay_ms;
  }

  void CountPlace(const Attempt& attempt) {
    if (attempt.home != 0 || !this->IsMeasured(this->events.now_ms)) {
      return;
    }
    const auto second = static_cast<std::size_t>(
        this->events.now_ms / kSecondMs - this->scenario.calm_s);
    if (second < this->flows_at_0.size()) {
      const bool remote = this->DataCentreOf(attempt.server) != 0;
      this->flows_at_0[second] += 1;
      this->remote_at_0[second] += remote ? 1 : 0;
    }
  }

  void Open(Attempt attempt, std::optional<ServerIndex> unanswered) {
    Placement& placement = this->instances[attempt.instance].placement;
    const auto server = ChooseServer(
        placement,
        {.service = 0, .unanswered_server = unanswered, .retryable = true},
        this->events.Now());
    RecordOpening(placement.servers[*server], this->events.Now());
    attempt.server = *server;
    attempt.opened_ms = this->events.now_ms;
    this->CountPlace(attempt);
    this->events.At(this->events.now_ms + this->DelayTo(attempt),
                    [this, attempt] { this->Reach(attempt); });
  }

  void Reach(const Attempt& attempt) {
    EmulatedServer& server = this->servers[attempt.server];
    Placement& placement = this->instances[attempt.instance].placement;
    if (server.lost) {
      this->events.At(
          attempt.opened_ms + kRetransmitDelayMs, [this, attempt, &placement] {
            RecordUnanswered(placement, attempt.server, this->events.Now());
            this->Open(attempt, attempt.server);
          });
      return;
    }
    this->events.At(this->events.now_ms + 2 * this->DelayTo(attempt),
                    [this, attempt, &placement] {
                      RecordAnswered(placement, attempt.server,
                                     this->events.Now());
                    });
    if (server.busy < this->scenario.slots) {
      this->Begin(attempt);
    } else if (server.queue.size() < this->scenario.queue) {
      server.queue.push_back(attempt);
    } else {
      this->events.At(
          this->events.now_ms + 3 * this->DelayTo(attempt),
          [this, attempt, &placement] {
            RecordFlowEnd(placement, attempt.server, true,
                          this->DurationOf(attempt), this->events.Now());
            this->outcome.shed += this->IsMeasured(attempt.asked_ms) ? 1 : 0;
          });
    }
  }

  Milliseconds DurationOf(const Attempt& attempt) const {
    return Milliseconds(
        static_cast<std::int64_t>(this->events.now_ms - attempt.opened_ms));
  }

  void Begin(const Attempt& attempt) {
    EmulatedServer& server = this->servers[attempt.server];
    server.busy += 1;
    std::lognormal_distribution<double> spread(-kWorkSpread * kWorkSpread / 2,
                                               kWorkSpread);
    const bool heavy = this->Draw() < this->scenario.heavy_share;
    const double work = this->scenario.work_ms * spread(this->random) *
                        (server.slow ? kSlowFactor : 1) *
                        (heavy ? kHeavyFactor : 1);
    this->events.At(this->events.now_ms + work,
                    [this, attempt] { this->Finish(attempt); });
  }

  void Finish(const Attempt& attempt) {
    EmulatedServer& server = this->servers[attempt.server];
    server.busy -= 1;
    if (!server.queue.empty()) {
      const Attempt next = server.queue.front();
      server.queue.pop_front();
      this->Begin(next);
    }
    if (!server.lost) {
      this->events.At(this->events.now_ms + 2 * this->DelayTo(attempt),
                      [this, attempt] { this->End(attempt); });
    }
  }

  void End(const Attempt& attempt) {
    EmulatedInstance& instance = this->instances[attempt.instance];
    const Milliseconds duration = this->DurationOf(attempt);
    RecordFlowEnd(instance.placement, attempt.server, true, duration,
                  this->events.Now());
    if (this->by_load) {
      ReportedTimes& times = instance.unreported[attempt.server];
      times.flows += 1;
      times.duration_ms += static_cast<double>(duration.count());
      const PlacedServer& server = instance.placement.servers[attempt.server];
      if (server.slowness == 1) {
        RecordLoad(instance.placement.loads, 0, server.data_centre, duration,
                   this->events.Now());
      }
    }
    if (!this->IsMeasured(attempt.asked_ms)) {
      return;
    }
    const double took = this->events.now_ms - attempt.asked_ms;
    const bool in_time = took <= this->scenario.objective_ms;
    this->outcome.durations_ms.push_back(took);
    (in_time ? this->outcome.in_time : this->outcome.late) += 1;
    this->outcome.in_time_at_0 += in_time && attempt.home == 0 ? 1 : 0;
  }

  bool IsOver() const {
    return this->events.now_ms > this->scenario.total_s * kSecondMs;
  }

  void Poll(std::uint32_t index, double at_ms) {
    this->events.At(at_ms, [this, index] {
      EmulatedInstance& instance = this->instances[index];
      // Three of four control instances learn of it when it is forwarded.
      const double delay = kEvaluationMs * this->Draw();
      this->events.At(this->events.now_ms + delay,
                      [this, reported = std::move(instance.unreported)] {
                        for (const auto& [server, times] : reported) {
                          AddDurations(
                              this->speeds, this->servers[server].record.id(),
                              this->scenario.slots, times.flows,
                              static_cast<std::uint64_t>(times.duration_ms),
                              this->events.Now());
                        }
                      });
      instance.unreported.clear();
      if (!this->IsOver()) {
        this->Poll(index, this->events.now_ms + kPollMs);
      }
    });
  }

  void Evaluate() {
    std::vector<SpeedCandidate> candidates;
    for (const EmulatedServer& server : this->servers) {
      candidates.push_back(
          {.id = server.record.id(),
           .data_centre = server.record.data_centre(),
           .slowness_percent = server.record.slowness_percent()});
    }
    const auto slow =
        FindSlowServers(this->speeds, candidates, this->events.Now());
    for (EmulatedServer& server : this->servers) {
      const auto found = slow.find(server.record.id());
      const std::uint32_t percent = found == slow.end() ? 0 : found->second;
      if (percent == server.record.slowness_percent()) {
        continue;
      }
      server.record.set_slowness_percent(percent);
      this->outcome.marks += 1;
      this->outcome.wrong_marks += percent > 0 && !server.slow ? 1 : 0;
      this->events.At(
          this->events.now_ms + kPushDelayMs, [this, record = server.record] {
            for (EmulatedInstance& instance : this->instances) {
              UpdateServer(instance.placement, record, this->events.Now());
            }
          });
    }
    if (!this->IsOver()) {
      this->events.At(this->events.now_ms + kEvaluationMs,
                      [this] { this->Evaluate(); });
    }
  }

  void Conclude() {
    for (std::size_t i = 0; i < this->flows_at_0.size(); ++i) {
      this->outcome.remote_share.push_back(
          this->flows_at_0[i] > 0 ? this->remote_at_0[i] / this->flows_at_0[i]
                                  : 0);
    }
    for (const EmulatedServer& server : this->servers) {
      const bool marked = server.record.slowness_percent() > 0;
      this->outcome.slow_servers_marked += marked && server.slow ? 1 : 0;
    }
  }

  BalanceScenario scenario;
  bool by_load = false;
  std::mt19937_64 random;
  std::vector<EmulatedServer> servers;
  std::vector<EmulatedInstance> instances;
  SpeedStats speeds;
  EventQueue events;
  std::vector<double> flows_at_0;
  std::vector<double> remote_at_0;
  BalanceOutcome outcome;
};

}  // namespace

BalanceOutcome SimulateBalance(const BalanceScenario& scenario, bool by_load) {
  return Emulator(scenario, by_load).Play();
}

double DurationQuantile(BalanceOutcome& outcome, double share) {
  if (outcome.durations_ms.empty()) {
    return 0;
  }
  const auto position =
      outcome.durations_ms.begin() +
      static_cast<std::ptrdiff_t>(
          share * static_cast<double>(outcome.durations_ms.size() - 1));
  std::nth_element(outcome.durations_ms.begin(), position,
                   outcome.durations_ms.end());
  return *position;
}

double MeanStep(const std::vector<double>& remote_share, std::size_t first) {
  double sum = 0;
  for (std::size_t i = first + 1; i < remote_share.size(); ++i) {
    sum += std::abs(remote_share[i] - remote_share[i - 1]);
  }
  const std::size_t steps =
      remote_share.size() > first + 1 ? remote_share.size() - first - 1 : 1;
  return sum / static_cast<double>(steps);
}

}  // namespace filbertwall
