#include <cstdio>

#include "Node/Node.h"

int main() {
  filbertwall::NodeInitialState initial_state{.incarnation = 1};
  initial_state.settings.id = 1;
  initial_state.settings.roles.entry = true;
  filbertwall::Node node = filbertwall::MakeNode(initial_state);
  const auto effects =
      filbertwall::Reduce(node, filbertwall::NodeStarted{}, {});
  std::printf("%zu effects\n", effects.size());
  return effects.empty() ? 1 : 0;
}
