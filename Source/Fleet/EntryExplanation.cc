#include "Fleet/EntryExplanation.h"

namespace filbertwall {

EntryExplanation ExplainEntryFlow(const EntryInstance& instance,
                                  const FlowQuery& query, TimePoint now) {
  return {.data_centre = instance.config.data_centre,
          .serving = instance.forwarder.serving,
          .stopping = instance.stopping,
          .rules_confirmed = instance.rules_confirmed,
          .servers_known = instance.servers_known,
          .control = instance.primary,
          .flow = ExplainFlow(instance.forwarder, query, now)};
}

}  // namespace filbertwall
