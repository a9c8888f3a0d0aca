#include "tests/harness/test_folder.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

namespace sardinecourse::harness {

TestFolder::TestFolder()
  : path((std::filesystem::temp_directory_path() / "sardinecourse-XXXXXX")
           .string())
{
  if (mkdtemp(this->path.data()) == nullptr) {
    std::cerr << "cannot create a temporary folder from the template "
              << this->path << '\n';
  }
}

TestFolder::~TestFolder()
{
  if (!this->passed) {
    std::cerr << "logs are kept in " << this->path << '\n';
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

std::string
TestFolder::File(const std::string& aName) const
{
  return this->path + "/" + aName;
}

std::string
TestFolder::Write(const std::string& aName, const std::string& aText) const
{
  std::string file = this->File(aName);
  std::ofstream(file) << aText;
  return file;
}

unsigned
Seed()
{
  static const unsigned seed = [] {
    const char* text = std::getenv("SARDINECOURSE_SEED");
    const unsigned value = text == nullptr
                             ? std::random_device{}()
                             : static_cast<unsigned>(std::stoul(text));
    std::cerr << "SARDINECOURSE_SEED=" << value << '\n';
    return value;
  }();
  return seed;
}

}
