#pragma once

#include <string>
#include <vector>

#include "Fleet/EntryInstance.h"

/// Internal to Fleet: functions shared by the source files that implement the
/// reducer of an entry instance. Not thread safe.
namespace filbertwall {

/// Missing contents are requested again after an interval that starts here and
/// doubles with each request: when many instances request contents at once,
/// sending them twice to one delays the others.
inline constexpr Milliseconds kMinContentsRequestInterval{60};
/// The interval between two probes of all control instances starts here and
/// doubles with each probe.
inline constexpr Milliseconds kMinProbeInterval{40};

/// The event being handled: state, time and the effects so far.
struct EntryContext {
  EntryInstance& instance;
  TimePoint now;
  std::vector<EntryEffect>& effects;
};

/// Adds a log record to the effects.
void Log(EntryContext& context, EventId id, const std::string& text,
         Severity severity = Severity::kInfo);

/// Requests all that is newer than what is known here, and reports the flow
/// outcomes if `to` is the primary. Precondition: `to` is a known control
/// instance.
void SendSubscribe(EntryContext& context, InstanceAddress to);

/// Polls the primary, or probes all control instances if there is none or the
/// present one sends no fresh updates any more.
void PollControl(EntryContext& context);

/// Requests the contents from `from` when `update` shows that newer rules or
/// the first server records are missing here. When several control instances
/// send such updates at once, only one is asked.
void RequestMissingContents(EntryContext& context, InstanceAddress from,
                            const wire::Update& update);

/// Notes whether the rules in force are confirmed as the newest since the
/// start.
void ConfirmRules(EntryContext& context, const wire::Update& update);

/// Makes `from` the primary when there is none, or when `from` is in the own
/// data centre and the current primary is not. Precondition: the update of
/// `from` was fresh.
void ChoosePrimary(EntryContext& context, InstanceAddress from,
                   const ControlSource& source);

/// Merges the rules_status of a control instance that another one has relayed.
/// It replaces the present rules_status unless it has fewer committed entries.
/// In either case the higher of the two newest versions is kept.
void MergeRelayedStatus(ControlSource& source,
                        const wire::RulesStatus& rules_status, TimePoint now);

/// Returns a control instance, and adds it if it is new. Returns null for this
/// instance, for address 0, and when there is no room: control instances that
/// have been silent for long are removed, except for seeds and the primary.
ControlSource* FindOrAddSource(EntryContext& context, InstanceAddress address);

/// Adds a control instance. A new one is probed at once, since it may be in the
/// own data centre.
void AddSource(EntryContext& context, InstanceAddress address);

}  // namespace filbertwall
