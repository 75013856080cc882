#include "Base/Hash.h"
#include "Node/NodeTurn.h"
#include "Rules/RulesParser.h"

/// Handles requests of operators: rules submissions, removal of a voter, status
/// and dumps.
namespace filbertwall {
namespace {

/// A submission without a verdict expires after this time.
constexpr Milliseconds kSubmissionTimeout{5000};

void Reply(NodeTurn& turn, const Submitter& submitter, wire::Verdict verdict,
           const std::string& reason) {
  wire::Envelope envelope;
  wire::SubmitReply& reply = *envelope.mutable_submit_reply();
  reply.set_request(submitter.request);
  reply.set_verdict(verdict);
  reply.set_reason(reason);
  if (submitter.client.empty()) {
    SendPeer(turn, submitter.peer, std::move(envelope));
    return;
  }
  envelope.set_from(turn.node.settings.id);
  turn.effects.emplace_back(ReplyToOperator{.client = submitter.client,
                                            .envelope = std::move(envelope)});
}

std::uint32_t GetKnownLeader(const Node& node) {
  if (node.has_replica && node.replica.leader != 0) {
    return node.replica.leader;
  }
  return node.known_leader;
}

/// Sends the submission to the leader. A submission that another instance has
/// forwarded is not forwarded again.
void ForwardToLeader(NodeTurn& turn, std::uint64_t token,
                     Submission& submission) {
  const std::uint32_t leader = GetKnownLeader(turn.node);
  const bool from_peer = submission.submitter.client.empty();
  if (leader == 0 || leader == turn.node.settings.id || from_peer) {
    submission.last_reason =
        "no leader with a majority is known here; nothing was recorded by "
        "this instance";
    return;
  }
  wire::Envelope envelope;
  wire::Submit& submit = *envelope.mutable_submit();
  submit.set_request(token);
  *submit.mutable_rules() = submission.change.rules();
  SendPeer(turn, leader, std::move(envelope));
}

/// Submits to the local replica if this instance leads, else forwards to the
/// leader.
void TrySubmission(NodeTurn& turn, std::uint64_t token) {
  constexpr Milliseconds kRetryInterval{300};
  Node& node = turn.node;
  Submission& submission = node.submissions.at(token);
  submission.next_attempt_at = turn.now + kRetryInterval;
  const bool is_leader =
      node.has_replica && node.replica.role == ReplicaRole::kLeader;
  if (!is_leader) {
    ForwardToLeader(turn, token, submission);
    return;
  }
  submission.pending_in_replica = true;
  RunReplica(turn,
             ControlSubmitted{.token = token, .change = submission.change});
}

void StartSubmission(NodeTurn& turn, const Submitter& submitter,
                     const wire::Change& change) {
  const std::uint64_t token = turn.node.next_token++;
  turn.node.submissions[token] =
      Submission{.submitter = submitter,
                 .change = change,
                 .expires_at = turn.now + kSubmissionTimeout,
                 .last_reason = "no majority answered in time"};
  TrySubmission(turn, token);
}

void EndSubmission(NodeTurn& turn, std::uint64_t token, wire::Verdict verdict,
                   const std::string& reason) {
  const Submitter submitter = turn.node.submissions.at(token).submitter;
  turn.node.submissions.erase(token);
  Log(turn, EventId::kSubmission, wire::Verdict_Name(verdict) + ": " + reason);
  Reply(turn, submitter, verdict, reason);
}

/// Replies if the committed history already decides the file, and returns
/// whether it did. Every control instance may do this, not only the leader.
bool AnswerFromHistory(NodeTurn& turn, const Submitter& submitter,
                       const wire::RulesFile& file) {
  if (!turn.node.has_replica) {
    return false;
  }
  const Ruling ruling = RuleOn(turn.node.replica.committed, file);
  switch (ruling.kind) {
    case Ruling::Kind::kAccepted:
      Reply(turn, submitter, wire::ACCEPTED, ruling.reason);
      return true;
    case Ruling::Kind::kRefused:
      Reply(turn, submitter, wire::REFUSED, ruling.reason);
      return true;
    case Ruling::Kind::kForgotten:
      Reply(turn, submitter, wire::UNKNOWN, ruling.reason);
      return true;
    case Ruling::Kind::kOpen:
      return false;
  }
  return false;
}

void SendStatus(NodeTurn& turn, const std::string& client) {
  const Node& node = turn.node;
  wire::Envelope envelope;
  wire::StatusReply& reply = *envelope.mutable_status_reply();
  wire::InstanceStatus& own = *reply.add_instances();
  own.set_instance(node.settings.id);
  own.set_rules_version(node.rules_file.version());
  own.set_leader(node.has_replica && HasLease(node.replica, turn.now));
  for (const auto& [id, peer] : node.peers) {
    wire::InstanceStatus& item = *reply.add_instances();
    item.set_instance(id);
    item.set_rules_version(peer.hello.rules_version());
    item.set_heard_ms_ago(
        peer.heard ? MillisecondsBetween(peer.heard_at, turn.now) : -1);
    item.set_leader(peer.hello.leader_with_lease());
  }
  turn.effects.emplace_back(
      ReplyToOperator{.client = client, .envelope = std::move(envelope)});
}

void SendDump(NodeTurn& turn, const std::string& client) {
  wire::Envelope envelope;
  *envelope.mutable_dump_reply()->mutable_dump() =
      DumpNode(turn.node, turn.now);
  turn.effects.emplace_back(
      ReplyToOperator{.client = client, .envelope = std::move(envelope)});
}

}  // namespace

void HandleSubmit(NodeTurn& turn, const Submitter& submitter,
                  const wire::Submit& submit) {
  wire::RulesFile file = submit.rules();
  const ParsedRules parsed = ParseRules(file.text(), "rules");
  if (!parsed.findings.empty()) {
    Reply(turn, submitter, wire::REFUSED, FormatFindings(parsed.findings));
    return;
  }
  file.set_version(parsed.rules.version);
  file.set_digest(Digest(file.text()));
  if (AnswerFromHistory(turn, submitter, file)) {
    return;
  }
  wire::Change change;
  *change.mutable_rules() = file;
  StartSubmission(turn, submitter, change);
}

void HandleSubmitReply(NodeTurn& turn, const wire::SubmitReply& reply) {
  HandleVerdict(turn, reply.request(), reply.verdict(), reply.reason());
}

void HandleRemoveMember(NodeTurn& turn, const Submitter& submitter,
                        const wire::RemoveMember& remove) {
  Node& node = turn.node;
  if (!node.has_replica || !HasLease(node.replica, turn.now)) {
    Reply(turn, submitter, wire::REFUSED,
          "this instance is not the leader; ask instance " +
              std::to_string(node.known_leader));
    return;
  }
  bool present = false;
  for (const wire::Member& member : node.replica.committed.members()) {
    present = present || member.instance() == remove.instance();
  }
  if (!present) {
    Reply(turn, submitter, wire::REFUSED, "the instance is not a voter");
    return;
  }
  wire::Change change;
  change.mutable_member()->set_instance(remove.instance());
  StartSubmission(turn, submitter, change);
}

void HandleVerdict(NodeTurn& turn, std::uint64_t token, wire::Verdict verdict,
                   const std::string& reason) {
  const auto found = turn.node.submissions.find(token);
  if (found == turn.node.submissions.end()) {
    return;
  }
  if (verdict != wire::UNKNOWN) {
    EndSubmission(turn, token, verdict, reason);
    return;
  }
  found->second.pending_in_replica = false;
  found->second.last_reason = reason;
}

void RetrySubmissions(NodeTurn& turn) {
  std::vector<std::uint64_t> due;
  std::vector<std::uint64_t> expired;
  for (const auto& [token, submission] : turn.node.submissions) {
    if (turn.now >= submission.expires_at) {
      expired.push_back(token);
    } else if (turn.now >= submission.next_attempt_at &&
               !submission.pending_in_replica) {
      due.push_back(token);
    }
  }
  for (const std::uint64_t token : expired) {
    const std::string reason = turn.node.submissions.at(token).last_reason;
    EndSubmission(turn, token, wire::UNKNOWN, reason);
  }
  for (const std::uint64_t token : due) {
    TrySubmission(turn, token);
  }
}

void HandleOperator(NodeTurn& turn, const MessageArrived& event) {
  switch (event.envelope.kind_case()) {
    case wire::Envelope::kSubmit:
      HandleSubmit(turn,
                   Submitter{.client = event.client,
                             .request = event.envelope.submit().request()},
                   event.envelope.submit());
      return;
    case wire::Envelope::kRemoveMember:
      HandleRemoveMember(turn, Submitter{.client = event.client},
                         event.envelope.remove_member());
      return;
    case wire::Envelope::kStatus:
      SendStatus(turn, event.client);
      return;
    case wire::Envelope::kDump:
      SendDump(turn, event.client);
      return;
    default:
      turn.node.counters["messages_unknown"] += 1;
      return;
  }
}

}  // namespace filbertwall
