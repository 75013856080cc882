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

/// One instance: the reducer over all events, its effects as data.
///
/// There is no clock, socket, disk or random source inside. Whoever drives a
/// node hands it typed events with the time and carries out the effects in
/// their order. Not thread safe.
namespace filbertwall {

/// Another instance, as its messages show it.
struct Peer {
  PeerSettings settings;
  wire::Hello hello;
  TimePoint heard_at;
  bool heard = false;
  bool alive = false;
  std::uint32_t hellos_in_row = 0;
  std::uint32_t digest_mismatches = 0;
  bool records_pulled = false;
};

/// Whom a verdict is owed.
struct Submitter {
  std::string client;  ///< Of this process; empty for another instance.
  std::uint32_t peer = 0;
  std::uint64_t request = 0;
};

/// A change that waits for its verdict. It is tried again until it expires,
/// which is safe because a second try gets the first one's verdict.
struct Submission {
  Submitter submitter;
  wire::Change change;
  TimePoint expires_at;
  TimePoint next_try_at;
  bool in_replica = false;
  std::string last_reason;
};

struct Node {
  Settings settings;
  std::uint64_t incarnation = 0;
  bool has_replica = false;
  Replica replica;
  wire::RulesFile rules_file;  ///< In force; version 0: none yet.
  Rules rules;
  bool serving = false;
  bool stopping = false;  ///< A graceful stop has begun.
  bool stopped = false;   ///< It has ended; the process may go.
  TimePoint started_at;
  TimePoint stop_at;
  TimePoint hello_at;
  TimePoint watch_at;  ///< Next look for silent peers.
  TimePoint housekeeping_at;
  TimePoint rules_pull_at;
  TimePoint pull_at;  ///< Next request for the records of orders.
  std::map<std::uint32_t, Peer> peers;
  std::set<std::uint32_t> silent;  ///< Peers that are not alive.
  Directory directory;
  OrderLog orders;
  RequestTier requests;
  FlowTier flows;
  std::map<std::uint64_t, Submission> submissions;  ///< By token.
  std::uint64_t next_token = 1;
  std::uint32_t known_leader = 0;
  std::map<std::string, std::uint64_t> counters;
};

struct NodeStarted {};
struct NodeTick {};
/// A message of another instance, or of an operator when `client` is set.
struct MessageArrived {
  std::string client;
  wire::Envelope envelope;
};
struct AnnouncementArrived {
  std::uint64_t id = 0;
  std::string json;
};
/// The fabric asks whether packets and requests may be sent here.
struct HealthAsked {
  std::uint64_t id = 0;
};
struct StopRequested {};
using NodeEvent =
    std::variant<NodeStarted, NodeTick, MessageArrived, AnnouncementArrived,
                 HealthAsked, StopRequested, PacketsArrived, RequestArrived,
                 CallerLeft, AttemptEnded>;

struct SendToPeer {
  std::uint32_t to = 0;
  wire::Envelope envelope;
};
struct ReplyToOperator {
  std::string client;
  wire::Envelope envelope;
};
struct PersistControl {
  wire::DurableRecord record;
};
/// Keeps the rules in force for the next start of an instance with a disk.
struct PersistRules {
  wire::RulesFile rules;
};
/// Answers a backend server's announcement or the fabric's health check.
struct AnswerLocal {
  std::uint64_t id = 0;
  int status = 200;
  std::string json;
};
/// The process may end: nothing is in flight, or the drain limit is over.
struct Stopped {};
using NodeEffect =
    std::variant<SendToPeer, ReplyToOperator, PersistControl, PersistRules,
                 AnswerLocal, StartAttempt, CancelAttempt, AnswerCaller,
                 FlowEffects, LogRecord, Stopped>;

/// What a node is made from, besides what its disk remembers.
struct NodeParts {
  Settings settings;
  std::uint64_t incarnation = 0;  ///< Differs at each start.
  std::vector<wire::DurableRecord> control_log;
  std::optional<wire::RulesFile> saved_rules;
};

Node MakeNode(const NodeParts& parts);

/// Applies one event. Precondition: `now` never goes back.
std::vector<NodeEffect> Reduce(Node& node, const NodeEvent& event,
                               TimePoint now);

/// The state for operators.
wire::NodeDump DumpNode(const Node& node, TimePoint now);

}  // namespace filbertwall
