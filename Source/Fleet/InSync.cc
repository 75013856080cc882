#include <algorithm>

#include "Base/Endpoint.h"
#include "Fleet/ControlContext.h"

/// Whether a control instance is in sync with a leader: messages pass in both
/// directions, and it has been told what it may have missed.
namespace filbertwall {
namespace {

/// The committed state counts as fresh for this long after it was confirmed as
/// the newest one.
constexpr Milliseconds kFreshnessLimit{400};
/// This instance counts as heard for this long after it sent the latest message
/// that a leader has confirmed. This is shorter than `kSubscriberTimeout`, so
/// that entry instances follow another one before the others cease to send
/// changes here.
constexpr Milliseconds kHeardLimit{1000};
/// The servers known to a leader count as known here for this long after an
/// update that held them all.
constexpr Milliseconds kCompleteLimit{2500};
/// Interval between two requests to the other control instances while their
/// servers are not known.
constexpr Milliseconds kCatchUpInterval{200};

/// Returns whether the whole registry of another instance was known here
/// lately.
bool KnowsServersOf(const ControlInstance& instance, InstanceAddress other,
                    TimePoint now) {
  const auto source = instance.sources.find(other);
  return source != instance.sources.end() &&
         now - source->second.complete_at <= kCompleteLimit;
}

/// Returns whether this instance knows the servers that the leader knows, and
/// as the leader those that another voter knows. What one instance in sync
/// knows, the leader is told.
bool KnowsServersOfLeader(const ControlInstance& instance, TimePoint now) {
  const Replica& replica = instance.replica;
  if (replica.role != ReplicaRole::kLeader) {
    return KnowsServersOf(instance, replica.leader, now);
  }
  const auto& members = replica.committed.members();
  return members.size() <= 1 ||
         std::any_of(members.begin(), members.end(),
                     [&](const wire::Member& member) {
                       return KnowsServersOf(instance, member.instance(), now);
                     });
}

/// An instance that was out of sync can't tell which servers have reported to
/// the others: gives them the time that they have after a start.
void AllowTimeToReport(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const Milliseconds interval = instance.config.announce_interval;
  if (context.now - instance.in_sync_until > interval) {
    SetLastHeardAtLeast(instance.registry,
                        context.now - interval * (kIntervalsUntilSilent -
                                                  kIntervalsUntilSettled));
  }
}

}  // namespace

bool IsInSync(const ControlInstance& instance, TimePoint now) {
  return !instance.disk_failed &&
         HasFreshState(instance.replica, now, kFreshnessLimit) &&
         IsHeardByLeader(instance.replica, now, kHeardLimit) &&
         KnowsServersOfLeader(instance, now);
}

void CatchUp(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const bool behind =
      IsHeardByLeader(instance.replica, context.now, kHeardLimit) &&
      !KnowsServersOfLeader(instance, context.now);
  if (behind) {
    instance.next_subscribe_at =
        std::min(instance.next_subscribe_at,
                 instance.last_subscribe_at + kCatchUpInterval);
  }
}

void UpdateInSync(ControlContext& context) {
  ControlInstance& instance = context.instance;
  const Replica& replica = instance.replica;
  const bool in_sync = IsInSync(instance, context.now);
  if (in_sync) {
    AllowTimeToReport(context);
    instance.in_sync_until = context.now;
  }
  if (in_sync == instance.in_sync) {
    return;
  }
  instance.in_sync = in_sync;
  if (in_sync) {
    Log(context, EventId::kInSync, "leader=" + FormatIp(replica.leader));
    return;
  }
  Log(context, EventId::kOutOfSync,
      "leader=" + FormatIp(replica.leader) + " heard_ms=" +
          std::to_string(
              MillisecondsBetween(replica.leader_heard_at, context.now)) +
          " confirmed_ms=" +
          std::to_string(
              MillisecondsBetween(replica.confirmed_ack_sent_at, context.now)),
      Severity::kWarning);
}

}  // namespace filbertwall
