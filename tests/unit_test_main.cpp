#include "core/rcu_thread.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>
#include <set>
#include <string>

namespace {

/** Adds all linked fixtures but those that are named. */
void
AddAllBut(const std::set<std::string>& aNames,
          CppUnit::TextUi::TestRunner& aRunner)
{
  // The runner deletes the fixtures that are added, so their list is kept.
  static const CppUnit::Test* const all =
    CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  for (int child = 0; child < all->getChildTestCount(); ++child) {
    CppUnit::Test* const fixture = all->getChildTestAt(child);
    if (!aNames.contains(fixture->getName())) {
      aRunner.addTest(fixture);
    }
  }
}

}

/** Runs all linked tests, or the fixture or test named by the first argument,
 * or with "--without" all fixtures but those named by the arguments behind it.
 */
int
main(int aCount, char** aArguments)
{
  const sardinecourse::RcuThread rcuThread;
  CppUnit::TextUi::TestRunner runner;
  const bool isWithout =
    aCount > 2 && std::string(aArguments[1]) == "--without";
  if (isWithout) {
    AddAllBut({ aArguments + 2, aArguments + aCount }, runner);
  } else {
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  }
  runner.setOutputter(
    new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const bool hasPassed =
    runner.run(aCount > 1 && !isWithout ? aArguments[1] : "");
  // A program into which no fixture was linked must not count as passed.
  return hasPassed && runner.result().runTests() > 0 ? 0 : 1;
}
