#include "Distribution/BoundedParse.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstdint>

namespace filbertwall {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;

/// Shorter messages take little memory whatever they hold.
constexpr std::size_t kMinCheckedBytes = 64U << 10U;
/// Memory of a submessage, without its strings and submessages.
constexpr std::size_t kSubmessageMemory = 120;
/// Memory of a string, without its bytes.
constexpr std::size_t kStringMemory = 40;
/// Memory of a number in a list or of an unknown field.
constexpr std::size_t kNumberMemory = 16;

/// The memory that is left. Not enough is left once `Take` returns false.
struct Memory {
  std::size_t remaining = 0;

  bool Take(std::size_t bytes) {
    const bool enough = bytes <= this->remaining;
    this->remaining -= enough ? bytes : 0;
    return enough;
  }
};

bool TakeFields(std::string_view bytes, const Descriptor& type, Memory& memory);

/// Takes the memory of a string or submessage and skips it.
bool TakeDelimited(CodedInputStream& input, const FieldDescriptor* field,
                   Memory& memory) {
  std::uint32_t length = 0;
  const void* data = nullptr;
  int available = 0;
  if (!input.ReadVarint32(&length) || length > INT32_MAX) {
    return false;
  }
  input.GetDirectBufferPointerInline(&data, &available);
  if (static_cast<std::uint32_t>(available) < length) {
    return false;
  }
  const std::string_view contents(static_cast<const char*>(data), length);
  const bool submessage =
      field != nullptr && field->type() == FieldDescriptor::TYPE_MESSAGE;
  const bool taken =
      submessage ? memory.Take(kSubmessageMemory) &&
                       TakeFields(contents, *field->message_type(), memory)
                 : memory.Take(kStringMemory + length);
  return taken && input.Skip(static_cast<int>(length));
}

/// Takes the memory of a message's fields. Returns false when there is not
/// enough or the bytes cannot be parsed. The depth of the recursion is that of
/// the message type: none of ours contains itself.
bool TakeFields(std::string_view bytes, const Descriptor& type,
                Memory& memory) {
  CodedInputStream input(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                         static_cast<int>(bytes.size()));
  while (const std::uint32_t tag = input.ReadTag()) {
    const FieldDescriptor* field =
        type.FindFieldByNumber(WireFormatLite::GetTagFieldNumber(tag));
    if (WireFormatLite::GetTagWireType(tag) ==
        WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
      if (!TakeDelimited(input, field, memory)) {
        return false;
      }
      continue;
    }
    const bool single = field != nullptr && !field->is_repeated();
    if (!memory.Take(single ? 0 : kNumberMemory) ||
        !WireFormatLite::SkipField(&input, tag)) {
      return false;
    }
  }
  return input.ConsumedEntireMessage();
}

}  // namespace

bool ParseBounded(google::protobuf::Message& message, std::string_view bytes,
                  std::size_t max_memory) {
  Memory memory{.remaining = max_memory};
  if (bytes.size() >= kMinCheckedBytes &&
      !TakeFields(bytes, *message.GetDescriptor(), memory)) {
    return false;
  }
  return bytes.size() <= INT32_MAX &&
         message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace filbertwall
