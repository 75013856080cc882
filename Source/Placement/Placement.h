#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"
#include "Wire/registry.pb.h"

/// Which backend server gets a new flow, and which flows none can serve.
///
/// An entry instance sees only its own flows: how many of them each server
/// holds, whether the server accepts them, and how long they last. Plain state
/// and pure functions; not thread safe.
namespace filbertwall {

using ServerIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;

/// A backend server as one entry instance sees it.
struct PlacedServer {
  std::string id;
  std::uint64_t number = 0;  ///< The hexadecimal digits of its id.
  std::uint32_t token = 0;   ///< What flows to it carry.
  Endpoint address;
  ServiceIndex service = 0;
  std::uint32_t data_centre = 0;  ///< Index into `data_centres`.
  std::uint32_t slots = 1;
  std::uint64_t incarnation = 0;
  bool local = false;   ///< In the data centre of this instance.
  bool usable = false;  ///< May take new flows.
  bool failing =
      false;          ///< Fails callers more often than its service's others.
  TimePoint warm_at;  ///< Works slowly until then.

  std::uint32_t in_flight = 0;   ///< Flows of this instance.
  std::uint32_t unanswered = 0;  ///< Opening packets without a follow-up.
  TimePoint unanswered_since;    ///< The first of them.
  TimePoint answered_at;         ///< Last opening that was answered.
  TimePoint avoid_until;
  std::uint32_t failures_in_row = 0;
  double duration_ms = 0;  ///< Moving average of its flows; 0: not known.
  TimePoint duration_at;   ///< When it was last measured.
};

/// A data centre as one entry instance reaches it.
struct PlacedDataCentre {
  std::string name;
  std::uint32_t unanswered_in_row = 0;  ///< Openings, over all its servers.
  TimePoint avoid_until;
};

struct PlacementConfig {
  std::string data_centre;
  std::uint64_t seed = 0;  ///< Differs between instances.
};

struct Placement {
  PlacementConfig config;
  std::vector<PlacedServer> servers;  ///< Never shrinks; indices stay valid.
  std::vector<PlacedDataCentre> data_centres;
  std::unordered_map<std::string, ServerIndex> by_id;
  std::unordered_map<std::uint32_t, ServerIndex> by_token;
  std::unordered_map<std::string, ServiceIndex> services;
  std::vector<std::vector<ServerIndex>> usable_of;   ///< By service.
  std::vector<std::vector<ServerIndex>> failing_of;  ///< Those of `usable_of`.
  std::vector<double> duration_of;  ///< Moving average by service, in ms.
  std::uint64_t draws = 0;          ///< Drives the choice among equals.
};

/// The number that an id's hexadecimal digits form; the last 16 count.
std::uint64_t NumberOf(std::string_view id);

/// Gives the index of a service, a new one when its name is new.
ServiceIndex InternService(Placement& placement, const std::string& name);

/// Takes what is known of a server by now. Precondition: `record` is the latest
/// of its id, as the registry merged it.
void UpdateServer(Placement& placement, const wire::ServerRecord& record,
                  TimePoint now);

/// Recomputes which servers may take new flows. Of several at one address only
/// the latest incarnation may. Call after a group of `UpdateServer`.
void RefreshUsable(Placement& placement);

/// What is to be placed.
struct NewFlow {
  ServiceIndex service = 0;
  std::optional<ServerIndex> except;  ///< Did not answer the flow's opening.
  bool repeatable = false;  ///< Its caller may send its request again.
};

/// The server for a new flow, preferably another than `except`. A server that
/// fails its callers gets a few flows whose requests may be repeated, so that
/// it shows when it is well again. Empty when the service has none that may
/// take it.
std::optional<ServerIndex> ChooseServer(Placement& placement,
                                        const NewFlow& flow, TimePoint now);

/// The server whose flows carry `token`.
std::optional<ServerIndex> FindByToken(const Placement& placement,
                                       std::uint32_t token);

/// An opening packet goes to the server.
void NoteOpening(PlacedServer& server, TimePoint now);
/// The caller went on, so the server has accepted the flow.
void NoteAnswered(Placement& placement, ServerIndex index, TimePoint now);
/// The caller sent its opening packet again, so the server has not answered.
void NoteUnanswered(Placement& placement, ServerIndex index, TimePoint now);
/// A flow has ended; `duration` is empty when it was given up.
void NoteEnded(Placement& placement, ServerIndex index, bool answered,
               std::optional<Milliseconds> duration, TimePoint now);

}  // namespace filbertwall
