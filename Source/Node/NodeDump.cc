#include "Node/Node.h"

/// Converts the state of a node to the message of the `dump` command.
namespace filbertwall {
namespace {

std::string DescribeRole(const Node& node) {
  if (!node.has_replica) {
    return "none";
  }
  if (!IsVoter(node.replica)) {
    return "learner";
  }
  switch (node.replica.role) {
    case ReplicaRole::kFollower:
      return "follower";
    case ReplicaRole::kCandidate:
      return "candidate";
    case ReplicaRole::kLeader:
      return "leader";
  }
  return "";
}

void DumpPeers(const Node& node, TimePoint now, wire::NodeDump& dump) {
  for (const auto& [id, peer] : node.peers) {
    wire::PeerDump& item = *dump.add_peers();
    item.set_instance(id);
    item.set_heard_ms_ago(peer.heard ? MillisecondsBetween(peer.heard_at, now)
                                     : -1);
    item.set_incarnation(peer.hello.incarnation());
    item.set_rules_version(peer.hello.rules_version());
    item.set_alive(peer.alive);
  }
}

void DumpBackends(const Node& node, TimePoint now, wire::NodeDump& dump) {
  for (const auto& [address, backend] : node.directory.backends) {
    const wire::Announcement& announcement = backend.announcement;
    wire::BackendDump& item = *dump.add_backends();
    item.set_service(announcement.service());
    item.set_address(FormatEndpoint(address));
    item.set_data_centre(backend.data_centre);
    item.set_phase(wire::BackendPhase_Name(announcement.phase()));
    item.set_slots(announcement.slots());
    item.set_announced_in_flight(announcement.in_flight());
    item.set_own_in_flight(backend.own_in_flight);
    item.set_announced_ms_ago(MillisecondsBetween(backend.announced_at, now));
    item.set_sequence(announcement.sequence());
    item.set_consecutive_failures(backend.consecutive_failures);
  }
}

void DumpCounters(const std::map<std::string, std::uint64_t>& counters,
                  const std::string& prefix, wire::NodeDump& dump) {
  for (const auto& [name, count] : counters) {
    (*dump.mutable_counters())[prefix + name] = count;
  }
}

}  // namespace

wire::NodeDump DumpNode(const Node& node, TimePoint now) {
  wire::NodeDump dump;
  dump.set_instance(node.settings.id);
  dump.set_data_centre(node.settings.data_centre);
  dump.set_incarnation(node.incarnation);
  dump.set_rules_version(node.rules_file.version());
  dump.set_control_seq(node.replica.committed.seq());
  dump.set_serving(node.serving);
  dump.set_stopping(node.stopping);
  dump.set_control_role(DescribeRole(node));
  dump.set_leader(node.known_leader);
  *dump.mutable_members() = node.replica.committed.members();
  dump.set_requests_open(node.requests.open.size());
  dump.set_order_records(node.orders.records.size());
  dump.set_order_amnesia(!node.orders.unsure_with.empty());
  dump.set_flows(node.flows.table.size);
  const auto silent = node.flows.counters.find("silent");
  dump.set_silent_flows(silent == node.flows.counters.end() ? 0
                                                            : silent->second);
  for (const auto& [name, rule] : node.rules.evacuations) {
    dump.add_evacuated(name);
  }
  DumpPeers(node, now, dump);
  DumpBackends(node, now, dump);
  DumpCounters(node.counters, "", dump);
  DumpCounters(node.requests.counters, "requests_", dump);
  DumpCounters(node.flows.counters, "flows_", dump);
  return dump;
}

}  // namespace filbertwall
