#include "core/rcu_thread.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>

/** Runs all tests linked in, or the one fixture that is named. */
int
main(int aCount, char** aArguments)
{
  const sardinecourse::RcuThread rcuThread;
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
    new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const bool isGreen = runner.run(aCount > 1 ? aArguments[1] : "");
  // A program whose fixtures were not linked in must not count as passed.
  return isGreen && runner.result().runTests() > 0 ? 0 : 1;
}
