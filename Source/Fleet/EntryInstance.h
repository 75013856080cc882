#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Fleet/Fleet.h"
#include "Forwarding/Forwarder.h"
#include "Registry/Registry.h"

/// An entry instance of a fleet: forwards packets by the rules and the backend
/// servers that it hears of from a control instance.
///
/// A reducer without clock, socket, disk or random source. Packets go to
/// `forwarder` directly, by `DecidePacket`. Not thread safe.
namespace filbertwall {

/// A control instance as this one hears it.
struct ControlSource {
  RegistryPosition position;
  std::string data_centre;
  TimePoint heard_at;
  TimePoint fresh_at;         ///< Last time that it knew the newest rules.
  TimePoint asked_at;         ///< Last time that its contents were asked for.
  wire::Knowledge knowledge;  ///< By its own or another's word.
  TimePoint knowledge_at;     ///< When that word came.
};

struct EntryInstance {
  FleetConfig config;
  Forwarder forwarder;
  Registry registry;
  std::map<InstanceAddress, ControlSource> sources;
  InstanceAddress primary = 0;  ///< The one that is asked; 0: all are.
  TimePoint fresh_at;
  bool rules_confirmed = false;  ///< Since this start.
  bool servers_known = false;
  bool stopping = false;
  bool stopped = false;
  TimePoint started_at;
  TimePoint poll_at;
  TimePoint ask_local_at;
  Milliseconds urgent_interval{0};  ///< Until all are asked again.
  std::size_t answers = 0;          ///< Since all were asked.
  Milliseconds answer_time{0};      ///< Until contents are asked for again.
  TimePoint housekeeping_at;
  TimePoint stop_at;
};

struct EntryStarted {};
struct EntryDue {};
struct EntryStopRequested {};
/// The settings name other control instances now.
struct SeedsChanged {
  std::set<InstanceAddress> seeds;
};
using EntryEvent = std::variant<EntryStarted, EntryDue, PeerMessage,
                                EntryStopRequested, SeedsChanged>;

/// The process may end.
struct EntryStopped {};
using EntryEffect = std::variant<SendMessage, LogRecord, EntryStopped>;

EntryInstance MakeEntryInstance(const FleetConfig& config);

/// Applies one event. Precondition: `now` never goes back.
std::vector<EntryEffect> Reduce(EntryInstance& instance,
                                const EntryEvent& event, TimePoint now);

/// When `EntryDue` is next of use.
TimePoint NextDue(const EntryInstance& instance);

/// Notes when this instance runs again much later than it was due, since it was
/// frozen or had no processor. Call before packets are decided on.
void NoteStall(EntryInstance& instance, TimePoint now);

/// Whether new flows may be sent here.
bool IsReady(const EntryInstance& instance);

}  // namespace filbertwall
