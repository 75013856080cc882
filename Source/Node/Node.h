#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Backends/Directory.h"
#include "Base/Event.h"
#include "Base/Time.h"
#include "Control/Replica.h"
#include "Flows/FlowTier.h"
#include "Requests/OrderLog.h"
#include "Requests/RequestTier.h"
#include "Rules/Rules.h"
#include "Settings/Settings.h"
#include "Wire/wire.pb.h"

/// State machine of one instance: a reducer of events to effects.
///
/// A node reads no clock, socket, disk or random source. Its driver passes it
/// events together with the current time and executes the returned effects in
/// order. Not thread safe.
namespace filbertwall {

/// State of another instance, as its hellos report it.
struct Peer {
  PeerSettings settings;
  wire::Hello hello;  ///< The last hello received.
  TimePoint heard_at;
  bool heard = false;  ///< A hello was received since this process started.
  /// Neither timed out nor stopping, and enough consecutive hellos received.
  bool alive = false;
  std::uint32_t consecutive_hellos = 0;
  /// Consecutive hellos with a directory digest that differs from the local
  /// one.
  std::uint32_t digest_mismatches = 0;
  /// All order records of the instance were received since its last restart.
  bool records_pulled = false;
  /// At some time after the first hello of the peer's incarnation, this
  /// instance was a voter without any rules.
  bool heard_before_rules = false;
};

/// The sender of a submission, which receives its verdict.
struct Submitter {
  std::string client;         ///< Operator's connection; empty for a peer.
  std::uint32_t peer = 0;     ///< Instance that forwarded the submission.
  std::uint64_t request = 0;  ///< Identifier that the reply repeats.
};

/// A change whose verdict is pending. It is retried until it expires. A retry
/// is safe: if an earlier attempt was committed, it returns that verdict.
struct Submission {
  Submitter submitter;
  wire::Change change;
  TimePoint expires_at;
  TimePoint next_attempt_at;
  bool pending_in_replica = false;  ///< Handed to the local replica.
  std::string last_reason;          ///< Reported when the submission expires.
};

struct Node {
  Settings settings;
  std::uint64_t incarnation = 0;
  bool has_replica = false;
  Replica replica;
  wire::RulesFile rules_file;  ///< The one in force; version 0: none yet.
  Rules rules;
  /// At some time since its start, this instance was a voter without any rules.
  bool started_before_rules = false;
  bool serving = false;   ///< Accepts requests and packets; see ConfirmRules.
  bool stopping = false;  ///< A graceful stop has begun.
  bool stopped = false;   ///< The stop has ended; the process may exit.
  TimePoint started_at;
  TimePoint stop_deadline;  ///< Latest end of a graceful stop.
  TimePoint next_hello_at;
  TimePoint next_first_hello_at;  ///< To peers that do not know this process.
  TimePoint next_peer_check_at;   ///< Next check of the peers' timeouts.
  TimePoint next_housekeeping_at;
  TimePoint next_rules_pull_at;    ///< Earliest next request for newer rules.
  TimePoint next_records_pull_at;  ///< Next request for order records.
  std::map<std::uint32_t, Peer> peers;
  std::set<std::uint32_t> silent;  ///< Ids of the peers that are not alive.
  Directory directory;
  OrderLog orders;
  RequestTier requests;
  FlowTier flows;
  std::map<std::uint64_t, Submission> submissions;  ///< By token.
  std::uint64_t next_token = 1;    ///< Identifier of the next submission.
  std::uint32_t known_leader = 0;  ///< 0: none known.
  std::map<std::string, std::uint64_t> counters;  ///< By name in the dump.
  std::uint64_t logged_hedges_over_budget = 0;    ///< By the last FW-6015.
};

struct NodeStarted {};
/// Sent at short intervals; timeouts and periodic work are due at a tick.
struct NodeTick {};
/// A message from an operator if `client` is set, else from another instance.
struct MessageArrived {
  std::string client;
  wire::Envelope envelope;
};
/// A backend server's announcement over HTTP.
struct AnnouncementArrived {
  std::uint64_t id = 0;  ///< HTTP request; its response repeats the id.
  std::string json;
};
/// A health check by the fabric, which sends packets and requests only to
/// instances whose health check succeeds.
struct HealthCheckRequested {
  std::uint64_t id = 0;  ///< HTTP request; its response repeats the id.
};
struct StopRequested {};
using NodeEvent =
    std::variant<NodeStarted, NodeTick, MessageArrived, AnnouncementArrived,
                 HealthCheckRequested, StopRequested, PacketsArrived,
                 RequestArrived, CallerDisconnected, AttemptEnded>;

struct SendToPeer {
  std::uint32_t to = 0;
  wire::Envelope envelope;
};
struct ReplyToOperator {
  std::string client;
  wire::Envelope envelope;
};
/// Appends a record to the durable log of the local replica. Later effects are
/// executed only after the record is stored.
struct PersistControl {
  wire::DurableRecord record;
};
/// Stores the rules in force for the next start, if the instance has a disk.
struct PersistRules {
  wire::RulesFile rules;
};
/// Sends the HTTP response to an announcement or a health check.
struct AnswerLocalHttp {
  std::uint64_t id = 0;  ///< HTTP request to respond to.
  int status = 200;
  std::string json;
};
/// The process may exit: no request is in flight, or the drain limit has
/// passed.
struct Stopped {};
using NodeEffect =
    std::variant<SendToPeer, ReplyToOperator, PersistControl, PersistRules,
                 AnswerLocalHttp, StartAttempt, CancelAttempt, AnswerCaller,
                 FlowEffects, LogRecord, Stopped>;

/// Initial state of a node: its settings and what it stored before a restart.
struct NodeInitialState {
  Settings settings;
  std::uint64_t incarnation = 0;  ///< Differs at each start.
  std::vector<wire::DurableRecord> control_log;
  std::optional<wire::RulesFile> saved_rules;
};

/// Restores a node from its settings and stored state.
Node MakeNode(const NodeInitialState& initial_state);

/// Applies one event and returns its effects in the order of execution.
/// Precondition: `now` is not earlier than in the previous call.
std::vector<NodeEffect> Reduce(Node& node, const NodeEvent& event,
                               TimePoint now);

/// Returns the state as the operators' `dump` command shows it.
wire::NodeDump DumpNode(const Node& node, TimePoint now);

}  // namespace filbertwall
