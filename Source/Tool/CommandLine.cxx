#include "Tool/CommandLine.h"

#include <charconv>
#include <map>
#include <utility>

#include <tclap/CmdLine.h>

namespace almondspoke::tool {

namespace {

constexpr std::uint64_t kDefaultTimeoutMs = 30000;
constexpr std::uint64_t kMaxTimeoutMs = 86400000;

}

namespace {

/** \brief A positional argument and, after Parse(), its value. */
struct Positional
{
  std::string mName;
  bool mIsRequired = true;
  std::optional<std::string> mValue;
};

}

/** \brief Holds the TCLAP objects, so that the header does not include TCLAP.
 */
class CommandLine::Implementation
{
public:
  explicit Implementation(const std::string& aCommand)
    : mCommandLine("almondspoke " + aCommand, ' ', ALMONDSPOKE_VERSION, false)
  {
    mCommandLine.setExceptionHandling(false);
  }

  TCLAP::CmdLine mCommandLine;
  std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> mOptions;
  std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> mSwitches;
  std::vector<Positional> mPositionals;
};

CommandLine::CommandLine(ToolContext& aContext,
                         const std::string& aCommand,
                         std::vector<std::string> aArguments)
  : mContext(aContext)
  , mCommand(aCommand)
  , mArguments(std::move(aArguments))
  , mImplementation(std::make_unique<Implementation>(aCommand))
{
  AddSwitch("json", "print JSON");
  AddOption("callers", "URL of the callers' interface");
  AddOption("operators", "URL of the operators' interface");
  AddOption("timeout-ms", "timeout of a request, in milliseconds");
}

CommandLine::~CommandLine() = default;

void
CommandLine::AddOption(const std::string& aName,
                       const std::string& aDescription)
{
  mImplementation
    ->mOptions[aName] = std::make_unique<TCLAP::ValueArg<std::string>>(
    "", aName, aDescription, false, "", "VALUE", mImplementation->mCommandLine);
}

void
CommandLine::AddSwitch(const std::string& aName,
                       const std::string& aDescription)
{
  mImplementation->mSwitches[aName] = std::make_unique<TCLAP::SwitchArg>(
    "", aName, aDescription, mImplementation->mCommandLine);
}

void
CommandLine::AddPositional(const std::string& aName, bool aRequired)
{
  mImplementation->mPositionals.push_back({ aName, aRequired, std::nullopt });
}

Result<void>
CommandLine::Parse()
{
  std::vector<std::string> values;
  try {
    TCLAP::UnlabeledMultiArg<std::string> positionals(
      "arguments",
      "arguments of the command",
      false,
      "VALUE",
      mImplementation->mCommandLine);
    std::vector<std::string> arguments = { "almondspoke" };
    arguments.insert(arguments.end(), mArguments.begin(), mArguments.end());
    mImplementation->mCommandLine.parse(arguments);
    values = positionals.getValue();
  } catch (const TCLAP::ArgException& error) {
    return UsageError(error.error() + " " + error.argId());
  }
  return AssignPositionals(values);
}

Result<void>
CommandLine::AssignPositionals(const std::vector<std::string>& aValues)
{
  std::size_t next = 0;
  for (Positional& positional : mImplementation->mPositionals) {
    if (next < aValues.size()) {
      positional.mValue = aValues[next++];
    } else if (positional.mIsRequired) {
      return UsageError("missing argument " + positional.mName);
    }
  }
  if (next < aValues.size()) {
    return UsageError("unexpected argument '" + aValues[next] + "'");
  }
  return Success();
}

Error
CommandLine::UsageError(const std::string& aProblem) const
{
  return Error(ErrorKind::Usage,
               mCommand + ": " + aProblem +
                 " (allowed: see `almondspoke help " + mCommand + "`)");
}

std::optional<std::string>
CommandLine::Text(const std::string& aName) const
{
  const auto option = mImplementation->mOptions.find(aName);
  if (option != mImplementation->mOptions.end()) {
    return option->second->isSet()
             ? std::optional<std::string>(option->second->getValue())
             : std::nullopt;
  }
  for (const Positional& positional : mImplementation->mPositionals) {
    if (positional.mName == aName) {
      return positional.mValue;
    }
  }
  return std::nullopt;
}

Result<std::optional<std::uint64_t>>
CommandLine::Number(const std::string& aName) const
{
  const std::optional<std::string> text = Text(aName);
  if (!text) {
    return std::optional<std::uint64_t>();
  }
  std::uint64_t value = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return Error(ErrorKind::Usage,
                 mCommand + ": invalid value '" + *text + "' of " + aName +
                   " (allowed: a whole number from 0)");
  }
  return std::optional<std::uint64_t>(value);
}

bool
CommandLine::HasSwitch(const std::string& aName) const
{
  const auto found = mImplementation->mSwitches.find(aName);
  return found != mImplementation->mSwitches.end() && found->second->getValue();
}

Result<std::chrono::milliseconds>
CommandLine::Timeout() const
{
  BOOST_OUTCOME_TRY(given, Number("timeout-ms"));
  const std::uint64_t timeout = given.value_or(kDefaultTimeoutMs);
  if (timeout == 0 || timeout > kMaxTimeoutMs) {
    return Error(ErrorKind::Usage,
                 mCommand + ": invalid timeout of " + std::to_string(timeout) +
                   " ms (allowed: 1 to " + std::to_string(kMaxTimeoutMs) + ")");
  }
  return std::chrono::milliseconds(timeout);
}

Result<std::string>
CommandLine::CallersUrl() const
{
  return Url("callers", "ALMONDSPOKE_CALLERS");
}

Result<std::string>
CommandLine::OperatorsUrl() const
{
  return Url("operators", "ALMONDSPOKE_OPERATORS");
}

Result<std::string>
CommandLine::Url(const std::string& aOption, const std::string& aVariable) const
{
  std::optional<std::string> url = Text(aOption);
  if (!url) {
    url = mContext.mEnvironment(aVariable);
  }
  if (!url || url->empty()) {
    return Error(ErrorKind::Usage,
                 mCommand + ": missing URL of the instance (allowed: --" +
                   aOption + " URL, or the environment variable " + aVariable +
                   ", such as http://127.0.0.1:8080)");
  }
  if (url->find("://") == std::string::npos) {
    url = "http://" + *url;
  }
  while (url->back() == '/') {
    url->pop_back();
  }
  return *url;
}

}
