#include "Tool/Tool.h"

#include <algorithm>
#include <optional>
#include <ostream>

#include "Tool/Command.h"

namespace almondspoke::tool {

namespace {

using Arguments = std::vector<std::string>;

/** \brief A command and the arguments that follow its name. */
struct ParsedCommand
{
  const Command* mCommand;
  Arguments mArguments;
};

std::string
JoinFirst(const Arguments& aArguments, std::size_t aCount)
{
  std::string words;
  for (std::size_t index = 0; index < aCount; ++index) {
    words += (index == 0 ? "" : " ") + aArguments[index];
  }
  return words;
}

std::optional<ParsedCommand>
FindCommand(const Arguments& aArguments)
{
  constexpr std::size_t kMaxWords = 2;
  for (std::size_t count = std::min(kMaxWords, aArguments.size()); count > 0;
       --count) {
    const std::string name = JoinFirst(aArguments, count);
    for (const Command& command : AllCommands()) {
      if (name == command.mName) {
        const auto first =
          aArguments.begin() + static_cast<std::ptrdiff_t>(count);
        return ParsedCommand{ &command, Arguments(first, aArguments.end()) };
      }
    }
  }
  return std::nullopt;
}

bool
Contains(const Arguments& aArguments, const char* aValue)
{
  return std::find(aArguments.begin(), aArguments.end(), aValue) !=
         aArguments.end();
}

void
PrintUsage(std::ostream& aOut, const Command& aCommand)
{
  aOut << "almondspoke " << aCommand.mName;
  if (aCommand.mSynopsis[0] != '\0') {
    aOut << ' ' << aCommand.mSynopsis;
  }
  aOut << "\n    " << aCommand.mSummary << '\n';
}

void
PrintHelp(std::ostream& aOut)
{
  aOut << "Usage: almondspoke COMMAND [ARGUMENTS]\n\n";
  for (const Command& command : AllCommands()) {
    PrintUsage(aOut, command);
  }
  aOut << "almondspoke help [COMMAND]\n    Shows this help.\n"
          "almondspoke version\n    Shows the version.\n\n"
          "Options of every command: --json, --timeout-ms MS,\n"
          "  --callers URL    (or the variable ALMONDSPOKE_CALLERS)\n"
          "  --operators URL  (or the variable ALMONDSPOKE_OPERATORS)\n";
}

std::string
AllowedCommands()
{
  std::string allowed;
  for (const Command& command : AllCommands()) {
    allowed += std::string(command.mName) + ", ";
  }
  return allowed + "help, version";
}

Error
UnknownCommand(const Arguments& aArguments)
{
  return Error(
    ErrorKind::Usage,
    "unknown command '" +
      JoinFirst(aArguments, std::min<std::size_t>(2, aArguments.size())) +
      "' (allowed: " + AllowedCommands() + ")");
}

Result<void>
Help(ToolContext& aContext, const Arguments& aArguments)
{
  if (aArguments.empty()) {
    PrintHelp(aContext.mOut);
    return Success();
  }
  const std::optional<ParsedCommand> parsed = FindCommand(aArguments);
  if (!parsed) {
    return UnknownCommand(aArguments);
  }
  PrintUsage(aContext.mOut, *parsed->mCommand);
  return Success();
}

Result<void>
Dispatch(ToolContext& aContext, const Arguments& aArguments)
{
  const std::string first = aArguments.empty() ? "" : aArguments[0];
  if (first == "help" || first == "--help" || first == "-h") {
    return Help(aContext, Arguments(aArguments.begin() + 1, aArguments.end()));
  }
  if (first == "version" || first == "--version") {
    aContext.mOut << "almondspoke " << ALMONDSPOKE_VERSION << '\n';
    return Success();
  }
  if (aArguments.empty()) {
    return Error(ErrorKind::Usage,
                 "no command (allowed: " + AllowedCommands() + ")");
  }
  const std::optional<ParsedCommand> parsed = FindCommand(aArguments);
  if (!parsed) {
    return UnknownCommand(aArguments);
  }
  if (Contains(parsed->mArguments, "--help")) {
    PrintUsage(aContext.mOut, *parsed->mCommand);
    return Success();
  }
  CommandLine line(aContext, parsed->mCommand->mName, parsed->mArguments);
  return parsed->mCommand->mRun(aContext, line);
}

}

int
RunTool(ToolContext& aContext, const std::vector<std::string>& aArguments)
{
  const Result<void> result = Dispatch(aContext, aArguments);
  if (result) {
    return 0;
  }
  const Error& error = result.error();
  if (Contains(aArguments, "--json")) {
    aContext.mErr << error.ToJson() << '\n';
  } else {
    aContext.mErr << "almondspoke: " << error.Traits().mName << ": "
                  << error.Message() << '\n';
  }
  return error.Traits().mExitCode;
}

}
