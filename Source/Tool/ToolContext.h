#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include "Base/Result.h"
#include "Dispatch/Manifest.h"
#include "Tool/HttpClient.h"

namespace almondspoke::tool {

/** \brief Streams, environment and services that the commands use. Tests
 * replace them. */
struct ToolContext
{
  HttpClient& mHttp;
  std::istream& mIn;
  std::ostream& mOut;
  std::ostream& mErr;
  /** True if mErr is a terminal, so that progress can be shown on it. */
  bool mIsTerminal = false;
  /** Returns the value of an environment variable, if it is set. */
  std::function<std::optional<std::string>(const std::string& aName)>
    mEnvironment;
  /** Checks a settings file of the daemon; see CheckSettingsFile(). */
  std::function<Result<void>(const std::string& aPath)> mCheckSettings;
  /** Returns a new random id. */
  std::function<std::string()> mNewId;
  /** Decodes and checks a manifest as operators send it. */
  std::function<Result<dispatch::Manifest>(const std::string& aText)>
    mDecodeManifest;
};

}
