#include "tests/harness/loopback.h"
#include "tests/harness/process.h"
#include "tests/harness/test_folder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kTimeout{ 10000 };

/** Exit codes and messages of the two programs while no daemon runs. */
class CommandLineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(DaemonChecksSettingsAndArguments);
  CPPUNIT_TEST(ToolChecksSettings);
  CPPUNIT_TEST(ToolReportsUsageErrorsAndUnreachableDaemon);
  CPPUNIT_TEST_SUITE_END();

public:
  void DaemonChecksSettingsAndArguments()
  {
    const std::string valid =
      this->folder.Write("host.yaml",
                         "name: e1\ndata_centre: east\ncallers: 127.0.0.1:1\n"
                         "peers: 127.0.0.1:2\n");
    const std::string invalid =
      this->folder.Write("bad.yaml", "name: e1\nthread: 3\n");
    this->Expect(0, ": ok", "sardinecoursed", { "--check", "-s", valid });
    this->Expect(78,
                 "bad.yaml:1: host.data_centre is missing",
                 "sardinecoursed",
                 { "--check", "-s", invalid });
    this->Expect(0, "sardinecoursed 0.", "sardinecoursed", { "--version" });
    this->Expect(0, "--settings=FILE", "sardinecoursed", { "--help" });
    this->Expect(64, "--bogus", "sardinecoursed", { "--bogus" });
    this->Expect(64, "--settings FILE is needed", "sardinecoursed", {});
    this->folder.MarkPassed();
  }

  void ToolChecksSettings()
  {
    const std::string valid = this->folder.Write("fleet.yaml", "name: f\n");
    const std::string invalid = this->folder.Write("worse.yaml", "nam: f\n");
    this->Expect(0, ": ok", "sardinecourse", { "settings", "check", valid });
    this->Expect(78,
                 "worse.yaml:1: fleet.name is missing",
                 "sardinecourse",
                 { "settings", "check", invalid });
    this->Expect(78,
                 R"("outcome":"invalid")",
                 "sardinecourse",
                 { "settings", "check", "--json", invalid });
    this->Expect(78,
                 "cannot be opened",
                 "sardinecourse",
                 { "settings", "check", this->folder.File("none") });
    this->folder.MarkPassed();
  }

  void ToolReportsUsageErrorsAndUnreachableDaemon()
  {
    const std::string unreachable = FreeEndpoint().Text();
    this->Expect(64, "usage:", "sardinecourse", {});
    this->Expect(64, "usage:", "sardinecourse", { "settings", "bogus" });
    this->Expect(64, "--bogus", "sardinecourse", { "status", "--bogus" });
    this->Expect(
      64, "the host must be", "sardinecourse", { "status", "-d", "here:1" });
    this->Expect(69,
                 "unavailable: upstream_connect " + unreachable,
                 "sardinecourse",
                 { "settings", "history", "--daemon", unreachable });
    this->Expect(0, "sardinecourse 0.", "sardinecourse", { "--version" });
    this->folder.MarkPassed();
  }

private:
  void Expect(int aCode,
              const std::string& aText,
              const std::string& aProgram,
              const std::vector<std::string>& aArguments)
  {
    Process process(
      aProgram, aArguments, this->folder.File(std::to_string(++this->runs)));
    const std::optional<int> code = process.WaitForExit(kTimeout);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(process.Log(), aCode, code.value_or(-1));
    CPPUNIT_ASSERT_MESSAGE(process.Log(),
                           process.Log().find(aText) != std::string::npos);
  }

  TestFolder folder;
  int runs = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

}

}
