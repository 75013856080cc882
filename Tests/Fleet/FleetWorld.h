#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Fleet/ControlInstance.h"
#include "Fleet/EntryInstance.h"

/// Simulation of a fleet: control and entry instances, their disks, and the
/// messages between them, in simulated time.
namespace filbertwall {

struct FleetWorld {
  TimePoint now{std::chrono::hours(1)};
  FleetConfig config;  ///< Settings that all instances share.
  std::map<InstanceAddress, ControlInstance> controls;
  std::map<InstanceAddress, EntryInstance> entries;
  std::map<InstanceAddress, std::vector<wire::DurableRecord>> disks;
  std::map<InstanceAddress, wire::SavedRegistry> saved;
  std::set<InstanceAddress> down;
  std::set<InstanceAddress> full_disks;  ///< Writes to them fail.
  /// When the failed disk of an instance is tried again.
  std::map<InstanceAddress, TimePoint> disk_retry_at;
  /// Whether a message from the first instance to the second is lost.
  std::function<bool(InstanceAddress, InstanceAddress)> is_lost =
      [](InstanceAddress, InstanceAddress) { return false; };
  /// Called for each message, including those that are lost.
  std::function<void(InstanceAddress, const SendMessage&)> on_send =
      [](InstanceAddress, const SendMessage&) {};
  struct InFlightMessage {
    InstanceAddress from = 0;
    SendMessage message;
  };
  std::vector<InFlightMessage> messages_in_flight;
  std::map<CallId, AnswerCall> answers;
  std::string rules_address = "10.0.0.1:80";  ///< Of the submitted rules.
  CallId next_call = 1;
  std::uint64_t next_incarnation = 1000;
};

/// Queues a message for delivery unless it is lost.
inline void QueueMessage(FleetWorld& world, InstanceAddress from,
                         const SendMessage& effect) {
  world.on_send(from, effect);
  if (!world.is_lost(from, effect.to)) {
    world.messages_in_flight.push_back({.from = from, .message = effect});
  }
}

/// Executes an effect of a control instance. Returns false if a write failed.
inline bool Execute(FleetWorld& world, InstanceAddress id,
                    const ControlInstanceEffect& effect) {
  const bool full = world.full_disks.contains(id);
  if (const auto* send = std::get_if<SendMessage>(&effect)) {
    QueueMessage(world, id, *send);
  } else if (const auto* record = std::get_if<PersistRecord>(&effect)) {
    if (full) {
      return false;
    }
    world.disks[id].push_back(record->record);
  } else if (const auto* save = std::get_if<SaveRegistry>(&effect)) {
    if (!full) {
      world.saved[id] = save->saved;
    }
  } else if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
    world.answers[answer->call] = *answer;
  }
  return true;
}

/// Applies an event and executes its effects as a process does.
inline void Apply(FleetWorld& world, InstanceAddress id,
                  const ControlInstanceEvent& event) {
  constexpr Milliseconds kDiskRetryInterval{300};
  bool registry_not_saved = false;
  bool failed = false;
  for (const ControlInstanceEffect& effect :
       Reduce(world.controls.at(id), event, world.now)) {
    registry_not_saved =
        registry_not_saved || (std::holds_alternative<SaveRegistry>(effect) &&
                               world.full_disks.contains(id));
    if (!failed) {
      failed = !Execute(world, id, effect);
    } else if (const auto allowed = EffectAfterFailedWrite(effect)) {
      Execute(world, id, *allowed);
    }
  }
  if (failed) {
    world.disk_retry_at[id] = world.now + kDiskRetryInterval;
    Apply(world, id, ControlInstanceEvent(ControlDiskFailed{}));
  }
  if (registry_not_saved) {
    Apply(world, id, ControlInstanceEvent(RegistryNotSaved{}));
  }
}

/// Tries the disk of an instance whose write failed, if this is due.
inline void RetryDisk(FleetWorld& world, InstanceAddress id) {
  const auto due = world.disk_retry_at.find(id);
  if (due == world.disk_retry_at.end() || world.now < due->second) {
    return;
  }
  if (world.full_disks.contains(id)) {
    due->second += Milliseconds(300);
    return;
  }
  world.disk_retry_at.erase(due);
  Apply(world, id,
        ControlInstanceEvent(ControlDiskRestored{.log = world.disks.at(id)}));
}

inline void Apply(FleetWorld& world, InstanceAddress id,
                  const EntryEvent& event) {
  for (const EntryEffect& effect :
       Reduce(world.entries.at(id), event, world.now)) {
    if (const auto* send = std::get_if<SendMessage>(&effect)) {
      QueueMessage(world, id, *send);
    }
  }
}

inline FleetConfig MakeInstanceConfig(FleetWorld& world, InstanceAddress id) {
  FleetConfig config = world.config;
  config.self = id;
  config.data_centre = "dc" + std::to_string(id % 4);
  config.incarnation = world.next_incarnation++;
  return config;
}

inline void StartControl(FleetWorld& world, InstanceAddress id,
                         bool first_start) {
  const FleetConfig config = MakeInstanceConfig(world, id);
  std::vector<wire::DurableRecord>& disk = world.disks[id];
  if (disk.empty()) {
    disk.push_back(InitialRecord(config, first_start));
  }
  world.controls.insert_or_assign(id, MakeControlInstance(config, disk));
  world.down.erase(id);
  world.disk_retry_at.erase(id);
  if (world.full_disks.contains(id)) {
    world.controls.at(id).disk_failed = true;
    world.disk_retry_at[id] = world.now + Milliseconds(300);
  }
  Apply(world, id, ControlInstanceStarted{.saved = world.saved[id]});
}

