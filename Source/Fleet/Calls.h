#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <variant>

#include "Fleet/ControlInstance.h"
#include "Forwarding/Forwarder.h"
#include "Wire/wire.pb.h"

/// What a deployment's adapter translates: its calls and its packets.
namespace filbertwall {

/// The fabric asks whether packets may be sent to this instance.
struct HealthCall {};
struct ReportCall {
  wire::ServerRecord record;
};
struct SubmitCall {
  wire::RulesFile file;
};
struct ReadCall {};
/// A call that can't be translated; answered by the adapter itself.
struct MalformedCall {
  int status = 400;
  std::string reason;
};
using FleetCall =
    std::variant<HealthCall, ReportCall, SubmitCall, ReadCall, MalformedCall>;

/// A call over HTTP as it arrived.
struct HttpCall {
  std::string method;
  std::string path;
  std::string body;
};

/// Between a deployment's calls and the project's. Pure functions.
struct CallTranslator {
  std::function<FleetCall(const HttpCall&)> read;
  /// Preconditions: `call` is what `read` gave for `request`.
  std::function<wire::Answer(const HttpCall& request, const FleetCall& call,
                             const AnswerCall& answer)>
      write;
};

/// Between a deployment's packets and the project's. Pure functions.
struct PacketCodec {
  /// False when the bytes are no packet of a caller.
  bool (*parse)(std::span<const std::uint8_t> bytes, FlowPacket& packet);
  /// Writes the token into a packet that `parse` has accepted.
  void (*stamp)(std::span<std::uint8_t> bytes, std::uint32_t token);
  /// Writes what goes before a packet to a server; gives its length.
  std::size_t (*write_head)(std::uint64_t server_number,
                            std::span<std::uint8_t> out);
  /// Writes a packet that resets the flow; gives its length.
  std::size_t (*write_reset)(std::span<const std::uint8_t> bytes,
                             std::span<std::uint8_t> out);
};

struct FleetAdapter {
  CallTranslator calls;
  PacketCodec packets;
};

}  // namespace filbertwall
