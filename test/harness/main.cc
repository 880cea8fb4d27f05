#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

// Runs all registered tests, or only the one whose path is given as the first argument.
int main(int argc, char** argv) {
  CppUnit::TestResult events;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  events.addListener(&collector);
  events.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  try {
    runner.run(events, argc > 1 ? argv[1] : "");
  } catch (const std::invalid_argument& error) {
    std::cerr << "no such test: " << error.what() << "\n";
    return 2;
  }
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
