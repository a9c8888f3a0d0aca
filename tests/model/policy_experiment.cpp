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

/** Every policy on the jobs of one seed. */
std::vector<ModelFigures>
PlaySeed(const ModelSettings& aSettings, std::uint32_t aSeed)
{
  const std::vector<ModelJob> jobs = MakeJobStream(aSettings, aSeed);
  std::vector<ModelFigures> figures;
  for (const auto& [name, policy] : aSettings.policies) {
    figures.push_back(DomainModel(aSettings, jobs, policy, aSeed).Run());
  }
  return figures;
}

int
Compare(const ModelSettings& aSettings,
        int aFirst,
        int aSeeds,
        const char* aPlotPath)
{
  std::vector<std::future<std::vector<ModelFigures>>> plays;
  plays.reserve(static_cast<std::size_t>(aSeeds));
  for (int seed = 0; seed < aSeeds; ++seed) {
    plays.push_back(
      std::async(std::launch::async, [&aSettings, number = aFirst + seed] {
        return PlaySeed(aSettings, static_cast<std::uint32_t>(number));
      }));
  }
  std::vector<std::vector<ModelFigures>> bySeed;
  bySeed.reserve(plays.size());
  for (auto& play : plays) {
    bySeed.push_back(play.get());
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
  int seeds = kDefaultSeeds;
  int first = 1;
  const char* plotPath = nullptr;
  const poptOption options[] = {
    { "seeds", 'n', POPT_ARG_INT, &seeds, 0, "Streams of jobs", "COUNT" },
    { "first", 0, POPT_ARG_INT, &first, 0, "Seed of the first one", "SEED" },
    { "plot", 'p', POPT_ARG_STRING, &plotPath, 0, "Writes an SVG", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("policy_experiment", aCount, aArguments, options, 0);
  poptSetOtherOptionHelp(context, "MODEL.yaml");
  const int parsed = poptGetNextOpt(context);
  const char* path = parsed == -1 ? poptGetArg(context) : nullptr;
  if (path == nullptr || seeds < 1) {
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
  return Compare(*settings, first, seeds, plotPath);
}
