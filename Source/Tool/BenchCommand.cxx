#include <iostream>
#include <optional>

#include <nlohmann/json.hpp>

#include "Bench/BenchPlots.h"
#include "Bench/BenchReport.h"
#include "Bench/BenchRun.h"
#include "Tool/Command.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

namespace {

constexpr const char* kFile = "FILE";

/** Overrides the values of the experiment file with the options given. */
Result<void>
ApplyOptions(const CommandLine& aLine, bench::Experiment& aExperiment)
{
  if (const auto targets = aLine.Text("targets")) {
    BOOST_OUTCOME_TRY(addresses, bench::ParseTargets(*targets));
    aExperiment.mTargets = addresses;
  }
  if (const auto startLog = aLine.Text("start-log")) {
    aExperiment.mStartLogs = { *startLog };
  }
  BOOST_OUTCOME_TRY(seed, aLine.Number("seed"));
  aExperiment.mSeed = seed.value_or(aExperiment.mSeed);
  if (aExperiment.mTargets.empty()) {
    return Error(ErrorKind::Usage,
                 "bench: no targets (allowed: --targets IP:PORT,..., or the "
                 "key targets in [experiment])");
  }
  return Success();
}

void
PrintProgress(ToolContext& aContext,
              const bench::Experiment& aExperiment,
              const bench::RunProgress& aProgress)
{
  if (!aContext.mIsTerminal) {
    return;
  }
  constexpr int kMillisecondsPerSecond = 1000;
  aContext.mErr << '\r' << aExperiment.mName << ": "
                << aProgress.mElapsed.count() / kMillisecondsPerSecond
                << " s of "
                << aExperiment.mDuration.count() / kMillisecondsPerSecond
                << " s, " << aProgress.mOutstanding << " in progress   "
                << std::flush;
}

void
PrintResult(ToolContext& aContext,
            const CommandLine& aLine,
            const bench::RunResult& aResult)
{
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, bench::ReportJson(aResult));
    return;
  }
  if (aLine.HasSwitch("markdown")) {
    aContext.mOut << bench::SummaryMarkdown(aResult);
    return;
  }
  aContext.mOut << aResult.mExperiment.mName << '\n';
  PrintTable(
    aContext.mOut, bench::SummaryColumns(), bench::SummaryRows(aResult));
  for (const std::string& note : bench::SummaryNotes(aResult)) {
    aContext.mOut << note << '\n';
  }
}

}

Result<void>
RunBench(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional(kFile);
  aLine.AddOption("targets", "entry instances, as IP:PORT,IP:PORT");
  aLine.AddOption("seed", "seed of arrivals and run times");
  aLine.AddOption("start-log", "start log of the stand-ins");
  aLine.AddOption("svg", "existing folder for the plots");
  aLine.AddSwitch("markdown", "print a Markdown table");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(experiment, bench::LoadExperiment(*aLine.Text(kFile)));
  BOOST_OUTCOME_TRYV(ApplyOptions(aLine, experiment));
  BOOST_OUTCOME_TRY(
    result,
    bench::RunExperiment(
      experiment, aContext.mNewId(), [&](const bench::RunProgress& aProgress) {
        PrintProgress(aContext, experiment, aProgress);
      }));
  if (aContext.mIsTerminal) {
    aContext.mErr << '\n';
  }
  PrintResult(aContext, aLine, result);
  if (const auto folder = aLine.Text("svg")) {
    BOOST_OUTCOME_TRYV(bench::WritePlots(result, *folder));
  }
  if (result.IsContradicted()) {
    return Error(ErrorKind::TaskFailed,
                 "bench: the start logs contradict the answers: a "
                 "request ran more than once, or ran although its answer "
                 "said `ran: no`");
  }
  return Success();
}

}
