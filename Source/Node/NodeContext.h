#pragma once

#include <string>
#include <vector>

#include "Node/Node.h"

/// Internal to Node: the context of one reducer call and the event handlers
/// that its source files share.
namespace filbertwall {

/// An instance is considered down after this time without a hello.
inline constexpr Milliseconds kPeerTimeout{2000};

/// Context of one call of `Reduce`: its node and time, and the effects so far.
struct NodeContext {
  Node& node;
  TimePoint now;
  std::vector<NodeEffect>& effects;
};

void Log(NodeContext& context, EventId id, const std::string& text,
         Severity severity = Severity::kInfo);
void SendPeer(NodeContext& context, std::uint32_t to, wire::Envelope envelope);
void SendToEntryPeers(NodeContext& context, const wire::Envelope& envelope);

/// Passes an event to the local replica and handles the effects it returns.
void RunReplica(NodeContext& context, const ControlEvent& event);
/// Passes an event to the request tier and handles the effects it returns.
void RunRequests(NodeContext& context, const RequestEvent& event);

/// Whether this instance is a voter that stores no rules, neither committed nor
/// pending.
bool IsVoterWithoutRules(const Node& node);
/// Records for this instance and each peer heard from that they ran while this
/// instance was a voter without any rules. Runs at each tick and before newly
/// committed rules are applied, so that no such time is missed, however short.
void RecordTimeWithoutRules(Node& node);
/// Puts a rules file in force if its version is higher than the current one.
void ApplyRulesFile(NodeContext& context, const wire::RulesFile& file);
/// Starts serving once the local rules are at least as new as those known to
/// a leader with a lease or to voters that are a majority of the control
/// instances, and each peer is alive or has timed out.
/// An instance thus never serves older rules than before its restart.
void ConfirmRules(NodeContext& context);

/// Sends a hello to each peer when the next one is due.
void SendHellos(NodeContext& context);
void HandleHello(NodeContext& context, std::uint32_t from,
                 const wire::Hello& hello);
/// Marks peers as not alive after `kPeerTimeout` without a hello.
void CheckPeerTimeouts(NodeContext& context);

void HandleAnnouncement(NodeContext& context, const AnnouncementArrived& event);
void HandleDirectory(NodeContext& context, const wire::Directory& message);

void HandleClaim(NodeContext& context, std::uint32_t from,
                 const wire::Claim& claim);
void HandleOutcome(NodeContext& context, std::uint32_t from,
                   const wire::Outcome& outcome);
/// Requests the order records of other entry instances. Once all are merged,
/// this recorder can again confirm for every key that the key is new.
void PullRecords(NodeContext& context);
void HandleRecordsPull(NodeContext& context, std::uint32_t from,
                       const wire::RecordsPull& pull);
void HandleRecordsPage(NodeContext& context, std::uint32_t from,
                       const wire::RecordsPage& page);

void HandleSubmit(NodeContext& context, const Submitter& submitter,
                  const wire::Submit& submit);
void HandleSubmitReply(NodeContext& context, const wire::SubmitReply& reply);
void HandleRemoveMember(NodeContext& context, const Submitter& submitter,
                        const wire::RemoveMember& remove);
/// Reports a verdict to the submitter. UNKNOWN is not reported before the
/// submission expires; until then the submission is retried.
void HandleVerdict(NodeContext& context, std::uint64_t token,
                   wire::Verdict verdict, const std::string& reason);
/// Retries pending submissions and ends expired ones with UNKNOWN.
void RetrySubmissions(NodeContext& context);
void HandleOperator(NodeContext& context, const MessageArrived& event);

}  // namespace filbertwall
