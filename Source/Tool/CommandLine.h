#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Result.h"
#include "Tool/ToolContext.h"

namespace almondspoke::tool {

/** \brief Command-line arguments of one command, parsed with TCLAP.
 *
 * A command declares its arguments, calls Parse() and then reads the values.
 * Every command has the options --json, --callers, --operators and
 * --timeout-ms.
 */
class CommandLine
{
public:
  CommandLine(ToolContext& aContext,
              const std::string& aCommand,
              std::vector<std::string> aArguments);
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;
  ~CommandLine();

  /** Declares an option with a value. */
  void AddOption(const std::string& aName, const std::string& aDescription);

  /** Declares an option without a value. */
  void AddSwitch(const std::string& aName, const std::string& aDescription);

  /** Declares a positional argument. Required ones must be declared before
   * optional ones. */
  void AddPositional(const std::string& aName, bool aRequired = true);

  /** Parses the arguments. Errors: Usage, naming the invalid argument. */
  Result<void> Parse();

  /** Returns the value of an option or positional argument, or nothing if it
   * was not given. */
  std::optional<std::string> Text(const std::string& aName) const;

  /** Returns the value of an option or positional argument as a number, or
   * nothing if it was not given. Errors: Usage if it is not a number. */
  Result<std::optional<std::uint64_t>> Number(const std::string& aName) const;

  /** True if the switch was given. */
  bool HasSwitch(const std::string& aName) const;

  bool IsJson() const { return HasSwitch("json"); }

  /** Returns the timeout of one request, from --timeout-ms or the default.
   * Errors: Usage if it is out of range. */
  Result<std::chrono::milliseconds> Timeout() const;

  /** Returns the URL of the callers' interface, from --callers or the
   * environment. Errors: Usage if neither is set. */
  Result<std::string> CallersUrl() const;

  /** Returns the URL of the operators' interface, from --operators or the
   * environment. Errors: Usage if neither is set. */
  Result<std::string> OperatorsUrl() const;

private:
  class Implementation;

  Result<void> AssignPositionals(const std::vector<std::string>& aValues);
  Error UsageError(const std::string& aProblem) const;

  Result<std::string> Url(const std::string& aOption,
                          const std::string& aVariable) const;

  ToolContext& mContext;
  std::string mCommand;
  std::vector<std::string> mArguments;
  std::unique_ptr<Implementation> mImplementation;
};

}
