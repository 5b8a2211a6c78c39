#pragma once

#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "Tool/Tool.h"

namespace almondspoke::testing {

/** \brief Runs commands of the tool and captures their output. */
class ToolFixture
{
public:
  explicit ToolFixture(tool::HttpClient& aHttp)
    : mHttp(aHttp)
  {
  }

  /** Runs a command and returns its exit code. */
  int Run(const std::vector<std::string>& aArguments)
  {
    mOut.str("");
    mErr.str("");
    tool::ToolContext context{
      mHttp,
      mIn,
      mOut,
      mErr,
      mIsTerminal,
      [this](const std::string& aName) { return EnvironmentVariable(aName); },
      [this](const std::string&) { return mSettingsResult; },
      [] { return std::string("new-id"); },
      [this](const std::string& aText) { return DecodeManifest(aText); }
    };
    return tool::RunTool(context, aArguments);
  }

  std::string Out() const { return mOut.str(); }
  std::string Err() const { return mErr.str(); }

  std::istringstream mIn;
  bool mIsTerminal = false;
  std::map<std::string, std::string> mEnvironment;
  /** Manifests by the text that decodes to them. */
  std::map<std::string, dispatch::Manifest> mManifests;
  /** Result of every check of a settings file. */
  Result<void> mSettingsResult = Success();

private:
  Result<dispatch::Manifest> DecodeManifest(const std::string& aText) const
  {
    const auto found = mManifests.find(aText);
    if (found == mManifests.end()) {
      return Error(ErrorKind::InvalidArgument, "not a manifest");
    }
    return found->second;
  }
  std::optional<std::string> EnvironmentVariable(const std::string& aName) const
  {
    const auto found = mEnvironment.find(aName);
    return found == mEnvironment.end()
             ? std::nullopt
             : std::optional<std::string>(found->second);
  }

  tool::HttpClient& mHttp;
  std::ostringstream mOut;
  std::ostringstream mErr;
};

}
