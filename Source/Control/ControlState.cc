#include "Control/ControlState.h"

#include <algorithm>

#include "Control/Evacuations.h"

namespace filbertwall {
namespace {

void ApplyRules(wire::ControlState& state, const wire::RulesFile& file) {
  *state.mutable_rules() = file;
  wire::VersionRecord& record = *state.add_history();
  record.set_version(file.version());
  record.set_digest(file.digest());
  record.set_submitter(file.submitter());
  if (state.history_size() > kHistoryLimit) {
    // Removes a tenth of the history at once to amortise the cost of removal.
    const int trimmed = kHistoryLimit / 10;
    state.mutable_history()->DeleteSubrange(0, trimmed);
    state.set_history_floor(state.history(0).version());
  }
}

void RemoveMember(wire::ControlState& state, std::uint32_t instance) {
  auto& members = *state.mutable_members();
  for (int i = 0; i < members.size(); ++i) {
    if (members.Get(i).instance() == instance) {
      *state.add_removed() = members.Get(i);
      members.DeleteSubrange(i, 1);
      return;
    }
  }
}

void ApplyMember(wire::ControlState& state, const wire::MemberChange& change) {
  RemoveMember(state, change.instance());
  if (change.replaced() != 0) {
    RemoveMember(state, change.replaced());
  }
  if (change.incarnation() == 0) {
    return;
  }
  wire::Member& member = *state.add_members();
  member.set_instance(change.instance());
  member.set_incarnation(change.incarnation());
}

bool Contains(const google::protobuf::RepeatedPtrField<wire::Member>& members,
              std::uint32_t instance, std::uint64_t incarnation) {
  return std::any_of(members.begin(), members.end(),
                     [&](const wire::Member& member) {
                       return member.instance() == instance &&
                              member.incarnation() == incarnation;
                     });
}

}  // namespace

void ApplyEntry(wire::ControlState& state, const wire::Entry& entry) {
  state.set_seq(entry.seq());
  switch (entry.change().kind_case()) {
    case wire::Change::kRules:
      ApplyRules(state, entry.change().rules());
      return;
    case wire::Change::kMember:
      ApplyMember(state, entry.change().member());
      return;
    case wire::Change::kEvacuation:
      ApplyEvacuation(state, entry.seq(), entry.change().evacuation());
      return;
    case wire::Change::KIND_NOT_SET:
      return;
  }
}

RulesDecision DecideRulesFile(const wire::ControlState& state,
                              const wire::RulesFile& file) {
  if (file.version() > state.rules().version()) {
    return {};
  }
  if (file.version() < state.history_floor()) {
    return {.kind = RulesDecision::Kind::kOutsideHistory,
            .reason = "version " + std::to_string(file.version()) +
                      " is older than the retained history"};
  }
  const auto& history = state.history();
  const auto record = std::lower_bound(
      history.begin(), history.end(), file.version(),
      [](const wire::VersionRecord& entry, std::uint64_t version) {
        return entry.version() < version;
      });
  if (record == history.end() || record->version() != file.version()) {
    return {.kind = RulesDecision::Kind::kRefused,
            .reason = "version " + std::to_string(file.version()) +
                      " is lower than version " +
                      std::to_string(state.rules().version()) +
                      ", accepted from " + state.rules().submitter()};
  }
  if (record->digest() == file.digest()) {
    return {.kind = RulesDecision::Kind::kAccepted,
            .reason = "version " + std::to_string(file.version()) +
                      ", accepted from " + record->submitter()};
  }
  return {.kind = RulesDecision::Kind::kRefused,
          .reason = "version " + std::to_string(file.version()) +
                    " was already accepted from " + record->submitter() +
                    " with different content"};
}

bool IsVoter(const wire::ControlState& state, std::uint32_t instance,
             std::uint64_t incarnation) {
  return Contains(state.members(), instance, incarnation);
}

bool WasRemoved(const wire::ControlState& state, std::uint32_t instance,
                std::uint64_t incarnation) {
  return Contains(state.removed(), instance, incarnation);
}

bool IsMajority(const wire::ControlState& state,
                const std::set<std::uint32_t>& instances) {
  const auto voters_present =
      std::count_if(state.members().begin(), state.members().end(),
                    [&](const wire::Member& member) {
                      return instances.contains(member.instance());
                    });
  return 2 * voters_present > state.members_size();
}

}  // namespace filbertwall
