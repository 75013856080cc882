#pragma once

#include <google/protobuf/message.h>

#include <cstddef>
#include <string_view>

/// Parsing of protobuf messages with a limit on the memory that they take.
///
/// An empty submessage takes two bytes on the wire and about a hundred in
/// memory, so a limit on the bytes alone does not bound the memory. Pure
/// functions; thread safe.
namespace filbertwall {

/// Maximum memory of a message between instances. The largest holds two rules
/// files of 4 MiB and the history of 100,000 versions.
inline constexpr std::size_t kMaxMessageMemory = 40U << 20U;

/// Parses `bytes` into `message`. Returns false when they cannot be parsed, or
/// when the message would take more than about `max_memory` bytes.
bool ParseBounded(google::protobuf::Message& message, std::string_view bytes,
                  std::size_t max_memory);

}  // namespace filbertwall
