#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <variant>

#include "Base/InputError.h"
#include "Fleet/ControlInstance.h"
#include "Forwarding/Forwarder.h"
#include "Wire/wire.pb.h"

/// Interface of the adapter that translates a deployment's HTTP calls and
/// packet format to those of this project.
namespace filbertwall {

/// Health check: asks whether packets may be sent to this instance.
struct HealthCall {};
/// A backend server reports its state.
struct ReportCall {
  wire::ServerRecord record;
};
/// Submits a rules file.
struct SubmitCall {
  wire::RulesFile file;
};
/// Reads the rules file in force.
struct ReadRulesCall {};
/// Commands that a data centre be evacuated, or no longer.
struct EvacuationCall {
  wire::EvacuationChange change;
};
/// A call that cannot be translated; the adapter itself answers it.
struct MalformedCall {
  int status = 400;
  InputError error = InputError::kNotReadable;
  std::string reason;
};
using FleetCall = std::variant<HealthCall, ReportCall, SubmitCall,
                               ReadRulesCall, EvacuationCall, MalformedCall>;

/// An HTTP request as received.
struct HttpCall {
  std::string method;
  std::string path;
  std::string body;
  std::string caller;  ///< IP address.
};

/// Translates between HTTP and `FleetCall`. Both are pure functions.
struct CallTranslator {
  /// Parses a request.
  std::function<FleetCall(const HttpCall&)> read;
  /// Builds the HTTP response. Precondition: `call` is the result of `read` for
  /// `request`.
  std::function<wire::Answer(const HttpCall& request, const FleetCall& call,
                             const AnswerCall& answer)>
      write;
};

/// Parses and writes the deployment's packets. All are pure functions.
struct PacketCodec {
  /// Parses a caller's packet. Returns false when `bytes` is not a valid
  /// packet.
  bool (*parse)(std::span<const std::uint8_t> bytes, FlowPacket& packet);
  /// Writes the token into a packet that `parse` has accepted.
  void (*write_token)(std::span<std::uint8_t> bytes, std::uint32_t token);
  /// Writes the header that is placed before a packet sent to a backend
  /// server. Returns its length.
  std::size_t (*write_header)(std::uint64_t server_number,
                              std::span<std::uint8_t> out);
  /// Writes a packet that resets the flow to which the received packet `bytes`
  /// belongs. Returns its length.
  std::size_t (*write_reset)(std::span<const std::uint8_t> bytes,
                             std::span<std::uint8_t> out);
};

/// The adapter of one deployment.
struct FleetAdapter {
  CallTranslator calls;
  PacketCodec packets;
};

}  // namespace filbertwall
