#include "Node/NodeContext.h"

/// Stores order records (see Requests/OrderLog.h), and pulls those of other
/// recorders after a restart.
namespace filbertwall {
namespace {

constexpr Milliseconds kRecordsPullInterval{500};

/// After this time each claim that was granted before a restart has either
/// been dispatched or expired.
constexpr Milliseconds kClaimSettleTime{2000};

void RequestRecords(NodeContext& context, std::uint32_t from,
                    const std::string& after) {
  wire::Envelope envelope;
  envelope.mutable_records_pull()->set_after(after);
  SendPeer(context, from, std::move(envelope));
}

}  // namespace

void HandleClaim(NodeContext& context, std::uint32_t from,
                 const wire::Claim& claim) {
  wire::Envelope envelope;
  *envelope.mutable_claim_reply() =
      ProcessClaim(context.node.orders, claim, context.now);
  SendPeer(context, from, std::move(envelope));
}

void HandleOutcome(NodeContext& context, std::uint32_t from,
                   const wire::Outcome& outcome) {
  RecordOutcome(context.node.orders, outcome.record(), context.now);
  wire::Envelope envelope;
  envelope.mutable_outcome_reply()->set_attempt(outcome.record().attempt());
  SendPeer(context, from, std::move(envelope));
}

void PullRecords(NodeContext& context) {
  Node& node = context.node;
  const bool settled = context.now - node.started_at >= kClaimSettleTime;
  if (node.orders.unsure_with.empty() || !settled ||
      context.now < node.next_records_pull_at) {
    return;
  }
  node.next_records_pull_at = context.now + kRecordsPullInterval;
  for (const auto& [id, peer] : node.peers) {
    if (peer.settings.roles.entry && peer.heard && !peer.records_pulled) {
      RequestRecords(context, id, "");
    }
  }
}

void HandleRecordsPull(NodeContext& context, std::uint32_t from,
                       const wire::RecordsPull& pull) {
  wire::Envelope envelope;
  *envelope.mutable_records_page() =
      BuildRecordsPage(context.node.orders, pull.after(), context.now);
  SendPeer(context, from, std::move(envelope));
}

void HandleRecordsPage(NodeContext& context, std::uint32_t from,
                       const wire::RecordsPage& page) {
  Node& node = context.node;
  const bool unsure_before = !node.orders.unsure_with.empty();
  MergeRecords(node.orders, from, page, context.now);
  if (!page.next().empty()) {
    RequestRecords(context, from, page.next());
    return;
  }
  node.peers.at(from).records_pulled = true;
  if (unsure_before && node.orders.unsure_with.empty()) {
    Log(context, EventId::kOrderRecordsRestored,
        std::to_string(node.orders.records.size()) + " records");
  }
}

}  // namespace filbertwall
