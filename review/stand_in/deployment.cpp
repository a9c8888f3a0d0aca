#include "review/stand_in/deployment.h"

#include "review/stand_in/loopback.h"
#include "review/stand_in/record.h"
#include "review/stand_in/site.h"
#include "review/stand_in/words.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kProgram = "target/sardinecoursed";
constexpr int kOk = 200;
constexpr std::int64_t kPauseMs = 50;

std::string
FreeAddress()
{
  boost::asio::io_context context;
  const std::string ip = NextLoopbackIp();
  const boost::asio::ip::tcp::acceptor acceptor(
    context,
    boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(ip), 0));
  return ip + ":" + std::to_string(acceptor.local_endpoint().port());
}

}

Deployment::Deployment(int aHosts, const Site& aSite, Record& aRecord)
  : record(&aRecord)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = ::mkdtemp(pattern.data());
  this->hosts.resize(static_cast<std::size_t>(aHosts));
  int index = 0;
  for (Host& host : this->hosts) {
    this->Start(host, aSite, ++index);
  }
}

Deployment::~Deployment()
{
  for (const Host& host : this->hosts) {
    if (host.process > 0) {
      ::kill(host.process, SIGKILL);
      ::waitpid(host.process, nullptr, 0);
    }
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder, ignored);
  }
}

void
Deployment::Start(Host& aHost, const Site& aSite, int aIndex)
{
  aHost.name = "front-cascade-a-" + std::to_string(aIndex);
  aHost.callers = FreeAddress();
  aHost.readiness = FreeAddress();
  const std::string settings = this->folder + "/" + aHost.name + ".yaml";
  const std::string log = this->folder + "/" + aHost.name + ".log";
  std::ofstream(settings) << "name: " << aHost.name
                          << "\ndata_centre: cascade-a"
                          << "\ncallers: " << aHost.callers
                          << "\nreadiness: " << aHost.readiness
                          << "\nmetrics: " << FreeAddress()
                          << "\nstore: " << aSite.StoreAddress()
                          << "\ncore_share: 0.25\ntiming:"
                          << "\n  holder_lease_ms: 2000"
                          << "\n  worker_lease_ms: 10000"
                          << "\n  stop_ms: 900"
                          << "\n  reclaim_ms: 3400"
                          << "\n  revoke_ms: 5000\n";
  const pid_t parent = ::getpid();
  aHost.process = ::fork();
  if (aHost.process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(1);
    }
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execl(kProgram, kProgram, "--settings", settings.c_str(), nullptr);
    ::_exit(1);
  }
  this->record->Line("started " + std::string(kProgram) + " of " + aHost.name +
                     ", callers " + aHost.callers + ", log " + log);
}

bool
Deployment::WaitUntilReady(std::int64_t aTimeoutMs) const
{
  const std::int64_t deadline = this->record->NowMs() + aTimeoutMs;
  for (const Host& host : this->hosts) {
    ClientCall call;
    call.path = Word("ready");
    call.waitMs = 500;
    while (SendCall(host.readiness, call).status != kOk) {
      if (this->record->NowMs() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
    }
  }
  return true;
}

ClientAnswer
Deployment::Send(std::size_t aHost, const ClientCall& aCall) const
{
  const Host& host = this->hosts.at(aHost);
  this->record->Line("client to " + host.name + ": " + aCall.method + " " +
                     aCall.path + " " + aCall.body);
  ClientAnswer answer = SendCall(host.callers, aCall);
  this->record->Line(
    "answer of " + host.name + " to " + aCall.method + " " + aCall.path + ": " +
    (answer.status == 0
       ? "none"
       : std::to_string(answer.status) + " " + answer.body.dump()));
  return answer;
}

}
