#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv) {
  // Disables CppUTest's leak check, which takes quadratic time; the sanitizer
  // builds find leaks. The leak plugin is not installed either, because it
  // reads a table that is never filled while the check is disabled.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
