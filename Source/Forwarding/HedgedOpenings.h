#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Base/ExtraWorkBudget.h"
#include "Base/RecentDurations.h"
#include "Base/Time.h"
#include "Forwarding/FlowPacket.h"
#include "Forwarding/HeldOpenings.h"
#include "Placement/Placement.h"

/// Hedged openings: a stored opening packet is sent to a second server before
/// its caller retransmits it, when the first server is probably dead or full.
///
/// A first server that accepts the flow after all may divert it: the caller
/// repeats the token that it received last, also when its flow was opened by
/// the other server. Nothing in one packet tells an instance which server has
/// opened the flow, so a hedge is sent only when the silence is not that of one
/// flow. The first server must be silent to another caller too, or its data
/// centre to three others, and callers' packets must be arriving here. For
/// flows whose opening went to several servers, it is recorded which one's
/// sequence numbers the caller acknowledges, and packets go there whatever
/// their token. See docs/design/0014-hedging.md for what remains. Plain state;
/// not thread safe.
namespace filbertwall {

/// An opening packet that was sent to a server.
struct StoredOpening {
  HeldOpening opening;
  ServerIndex server = 0;
  TimePoint opened_at;
  TimePoint due_at;      ///< When a hedge is considered next.
  bool counted = false;  ///< Included in `Silence::callers`.
};

/// Callers whose openings a server, or the servers of a data centre, did not
/// accept in time, since one was accepted.
struct Silence {
  std::set<std::uint32_t> callers;  ///< Limited in number.
  TimePoint latest_at;
};

/// Acknowledgement numbers that belong to the answer of one server.
struct AnswerSpace {
  ServerIndex server = 0;
  std::uint32_t ack_number = 0;  ///< The latest.
};

/// A flow whose opening packet was sent to several servers.
struct RepeatedOpening {
  std::vector<ServerIndex> servers;  ///< In the order of sending.
  std::optional<ServerIndex> hedge_server;
  std::vector<AnswerSpace> answers;
  TimePoint expires_at;
};

struct HedgeCounters {
  std::uint64_t sent = 0;
  std::uint64_t won = 0;   ///< The second server opened the flow.
  std::uint64_t lost = 0;  ///< The first server opened the flow.
  std::uint64_t over_budget = 0;
  std::uint64_t withheld = 0;  ///< Too little is known for a safe hedge.
  /// Packets that another server's token would have diverted.
  std::uint64_t kept_packets = 0;
};

struct HedgedOpenings {
  ExtraWorkBudget budget;  ///< Share 0: neither stores nor records anything.
  std::unordered_map<FlowKey, StoredOpening, FlowKeyHash> stored;
  /// One entry for each of `stored`, by its `due_at`.
  std::set<std::pair<TimePoint, FlowKey>> due;
  std::unordered_map<FlowKey, RepeatedOpening, FlowKeyHash> repeated;
  /// One entry for each of `repeated`, by its `expires_at`.
  std::set<std::pair<TimePoint, FlowKey>> expiries;
  /// Times to the first answer, by the server's data centre.
  std::vector<RecentDurations> first_answers;
  std::vector<Silence> silent_servers;
  std::vector<Silence> silent_data_centres;
  /// When the latest flow of those whose callers went on here was opened.
  TimePoint newest_answered_at;
  HedgeCounters counters;
};

inline bool HedgesOpenings(const HedgedOpenings& hedged) {
  return hedged.budget.share > 0;
}

/// Returns the time to the first answer of a server after which a hedge may be
/// sent; empty while too few answers were observed.
std::optional<Milliseconds> HedgeDelayOf(const HedgedOpenings& hedged,
                                         const Placement& placement,
                                         ServerIndex server);

/// Stores an opening packet that is sent to `server`, replacing an earlier copy
/// of it. Does nothing when the caller retransmits it before a hedge could be
/// sent.
void StoreOpening(HedgedOpenings& hedged, const Placement& placement,
                  const FlowPacket& packet, ServerIndex server,
                  std::span<const std::uint8_t> bytes, TimePoint now);

/// Discards the flow's packet, if one is stored.
void DiscardStoredOpening(HedgedOpenings& hedged, const FlowKey& key);

/// Records that a server has accepted a flow that was opened at `opened_at`.
void RecordFirstAnswer(HedgedOpenings& hedged, const Placement& placement,
                       ServerIndex server, TimePoint opened_at, TimePoint now);

/// Removes and returns the next opening packet that is due. It is still to be
/// decided on: see `PutOffHedge`, `MayHedge`.
std::optional<StoredOpening> TakeDueOpening(HedgedOpenings& hedged,
                                            TimePoint now);

/// Stores a due opening packet again, to be decided on a little later, unless
/// its caller retransmits it before.
void PutOffHedge(HedgedOpenings& hedged, StoredOpening opening, TimePoint now);

/// What is known about the silence of a server.
enum class SilenceSign {
  kNone,        ///< It may concern this flow only.
  kServer,      ///< The server is silent to other callers too.
  kDataCentre,  ///< The servers of its data centre are.
};

/// Counts the caller of a due opening packet, whose server has not accepted it,
/// and returns what is known about the server.
SilenceSign JudgeSilence(HedgedOpenings& hedged, const Placement& placement,
                         StoredOpening& opening, TimePoint now);

/// Returns whether at least half of the service's servers can take a hedge:
/// they answer, don't fail and aren't cold.
bool HalfAreHealthy(const HedgedOpenings& hedged, const Placement& placement,
                    ServiceIndex service, TimePoint now);

/// Records that the opening packet of a flow goes to `server` after `earlier`
/// did not accept it.
void RecordRepeatedOpening(HedgedOpenings& hedged, const FlowKey& key,
                           ServerIndex earlier, ServerIndex server,
                           TimePoint expires_at, TimePoint now);

/// Marks the latest server of a repeated opening as the one of a hedge.
void MarkHedge(HedgedOpenings& hedged, const FlowKey& key);

/// Returns whether a further repeated opening can be recorded. Without a record
/// a hedge must not be sent.
bool HasRoomForRecord(HedgedOpenings& hedged, TimePoint now);

/// Forgets what is recorded of an earlier flow with the same key.
void ForgetRepeatedOpening(HedgedOpenings& hedged, const FlowKey& key);

/// Returns the server that has opened the packet's flow, as far as that is
/// known, else `by_token`. Precondition: the packet is not an opening one, and
/// `by_token` is the server of its token.
std::optional<ServerIndex> ServerOfAnswer(HedgedOpenings& hedged,
                                          const FlowPacket& packet,
                                          std::optional<ServerIndex> by_token);

/// Returns the server that was the first to have answered a flow whose opening
/// packet went to several; empty when it is not known.
std::optional<ServerIndex> OpenedBy(const HedgedOpenings& hedged,
                                    const FlowKey& key);

/// Returns when `TakeDueOpening` returns something next; `max` for never.
TimePoint NextHedgeDue(const HedgedOpenings& hedged);

}  // namespace filbertwall
