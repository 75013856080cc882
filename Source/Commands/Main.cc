#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "Commands/Commands.h"
#include "Shell/EndReport.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  try {
    return filbertwall::RunCommand("filbertwall", arguments);
  } catch (const std::exception& error) {
    filbertwall::ReportException(error.what());
    std::cerr << "filbertwall: " << error.what() << "\n";
    return filbertwall::kExitUsage;
  }
}
