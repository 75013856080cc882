#include "Base/Hash.h"
#include "Node/NodeContext.h"

/// Detects failed peers by periodic hellos. A hello carries the sender's rules
/// version and directory digest; where these differ, rules or directory are
/// sent again.
namespace filbertwall {
namespace {

constexpr Milliseconds kHelloInterval{400};
/// Interval of the hellos to a peer that has not yet repeated the incarnation
/// of this process, in the first `kFirstHellosPeriod` after the start.
constexpr Milliseconds kFirstHelloInterval{50};
constexpr Milliseconds kFirstHellosPeriod{2000};
/// Number of consecutive hellos after which a peer counts as alive.
constexpr std::uint32_t kHellosUntilAlive = 2;
/// Number of consecutive hellos with a different digest after which the
/// directory is sent.
constexpr std::uint32_t kMismatchesUntilRepair = 2;

wire::Hello MakeHello(const Node& node, TimePoint now) {
  wire::Hello hello;
  hello.set_incarnation(node.incarnation);
  hello.set_rules_version(node.rules_file.version());
  hello.set_directory_digest(node.directory.digest);
  hello.set_stopping(node.stopping);
  hello.set_serving(node.serving);
  hello.set_leader(node.known_leader);
  if (node.has_replica) {
    hello.set_voter(IsVoter(node.replica));
    hello.set_leader_with_lease(HasNewestState(node.replica, now));
    const bool pending = node.replica.uncommitted &&
                         node.replica.uncommitted->change().has_rules();
    if (pending) {
      hello.set_pending_version(
          node.replica.uncommitted->change().rules().version());
    }
  }
  return hello;
}

void SendHello(NodeContext& context, std::uint32_t to) {
  wire::Envelope envelope;
  *envelope.mutable_hello() = MakeHello(context.node, context.now);
  const Peer& peer = context.node.peers.at(to);
  envelope.mutable_hello()->set_heard_incarnation(peer.hello.incarnation());
  envelope.mutable_hello()->set_heard_before_rules(peer.heard_before_rules);
  SendPeer(context, to, std::move(envelope));
}

void UpdateKnownLeader(NodeContext& context, std::uint32_t from,
                       const wire::Hello& hello) {
  Node& node = context.node;
  if (hello.leader_with_lease()) {
    node.known_leader = from;
  } else if (node.known_leader == from) {
    node.known_leader = 0;
  }
}

/// Sends a hello at once if the peer has newer rules, so that the peer pushes
/// them before the next periodic hello.
void RequestRules(NodeContext& context, std::uint32_t from,
                  const wire::Hello& hello) {
  constexpr Milliseconds kRulesPullInterval{50};
  Node& node = context.node;
  const bool newer = hello.rules_version() > node.rules_file.version();
  if (!newer || context.now < node.next_rules_pull_at) {
    return;
  }
  node.next_rules_pull_at = context.now + kRulesPullInterval;
  SendHello(context, from);
}

/// Sends the rules in force to a peer that has older ones.
void PushRules(NodeContext& context, std::uint32_t to,
               const wire::Hello& hello) {
  const Node& node = context.node;
  if (hello.rules_version() >= node.rules_file.version()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_rules_push()->mutable_rules() = node.rules_file;
  SendPeer(context, to, std::move(envelope));
}

/// Sends the directory to a peer whose digest differs repeatedly.
void RepairDirectory(NodeContext& context, Peer& peer,
                     const wire::Hello& hello) {
  if (hello.directory_digest() == context.node.directory.digest) {
    peer.digest_mismatches = 0;
    return;
  }
  peer.digest_mismatches += 1;
  if (peer.digest_mismatches < kMismatchesUntilRepair) {
    return;  // An update may still be in transit.
  }
  peer.digest_mismatches = 0;
  wire::Envelope envelope;
  *envelope.mutable_directory() =
      BuildDirectoryMessage(context.node.directory, context.now);
  SendPeer(context, peer.settings.id, std::move(envelope));
}

void RecordHello(NodeContext& context, Peer& peer, const wire::Hello& hello) {
  const bool restarted = peer.heard && peer.hello.incarnation() != 0 &&
                         hello.incarnation() != peer.hello.incarnation();
  const bool first = restarted || !peer.heard;
  if (restarted) {
    peer.consecutive_hellos = 0;
    peer.records_pulled = false;
    Log(context, EventId::kPeerRestarted,
        "instance " + std::to_string(peer.settings.id));
  }
  const bool same_process =
      peer.heard && hello.incarnation() == peer.hello.incarnation();
  peer.heard_before_rules = (same_process && peer.heard_before_rules) ||
                            IsVoterWithoutRules(context.node);
  peer.hello = hello;
  peer.heard = true;
  peer.heard_at = context.now;
  peer.consecutive_hellos += 1;
  const bool now_alive =
      !hello.stopping() && peer.consecutive_hellos >= kHellosUntilAlive;
  if (now_alive && !peer.alive) {
    peer.alive = true;
    context.node.silent.erase(peer.settings.id);
    Log(context, EventId::kPeerAlive,
        "instance " + std::to_string(peer.settings.id));
  }
  if (hello.stopping()) {
    peer.alive = false;
    context.node.silent.insert(peer.settings.id);
  }
  if (first) {
    SendHello(context, peer.settings.id);
  }
}

/// Hellos that are sent before the connection exists are lost. Until a peer has
/// repeated the incarnation of this process, they are sent more often.
void SendFirstHellos(NodeContext& context) {
  Node& node = context.node;
  if (context.now < node.next_first_hello_at ||
      context.now - node.started_at > kFirstHellosPeriod) {
    return;
  }
  node.next_first_hello_at = context.now + kFirstHelloInterval;
  for (const auto& [id, peer] : node.peers) {
    if (peer.hello.heard_incarnation() != node.incarnation) {
      SendHello(context, id);
    }
  }
}

}  // namespace

void RecordTimeWithoutRules(Node& node) {
  if (!IsVoterWithoutRules(node)) {
    return;
  }
  node.started_before_rules = true;
  for (auto& [id, peer] : node.peers) {
    peer.heard_before_rules = peer.heard_before_rules || peer.heard;
  }
}

void SendHellos(NodeContext& context) {
  Node& node = context.node;
  SendFirstHellos(context);
  if (context.now < node.next_hello_at) {
    return;
  }
  if (node.has_replica && HasNewestState(node.replica, context.now)) {
    node.known_leader = node.settings.id;
  } else if (node.known_leader == node.settings.id) {
    node.known_leader = 0;
  }
  // The interval varies by up to 49 ms between instances and restarts.
  const std::uint64_t phase = MixHash(node.settings.id, node.incarnation);
  node.next_hello_at = context.now + kHelloInterval + Milliseconds(phase % 50);
  for (const auto& [id, peer] : node.peers) {
    SendHello(context, id);
  }
}

void HandleHello(NodeContext& context, std::uint32_t from,
                 const wire::Hello& hello) {
  Peer& peer = context.node.peers.at(from);
  RecordHello(context, peer, hello);
  UpdateKnownLeader(context, from, hello);
  RequestRules(context, from, hello);
  PushRules(context, from, hello);
  if (peer.settings.roles.entry && context.node.settings.roles.entry) {
    RepairDirectory(context, peer, hello);
  }
}

void CheckPeerTimeouts(NodeContext& context) {
  constexpr Milliseconds kPeerCheckInterval{100};
  Node& node = context.node;
  if (context.now < node.next_peer_check_at) {
    return;
  }
  node.next_peer_check_at = context.now + kPeerCheckInterval;
  for (auto& [id, peer] : node.peers) {
    if (context.now - peer.heard_at <= kPeerTimeout) {
      continue;
    }
    peer.consecutive_hellos = 0;
    if (node.known_leader == id) {
      node.known_leader = 0;
    }
    if (peer.alive) {
      peer.alive = false;
      node.silent.insert(id);
      Log(context, EventId::kPeerSilent, "instance " + std::to_string(id),
          Severity::kWarning);
    }
  }
}

}  // namespace filbertwall