inline void StartEntry(FleetWorld& world, InstanceAddress id) {
  world.entries.insert_or_assign(
      id, MakeEntryInstance(MakeInstanceConfig(world, id)));
  world.down.erase(id);
  Apply(world, id, EntryStarted{});
}

/// Delivers messages until none is left, including those that are added
/// meanwhile.
inline void DeliverAll(FleetWorld& world) {
  while (!world.messages_in_flight.empty()) {
    std::vector<FleetWorld::InFlightMessage> delivered;
    delivered.swap(world.messages_in_flight);
    for (FleetWorld::InFlightMessage& item : delivered) {
      const InstanceAddress to = item.message.to;
      if (world.down.contains(to)) {
        continue;
      }
      PeerMessage message{.from = item.from,
                          .message = std::move(item.message.message)};
      if (world.controls.contains(to)) {
        Apply(world, to, ControlInstanceEvent(std::move(message)));
      } else if (world.entries.contains(to)) {
        Apply(world, to, EntryEvent(std::move(message)));
      }
    }
  }
}

/// Advances the time in small steps, and handles due timers and messages.
inline void Run(FleetWorld& world, Milliseconds time) {
  constexpr Milliseconds kStep{5};
  for (Milliseconds passed{0}; passed < time; passed += kStep) {
    world.now += kStep;
    for (auto& [id, instance] : world.controls) {
      if (!world.down.contains(id)) {
        RetryDisk(world, id);
      }
      if (!world.down.contains(id) && world.now >= NextDue(instance)) {
        Apply(world, id, ControlInstanceTick{});
      }
    }
    for (auto& [id, instance] : world.entries) {
      if (!world.down.contains(id) && world.now >= NextDue(instance)) {
        Apply(world, id, EntryTick{});
      }
    }
    DeliverAll(world);
  }
}

inline FleetWorld MakeWorld(InstanceAddress controls, InstanceAddress entries) {
  FleetWorld world;
  world.config.announce_interval = Milliseconds(1200);
  for (InstanceAddress id = 1; id <= std::min(controls, 3U); ++id) {
    world.config.seeds.insert(id);
  }
  for (InstanceAddress id = controls; id >= 1; --id) {
    StartControl(world, id, true);
  }
  for (InstanceAddress id = 101; id < 101 + entries; ++id) {
    StartEntry(world, id);
  }
  return world;
}

/// Returns the control instance that leads with a lease, or 0.
inline InstanceAddress FindLeader(const FleetWorld& world) {
  for (const auto& [id, instance] : world.controls) {
    if (!world.down.contains(id) && HasLease(instance.replica, world.now)) {
      return id;
    }
  }
  return 0;
}

inline CallId Submit(FleetWorld& world, InstanceAddress to,
                     std::uint64_t version) {
  const CallId call = world.next_call++;
  RulesSubmitted event{.call = call};
  event.file.set_version(version);
  event.file.set_text("version " + std::to_string(version) +
                      "  # by: test\nservice proof  # by: test\n"
                      "address " +
                      world.rules_address + " proof  # by: test\n");
  event.file.set_digest("digest" + std::to_string(version));
  Apply(world, to, event);
  return call;
}

/// Submits a rules file as a client does: follows redirects and otherwise tries
/// the next control instance until one accepts. Returns false when none accepts
/// within the limit of attempts.
inline bool SubmitUntilAccepted(FleetWorld& world, std::uint64_t version) {
  constexpr int kMaxAttempts = 40;
  InstanceAddress to = world.controls.begin()->first;
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (world.down.contains(to) || !world.controls.contains(to)) {
      to = world.controls.rbegin()->first;
    }
    const CallId call = Submit(world, to, version);
    Run(world, Milliseconds(800));
    const auto answer = world.answers.find(call);
    if (answer != world.answers.end()) {
      if (answer->second.verdict == CallVerdict::kAccepted) {
        return true;
      }
      if (answer->second.verdict == CallVerdict::kRedirected) {
        to = answer->second.leader;
        continue;
      }
    }
    const auto next = world.controls.upper_bound(to);
    to = next == world.controls.end() ? world.controls.begin()->first
                                      : next->first;
  }
  return false;
}

inline CallId Report(FleetWorld& world, InstanceAddress to,
                     const std::string& id, std::uint64_t sequence,
                     wire::ServerPhase phase = wire::SERVER_READY) {
  const CallId call = world.next_call++;
  ServerReported event{.call = call};
  event.record.set_id(id);
  event.record.set_service("proof");
  event.record.set_ip(static_cast<std::uint32_t>(ParseServerNumber(id)));
  event.record.set_port(80);
  event.record.set_slots(2);
  event.record.set_incarnation(1);
  event.record.set_sequence(sequence);
  event.record.set_phase(phase);
  Apply(world, to, event);
  return call;
}

inline bool IsUsableAt(const FleetWorld& world, InstanceAddress entry,
                       const std::string& id) {
  const Placement& placement = world.entries.at(entry).forwarder.placement;
  const auto index = placement.by_id.find(id);
  return index != placement.by_id.end() &&
         placement.servers[index->second].usable;
}

inline std::uint64_t VersionAt(const FleetWorld& world, InstanceAddress entry) {
  return world.entries.at(entry).forwarder.routes.version;
}

}  // namespace filbertwall
