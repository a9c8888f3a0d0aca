#include "codecs/domain_host_settings_yaml.h"
#include "codecs/host_settings_yaml.h"
#include "codecs/yaml_document.h"
#include "core/identity_source.h"
#include "core/reason.h"
#include "daemon/daemon.h"
#include "daemon/domain_daemon.h"
#include "daemon/logging.h"
#include "machines/host_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <log4cplus/initializer.h>
#include <popt.h>

namespace sardinecourse {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 64;
constexpr int kExitSettings = 78;

/** Runs a server until a planned stop, which ends the process. Returns an exit
 * code, after printing the reason, when the server could not start. */
template<typename Server, typename... Parts>
int
Serve(const Parts&... aParts)
{
  Reason reason;
  bool isServed = false;
  boost::asio::io_context context(1);
  boost::asio::signal_set signals(context);
  {
    Server server(aParts...);
    isServed = server.Run(reason);
    if (isServed) {
      // The server's handlers end with it. A signal's default action would end
      // the process before the log is written.
      for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
        boost::system::error_code ignored;
        signals.add(signal, ignored);
      }
    }
  }
  if (isServed) {
    FlushLogAndExit();
  }
  std::cerr << "sardinecoursed: " << reason.Message() << '\n';
  return kExitSettings;
}

/** Runs a host of a scheduling domain, or only checks its settings. Returns an
 * exit code. */
int
RunDomainHost(const std::string& aText, const std::string& aPath, bool aIsCheck)
{
  Reason reason;
  const std::optional<DomainHostSettings> host =
    DecodeDomainHostSettings(aText, aPath, reason);
  if (!host) {
    std::cerr << "sardinecoursed: " << reason.Message() << '\n';
    return kExitSettings;
  }
  if (aIsCheck) {
    std::cout << aPath << ": ok\n";
    return kExitOk;
  }
  const log4cplus::Initializer logging;
  ConfigureEventLog(host->LogLevel());
  return Serve<DomainDaemon>(*host, IdentitySource().Next());
}

}

}

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  // The default action of a reload would end a process that does not yet wait
  // for one. Settings are read later, so a reload until then changes nothing.
  std::signal(SIGHUP, SIG_IGN);
  const char* settingsPath = nullptr;
  int isCheck = 0;
  int isVersion = 0;
  const poptOption options[] = { { "settings",
                                   's',
                                   POPT_ARG_STRING,
                                   &settingsPath,
                                   0,
                                   "This host's settings",
                                   "FILE" },
                                 { "check",
                                   0,
                                   POPT_ARG_NONE,
                                   &isCheck,
                                   0,
                                   "Check the settings and exit",
                                   nullptr },
                                 { "version",
                                   0,
                                   POPT_ARG_NONE,
                                   &isVersion,
                                   0,
                                   "Print the version and exit",
                                   nullptr },
                                 POPT_AUTOHELP POPT_TABLEEND };
  poptContext context =
    poptGetContext("sardinecoursed", aCount, aArguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1) {
    std::cerr << "sardinecoursed: " << poptBadOption(context, 0) << ": "
              << poptStrerror(parsed) << '\n';
    return kExitUsage;
  }
  poptFreeContext(context);
  if (isVersion != 0) {
    std::cout << "sardinecoursed " SARDINECOURSE_VERSION "\n";
    return kExitOk;
  }
  if (settingsPath == nullptr) {
    std::cerr << "sardinecoursed: --settings FILE is needed\n";
    return kExitUsage;
  }
  Reason reason;
  const std::optional<std::string> text = ReadTextFile(settingsPath, reason);
  if (text && IsDomainHostSettings(*text)) {
    return RunDomainHost(*text, settingsPath, isCheck != 0);
  }
  const std::optional<HostSettings> settings =
    text ? DecodeHostSettings(*text, settingsPath, reason) : std::nullopt;
  if (!settings) {
    std::cerr << "sardinecoursed: " << reason.Message() << '\n';
    return kExitSettings;
  }
  if (isCheck != 0) {
    std::cout << settingsPath << ": ok\n";
    return kExitOk;
  }
  const log4cplus::Initializer logging;
  ConfigureLogging(*settings);
  return Serve<Daemon>(*settings);
}
