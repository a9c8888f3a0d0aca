#pragma once

#include "review/stand_in/deployment.h"
#include "review/stand_in/record.h"
#include "review/stand_in/site.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace review {

/** Exit codes of a case. */
enum class Verdict
{
  kHeld = 0,
  kBroken = 1,
  kNotRun = 2
};

/** A deployment with its platform and its clients, and the jobs that they hand
 * in. */
class Scenario
{
public:
  Scenario(const Site::Shape& aShape, int aHosts, Record& aRecord);

  Site& Platform() { return this->site; }
  Deployment& Daemons() { return this->daemons; }
  void Note(const std::string& aText) { this->record->Line(aText); }
  std::int64_t NowMs() const { return this->record->NowMs(); }
  /** Waits until the daemons serve and have run a first job. */
  bool Begin();
  /** Sets what the runs of a job's tasks do. */
  void SetWork(const std::string& aJob, const Work& aWork);
  /** Lets the runs of a job's tasks end as done at times spread over a span on
   * the clock of the record; runs that start later take 2.5 s. */
  void SetEnds(const std::string& aJob,
               std::int64_t aFirstMs,
               std::int64_t aLastMs);
  /** Writes a new version of the configuration; the route of usual work has
   * another name and time-out there. */
  void Reconfigure(int aVersion,
                   const std::string& aUsualRoute,
                   int aTimeoutMs);
  /** Hands a job in at a host until it is accepted or refused for good; returns
   * the last status. */
  int Submit(std::size_t aHost,
             const std::string& aPath,
             const nlohmann::json& aBody);
  ClientAnswer Get(std::size_t aHost, const std::string& aPath);
  ClientAnswer Cancel(std::size_t aHost, const std::string& aPath);
  static void SleepMs(std::int64_t aMs);
  static void SleepUntil(const Record& aRecord, std::int64_t aAtMs);

  static constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";

private:
  Work WorkOfTask(const std::string& aTask);

  Record* record;
  std::mutex mutex;
  std::map<std::string, Work> works;
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> spans;
  Site site;
  Deployment daemons;
};

/** Path of a job in the queue of urgent, usual and batch work. */
std::string
UrgentPath(const std::string& aJob);
std::string
UsualPath(const std::string& aJob);
std::string
BatchPath(const std::string& aJob);

/** Body of a job of one step. */
nlohmann::json
JobBody(const nlohmann::json& aStep);

/** One job of the queue of urgent work as the site file describes it: tasks of
 * 7.5 cores, 15,000 MB and one accelerator. */
nlohmann::json
UrgentBody(int aTasks);

}
