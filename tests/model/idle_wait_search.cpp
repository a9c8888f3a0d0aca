#include "codecs/yaml_document.h"
#include "core/reason.h"
#include "tests/model/domain_model.h"
#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"
#include "tests/model/model_settings.h"
#include "tests/model/model_settings_yaml.h"

#include <atomic>
#include <fstream>
#include <future>
#include <iostream>
#include <popt.h>

namespace sardinecourse {

namespace {

constexpr int kExitUsage = 64;
constexpr int kExitSettings = 78;
constexpr int kDefaultSeeds = 100;
constexpr int kThreads = 3;

void
Print(const std::string& aPolicy, int aSeed, const IdleWait& aWait)
{
  std::cout << "policy=\"" << aPolicy << "\" seed=" << aSeed
            << " job=" << aWait.job.Text() << " priority=" << aWait.priority
            << " count=" << aWait.count << " prefers_rack=" << aWait.prefersRack
            << " placed=" << aWait.isPlaced
            << " waited_ms=" << aWait.waited.count()
            << " estimate_ms=" << aWait.estimate.count()
            << " accelerators_used=" << aWait.acceleratorsUsed
            << " idle_ms=" << aWait.idle.count() << '\n';
}

void
Search(const ModelSettings& aSettings, int aFirstSeed, int aSeedCount)
{
  for (const auto& [name, policy] : aSettings.policies) {
    std::vector<std::vector<IdleWait>> found(
      static_cast<std::size_t>(aSeedCount));
    std::atomic<int> next{ 0 };
    std::vector<std::future<void>> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.push_back(std::async(std::launch::async, [&, used = policy] {
        for (int seed = next++; seed < aSeedCount; seed = next++) {
          const auto number = static_cast<std::uint32_t>(aFirstSeed + seed);
          const std::vector<ModelJob> jobs = MakeJobStream(aSettings, number);
          found[static_cast<std::size_t>(seed)] =
            DomainModel(aSettings, jobs, used, number).Run().idleWaits;
        }
      }));
    }
    for (std::future<void>& thread : threads) {
      thread.get();
    }
    int days = 0;
    int jobs = 0;
    for (int seed = 0; seed < aSeedCount; ++seed) {
      const auto& waits = found[static_cast<std::size_t>(seed)];
      days += waits.empty() ? 0 : 1;
      jobs += static_cast<int>(waits.size());
      for (const IdleWait& wait : waits) {
        Print(name, aFirstSeed + seed, wait);
      }
    }
    std::cout << "policy=\"" << name << "\" days=" << aSeedCount
              << " days_with_waits=" << days << " jobs=" << jobs << '\n';
  }
}

}

}

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  int seedCount = kDefaultSeeds;
  int firstSeed = 1;
  const poptOption options[] = {
    { "seeds", 'n', POPT_ARG_INT, &seedCount, 0, "Streams of jobs", "COUNT" },
    { "first",
      0,
      POPT_ARG_INT,
      &firstSeed,
      0,
      "Seed of the first one",
      "SEED" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("idle_wait_search", aCount, aArguments, options, 0);
  poptSetOtherOptionHelp(context, "MODEL.yaml");
  const int parsed = poptGetNextOpt(context);
  const char* path = parsed == -1 ? poptGetArg(context) : nullptr;
  if (path == nullptr || seedCount < 1) {
    poptPrintUsage(context, stderr, 0);
    return kExitUsage;
  }
  const std::string file = path;
  poptFreeContext(context);
  Reason reason;
  const std::optional<std::string> text = ReadTextFile(file, reason);
  const auto settings =
    text ? DecodeModelSettings(*text, file, reason) : std::nullopt;
  if (!settings) {
    std::cerr << "idle_wait_search: " << reason.Message() << '\n';
    return kExitSettings;
  }
  Search(*settings, firstSeed, seedCount);
  return EXIT_SUCCESS;
}
