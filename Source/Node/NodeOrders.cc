#include "Node/NodeTurn.h"

/// Stores order records (see Requests/OrderLog.h), and pulls those of other
/// recorders after a restart.
namespace filbertwall {
namespace {

constexpr Milliseconds kRecordsPullInterval{500};

/// After this time each claim that was granted before a restart has either
/// been dispatched or expired.
constexpr Milliseconds kClaimSettleTime{2000};

void RequestRecords(NodeTurn& turn, std::uint32_t from,
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
  const bool settled = turn.now - node.started_at >= kClaimSettleTime;
  if (node.orders.unsure_with.empty() || !settled ||
      turn.now < node.next_records_pull_at) {
    return;
  }
  node.next_records_pull_at = turn.now + kRecordsPullInterval;
  for (const auto& [id, peer] : node.peers) {
    if (peer.settings.roles.entry && peer.heard && !peer.records_pulled) {
      RequestRecords(turn, id, "");
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
    RequestRecords(turn, from, page.next());
    return;
  }
  node.peers.at(from).records_pulled = true;
  if (unsure_before && node.orders.unsure_with.empty()) {
    Log(turn, EventId::kOrderMemoryRepaired,
        std::to_string(node.orders.records.size()) + " records");
  }
}

}  // namespace filbertwall
