#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Base/InputError.h"
#include "Fleet/AdmissionReport.h"
#include "Fleet/EntryEvacuations.h"
#include "Fleet/Fleet.h"
#include "Fleet/WarmupRequests.h"
#include "Forwarding/Forwarder.h"
#include "Registry/Registry.h"

/// State machine of an entry instance: forwards packets by the rules and
/// backend servers that control instances publish.
///
/// A reducer without clock, socket, disk or random source. Packets do not pass
/// through `Reduce`; the caller passes them to `DecidePacket` with `forwarder`.
/// Not thread safe.
namespace filbertwall {

/// A control instance, as known to this entry instance.
struct ControlSource {
  RegistryPosition position;
  std::string data_centre;
  TimePoint heard_at;  ///< Time of its last update.
  /// Time of its last fresh update, whose sender was in sync with a leader.
  TimePoint fresh_at;
  /// When rules and servers were last requested from it; probes do not count.
  TimePoint contents_requested_at;
  wire::RulesStatus rules_status;  ///< Stated by it or relayed by another.
  TimePoint rules_status_at;
};

struct EntryInstance {
  FleetConfig config;
  Forwarder forwarder;
  Registry registry;
  EntryEvacuations evacuations;
  std::map<InstanceAddress, ControlSource> sources;
  /// The control instance that is polled for changes. While it is 0, there is
  /// none, and all are probed: asked for their state without the contents.
  InstanceAddress primary = 0;
  TimePoint primary_fresh_at;  ///< Last fresh update from `primary`.
  /// Whether the rules were confirmed as the newest since this start.
  bool rules_confirmed = false;
  /// The last routes received could not be read, so all are requested again.
  bool all_routes_wanted = false;
  bool servers_known = false;  ///< All backend servers have been received.
  bool stopping = false;
  bool stopped = false;
  TimePoint started_at;
  TimePoint next_poll_at;  ///< Next poll of the primary, or probe of all.
  /// Next probe of the control instances in the own data centre, while the
  /// primary is in another one.
  TimePoint next_local_probe_at;
  Milliseconds probe_interval{0};  ///< Between two probes of all.
  std::size_t probe_replies = 0;   ///< Updates since the last probe of all.
  /// Minimum time between two requests for missing contents.
  Milliseconds contents_request_interval{0};
  TimePoint next_housekeeping_at;
  WarmupRequester warmup;
  TimePoint stop_at;
  InputErrorCounts set_aside;  ///< Records that could not be used.
  AdmissionReport admission_report;
  /// Services and data centres whose diversion was logged; see
  /// `LogDiversions`.
  std::set<std::pair<ServiceIndex, std::uint32_t>> diverted;
};

struct EntryStarted {};
/// The time that `NextDue` returned has come.
struct EntryTick {};
struct EntryStopRequested {};
/// The list of seeds in the settings has changed.
struct SeedsChanged {
  std::set<InstanceAddress> seeds;
};
using EntryEvent = std::variant<EntryStarted, EntryTick, PeerMessage,
                                EntryStopRequested, SeedsChanged>;

/// Effect: the process may exit.
struct EntryStopped {};
using EntryEffect = std::variant<SendMessage, LogRecord, EntryStopped>;

EntryInstance MakeEntryInstance(const FleetConfig& config);

/// Applies one event and returns the effects to carry out, in order.
/// Precondition: `now` is never less than in an earlier call.
std::vector<EntryEffect> Reduce(EntryInstance& instance,
                                const EntryEvent& event, TimePoint now);

/// Returns when the next `EntryTick` event is needed.
TimePoint NextDue(const EntryInstance& instance);

/// Detects a stall: a timer that is long overdue, because the process was
/// suspended or had no processor time. After a stall, opening packets that have
/// queued up are discarded and the measurements that admission control uses are
/// reset. Must be called before `DecidePacket`.
void DetectStall(EntryInstance& instance, TimePoint now);

/// Returns whether new flows may be sent to this instance.
bool IsReady(const EntryInstance& instance);

}  // namespace filbertwall
