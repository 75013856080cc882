#include <cstdint>
#include <span>

#include "Fuzz/Entrances.h"

/// Passes arbitrary bytes to the entrance whose index is `FUZZ_ENTRANCE`.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  filbertwall::AllEntrances()[FUZZ_ENTRANCE].feed(std::span(data, size));
  return 0;
}
