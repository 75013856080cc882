#include "Base/Hash.h"
#include "Node/NodeTurn.h"

/// Membership and repair by digests: what the instances tell each other.
namespace filbertwall {
namespace {

constexpr Milliseconds kHelloInterval{400};
constexpr std::uint32_t kHellosUntilAlive = 2;
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
    hello.set_leader_with_lease(HasLease(node.replica, now));
    const bool pending =
        node.replica.tip && node.replica.tip->change().has_rules();
    if (pending) {
      hello.set_pending_version(node.replica.tip->change().rules().version());
    }
  }
  return hello;
}

void SendHello(NodeTurn& turn, std::uint32_t to) {
  wire::Envelope envelope;
  *envelope.mutable_hello() = MakeHello(turn.node, turn.now);
  envelope.mutable_hello()->set_heard_incarnation(
      turn.node.peers.at(to).hello.incarnation());
  SendPeer(turn, to, std::move(envelope));
}

void LearnLeader(NodeTurn& turn, std::uint32_t from, const wire::Hello& hello) {
  Node& node = turn.node;
  if (hello.leader_with_lease()) {
    node.known_leader = from;
  } else if (node.known_leader == from) {
    node.known_leader = 0;
  }
}

/// Asks for newer rules at once instead of with the next periodic hello.
void PullRules(NodeTurn& turn, std::uint32_t from, const wire::Hello& hello) {
  constexpr Milliseconds kPullInterval{50};
  Node& node = turn.node;
  const bool newer = hello.rules_version() > node.rules_file.version();
  if (!newer || turn.now < node.rules_pull_at) {
    return;
  }
  node.rules_pull_at = turn.now + kPullInterval;
  SendHello(turn, from);
}

void RepairRules(NodeTurn& turn, std::uint32_t to, const wire::Hello& hello) {
  const Node& node = turn.node;
  if (hello.rules_version() >= node.rules_file.version()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_rules_push()->mutable_rules() = node.rules_file;
  SendPeer(turn, to, std::move(envelope));
}

void RepairDirectory(NodeTurn& turn, Peer& peer, const wire::Hello& hello) {
  if (hello.directory_digest() == turn.node.directory.digest) {
    peer.digest_mismatches = 0;
    return;
  }
  peer.digest_mismatches += 1;
  if (peer.digest_mismatches < kMismatchesUntilRepair) {
    return;  // An update may still be under way.
  }
  peer.digest_mismatches = 0;
  wire::Envelope envelope;
  *envelope.mutable_directory() =
      DirectoryMessage(turn.node.directory, turn.now);
  SendPeer(turn, peer.settings.id, std::move(envelope));
}

void NoteHello(NodeTurn& turn, Peer& peer, const wire::Hello& hello) {
  const bool restarted = peer.heard && peer.hello.incarnation() != 0 &&
                         hello.incarnation() != peer.hello.incarnation();
  if (restarted) {
    peer.hellos_in_row = 0;
    peer.records_pulled = false;
    Log(turn, EventId::kPeerRestarted,
        "instance " + std::to_string(peer.settings.id));
  }
  peer.hello = hello;
  peer.heard = true;
  peer.heard_at = turn.now;
  peer.hellos_in_row += 1;
  const bool now_alive =
      !hello.stopping() && peer.hellos_in_row >= kHellosUntilAlive;
  if (now_alive && !peer.alive) {
    peer.alive = true;
    turn.node.silent.erase(peer.settings.id);
    Log(turn, EventId::kPeerAlive,
        "instance " + std::to_string(peer.settings.id));
  }
  if (hello.stopping()) {
    peer.alive = false;
    turn.node.silent.insert(peer.settings.id);
  }
}

}  // namespace

void SendHellos(NodeTurn& turn) {
  Node& node = turn.node;
  if (turn.now < node.hello_at) {
    return;
  }
  if (node.has_replica && HasLease(node.replica, turn.now)) {
    node.known_leader = node.settings.id;
  } else if (node.known_leader == node.settings.id) {
    node.known_leader = 0;
  }
  const std::uint64_t phase = MixHash(node.settings.id, node.incarnation);
  node.hello_at = turn.now + kHelloInterval + Milliseconds(phase % 50);
  for (const auto& [id, peer] : node.peers) {
    SendHello(turn, id);
  }
}

void HandleHello(NodeTurn& turn, std::uint32_t from, const wire::Hello& hello) {
  Peer& peer = turn.node.peers.at(from);
  NoteHello(turn, peer, hello);
  LearnLeader(turn, from, hello);
  PullRules(turn, from, hello);
  RepairRules(turn, from, hello);
  if (peer.settings.roles.entry && turn.node.settings.roles.entry) {
    RepairDirectory(turn, peer, hello);
  }
}

void WatchPeers(NodeTurn& turn) {
  constexpr Milliseconds kWatchInterval{100};
  Node& node = turn.node;
  if (turn.now < node.watch_at) {
    return;
  }
  node.watch_at = turn.now + kWatchInterval;
  for (auto& [id, peer] : node.peers) {
    if (turn.now - peer.heard_at <= kPeerTimeout) {
      continue;
    }
    peer.hellos_in_row = 0;
    if (node.known_leader == id) {
      node.known_leader = 0;
    }
    if (peer.alive) {
      peer.alive = false;
      node.silent.insert(id);
      Log(turn, EventId::kPeerSilent, "instance " + std::to_string(id),
          Severity::kWarning);
    }
  }
}

}  // namespace filbertwall
