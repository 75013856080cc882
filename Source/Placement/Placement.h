#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Placement/DataCentreLoad.h"
#include "Placement/ServerTokens.h"
#include "Warmup/WarmupBudget.h"
#include "Wire/registry.pb.h"

/// Load balancing: the choice of a backend server for each new flow.
///
/// An entry instance bases the choice on its own flows only: how many each
/// server has in flight, whether the server accepts them, and how long they
/// last. Plain state and pure functions; not thread safe.
namespace filbertwall {

using ServiceIndex = std::uint32_t;

/// Whether a server may still hold flows, by its record. The better one comes
/// first.
enum class ServerLife : std::uint8_t { kLive, kSilent, kGone };

/// The state of a backend server at one entry instance.
struct PlacedServer {
  std::string id;
  /// `ParseServerNumber(id)`; written to the header of forwarded datagrams.
  std::uint64_t number = 0;
  /// Written into the packets of its flows; `kNoToken` if other servers have
  /// all of its tokens. It is then not chosen.
  std::uint32_t token = kNoToken;
  Endpoint address;
  ServiceIndex service = 0;
  std::uint32_t data_centre = 0;  ///< Index into `data_centres`.
  std::uint32_t slots = 1;        ///< Requests that it can process at a time.
  std::uint64_t incarnation = 0;  ///< Higher after each start of the server.
  bool local = false;             ///< In the data centre of this instance.
  bool usable = false;            ///< Ready and not silent.
  /// Fails a larger share of its requests than the other servers of its
  /// service.
  bool failing = false;
  ServerLife life = ServerLife::kLive;
  /// Duration of its flows in units of that of its service, as the control
  /// instances found it; 1: as usual. It fits before the next member, since
  /// larger servers take longer to compare.
  float slowness = 1;
  TimePoint warmup_ends_at;  ///< The server is slower until this time.

