#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Hash.h"
#include "Node/Node.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

namespace {

constexpr std::uint32_t kInstances = 4;
constexpr std::uint32_t kControlInstances = 3;
constexpr Milliseconds kDelay{1};
constexpr Milliseconds kStartPeriod{100};
constexpr std::uint64_t kSeeds = 20;

struct Message {
  TimePoint arrives_at;
  std::uint32_t to = 0;
  wire::Envelope envelope;
};

}  // namespace

/// A new deployment: instances 1 to 3 are control instances, of which the first
/// founds the group, and 1 to 4 record orders. Messages that are sent before
/// the instances have connected to one another are lost.
TEST_GROUP(Founding) {
  TimePoint now{std::chrono::hours(1)};
  TimePoint connected_at;
  std::map<std::uint32_t, Node> nodes;
  std::vector<Message> messages;
  bool leader_is_cut_off = false;  ///< From instance 4.

  /// Starts the instances within 100 ms, in an order that `seed` decides. Each
  /// connects to the others `connection_time` after the last start.
  void Start(std::uint64_t seed, Milliseconds connection_time) {
    this->nodes.clear();
    this->messages.clear();
    this->connected_at = this->now + kStartPeriod + connection_time;
    const TimePoint begin = this->now;
    for (; this->now < begin + kStartPeriod; this->Step()) {
      for (std::uint32_t id = 1; id <= kInstances; ++id) {
        const Milliseconds delay(MixHash(seed, id) % kStartPeriod.count());
        if (this->now == begin + delay) {
          this->nodes[id] = this->MakeInstance(id, MixHash(seed, 10 + id));
          this->Apply(id, NodeStarted{});
        }
      }
    }
  }

  static Node MakeInstance(std::uint32_t id, std::uint64_t incarnation) {
    NodeInitialState initial_state{.incarnation = incarnation};
    initial_state.settings.id = id;
    initial_state.settings.data_centre = "dc";
    initial_state.settings.roles = {.entry = true,
                                    .control = id <= kControlInstances};
    for (std::uint32_t peer = 1; peer <= kInstances; ++peer) {
      if (peer != id) {
        initial_state.settings.peers[peer] = {
            .id = peer,
            .data_centre = "dc",
            .roles = {.entry = true, .control = peer <= kControlInstances}};
      }
    }
    wire::DurableRecord record = SingleVoterRecord(id, 70 + id, 99);
    if (id != 1) {
      record.clear_state();
    }
    initial_state.control_log = {record};
    return MakeNode(initial_state);
  }

  void Apply(std::uint32_t id, const NodeEvent& event) {
    for (const NodeEffect& effect :
         Reduce(this->nodes.at(id), event, this->now)) {
      const auto* send = std::get_if<SendToPeer>(&effect);
      if (send != nullptr && this->Delivers(id, send->to)) {
        this->messages.push_back({.arrives_at = this->now + kDelay,
                                  .to = send->to,
                                  .envelope = send->envelope});
      }
    }
  }

  bool Delivers(std::uint32_t from, std::uint32_t to) const {
    const bool cut = this->leader_is_cut_off && std::min(from, to) == 1 &&
                     std::max(from, to) == 4;
    return this->now >= this->connected_at && !cut;
  }

  void Step() {
    this->now += kDelay;
    std::vector<Message> due;
    due.swap(this->messages);
    for (const Message& message : due) {
      this->Apply(message.to, MessageArrived{.envelope = message.envelope});
    }
    for (auto& [id, node] : this->nodes) {
      this->Apply(id, NodeTick{});
    }
  }

  void RunFor(Milliseconds duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->Step();
    }
  }

  void RunUntilAllVote() {
    const auto& voters = this->nodes.at(1).replica.committed;
    const TimePoint limit = this->now + std::chrono::seconds(5);
    while (voters.members_size() < static_cast<int>(kControlInstances)) {
      this->Step();
      CHECK_TEXT(this->now < limit, "the control instances do not all vote");
    }
  }

  void SubmitRules() {
    wire::Envelope envelope;
    envelope.mutable_submit()->mutable_rules()->set_text(
        "version 1  # by: Ana, operations\n");
    this->Apply(1, MessageArrived{.client = "ana", .envelope = envelope});
  }

  /// Returns the number of recorders that may lack records of earlier orders.
  long CountUnsure() const {
    return std::count_if(this->nodes.begin(), this->nodes.end(),
                         [](const auto& item) {
                           return !item.second.orders.unsure_with.empty();
                         });
  }
};

/// Guards against a new deployment whose rules come soon after the last control
/// instance has become a voter, and that settles no order until `order_memory`
/// has passed, or until its recorders have pulled each other's records.
TEST(Founding, OrdersAreSettledHoweverSoonTheFirstRulesCome) {
  for (const int connection_ms : {0, 20, 100, 200, 350}) {
    for (const int pause_ms : {0, 1, 5, 20, 100, 400}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        this->Start(seed, Milliseconds(connection_ms));
        this->RunUntilAllVote();
        this->RunFor(Milliseconds(pause_ms));
        this->SubmitRules();
        // Recorders pull records of each other 2 s after their start.
        this->RunFor(std::chrono::seconds(1));
        const std::string name =
            "connected after " + std::to_string(connection_ms) +
            " ms, rules after " + std::to_string(pause_ms) + " ms, seed " +
            std::to_string(seed);
        CHECK_EQUAL_TEXT(1, this->nodes.at(4).rules_file.version(),
                         name.c_str());
        LONGS_EQUAL_TEXT(0, this->CountUnsure(), name.c_str());
      }
    }
  }
}

/// Guards against voters that note only with their next hello, up to 0.4 s
/// later, that they had no rules: a recorder that doesn't hear the leader
/// learns from them that no orders can be missing.
TEST(Founding, TheOtherVotersTellThatThereWereNoRules) {
  this->leader_is_cut_off = true;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    this->Start(seed, Milliseconds(0));
    this->RunUntilAllVote();
    this->RunFor(Milliseconds(20));
    this->SubmitRules();
    this->RunFor(std::chrono::seconds(1));
    const std::string name = "seed " + std::to_string(seed);
    CHECK_EQUAL_TEXT(1, this->nodes.at(4).rules_file.version(), name.c_str());
    LONGS_EQUAL_TEXT(0, this->CountUnsure(), name.c_str());
  }
}
