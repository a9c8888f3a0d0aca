#pragma once

#include <string>

namespace sardinecourse::harness {

/** A temporary folder for the files and logs of one test. It is removed at the
 * end of a test that passed and kept after one that failed. */
class TestFolder
{
public:
  TestFolder();
  ~TestFolder();
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  /** Path of a file in the folder. */
  std::string File(const std::string& aName) const;
  /** Writes a file and returns its path. */
  std::string Write(const std::string& aName, const std::string& aText) const;
  /** Marks the test as passed, so that the folder is removed. */
  void MarkPassed() { this->passed = true; }

private:
  std::string path;
  bool passed = false;
};

/** Random seed of the process: SARDINECOURSE_SEED, or else a random value. It
 * is printed once, so that a run can be repeated. */
unsigned
Seed();

}
