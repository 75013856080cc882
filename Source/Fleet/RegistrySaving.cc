#include <algorithm>
#include <limits>

#include "Fleet/ControlContext.h"

/// Saving of the registry of a control instance, and its restoration after a
/// restart.
namespace filbertwall {
namespace {

constexpr Milliseconds kSaveInterval{1000};
/// While servers warm up, the registry is also saved after this time without a
/// change. A server counts as cold for this much too long after a restart.
constexpr Milliseconds kWarmupSaveInterval{2000};
/// No registry has this change, so the registry is saved again.
constexpr std::uint64_t kNoSavedChange =
    std::numeric_limits<std::uint64_t>::max();

/// Adds the time by which the report is dated back to the warm-up time of a
/// saved record, which is what was left when it was saved.
void ExtendWarmup(wire::ServerRecord& record, TimePoint reported_at,
                  TimePoint now) {
  if (record.warmup_ms() == 0) {
    return;
  }
  const std::int64_t warmup_ms =
      record.warmup_ms() + MillisecondsBetween(reported_at, now);
  record.set_warmup_ms(static_cast<std::uint32_t>(
      std::min<std::int64_t>(warmup_ms, kMaxWarmup.count())));
}

void RestoreServers(ControlContext& context, const wire::SavedRegistry& saved) {
  ControlInstance& instance = context.instance;
  const TimePoint reported_at =
      context.now - instance.config.announce_interval *
                        (kIntervalsUntilSilent - kIntervalsUntilSettled);
  auto servers = saved.servers();
  SetAsideRecords set_aside;
  CheckServers(servers, set_aside);
  ReportSetAside(context, set_aside, "disk");
  for (wire::ServerRecord& record : servers) {
    record.set_failing(false);  // Flow outcomes are not saved.
    record.set_slowness_percent(0);
    ExtendWarmup(record, reported_at, context.now);
    MergeServerRecord(instance.registry, record, reported_at);
  }
  instance.settled = !instance.registry.servers.empty();
}

/// Restores the followers and the other control instances.
void RestorePeers(ControlContext& context, const wire::SavedRegistry& saved) {
  ControlInstance& instance = context.instance;
  for (const InstanceAddress follower : saved.followers()) {
    if (follower != 0 && instance.previous_followers.size() < kMaxSubscribers) {
      instance.previous_followers.insert(follower);
    }
  }
  instance.saved_followers = instance.previous_followers;
  for (const InstanceAddress other : saved.control_instances()) {
    if (RegistrySource* source = AddSource(context, other)) {
      source->heard_at = context.now;
      instance.saved_control_instances.insert(other);
    }
  }
}

/// Returns the effect that saves the servers, the followers and the other
/// control instances that `instance` lists as saved.
SaveRegistry MakeSaveEffect(ControlInstance& instance, TimePoint now) {
  SaveRegistry effect;
  for (const InstanceAddress follower : instance.saved_followers) {
    effect.saved.add_followers(follower);
  }
  for (const InstanceAddress other : instance.saved_control_instances) {
    effect.saved.add_control_instances(other);
  }
  RecordBatch all =
      RecordsAfter(instance.registry, 0, instance.registry.servers.size(), now);
  instance.warmups_outdated_at = TimePoint::max();
  for (wire::ServerRecord& record : all.records) {
    if (record.warmup_ms() > 0) {
      instance.warmups_outdated_at = now + kWarmupSaveInterval;
    }
    *effect.saved.add_servers() = std::move(record);
  }
  return effect;
}

}  // namespace

void RestoreRegistry(ControlContext& context,
                     const wire::SavedRegistry& saved) {
  RestoreServers(context, saved);
  RestorePeers(context, saved);
  context.instance.saved_change = context.instance.registry.change;
}

void SaveServers(ControlContext& context) {
  ControlInstance& instance = context.instance;
  instance.next_save_at = context.now + kSaveInterval;
  std::set<InstanceAddress> followers = ActiveFollowers(instance, context.now);
  // A set that has only shrunk is not saved: shortly after a start, few
  // followers have subscribed again, and the saved ones are still notified.
  const bool no_new_follower = std::includes(
      instance.saved_followers.begin(), instance.saved_followers.end(),
      followers.begin(), followers.end());
  std::set<InstanceAddress> others =
      OtherControlInstances(instance, context.now);
  const bool unchanged = instance.saved_change == instance.registry.change &&
                         instance.saved_control_instances == others &&
                         context.now < instance.warmups_outdated_at;
  if (unchanged && no_new_follower) {
    return;
  }
  instance.saved_change = instance.registry.change;
  instance.saved_followers = std::move(followers);
  instance.saved_control_instances = std::move(others);
  context.effects.emplace_back(MakeSaveEffect(instance, context.now));
}

void RequestSave(ControlInstance& instance) {
  instance.saved_change = kNoSavedChange;
}

}  // namespace filbertwall
