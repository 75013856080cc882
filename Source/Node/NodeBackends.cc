#include <google/protobuf/util/json_util.h>

#include "Node/NodeContext.h"

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

void Reject(NodeContext& context, std::uint64_t id, const std::string& reason) {
  context.node.counters["announcements_rejected"] += 1;
  Log(context, EventId::kAnnouncementRejected, reason, Severity::kWarning);
  context.effects.emplace_back(AnswerLocalHttp{
      .id = id, .status = 400, .json = ReplyJson("refused", reason)});
}

/// Adds a valid and newer record to the directory.
void ApplyRecord(NodeContext& context, const wire::BackendRecord& record) {
  Node& node = context.node;
  const std::uint64_t before = node.directory.generation;
  if (!CheckAnnouncement(record.announcement()).empty() ||
      !ApplyAnnouncement(node.directory, record, context.now)) {
    return;
  }
  if (node.directory.generation != before) {
    Log(context, EventId::kBackendChanged,
        record.announcement().address() + " " +
            record.announcement().service() + " " +
            wire::BackendPhase_Name(record.announcement().phase()));
  }
}

}  // namespace

void HandleAnnouncement(NodeContext& context,
                        const AnnouncementArrived& event) {
  wire::BackendRecord record;
  const auto status = google::protobuf::util::JsonStringToMessage(
      event.json, record.mutable_announcement());
  if (!status.ok()) {
    Reject(context, event.id, "expected a JSON object as in docs/backends.md");
    return;
  }
  const std::string fault = CheckAnnouncement(record.announcement());
  if (!fault.empty()) {
    Reject(context, event.id, fault);
    return;
  }
  record.set_data_centre(context.node.settings.data_centre);
  ApplyRecord(context, record);
  wire::Envelope envelope;
  *envelope.mutable_directory()->add_records() = record;
  SendToEntryPeers(context, envelope);
  context.effects.emplace_back(
      AnswerLocalHttp{.id = event.id, .json = ReplyJson("taken", "")});
}

void HandleDirectory(NodeContext& context, const wire::Directory& message) {
  for (const wire::BackendRecord& record : message.records()) {
    ApplyRecord(context, record);
  }
}

}  // namespace filbertwall
