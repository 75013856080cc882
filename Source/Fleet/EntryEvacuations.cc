#include "Fleet/EntryEvacuations.h"

#include "Base/InputError.h"

namespace filbertwall {
namespace {

std::set<std::string> ToSet(
    const google::protobuf::RepeatedPtrField<std::string>& names) {
  return {names.begin(), names.end()};
}

LogRecord DescribeChange(const EntryEvacuations& evacuations,
                         const std::string& name, EventId id) {
  return LogRecord{.id = id,
                   .text = "data_centre=\"" + Excerpt(name) + "\" seq=" +
                           std::to_string(evacuations.seq) + " by_rules=" +
                           std::to_string(evacuations.by_rules.contains(name))};
}

}  // namespace

std::vector<LogRecord> ApplyEvacuations(EntryEvacuations& evacuations,
                                        const wire::Update& update,
                                        Placement& placement, TimePoint now) {
  const wire::Evacuations& received = update.evacuations();
  if (received.seq() > evacuations.seq) {
    evacuations.seq = received.seq();
    evacuations.by_command = ToSet(received.data_centres());
  }
  if (update.rules_version() > evacuations.rules_version) {
    evacuations.rules_version = update.rules_version();
    evacuations.by_rules = ToSet(received.by_rules());
  }
  std::set<std::string> names = evacuations.by_command;
  names.insert(evacuations.by_rules.begin(), evacuations.by_rules.end());
  if (names == placement.evacuated) {
    return {};
  }
  std::vector<LogRecord> records;
  for (const std::string& name : names) {
    if (!placement.evacuated.contains(name)) {
      records.push_back(
          DescribeChange(evacuations, name, EventId::kEvacuationInForce));
    }
  }
  for (const std::string& name : placement.evacuated) {
    if (!names.contains(name)) {
      records.push_back(
          DescribeChange(evacuations, name, EventId::kEvacuationWithdrawn));
    }
  }
  SetEvacuated(placement, std::move(names), now);
  RefreshUsable(placement);
  return records;
}

}  // namespace filbertwall
