#pragma once

#include "Wire/wire.pb.h"

/// Order of leadership attempts.
namespace filbertwall {

/// Negative, 0 or positive as `left` is lower, equal or higher.
int CompareBallots(const wire::Ballot& left, const wire::Ballot& right);

}  // namespace filbertwall
