#include <google/protobuf/util/json_util.h>

#include "Node/NodeTurn.h"

/// Handles announcements of backend servers and forwards them to the other
/// entry instances.
namespace filbertwall {
namespace {

std::string ReplyJson(const std::string& verdict, const std::string& reason) {
  wire::AnnouncementReply reply;
  reply.set_verdict(verdict);
  reply.set_reason(reason);
  std::string json;
  // Printing cannot fail for a message of two strings.
  google::protobuf::util::MessageToJsonString(reply, &json).ok();
  return json;
}

void Reject(NodeTurn& turn, std::uint64_t id, const std::string& reason) {
  turn.node.counters["announcements_rejected"] += 1;
  Log(turn, EventId::kAnnouncementRejected, reason, Severity::kWarning);
  turn.effects.emplace_back(AnswerLocal{
      .id = id, .status = 400, .json = ReplyJson("refused", reason)});
}

/// Adds a valid and newer record to the directory.
void ApplyRecord(NodeTurn& turn, const wire::BackendRecord& record) {
  Node& node = turn.node;
  const std::uint64_t before = node.directory.generation;
  if (!CheckAnnouncement(record.announcement()).empty() ||
      !TakeAnnouncement(node.directory, record, turn.now)) {
    return;
  }
  if (node.directory.generation != before) {
    Log(turn, EventId::kBackendChanged,
        record.announcement().address() + " " +
            record.announcement().service() + " " +
            wire::BackendPhase_Name(record.announcement().phase()));
  }
}

}  // namespace

void HandleAnnouncement(NodeTurn& turn, const AnnouncementArrived& event) {
  wire::BackendRecord record;
  const auto status = google::protobuf::util::JsonStringToMessage(
      event.json, record.mutable_announcement());
  if (!status.ok()) {
    Reject(turn, event.id, "expected a JSON object as in docs/backends.md");
    return;
  }
  const std::string fault = CheckAnnouncement(record.announcement());
  if (!fault.empty()) {
    Reject(turn, event.id, fault);
    return;
  }
  record.set_data_centre(turn.node.settings.data_centre);
  ApplyRecord(turn, record);
  wire::Envelope envelope;
  *envelope.mutable_directory()->add_records() = record;
  SendToEntryPeers(turn, envelope);
  turn.effects.emplace_back(
      AnswerLocal{.id = event.id, .json = ReplyJson("taken", "")});
}

void HandleDirectory(NodeTurn& turn, const wire::Directory& message) {
  for (const wire::BackendRecord& record : message.records()) {
    ApplyRecord(turn, record);
  }
}

}  // namespace filbertwall
