#include "core/rcu_thread.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>

/** Runs all linked tests, or the fixture named by the first argument. */
int
main(int aCount, char** aArguments)
{
  const sardinecourse::RcuThread rcuThread;
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
    new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const bool hasPassed = runner.run(aCount > 1 ? aArguments[1] : "");
  // A program into which no fixture was linked must not count as passed.
  return hasPassed && runner.result().runTests() > 0 ? 0 : 1;
}
