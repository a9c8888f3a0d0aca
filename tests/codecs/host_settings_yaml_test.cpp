#include "codecs/host_settings_yaml.h"

#include "core/reason.h"
#include "machines/host_settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

const std::string kHost = R"(name: e1
data_centre: east
callers: 127.0.0.1:8080
peers: 127.0.0.1:8081
platform: [127.0.0.1:9000, 127.0.0.1:9001]
peer_seeds: [127.0.0.2:8081]
threads: 4
log_level: DEBUG
)";

}

class HostSettingsYamlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostSettingsYamlTest);
  CPPUNIT_TEST(DecodesValidSettings);
  CPPUNIT_TEST(InvalidSettingsAreRefusedWithFileLineAndKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void DecodesValidSettings()
  {
    Reason reason;
    const auto host = DecodeHostSettings(kHost, "host.yaml", reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), host.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8080"),
                         host->Host().Callers().Text());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, host->Platform().size());
    CPPUNIT_ASSERT_EQUAL(4, static_cast<int>(host->Threads()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 64 } << 20U, host->Limits().BodyBytes());
  }

  void InvalidSettingsAreRefusedWithFileLineAndKey()
  {
    this->CheckRefused("name: e1", "nme: e1", 1, "host.name is missing");
    this->CheckRefused(
      "threads: 4", "thread: 4", 7, "host.thread is not a known key");
    this->CheckRefused(
      "threads: 4", "threads: four", 7, "host.threads must be a whole number");
    this->CheckRefused(
      "threads: 4", "threads: 0", 7, "host.threads must be from 1 to 256");
    this->CheckRefused(
      "8081\n", "8080\n", 4, "host.peers must differ from callers");
    this->CheckRefused(
      "9001", "9000", 5, "host.platform holds an address twice");
    this->CheckRefused("[127.0.0.2:8081]",
                       "127.0.0.2:8081",
                       6,
                       "host.peer_seeds must be a sequence of IP:PORT");
    this->CheckRefused("threads: 4",
                       "limits: {body_kb: 0}",
                       7,
                       "host.limits.body_kb must be from 1 to 65536");
    this->CheckRefused(
      "DEBUG", "LOUD", 8, "host.log_level is not a level of the log");
  }

private:
  void CheckRefused(const std::string& aFrom,
                    const std::string& aTo,
                    int aLine,
                    const std::string& aMessage)
  {
    std::string text = kHost;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    Reason reason;
    CPPUNIT_ASSERT_MESSAGE(
      aTo, !DecodeHostSettings(text, "host.yaml", reason).has_value());
    CPPUNIT_ASSERT_EQUAL("host.yaml:" + std::to_string(aLine), reason.Peer());
    CPPUNIT_ASSERT_EQUAL(aMessage, reason.Text());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostSettingsYamlTest);

}
