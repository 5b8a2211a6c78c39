#include <iostream>
#include <string>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "Daemon/Daemon.h"
#include "Daemon/Settings.h"
#include "Dispatch/NodeSettings.h"
#include "platform/Node.h"

namespace {

using namespace almondspoke;

void
StartLogging(const char* aProgram, const Settings& aSettings)
{
  if (aSettings.mLogFolder.empty()) {
    FLAGS_logtostderr = true;
  } else {
    FLAGS_log_dir = aSettings.mLogFolder;
  }
  google::InitGoogleLogging(aProgram);
}

Result<void>
RunDaemon(const char* aProgram, const std::string& aPath)
{
  if (dispatch::IsNodeSettings(aPath)) {
    BOOST_OUTCOME_TRY(node, dispatch::LoadNodeSettings(aPath));
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(aProgram);
    return platform::RunNode(node, aPath);
  }
  BOOST_OUTCOME_TRY(settings, LoadSettings(aPath));
  BOOST_OUTCOME_TRYV(CheckListenAddresses(settings));
  StartLogging(aProgram, settings);
  Daemon daemon(settings);
  return daemon.Run();
}

}

int
main(int aCount, char** aArguments)
{
  TCLAP::CmdLine commandLine(
    "Dispatcher for sub-second tasks: one entry instance",
    ' ',
    ALMONDSPOKE_VERSION);
  TCLAP::ValueArg<std::string> path(
    "", "settings", "Settings file", true, "", "FILE.ini", commandLine);
  commandLine.setExceptionHandling(false);
  try {
    commandLine.parse(aCount, aArguments);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << "almondspoked: " << exception.error() << ' '
              << exception.argId() << '\n';
    return almondspoke::ErrorTraitsOf(almondspoke::ErrorKind::Usage).mExitCode;
  }
  const auto result = RunDaemon(aArguments[0], path.getValue());
  if (result.has_error()) {
    std::cerr << "almondspoked: " << result.error().Message() << '\n';
    return result.error().Traits().mExitCode;
  }
  return 0;
}
