#include <cstdio>

#include "Node/Node.h"

int main() {
  filbertwall::NodeParts parts{.incarnation = 1};
  parts.settings.id = 1;
  parts.settings.roles.entry = true;
  filbertwall::Node node = filbertwall::MakeNode(parts);
  const auto effects =
      filbertwall::Reduce(node, filbertwall::NodeStarted{}, {});
  std::printf("%zu effects\n", effects.size());
  return effects.empty() ? 1 : 0;
}
