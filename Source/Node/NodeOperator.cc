#include "Base/Hash.h"
#include "Node/NodeContext.h"
#include "Rules/RulesParser.h"

/// Handles requests of operators: rules submissions, removal of a voter, status
/// and dumps.
namespace filbertwall {
namespace {

/// A submission without a verdict expires after this time.
constexpr Milliseconds kSubmissionTimeout{5000};

void Reply(NodeContext& context, const Submitter& submitter,
           wire::Verdict verdict, const std::string& reason) {
  wire::Envelope envelope;
  wire::SubmitReply& reply = *envelope.mutable_submit_reply();
  reply.set_request(submitter.request);
  reply.set_verdict(verdict);
  reply.set_reason(reason);
  if (submitter.client.empty()) {
    SendPeer(context, submitter.peer, std::move(envelope));
    return;
  }
  envelope.set_from(context.node.settings.id);
  context.effects.emplace_back(ReplyToOperator{
      .client = submitter.client, .envelope = std::move(envelope)});
}

std::uint32_t GetKnownLeader(const Node& node) {
  if (node.has_replica && node.replica.leader != 0) {
    return node.replica.leader;
  }
  return node.known_leader;
}

/// Sends the submission to the leader. A submission that another instance has
/// forwarded is not forwarded again.
void ForwardToLeader(NodeContext& context, std::uint64_t token,
                     Submission& submission) {
  const std::uint32_t leader = GetKnownLeader(context.node);
  const bool from_peer = submission.submitter.client.empty();
  if (leader == 0 || leader == context.node.settings.id || from_peer) {
    submission.last_reason =
        "no leader with a majority is known here; nothing was recorded by "
        "this instance";
    return;
  }
  wire::Envelope envelope;
  wire::Submit& submit = *envelope.mutable_submit();
  submit.set_request(token);
  *submit.mutable_rules() = submission.change.rules();
  SendPeer(context, leader, std::move(envelope));
}

/// Submits to the local replica if this instance leads, else forwards to the
/// leader.
void TrySubmission(NodeContext& context, std::uint64_t token) {
  constexpr Milliseconds kRetryInterval{300};
  Node& node = context.node;
  Submission& submission = node.submissions.at(token);
  submission.next_attempt_at = context.now + kRetryInterval;
  const bool is_leader =
      node.has_replica && node.replica.role == ReplicaRole::kLeader;
  if (!is_leader) {
    ForwardToLeader(context, token, submission);
    return;
  }
  submission.pending_in_replica = true;
  RunReplica(context,
             ControlSubmitted{.token = token, .change = submission.change});
}

void StartSubmission(NodeContext& context, const Submitter& submitter,
                     const wire::Change& change) {
  const std::uint64_t token = context.node.next_token++;
  context.node.submissions[token] =
      Submission{.submitter = submitter,
                 .change = change,
                 .expires_at = context.now + kSubmissionTimeout,
                 .last_reason = "no majority answered in time"};
  TrySubmission(context, token);
}

void EndSubmission(NodeContext& context, std::uint64_t token,
                   wire::Verdict verdict, const std::string& reason) {
  const Submitter submitter = context.node.submissions.at(token).submitter;
  context.node.submissions.erase(token);
  Log(context, EventId::kSubmissionResult,
      wire::Verdict_Name(verdict) + ": " + reason);
  Reply(context, submitter, verdict, reason);
}

/// Replies if the committed history already decides the file, and returns
/// whether it did. Every control instance may do this, not only the leader.
bool AnswerFromHistory(NodeContext& context, const Submitter& submitter,
                       const wire::RulesFile& file) {
  if (!context.node.has_replica) {
    return false;
  }
  const RulesDecision ruling =
      DecideRulesFile(context.node.replica.committed, file);
  switch (ruling.kind) {
    case RulesDecision::Kind::kAccepted:
      Reply(context, submitter, wire::ACCEPTED, ruling.reason);
      return true;
    case RulesDecision::Kind::kRefused:
      Reply(context, submitter, wire::REFUSED, ruling.reason);
      return true;
    case RulesDecision::Kind::kOutsideHistory:
      Reply(context, submitter, wire::UNKNOWN, ruling.reason);
      return true;
    case RulesDecision::Kind::kUndecided:
      return false;
  }
  return false;
}

void SendStatus(NodeContext& context, const std::string& client) {
  const Node& node = context.node;
  wire::Envelope envelope;
  wire::StatusReply& reply = *envelope.mutable_status_reply();
  wire::InstanceStatus& own = *reply.add_instances();
  own.set_instance(node.settings.id);
  own.set_rules_version(node.rules_file.version());
  own.set_leader(node.has_replica && HasNewestState(node.replica, context.now));
  for (const auto& [id, peer] : node.peers) {
    wire::InstanceStatus& item = *reply.add_instances();
    item.set_instance(id);
    item.set_rules_version(peer.hello.rules_version());
    item.set_heard_ms_ago(
        peer.heard ? MillisecondsBetween(peer.heard_at, context.now) : -1);
    item.set_leader(peer.hello.leader_with_lease());
  }
  context.effects.emplace_back(
      ReplyToOperator{.client = client, .envelope = std::move(envelope)});
}

void SendDump(NodeContext& context, const std::string& client) {
  wire::Envelope envelope;
  *envelope.mutable_dump_reply()->mutable_dump() =
      DumpNode(context.node, context.now);
  context.effects.emplace_back(
      ReplyToOperator{.client = client, .envelope = std::move(envelope)});
}

}  // namespace

void HandleSubmit(NodeContext& context, const Submitter& submitter,
                  const wire::Submit& submit) {
  wire::RulesFile file = submit.rules();
  const ParsedRules parsed = ParseRules(file.text(), "rules");
  if (!parsed.findings.empty()) {
    Reply(context, submitter, wire::REFUSED, FormatFindings(parsed.findings));
    return;
  }
  file.set_version(parsed.rules.version);
  file.set_digest(Digest(file.text()));
  if (AnswerFromHistory(context, submitter, file)) {
    return;
  }
  wire::Change change;
  *change.mutable_rules() = file;
  StartSubmission(context, submitter, change);
}

void HandleSubmitReply(NodeContext& context, const wire::SubmitReply& reply) {
  HandleVerdict(context, reply.request(), reply.verdict(), reply.reason());
}

void HandleRemoveMember(NodeContext& context, const Submitter& submitter,
                        const wire::RemoveMember& remove) {
  Node& node = context.node;
  if (!node.has_replica || !HasLease(node.replica, context.now)) {
    Reply(context, submitter, wire::REFUSED,
          "this instance is not the leader; ask instance " +
              std::to_string(node.known_leader));
    return;
  }
  bool present = false;
  for (const wire::Member& member : node.replica.committed.members()) {
    present = present || member.instance() == remove.instance();
  }
  if (!present) {
    Reply(context, submitter, wire::REFUSED, "the instance is not a voter");
    return;
  }
  wire::Change change;
  change.mutable_member()->set_instance(remove.instance());
  StartSubmission(context, submitter, change);
}

void HandleVerdict(NodeContext& context, std::uint64_t token,
                   wire::Verdict verdict, const std::string& reason) {
  const auto found = context.node.submissions.find(token);
  if (found == context.node.submissions.end()) {
    return;
  }
  if (verdict != wire::UNKNOWN) {
    EndSubmission(context, token, verdict, reason);
    return;
  }
  found->second.pending_in_replica = false;
  found->second.last_reason = reason;
}

void RetrySubmissions(NodeContext& context) {
  std::vector<std::uint64_t> due;
  std::vector<std::uint64_t> expired;
  for (const auto& [token, submission] : context.node.submissions) {
    if (context.now >= submission.expires_at) {
      expired.push_back(token);
    } else if (context.now >= submission.next_attempt_at &&
               !submission.pending_in_replica) {
      due.push_back(token);
    }
  }
  for (const std::uint64_t token : expired) {
    const std::string reason = context.node.submissions.at(token).last_reason;
    EndSubmission(context, token, wire::UNKNOWN, reason);
  }
  for (const std::uint64_t token : due) {
    TrySubmission(context, token);
  }
}

void HandleOperator(NodeContext& context, const MessageArrived& event) {
  switch (event.envelope.kind_case()) {
    case wire::Envelope::kSubmit:
      HandleSubmit(context,
                   Submitter{.client = event.client,
                             .request = event.envelope.submit().request()},
                   event.envelope.submit());
      return;
    case wire::Envelope::kRemoveMember:
      HandleRemoveMember(context, Submitter{.client = event.client},
                         event.envelope.remove_member());
      return;
    case wire::Envelope::kStatus:
      SendStatus(context, event.client);
      return;
    case wire::Envelope::kDump:
      SendDump(context, event.client);
      return;
    default:
      context.node.counters["messages_unknown"] += 1;
      return;
  }
}

}  // namespace filbertwall
