#pragma once

#include <string>
#include <vector>

#include "Base/Result.h"
#include "Tool/CommandLine.h"
#include "Tool/ToolContext.h"

namespace almondspoke::tool {

/** \brief One command of the command-line tool. */
struct Command
{
  /** One or two words, as typed by the user. */
  const char* mName;
  /** Arguments, as shown by `help`. */
  const char* mSynopsis;
  /** One-sentence description, as shown by `help`. */
  const char* mSummary;
  Result<void> (*mRun)(ToolContext& aContext, CommandLine& aLine);
};

/** Returns all commands, in the order in which `help` lists them. */
const std::vector<Command>&
AllCommands();

// Rules
Result<void>
RunRulesCheck(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunRulesDiff(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunRulesApply(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunRulesRollback(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunRulesShow(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunRulesHistory(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunRulesExplain(ToolContext& aContext, CommandLine& aLine);

// Voters
Result<void>
RunVotersShow(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunVotersAdd(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunVotersRemove(ToolContext& aContext, CommandLine& aLine);

// Data centres
Result<void>
RunDataCentresEvacuate(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunDataCentresReadmit(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunDataCentresList(ToolContext& aContext, CommandLine& aLine);

// Requests and jobs
Result<void>
RunCall(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunSubmit(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunJobsShow(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunJobsCancel(ToolContext& aContext, CommandLine& aLine);

// Inspection of an instance
Result<void>
RunEndpointsList(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunInstancesList(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunExplain(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunStatus(ToolContext& aContext, CommandLine& aLine);
Result<void>
RunSettingsCheck(ToolContext& aContext, CommandLine& aLine);

// Manifest of a dispatch installation
Result<void>
RunManifestCheck(ToolContext& aContext, CommandLine& aLine);

// Benchmarks
Result<void>
RunBench(ToolContext& aContext, CommandLine& aLine);

}
