#include "Node/NodeContext.h"
#include "Rules/RulesParser.h"

/// Rules in force at this instance. Their version only increases.
namespace filbertwall {
namespace {

/// Whether the last hello of `peer` was sent after this process started: it
/// repeats this incarnation.
bool HeardSinceStart(const Node& node, const Peer& peer) {
  return peer.heard && peer.hello.heard_incarnation() == node.incarnation;
}

/// Returns the lowest rules version that may be served: that of a leader with
/// the newest state, or the highest one in force or pending at the voters heard
/// from, once these are a majority of the control instances. Returns nothing
/// while neither is known.
std::optional<std::uint64_t> RequiredVersion(const Node& node, TimePoint now) {
  if (node.has_replica && HasNewestState(node.replica, now)) {
    return node.replica.committed.rules().version();
  }
  std::set<std::uint32_t> voters;
  std::size_t control_instances = node.settings.roles.control ? 1 : 0;
  std::uint64_t highest = 0;
  if (node.has_replica && IsVoter(node.replica)) {
    voters.insert(node.settings.id);
  }
  for (const auto& [id, peer] : node.peers) {
    control_instances += peer.settings.roles.control ? 1 : 0;
    if (!HeardSinceStart(node, peer)) {
      continue;
    }
    if (peer.hello.leader_with_lease()) {
      return peer.hello.rules_version();
    }
    if (peer.hello.voter()) {
      voters.insert(id);
      highest = std::max(
          {highest, peer.hello.rules_version(), peer.hello.pending_version()});
    }
  }
  if (2 * voters.size() > control_instances) {
    return highest;
  }
  return std::nullopt;
}

/// Whether all peers are alive, or `kPeerTimeout` has passed since the start.
/// An instance that served before this would handle flows and orders that other
/// instances know as unknown ones.
bool PeerStatusKnown(const Node& node, TimePoint now) {
  return node.silent.empty() || now - node.started_at >= kPeerTimeout;
}

/// Whether a majority of the control instances had no rules at some time after
/// this process started. An accepted rules file is stored by a majority, so
/// none can have been accepted before this process started.
bool StartedBeforeRules(const Node& node) {
  std::size_t control_instances = node.settings.roles.control ? 1 : 0;
  std::size_t without_rules = node.started_before_rules ? 1 : 0;
  for (const auto& [id, peer] : node.peers) {
    control_instances += peer.settings.roles.control ? 1 : 0;
    without_rules +=
        HeardSinceStart(node, peer) && peer.hello.heard_before_rules() ? 1 : 0;
  }
  return 2 * without_rules > control_instances;
}

/// Marks the order records as complete in a new deployment: no order can have
/// been served before this process started.
void ClearUnsureForNewDeployment(NodeContext& context, bool new_deployment) {
  if (new_deployment && !context.node.orders.unsure_with.empty()) {
    context.node.orders.unsure_with.clear();
    Log(context, EventId::kOrderRecordsRestored, "no rules were ever in force");
  }
}

}  // namespace

bool IsVoterWithoutRules(const Node& node) {
  const bool pending = node.replica.uncommitted &&
                       node.replica.uncommitted->change().has_rules();
  return node.has_replica && IsVoter(node.replica) && !pending &&
         node.replica.committed.rules().version() == 0 &&
         node.rules_file.version() == 0;
}

void ApplyRulesFile(NodeContext& context, const wire::RulesFile& file) {
  Node& node = context.node;
  if (file.version() <= node.rules_file.version()) {
    return;
  }
  ParsedRules parsed = ParseRules(file.text(), "rules");
  if (!parsed.findings.empty()) {
    node.counters["rules_unreadable"] += 1;
    return;
  }
  node.rules_file = file;
  node.rules = std::move(parsed.rules);
  node.directory.generation += 1;
  node.next_hello_at = context.now;  // Announces the new version at once.
  context.effects.emplace_back(PersistRules{.rules = file});
  Log(context, EventId::kRulesInForce,
      "version " + std::to_string(file.version()) + " from " +
          file.submitter());
}

void ConfirmRules(NodeContext& context) {
  Node& node = context.node;
  ClearUnsureForNewDeployment(context, StartedBeforeRules(node));
  if (node.serving) {
    return;
  }
  const auto required = RequiredVersion(node, context.now);
  if (!required) {
    return;
  }
  ClearUnsureForNewDeployment(context, *required == 0);
  const bool ready = node.rules_file.version() >= *required &&
                     node.rules_file.version() > 0 &&
                     PeerStatusKnown(node, context.now);
  if (ready) {
    node.serving = true;
    Log(context, EventId::kServing,
        "rules version " + std::to_string(node.rules_file.version()));
  }
}

}  // namespace filbertwall
