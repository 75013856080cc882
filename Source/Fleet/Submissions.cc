#include "Fleet/ControlTurn.h"

/// Handles submissions and reads of the rules file.
namespace filbertwall {
namespace {

/// A submission waits this long for a leader; its caller then tries another
/// instance.
constexpr Milliseconds kLeaderTimeout{700};
constexpr std::size_t kMaxPendingSubmissions = 64;

AnswerCall Accepted(CallId call) {
  return AnswerCall{.call = call, .verdict = CallVerdict::kAccepted};
}

AnswerCall Unavailable(CallId call, const std::string& reason) {
  return AnswerCall{
      .call = call, .verdict = CallVerdict::kUnavailable, .reason = reason};
}

/// Returns whether the committed version is at least as high as the file's.
bool IsAlreadyCommitted(const ControlTurn& turn, const wire::RulesFile& file) {
  return file.version() <= turn.instance.replica.committed.rules().version();
}

/// Answers, redirects or proposes the submission. Returns false when no leader
/// is known.
bool TrySubmission(ControlTurn& turn, CallId call,
                   const wire::RulesFile& file) {
  ControlInstance& instance = turn.instance;
  if (IsAlreadyCommitted(turn, file)) {
    Answer(turn, Accepted(call));
    return true;
  }
  if (instance.replica.role == ReplicaRole::kLeader && !instance.disk_failed) {
    const std::uint64_t token = instance.next_token++;
    instance.proposals[token] = Proposal{.call = call, .proposed_at = turn.now};
    ControlSubmitted submitted{.token = token};
    *submitted.change.mutable_rules() = file;
    RunReplica(turn, submitted);
    return true;
  }
  const InstanceAddress leader = RedirectTarget(turn);
  if (leader == 0) {
    return false;
  }
  Answer(turn, AnswerCall{.call = call,
                          .verdict = CallVerdict::kRedirected,
                          .leader = leader});
  return true;
}

}  // namespace

void HandleSubmitted(ControlTurn& turn, const RulesSubmitted& event) {
  ControlInstance& instance = turn.instance;
  instance.counters.submissions += 1;
  if (TrySubmission(turn, event.call, event.file)) {
    return;
  }
  if (instance.submissions.size() >= kMaxPendingSubmissions) {
    Answer(turn, Unavailable(event.call, "too many submissions wait"));
    return;
  }
  instance.submissions.push_back(
      PendingSubmission{.call = event.call,
                        .file = event.file,
                        .expires_at = turn.now + kLeaderTimeout});
}

void RetrySubmissions(ControlTurn& turn) {
  std::deque<PendingSubmission> pending;
  pending.swap(turn.instance.submissions);
  for (PendingSubmission& submission : pending) {
    if (TrySubmission(turn, submission.call, submission.file)) {
      continue;
    }
    if (turn.now >= submission.expires_at) {
      Answer(turn, Unavailable(submission.call, "no leader is known"));
      continue;
    }
    turn.instance.submissions.push_back(std::move(submission));
  }
}

void HandleVerdict(ControlTurn& turn, const ControlVerdict& verdict) {
  ControlInstance& instance = turn.instance;
  const auto proposal = instance.proposals.find(verdict.token);
  if (proposal == instance.proposals.end()) {
    return;
  }
  const CallId call = proposal->second.call;
  instance.commit_time.Add(std::chrono::duration_cast<Microseconds>(
      turn.now - proposal->second.proposed_at));
  instance.proposals.erase(proposal);
  // A refused file was superseded by a committed version at least as high, so
  // the submission is complete.
  if (verdict.verdict == wire::UNKNOWN) {
    Answer(turn, Unavailable(call, verdict.reason));
    return;
  }
  Answer(turn, Accepted(call));
}

void HandleRead(ControlTurn& turn, const RulesRead& event) {
  const ControlInstance& instance = turn.instance;
  const Replica& replica = instance.replica;
  if (HasLease(replica, turn.now) && !instance.disk_failed) {
    if (replica.committed.rules().version() == 0) {
      Answer(turn, Unavailable(event.call, "no rules were accepted yet"));
      return;
    }
    Answer(turn, AnswerCall{.call = event.call,
                            .verdict = CallVerdict::kAccepted,
                            .rules = replica.committed.rules()});
    return;
  }
  const InstanceAddress leader = RedirectTarget(turn);
  if (leader == 0) {
    Answer(turn, Unavailable(event.call, "no leader is known"));
    return;
  }
  Answer(turn, AnswerCall{.call = event.call,
                          .verdict = CallVerdict::kRedirected,
                          .leader = leader});
}

}  // namespace filbertwall
