#pragma once

#include <string>

namespace sardinecourse::harness {

/** A temporary folder of one test. It is removed at the end, but for a test
 * that failed, whose logs it holds. */
class TestFolder
{
public:
  TestFolder();
  ~TestFolder();
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  std::string File(const std::string& aName) const;
  /** Writes a file and gives its path. */
  std::string Write(const std::string& aName, const std::string& aText) const;
  /** Tells that the test passed, so that the folder may go. */
  void Passed() { this->passed = true; }

private:
  std::string path;
  bool passed = false;
};

/** The run's seed, from SARDINECOURSE_SEED or else random, printed once. */
unsigned
Seed();

}
