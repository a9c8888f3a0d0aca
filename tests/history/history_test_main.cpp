#include "core/rcu_thread.h"
#include "tests/harness/process.h"
#include "tests/harness/test_folder.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>

namespace {

/** Shorter than the CTest timeout, so that child processes are killed first. */
constexpr std::chrono::seconds kTestLimit{ 110 };

}

/** Runs all linked tests, or the test named by the first argument. */
int
main(int aCount, char** aArguments)
{
  using namespace sardinecourse;
  harness::KillProcessesOnSignals(kTestLimit);
  harness::Seed();
  const RcuThread rcuThread;
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
    new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const bool hasPassed = runner.run(aCount > 1 ? aArguments[1] : "");
  // Fails if no test ran, which happens when no fixture was linked in.
  return hasPassed && runner.result().runTests() > 0 ? 0 : 1;
}
