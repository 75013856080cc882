#include "Node/NodeTurn.h"

/// This instance as a recorder of orders, and the repair of its memory.
namespace filbertwall {
namespace {

constexpr Milliseconds kPullPause{500};

/// Claims granted before a restart are dispatched or dead after this time.
constexpr Milliseconds kClaimsSettled{2000};

void AskForRecords(NodeTurn& turn, std::uint32_t from,
                   const std::string& after) {
  wire::Envelope envelope;
  envelope.mutable_records_pull()->set_after(after);
  SendPeer(turn, from, std::move(envelope));
}

}  // namespace

void HandleClaim(NodeTurn& turn, std::uint32_t from, const wire::Claim& claim) {
  wire::Envelope envelope;
  *envelope.mutable_claim_reply() =
      TakeClaim(turn.node.orders, claim, turn.now);
  SendPeer(turn, from, std::move(envelope));
}

void HandleOutcome(NodeTurn& turn, const wire::Outcome& outcome) {
  TakeOutcome(turn.node.orders, outcome.record(), turn.now);
}

void PullRecords(NodeTurn& turn) {
  Node& node = turn.node;
  const bool settled = turn.now - node.started_at >= kClaimsSettled;
  if (node.orders.unsure_with.empty() || !settled || turn.now < node.pull_at) {
    return;
  }
  node.pull_at = turn.now + kPullPause;
  for (const auto& [id, peer] : node.peers) {
    if (peer.settings.roles.entry && peer.heard && !peer.records_pulled) {
      AskForRecords(turn, id, "");
    }
  }
}

void HandleRecordsPull(NodeTurn& turn, std::uint32_t from,
                       const wire::RecordsPull& pull) {
  wire::Envelope envelope;
  *envelope.mutable_records_page() =
      PageOfRecords(turn.node.orders, pull.after(), turn.now);
  SendPeer(turn, from, std::move(envelope));
}

void HandleRecordsPage(NodeTurn& turn, std::uint32_t from,
                       const wire::RecordsPage& page) {
  Node& node = turn.node;
  const bool unsure_before = !node.orders.unsure_with.empty();
  MergeRecords(node.orders, from, page, turn.now);
  if (!page.next().empty()) {
    AskForRecords(turn, from, page.next());
    return;
  }
  node.peers.at(from).records_pulled = true;
  if (unsure_before && node.orders.unsure_with.empty()) {
    Log(turn, EventId::kOrderMemoryRepaired,
        std::to_string(node.orders.records.size()) + " records");
  }
}

}  // namespace filbertwall
