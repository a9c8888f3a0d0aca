#include "codecs/yaml_document.h"
#include "core/reason.h"
#include "tests/model/domain_model.h"
#include "tests/model/experiment_table.h"
#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"
#include "tests/model/model_settings.h"
#include "tests/model/model_settings_yaml.h"
#include "tests/model/worth_plot.h"

#include <fstream>
#include <future>
#include <iostream>
#include <popt.h>

namespace sardinecourse {

namespace {

constexpr int kExitUsage = 64;
constexpr int kExitSettings = 78;
constexpr int kDefaultSeeds = 10;

/** Runs every policy on the jobs of one seed. */
std::vector<ModelFigures>
RunSeed(const ModelSettings& aSettings, std::uint32_t aSeed)
{
  const std::vector<ModelJob> jobs = MakeJobStream(aSettings, aSeed);
  std::vector<ModelFigures> figures;
  for (const auto& [name, policy] : aSettings.policies) {
    figures.push_back(DomainModel(aSettings, jobs, policy, aSeed).Run());
  }
  return figures;
}

int
ComparePolicies(const ModelSettings& aSettings,
                int aFirstSeed,
                int aSeedCount,
                const char* aPlotPath)
{
  std::vector<std::future<std::vector<ModelFigures>>> runs;
  runs.reserve(static_cast<std::size_t>(aSeedCount));
  for (int seed = 0; seed < aSeedCount; ++seed) {
    runs.push_back(
      std::async(std::launch::async, [&aSettings, number = aFirstSeed + seed] {
        return RunSeed(aSettings, static_cast<std::uint32_t>(number));
      }));
  }
  std::vector<std::vector<ModelFigures>> bySeed;
  bySeed.reserve(runs.size());
  for (auto& run : runs) {
    bySeed.push_back(run.get());
  }
  WriteExperimentTable(std::cout, aSettings, bySeed);
  if (aPlotPath != nullptr) {
    std::ofstream plot(aPlotPath);
    WriteWorthPlot(plot, aSettings, bySeed);
    if (!plot) {
      std::cerr << "policy_experiment: cannot write " << aPlotPath << '\n';
      return EXIT_FAILURE;
    }
  }
  return EXIT_SUCCESS;
}

}

}

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  int seedCount = kDefaultSeeds;
  int firstSeed = 1;
  const char* plotPath = nullptr;
  const poptOption options[] = {
    { "seeds", 'n', POPT_ARG_INT, &seedCount, 0, "Streams of jobs", "COUNT" },
    { "first",
      0,
      POPT_ARG_INT,
      &firstSeed,
      0,
      "Seed of the first one",
      "SEED" },
    { "plot", 'p', POPT_ARG_STRING, &plotPath, 0, "Writes an SVG", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("policy_experiment", aCount, aArguments, options, 0);
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
    std::cerr << "policy_experiment: " << reason.Message() << '\n';
    return kExitSettings;
  }
  return ComparePolicies(*settings, firstSeed, seedCount, plotPath);
}
