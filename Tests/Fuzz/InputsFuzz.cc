#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>

#include "Flows/Packet.h"
#include "Rules/RulesParser.h"
#include "Settings/Settings.h"
#include "Shell/ControlStore.h"

/// Passes arbitrary bytes to the parsers of untrusted input. The first byte
/// selects the parser, and the rest is its input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::span<const std::uint8_t> rest(data + 1, size - 1);
  const std::string text(rest.begin(), rest.end());
  switch (data[0] % 4) {
    case 0:
      filbertwall::ReadPacket(rest);
      break;
    case 1:
      filbertwall::ParseRules(text, "fuzz");
      break;
    case 2:
      filbertwall::ParseSettings(text, "fuzz");
      break;
    default: {
      const auto contents = filbertwall::DecodeLog(text);
      if (contents && contents.value().valid_bytes > text.size()) {
        std::abort();
      }
      break;
    }
  }
  return 0;
}
