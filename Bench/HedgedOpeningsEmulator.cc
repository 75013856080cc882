#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "Base/Hash.h"
#include "Bench/EventQueue.h"
#include "Bench/HedgingEmulator.h"
#include "Forwarding/Forwarder.h"

namespace filbertwall {
namespace {

constexpr std::uint32_t kAddress = 1000;  ///< IP address of the service.
constexpr std::uint16_t kPort = 80;
constexpr std::uint32_t kCallers = 2000;
constexpr std::uint32_t kAnswerPackets = 3;
constexpr std::uint32_t kAnswerPacketBytes = 1200;
constexpr double kAnswerPacketMs = 5;  ///< Between two packets of an answer.
constexpr double kRetransmitMs = 200;
/// Times at which a caller sends its opening packet; it gives up at the last.
constexpr std::array<double, 4> kSynScheduleMs = {0, 200, 600, 1400};

struct Acceptance {
  std::uint32_t server = 0;
  std::uint32_t sequence = 0;  ///< The server's initial sequence number.
};

struct Flow {
  FlowKey key;
  double started_ms = 0;
  std::optional<Acceptance> opened_by;
  std::uint32_t token = 0;  ///< The last one that the caller received.
  std::uint32_t received_bytes = 0;
  bool over = false;
  bool hedged = false;
  std::map<std::uint32_t, std::uint32_t> accepted;  ///< Server to sequence.
  bool working = false;  ///< The opening server has the request.
};

struct Instance {
  Forwarder forwarder;
  double poll_at_ms = HUGE_VAL;
};

double QuantileOfSorted(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

Milliseconds ToMilliseconds(double time_ms) {
  return Milliseconds(static_cast<std::int64_t>(time_ms));
}

class OpeningsEmulator {
 public:
  explicit OpeningsEmulator(const HedgedOpeningsScenario& scenario)
      : scenario(scenario),
        random(scenario.seed),
        instances(scenario.instances) {
    for (std::uint32_t i = 0; i < scenario.instances; ++i) {
      this->SetUp(this->instances[i].forwarder, i);
    }
  }

  HedgedOpeningsOutcome Run() {
    this->queue.At(0, [this] { this->Start(); });
    for (std::uint32_t epoch = 0; epoch < this->scenario.respread_at_ms.size();
         ++epoch) {
      this->queue.At(this->scenario.respread_at_ms[epoch],
                     [this, epoch] { this->spread = epoch + 1; });
    }
    this->queue.Run([](double) {});
    return this->Collect();
  }

 private:
  void SetUp(Forwarder& forwarder, std::uint32_t index) const {
    forwarder.placement.config = {
        .data_centre =
            "dc" + std::to_string(index % this->scenario.data_centres),
        .seed = MixHash(this->scenario.seed, index)};
    forwarder.serving = true;
    forwarder.hedged.budget.share = this->scenario.hedge_openings;
    for (std::uint32_t i = 0; i < this->scenario.servers; ++i) {
      wire::ServerRecord record;
      record.set_id("a" + std::to_string(i));
      record.set_service("proof");
      record.set_ip(i + 1);
      record.set_port(80);
      record.set_slots(2);
      record.set_data_centre("dc" +
                             std::to_string(i % this->scenario.data_centres));
      record.set_incarnation(1);
      UpdateServer(forwarder.placement, record, this->queue.Now());
    }
    RefreshUsable(forwarder.placement);
    wire::RoutesUpdate update;
    update.set_version(1);
    wire::Route& route = *update.add_set();
    route.set_ip(kAddress);
    route.set_port(kPort);
    constexpr std::uint32_t kTimeoutMs = 2000;
    route.set_timeout_ms(kTimeoutMs);
    route.set_kind(wire::REQUEST_SAFE);
    wire::RouteShare& share = *route.add_shares();
    share.set_service("proof");
    share.set_weight(1);
    ApplyRoutes(forwarder.routes, update, forwarder.placement);
  }

  double Uniform() {
    constexpr double kRange = 9007199254740992.0;  // 2^53
    constexpr unsigned kUnusedBits = 11;
    return static_cast<double>(this->random() >> kUnusedBits) / kRange;
  }

  /// Runs `arrive` after the delay of one packet, or never if it is lost.
  void Send(std::function<void()> arrive) {
    if (this->Uniform() < this->scenario.loss) {
      return;
    }
    const double delay_ms =
        this->Uniform() < this->scenario.slow_path_share
            ? this->scenario.slow_path_ms
            : this->scenario.one_way_ms *
                  (1 + this->scenario.jitter * (2 * this->Uniform() - 1));
    this->queue.At(this->queue.now_ms + delay_ms, std::move(arrive));
  }

  void Start() {
    const std::size_t id = this->flows.size();
    const auto caller = static_cast<std::uint32_t>(this->Uniform() * kCallers);
    this->flows.push_back(Flow{
        .key = {.caller = {.ip = 100000 + caller,
                           .port =
                               static_cast<std::uint16_t>(1024 + id % 60000)},
                .address = {.ip = kAddress, .port = kPort}},
        .started_ms = this->queue.now_ms});
    this->SendOpening(id, 0);
    constexpr double kMsPerS = 1000;
    const double next_ms = this->queue.now_ms - std::log1p(-this->Uniform()) *
                                                    kMsPerS /
                                                    this->scenario.flows_per_s;
    if (next_ms < this->scenario.duration_ms) {
      this->queue.At(next_ms, [this] { this->Start(); });
    }
  }

  void SendOpening(std::size_t id, std::uint32_t copies) {
    Flow& flow = this->flows[id];
    if (flow.opened_by || flow.over) {
      return;
    }
    if (copies + 1 >= kSynScheduleMs.size()) {
      flow.over = true;
      return;
    }
    const double wait_ms = kSynScheduleMs[copies + 1] - kSynScheduleMs[copies];
    const FlowPacket packet{
        .key = flow.key,
        .opens = true,
        .copies = copies,
        .retransmit_after = ToMilliseconds(wait_ms),
        .since_first_copy = ToMilliseconds(kSynScheduleMs[copies])};
    this->Send([this, id, packet] { this->Decide(id, packet); });
    this->queue.At(this->queue.now_ms + wait_ms,
                   [this, id, copies] { this->SendOpening(id, copies + 1); });
  }

  Instance& InstanceOf(const Flow& flow) {
    return this->instances[MixHash(flow.key.caller.ip, this->spread) %
                           this->instances.size()];
  }

  /// An entry instance gets a packet of a caller.
  void Decide(std::size_t id, const FlowPacket& packet) {
    Instance& instance = this->InstanceOf(this->flows[id]);
    const TimePoint now = this->queue.Now();
    this->Poll(instance);
    const Decision decision = DecidePacket(instance.forwarder, packet, now);
    if (decision.verdict != Verdict::kForward) {
      return;
    }
    // The stored bytes name the flow.
    std::array<std::uint8_t, sizeof(id)> bytes{};
    std::copy_n(reinterpret_cast<const std::uint8_t*>(&id), sizeof(id),
                bytes.begin());
    StoreForHedge(instance.forwarder, packet, decision, bytes, now);
    this->ForwardTo(decision.server, id, packet);
    this->Poll(instance);
  }

  void ForwardTo(std::uint32_t server, std::size_t id,
                 const FlowPacket& packet) {
    this->Send(
        [this, server, id, packet] { this->Receive(server, id, packet); });
  }

  /// Sends the hedges that are due, and plans the next time for it.
  void Poll(Instance& instance) {
    const TimePoint now = this->queue.Now();
    while (const auto opening = TakeHedge(instance.forwarder, now)) {
      std::size_t id = 0;
      std::copy_n(opening->bytes.begin(), sizeof(id),
                  reinterpret_cast<std::uint8_t*>(&id));
      FlowPacket packet{.key = opening->key, .opens = true};
      RestoreTimes(packet, *opening, now);
      const Decision decision = DecideHedge(instance.forwarder, packet, now);
      if (decision.verdict == Verdict::kForward) {
        this->flows[id].hedged = true;
        this->ForwardTo(decision.server, id, packet);
      }
    }
    const TimePoint due = NextHedgeDue(instance.forwarder.hedged);
    if (due == TimePoint::max()) {
      return;
    }
    constexpr double kRounding = 0.01;
    const double due_ms =
        this->queue.now_ms +
        std::chrono::duration<double, std::milli>(due - now).count() +
        kRounding;
    if (instance.poll_at_ms <= this->queue.now_ms ||
        due_ms < instance.poll_at_ms) {
      instance.poll_at_ms = due_ms;
      this->queue.At(due_ms, [this, &instance] { this->Poll(instance); });
    }
  }

  /// Returns when the server reads a packet that arrives now; empty: never.
  std::optional<double> ReadTime(std::uint32_t server) const {
    for (const SilentServer& silent : this->scenario.silent) {
      if (silent.server == server && this->queue.now_ms >= silent.from_ms &&
          this->queue.now_ms < silent.until_ms) {
        return silent.reads_later ? std::optional(silent.until_ms)
                                  : std::nullopt;
      }
    }
    return this->queue.now_ms;
  }

  /// A server gets a packet.
  void Receive(std::uint32_t server, std::size_t id, const FlowPacket& packet) {
    const auto read_ms = this->ReadTime(server);
    if (!read_ms) {
      return;
    }
    if (*read_ms > this->queue.now_ms) {
      this->queue.At(*read_ms, [this, server, id, packet] {
        this->Receive(server, id, packet);
      });
      return;
    }
    Flow& flow = this->flows[id];
    if (packet.opens) {
      const auto [accepted, added] = flow.accepted.emplace(
          server, static_cast<std::uint32_t>(this->random()));
      this->outcome.accepted_twice += added && flow.accepted.size() == 2;
      const Acceptance acceptance{.server = server,
                                  .sequence = accepted->second};
      this->Send([this, id, acceptance] { this->Accept(id, acceptance); });
      return;
    }
    if (!flow.opened_by || flow.opened_by->server != server) {
      this->outcome.diverted += 1;
      this->outcome.diverted_after_hedge += flow.hedged;
      return;
    }
    if (!flow.working) {
      flow.working = true;
      for (std::uint32_t i = 1; i <= kAnswerPackets; ++i) {
        this->queue.At(
            this->queue.now_ms + this->scenario.work_ms + i * kAnswerPacketMs,
            [this, id, i] { this->Send([this, id, i] { this->Get(id, i); }); });
      }
    }
  }

  static std::uint32_t TokenOf(const Instance& instance, std::uint32_t server) {
    return instance.forwarder.placement.servers[server].token;
  }

  /// The caller gets the acceptance of a server.
  void Accept(std::size_t id, const Acceptance& acceptance) {
    Flow& flow = this->flows[id];
    if (flow.over) {
      return;
    }
    flow.token = TokenOf(this->instances.front(), acceptance.server);
    if (flow.opened_by) {
      this->SendLater(id, false);
      return;
    }
    flow.opened_by = acceptance;
    const double waited_ms = this->queue.now_ms - flow.started_ms;
    this->waits_ms.push_back(waited_ms);
    this->outcome.opened += 1;
    this->outcome.opened_late += waited_ms >= kSynScheduleMs[1];
    this->SendRequest(id);
  }

  void SendRequest(std::size_t id) {
    const Flow& flow = this->flows[id];
    if (flow.over || flow.received_bytes > 0) {
      return;
    }
    constexpr double kGiveUpMs = 2000;
    if (this->queue.now_ms - flow.started_ms > kGiveUpMs) {
      this->flows[id].over = true;
      return;
    }
    this->SendLater(id, false);
    this->queue.At(this->queue.now_ms + kRetransmitMs,
                   [this, id] { this->SendRequest(id); });
  }

  void SendLater(std::size_t id, bool closes) {
    const Flow& flow = this->flows[id];
    const FlowPacket packet{
        .key = flow.key,
        .closes = closes,
        .token = flow.token,
        .ack_number = flow.opened_by->sequence + 1 + flow.received_bytes};
    this->Send([this, id, packet] { this->Decide(id, packet); });
  }

  /// The caller gets a packet of the answer, and acknowledges it.
  void Get(std::size_t id, std::uint32_t number) {
    Flow& flow = this->flows[id];
    if (flow.over) {
      return;
    }
    flow.token = TokenOf(this->instances.front(), flow.opened_by->server);
    flow.received_bytes += kAnswerPacketBytes;
    flow.over = number == kAnswerPackets;
    this->SendLater(id, flow.over);
  }

  HedgedOpeningsOutcome Collect() {
    std::sort(this->waits_ms.begin(), this->waits_ms.end());
    this->outcome.p50_ms = QuantileOfSorted(this->waits_ms, 0.5);
    this->outcome.p99_ms = QuantileOfSorted(this->waits_ms, 0.99);
    this->outcome.p999_ms = QuantileOfSorted(this->waits_ms, 0.999);
    this->outcome.flows = static_cast<std::uint32_t>(this->flows.size());
    for (const Instance& instance : this->instances) {
      const HedgeCounters& counters = instance.forwarder.hedged.counters;
      this->outcome.hedges += counters.sent;
      this->outcome.hedges_won += counters.won;
      this->outcome.kept_packets += counters.kept_packets;
      this->outcome.placed_again += instance.forwarder.counters.placed_again;
    }
    return this->outcome;
  }

  HedgedOpeningsScenario scenario;
  std::mt19937_64 random;
  EventQueue queue;
  std::vector<Instance> instances;
  std::vector<Flow> flows;
  std::uint32_t spread = 0;  ///< How often callers were spread anew.
  std::vector<double> waits_ms;
  HedgedOpeningsOutcome outcome;
};

}  // namespace

HedgedOpeningsOutcome SimulateHedgedOpenings(
    const HedgedOpeningsScenario& scenario) {
  OpeningsEmulator emulator(scenario);
  return emulator.Run();
}

}  // namespace filbertwall
