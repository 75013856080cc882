#include "Fleet/ControlTurn.h"

/// Rules files from the call that hands them over to their verdict.
namespace filbertwall {
namespace {

/// How long a submission waits for a leader before its caller tries elsewhere.
constexpr Milliseconds kLeaderWait{700};
constexpr std::size_t kMostWaiting = 64;

AnswerCall Accepted(CallId call) {
  return AnswerCall{.call = call, .verdict = CallVerdict::kAccepted};
}

AnswerCall Unavailable(CallId call, const std::string& reason) {
  return AnswerCall{
      .call = call, .verdict = CallVerdict::kUnavailable, .reason = reason};
}

/// Whether the file is answered by what is committed already.
bool IsSettled(const ControlTurn& turn, const wire::RulesFile& file) {
  return file.version() <= turn.instance.replica.committed.rules().version();
}

/// Answers, redirects or proposes; false when there is no leader.
bool TrySubmission(ControlTurn& turn, CallId call,
                   const wire::RulesFile& file) {
  ControlInstance& instance = turn.instance;
  if (IsSettled(turn, file)) {
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
  const InstanceAddress leader = KnownLeader(turn);
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
  if (instance.submissions.size() >= kMostWaiting) {
    Answer(turn, Unavailable(event.call, "too many submissions wait"));
    return;
  }
  instance.submissions.push_back(
      WaitingSubmission{.call = event.call,
                        .file = event.file,
                        .expires_at = turn.now + kLeaderWait});
}

void StepSubmissions(ControlTurn& turn) {
  std::deque<WaitingSubmission> waiting;
  waiting.swap(turn.instance.submissions);
  for (WaitingSubmission& submission : waiting) {
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
  // A file that is refused here was overtaken by a version at least as high, so
  // there is nothing left to do for it.
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
  const InstanceAddress leader = KnownLeader(turn);
  if (leader == 0) {
    Answer(turn, Unavailable(event.call, "no leader is known"));
    return;
  }
  Answer(turn, AnswerCall{.call = event.call,
                          .verdict = CallVerdict::kRedirected,
                          .leader = leader});
}

}  // namespace filbertwall
