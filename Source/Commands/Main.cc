#include <exception>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "Commands/Commands.h"
#include "Shell/EndReport.h"
#include "Shell/ProcessSetup.h"

namespace {

/// Whether a command runs an instance until it is stopped.
bool RunsInstance(std::string_view command) {
  return command == "run" || command == "fleet";
}

}  // namespace

int main(int argc, char** argv) {
  const bool runs_instance = argc > 1 && RunsInstance(argv[1]);
  if (runs_instance) {
    filbertwall::PrepareProcess();
    filbertwall::InstallEndReport();
  }
  try {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const int status = filbertwall::RunCommand("filbertwall", arguments);
    if (runs_instance && status != filbertwall::kExitSuccess) {
      filbertwall::ReportExit(status);
    }
    return status;
  } catch (const std::exception& error) {
    filbertwall::ReportException(error.what());
    std::cerr << "filbertwall: " << error.what() << "\n";
    return filbertwall::kExitUsage;
  }
}