  std::uint32_t in_flight = 0;  ///< Flows of this instance.
  /// Opening packets sent to the server for which it is not yet known whether
  /// the server accepts the flow.
  std::uint32_t pending_openings = 0;
  /// The later of two times: when the first pending opening packet was sent,
  /// and when the server last accepted a flow.
  TimePoint pending_since;
  TimePoint answered_at;  ///< When the server last accepted a flow.
  /// Until this time the server is chosen only when there is no other.
  TimePoint avoid_until;
  /// How often `avoid_until` was set since the server last accepted a flow. The
  /// period of avoidance doubles with it, up to a limit.
  std::uint32_t consecutive_avoidances = 0;
  /// Moving average of flow durations; 0 when there is no measurement.
  double mean_duration_ms = 0;
  TimePoint duration_updated_at;
};

/// The state of a data centre at one entry instance.
struct PlacedDataCentre {
  std::string name;
  std::string region;  ///< Empty: in none.
  /// Unanswered opening packets to its servers since one of them last accepted
  /// a flow.
  std::uint32_t consecutive_unanswered = 0;
  /// Until this time its servers are chosen only when there is no other.
  TimePoint avoid_until;
  bool evacuated = false;  ///< Its servers get no new flow.
  /// When this instance learned of the end of the last evacuation.
  TimePoint returned_at;
};

struct PlacementConfig {
  std::string data_centre;  ///< Of this instance.
  std::uint64_t seed = 0;   ///< Must differ between instances.
  std::map<std::string, std::string> regions;  ///< By data centre.
  /// Whether flows are diverted from loaded data centres and slow servers.
  bool balance_by_load = false;
};

/// The load of a service at one data centre.
struct DataCentreView {
  bool usable = false;        ///< Has servers that answer.
  double load = 1;            ///< See `LoadOf`.
  double diverted_share = 0;  ///< See `DivertedShare`.
  bool diverted = false;  ///< The flow being placed is one of those diverted.
};

/// The loads of a service, by data centre.
struct LoadView {
  std::vector<DataCentreView> data_centres;
  TimePoint updated_at;
};

struct Placement {
  PlacementConfig config;
  /// Entries are never removed, so indices stay valid.
  std::vector<PlacedServer> servers;
  std::vector<PlacedDataCentre> data_centres;
  /// Names of the evacuated data centres, also of those without servers.
  std::set<std::string> evacuated;
  std::unordered_map<std::string, ServerIndex> by_id;
  ServerTokens tokens;
  std::unordered_map<std::string, ServiceIndex> services;
  /// Servers that may be chosen, by service.
  std::vector<std::vector<ServerIndex>> usable_by_service;
  /// Number of servers that only an evacuation excludes, by service.
  std::vector<std::uint32_t> evacuated_by_service;
  /// The failing servers of `usable_by_service`.
  std::vector<std::vector<ServerIndex>> failing_by_service;
  /// Whether a route names the service, by service. Empty before the first
  /// rules.
  std::vector<bool> routed_by_service;
  /// Regions that at least one route to the service allows, by service; empty
  /// or missing: all.
  std::vector<std::vector<std::string>> regions_by_service;
  /// Moving average of flow durations by service; 0 without a measurement.
  std::vector<double> mean_duration_ms_by_service;
  /// Limits on new flows to cold servers, and the leases held on them.
  WarmupBudget warmup;
  DataCentreLoads loads;  ///< Only with `balance_by_load`.
  /// By service; see `UpdateLoadView`. Shorter before the first flow.
  std::vector<LoadView> load_views;
  /// Flows placed outside their data centre since they were diverted from it.
  std::uint64_t diverted_flows = 0;
  /// Random numbers drawn so far; input to the next one.
  std::uint64_t draw_count = 0;
};

/// Returns the number formed by the last 16 hexadecimal digits of a server id;
/// skips all other characters.
std::uint64_t ParseServerNumber(std::string_view id);

/// Returns the index of a service; adds the service when its name is unknown.
ServiceIndex InternService(Placement& placement, const std::string& name);

/// Adds or updates a server. Returns whether it is added. Precondition:
/// `record` is the result of merging all records of its id in the registry.
bool UpdateServer(Placement& placement, const wire::ServerRecord& record,
                  TimePoint now);

/// Replaces the set of evacuated data centres. Precondition: `now` does not
/// decrease between calls. Call `RefreshUsable` afterwards.
void SetEvacuated(Placement& placement, std::set<std::string> names,
                  TimePoint now);

/// Returns whether the service has no usable server and would have one without
/// the evacuations.
bool IsEmptiedByEvacuation(const Placement& placement, ServiceIndex service);

/// Recomputes which servers may be chosen: none of an evacuated data centre. Of
/// several servers with the same address, only the one with the latest
/// incarnation may; a server whose service no route names displaces no other.
/// Call after a series of `UpdateServer` calls.
void RefreshUsable(Placement& placement);

/// Load factor of a server that is still warming up.
inline constexpr double kWarmupFactor = 1.6;

/// Returns whether the server is chosen only when there is no other, since it
/// does not answer opening packets.
bool IsAvoided(const PlacedServer& server, TimePoint now);

/// A new flow for which a server is to be chosen.
struct PlacementRequest {
  ServiceIndex service = 0;
  /// The server that did not answer the flow's previous opening packet.
  std::optional<ServerIndex> unanswered_server;
  bool retryable = false;  ///< The caller may retry the request.
  /// Regions of the servers that may be chosen; empty: all. Refers to the
  /// route.
  std::span<const std::string> regions;
};

/// Returns whether servers of the data centre may be chosen if only those in
/// `regions` may; empty: all.
bool IsInRegions(std::span<const std::string> regions,
                 const PlacedDataCentre& data_centre);

/// Returns the regions of `Placement::regions_by_service`; empty: all.
std::span<const std::string> RegionsOf(const Placement& placement,
                                       ServiceIndex service);

/// Returns when the server has warmed up, or when enough time has passed since
/// the last evacuation of its data centre; a past time if it is not cold.
/// Precondition: `limit` is that of the server's service.
TimePoint ColdUntil(const Placement& placement, const PlacedServer& server,
                    const WarmupLimit& limit);

/// Returns whether the server warms up or its data centre has returned lately.
/// Precondition: `limit` is that of the server's service.
bool IsCold(const Placement& placement, const PlacedServer& server,
            const WarmupLimit& limit, TimePoint now);

/// Returns whether a new flow may be sent to the server: always, unless its
/// service has a limit (`limit` is not null) and it is cold, or may be.
bool MayTakeFlow(const Placement& placement, ServerIndex index,
                 const WarmupLimit* limit, TimePoint now);

/// Returns the server for a new flow; empty when the service has no usable
/// server in the regions of the flow. `flow.except` is chosen only when all
/// other servers are avoided. A failing server still gets a few flows whose
/// requests may be retried, so that its recovery can be detected. A cold server
/// of a service with a limit is chosen only within the budget of
/// `placement.warmup`, and that is spent. So is a warm one, once in each
/// window, while the servers are not confirmed.
std::optional<ServerIndex> ChooseServer(Placement& placement,
                                        const PlacementRequest& flow,
                                        TimePoint now);

/// Returns the server that the flows with a token most likely belong to, of the
/// ones that have it. A token is written only while one server is known to have
/// it, so a shared one is that of the server that started first, unless that
/// one is gone or silent. Precondition: `servers` is not empty.
ServerIndex MostLikelyServer(const Placement& placement,
                             std::span<const ServerIndex> servers);

/// Records that an opening packet is sent to the server.
void RecordOpening(PlacedServer& server, TimePoint now);
/// Records that the server has accepted a flow, as shown by a later packet of
/// the caller.
void RecordAnswered(Placement& placement, ServerIndex index, TimePoint now);
/// Records that the server did not answer an opening packet, as shown by its
/// retransmission by the caller.
void RecordUnanswered(Placement& placement, ServerIndex index, TimePoint now);
/// Records the end of a flow. `answered` tells whether the server had accepted
/// it; `duration` is empty when the flow was aborted or expired.
void RecordFlowEnd(Placement& placement, ServerIndex index, bool answered,
                   std::optional<Milliseconds> duration, TimePoint now);

}  // namespace filbertwall
