#pragma once

#include <cstddef>
#include <string_view>

/// Reports in the log why a process ends that was not asked to, and which input
/// it was handling.
namespace filbertwall {

/// The kinds of input that a process handles.
enum class InputKind {
  kNone,
  kSettings,
  kStoredFile,
  kCall,
  kMessage,
  kPacket
};

/// Marks the input that is being handled, for as long as it lives. Marks may be
/// nested. Not thread safe: one thread handles all input.
class InputMark {
 public:
  InputMark(InputKind kind, std::size_t bytes);
  ~InputMark();
  InputMark(const InputMark&) = delete;
  InputMark& operator=(const InputMark&) = delete;

 private:
  InputKind previous_kind;
  std::size_t previous_bytes;
};

/// From now on, writes event FW-1007 to standard output when a fatal signal or
/// an error of the event library ends the process. The exit status stays the
/// same. Must be called once, on the main thread.
void InstallEndReport();

/// Writes event FW-1007 for a process that ends with an exit status because it
/// could not start or go on.
void ReportExit(int status);

/// Writes event FW-1007 for an exception that ends the process. `what` is
/// shortened and may hold any bytes.
void ReportException(std::string_view what);

}  // namespace filbertwall
