#pragma once

#include "Wire/wire.pb.h"

/// Total order of ballots, the numbers of leader elections.
namespace filbertwall {

/// Compares the rounds, then the instances. Returns a negative value, 0 or a
/// positive value if `left` is lower than, equal to or higher than `right`.
int CompareBallots(const wire::Ballot& left, const wire::Ballot& right);

}  // namespace filbertwall
