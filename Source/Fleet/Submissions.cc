#include <algorithm>

#include "Fleet/ControlContext.h"
#include "Rules/RulesParser.h"

/// Handles submissions and reads of the rules file.
namespace filbertwall {
namespace {

/// How long a submission waits for a leader before it is answered as
/// unavailable. The client then tries another instance.
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
bool IsAlreadyCommitted(const ControlContext& context,
                        const wire::RulesFile& file) {
  return file.version() <= context.instance.replica.committed.rules().version();
}

/// Answers, redirects or proposes the submission. Returns false when no leader
/// is known.
bool TrySubmission(ControlContext& context, CallId call,
                   const wire::RulesFile& file) {
  ControlInstance& instance = context.instance;
  if (IsAlreadyCommitted(context, file)) {
    Answer(context, Accepted(call));
    return true;
  }
  if (instance.disk_failed) {
    Answer(context, Unavailable(call, kDiskFailedReason));
    return true;
  }
  if (instance.replica.role == ReplicaRole::kLeader) {
    const std::uint64_t token = instance.next_token++;
    instance.proposals[token] =
        Proposal{.call = call, .proposed_at = context.now};
    ControlSubmitted submitted{.token = token};
    *submitted.change.mutable_rules() = file;
    RunReplica(context, submitted);
    return true;
  }
  const InstanceAddress leader = RedirectTarget(context);
  if (leader == 0) {
    return false;
  }
  Answer(context, AnswerCall{.call = call,
                             .verdict = CallVerdict::kRedirected,
                             .leader = leader});
  return true;
}

/// Returns a region that a route names, but the settings of this instance do
/// not; empty when there is none. Without settings, any region may exist.
std::string FindUnknownRegion(const FleetConfig& config,
                              const wire::RulesFile& file) {
  if (config.regions.empty() ||
      file.text().find(" regions=") == std::string::npos) {
    return "";
  }
  std::set<std::string> known;
  for (const auto& [data_centre, region] : config.regions) {
    known.insert(region);
  }
  const Rules rules = ParseRules(file.text(), "rules").rules;
  for (const auto& [address, rule] : rules.addresses) {
    const auto& regions = rule.route_settings.regions;
    const auto unknown = std::find_if_not(
        regions.begin(), regions.end(),
        [&](const std::string& name) { return known.contains(name); });
    if (unknown != regions.end()) {
      return *unknown;
    }
  }
  return "";
}

/// Answers a file that names an unknown region. Returns whether it did. A
/// version that is committed already is accepted again.
bool RefuseUnknownRegion(ControlContext& context, const RulesSubmitted& event) {
  if (IsAlreadyCommitted(context, event.file)) {
    return false;
  }
  const std::string region =
      FindUnknownRegion(context.instance.config, event.file);
  if (region.empty()) {
    return false;
  }
  const std::string reason =
      "regions: expected regions of known data centres, not \"" +
      Excerpt(region) + "\"";
  Log(context, EventId::kUnknownRegion,
      "version=" + std::to_string(event.file.version()) + " " + reason,
      Severity::kWarning);
  Answer(context, AnswerCall{.call = event.call,
                             .verdict = CallVerdict::kRefused,
                             .reason = reason});
  return true;
}

}  // namespace

void HandleSubmitted(ControlContext& context, const RulesSubmitted& event) {
  ControlInstance& instance = context.instance;
  instance.counters.submissions += 1;
  if (RefuseUnknownRegion(context, event)) {
    return;
  }
  if (TrySubmission(context, event.call, event.file)) {
    return;
  }
  if (instance.submissions.size() >= kMaxPendingSubmissions) {
    Answer(context,
           Unavailable(event.call, "too many submissions wait for a leader"));
    return;
  }
  instance.submissions.push_back(
      PendingSubmission{.call = event.call,
                        .file = event.file,
                        .expires_at = context.now + kLeaderTimeout});
}

void RetrySubmissions(ControlContext& context) {
  std::deque<PendingSubmission> pending;
  pending.swap(context.instance.submissions);
  for (PendingSubmission& submission : pending) {
    if (TrySubmission(context, submission.call, submission.file)) {
      continue;
    }
    if (context.now >= submission.expires_at) {
      Answer(context, Unavailable(submission.call, "no leader is known"));
      continue;
    }
    context.instance.submissions.push_back(std::move(submission));
  }
}

void HandleVerdict(ControlContext& context, const ControlVerdict& verdict) {
  ControlInstance& instance = context.instance;
  const auto proposal = instance.proposals.find(verdict.token);
  if (proposal == instance.proposals.end()) {
    return;
  }
  const Proposal proposed = proposal->second;
  const CallId call = proposed.call;
  instance.commit_time.Add(std::chrono::duration_cast<Microseconds>(
      context.now - proposed.proposed_at));
  instance.proposals.erase(proposal);
  if (proposed.evacuation) {
    HandleEvacuationVerdict(context, proposed, verdict);
    return;
  }
  // A file is refused only when a version at least as high was committed
  // meanwhile, which is accepted like in `TrySubmission`.
  if (verdict.verdict == wire::UNKNOWN) {
    Answer(context, Unavailable(call, verdict.reason));
    return;
  }
  Answer(context, Accepted(call));
}

void HandleRead(ControlContext& context, const RulesRead& event) {
  ControlInstance& instance = context.instance;
  const Replica& replica = instance.replica;
  if (HasLease(replica, context.now) && !instance.disk_failed) {
    if (!HasNewestState(replica, context.now)) {
      instance.counters.reads_undecided += 1;
      Answer(context,
             Unavailable(event.call,
                         "the newest change is not committed again yet"));
      return;
    }
    if (replica.committed.rules().version() == 0) {
      Answer(context,
             Unavailable(event.call, "no rules file has been accepted yet"));
      return;
    }
    Answer(context, AnswerCall{.call = event.call,
                               .verdict = CallVerdict::kAccepted,
                               .rules = replica.committed.rules()});
    return;
  }
  const InstanceAddress leader = RedirectTarget(context);
  if (leader == 0) {
    Answer(context, Unavailable(event.call, "no leader is known"));
    return;
  }
  Answer(context, AnswerCall{.call = event.call,
                             .verdict = CallVerdict::kRedirected,
                             .leader = leader});
}

}  // namespace filbertwall
