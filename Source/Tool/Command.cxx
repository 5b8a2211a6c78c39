#include "Tool/Command.h"

namespace almondspoke::tool {

const std::vector<Command>&
AllCommands()
{
  static const std::vector<Command> kCommands = {
    { "submit",
      "FILE [--key KEY] [--wait-ms MS]",
      "Submits a job and waits for its answer.",
      &RunSubmit },
    { "call",
      "SERVICE PATH [--data FILE] [--key KEY] [--idempotent true|false] "
      "[--kind KIND] [--team TEAM] [--urgency LEVEL] [--deadline-ms MS]",
      "Sends a request to a service and prints its answer.",
      &RunCall },
    { "jobs show", "KEY", "Shows the state or answer of a job.", &RunJobsShow },
    { "jobs cancel", "KEY", "Cancels a job.", &RunJobsCancel },
    { "rules check",
      "FILE",
      "Checks a rules file, without an instance.",
      &RunRulesCheck },
    { "rules diff",
      "FILE [--version N]",
      "Compares a rules file with the rules in force.",
      &RunRulesDiff },
    { "rules apply",
      "FILE --base N [--request-id ID] [--author NAME]",
      "Puts a rules file in force in place of version N.",
      &RunRulesApply },
    { "rules rollback",
      "VERSION --base N [--request-id ID] [--author NAME]",
      "Puts the text of an earlier version in force again.",
      &RunRulesRollback },
    { "rules show",
      "[--version N]",
      "Prints the rules in force, or those of a version.",
      &RunRulesShow },
    { "rules history",
      "[--limit N]",
      "Lists the latest changes of the rules.",
      &RunRulesHistory },
    { "rules explain",
      "[NAME] [--file FILE]",
      "Says what the rules promise to callers.",
      &RunRulesExplain },
    { "endpoints list",
      "[--service SERVICE]",
      "Lists the endpoints and workers.",
      &RunEndpointsList },
    { "instances list", "", "Lists the entry instances.", &RunInstancesList },
    { "status", "", "Shows what one instance says of itself.", &RunStatus },
    { "settings check",
      "FILE",
      "Checks a settings file of the daemon.",
      &RunSettingsCheck },
    { "explain",
      "ID",
      "Shows what was decided on a request or job, and why.",
      &RunExplain },
    { "bench",
      "FILE [--targets IP:PORT,...] [--seed N] [--start-log FILE] "
      "[--svg FOLDER] [--markdown]",
      "Runs an experiment of load and measures the answers.",
      &RunBench },
  };
  return kCommands;
}

}
