#include "core/rcu_thread.h"
#include "tests/harness/process.h"
#include "tests/harness/test_folder.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>

namespace {

/** Below the timeout that CTest sets, so that processes are killed first. */
constexpr std::chrono::seconds kTestLimit{ 110 };

}

int
main()
{
  using namespace sardinecourse;
  harness::KillProcessesOnSignals(kTestLimit);
  harness::Seed();
  const RcuThread rcuThread;
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
    new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const bool isGreen = runner.run();
  // A program whose fixtures were not linked in must not count as passed.
  return isGreen && runner.result().runTests() > 0 ? 0 : 1;
}
