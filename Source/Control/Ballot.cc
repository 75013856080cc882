#include "Control/Ballot.h"

namespace filbertwall {

int CompareBallots(const wire::Ballot& left, const wire::Ballot& right) {
  if (left.round() != right.round()) {
    return left.round() < right.round() ? -1 : 1;
  }
  if (left.instance() != right.instance()) {
    return left.instance() < right.instance() ? -1 : 1;
  }
  return 0;
}

}  // namespace filbertwall
