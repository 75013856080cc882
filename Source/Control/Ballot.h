#pragma once

#include "Wire/wire.pb.h"

/// Total order of ballots. A ballot numbers one leader election by its round
/// and the instance that started it.
namespace filbertwall {

/// Compares the rounds first, then the instance ids. Returns a negative value,
/// 0 or a positive value if `left` is lower than, equal to or higher than
/// `right`.
int CompareBallots(const wire::Ballot& left, const wire::Ballot& right);

}  // namespace filbertwall
