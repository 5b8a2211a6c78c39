#include <csignal>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string>

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "Base/ErrorKind.h"
#include "StandIn/ForwardingStandIn.h"
#include "StandIn/StandIn.h"
#include "StandIn/StandInOptions.h"

namespace {

using namespace almondspoke;

/** \brief The flags of the program, each bound to one option. */
class Flags
{
public:
  void Parse(int aCount, char** aArguments)
  {
    mLine.setExceptionHandling(false);
    mLine.parse(aCount, aArguments);
  }

  bool IsForwarding() const { return !mForward.getValue().empty(); }

  ForwardOptions Forwarding() const
  {
    ForwardOptions options;
    for (const std::string& text : mForward.getValue()) {
      const Result<ForwardedLink> link = ParseForwardedLink(text);
      if (link.has_error()) {
        throw std::runtime_error(link.error().Message());
      }
      options.mLinks.push_back(link.value());
    }
    options.mDelay = std::chrono::microseconds(mDelay.getValue());
    options.mSilencedShare = mSilencedShare.getValue();
    return options;
  }

  StandInOptions Options() const
  {
    StandInOptions options;
    options.mName = mName.getValue();
    options.mService = mService.getValue();
    options.mPort = mPort.getValue();
    options.mAnnouncedAddress = mAnnounce.getValue();
    options.mInstances = mInstances.getValue();
    options.mThreads = mThreads.getValue();
    options.mSlots = mSlots.getValue();
    options.mConnections = mConnections.getValue();
    options.mCores = mCores.getValue();
    options.mMemoryBytes = mMemory.getValue();
    options.mAccelerators = mAccelerators.getValue();
    options.mRack = mRack.getValue();
    options.mTimeToLive = std::chrono::milliseconds(mTimeToLive.getValue());
    options.mUsagePeriod = std::chrono::milliseconds(mUsagePeriod.getValue());
    options.mReportsTaskUsage = mTaskUsage.getValue();
    options.mStartDelay = std::chrono::milliseconds(mStartDelay.getValue());
    options.mWorkTime = std::chrono::milliseconds(mWork.getValue());
    options.mWorkTimeFactor = mWorkTimeFactor.getValue();
    options.mFailShare = mFail.getValue();
    options.mSilentShare = mSilent.getValue();
    options.mRefuseShare = mRefuse.getValue();
    options.mCloseShare = mClose.getValue();
    options.mSeed = mSeed.getValue();
    options.mEnforceLimits = mEnforce.getValue();
    options.mQueueBeyondSlots = mQueue.getValue();
    options.mLeaveAfter = std::chrono::milliseconds(mLeaveAfter.getValue());
    options.mStartLog = mStartLog.getValue();
    options.mConcurrencyFile = mConcurrency.getValue();
    return options;
  }

private:
  template<typename T>
  using Value = TCLAP::ValueArg<T>;

  TCLAP::CmdLine mLine{ "Endpoint or worker for tests, demo and bench",
                        ' ',
                        ALMONDSPOKE_VERSION };
  Value<std::string> mName{ "",    "name",    "Name of the endpoint",
                            false, "standin", "NAME",
                            mLine };
  Value<std::string> mService{ "",    "service", "Service it serves",
                               false, "echo",    "NAME",
                               mLine };
  Value<std::uint16_t> mPort{ "",    "port", "Port; 0 for any free one",
                              false, 0,      "PORT",
                              mLine };
  Value<std::string> mAnnounce{ "",    "announce", "Address to announce",
                                false, "",         "IP:PORT",
                                mLine };
  TCLAP::MultiArg<std::string> mForward{
    "",    "forward",         "Forward a port; serve nothing else",
    false, "IP:PORT=IP:PORT", mLine
  };
  Value<int> mDelay{ "",    "delay-us", "Delay of forwarded bytes, one way",
                     false, 0,          "US",
                     mLine };
  Value<double> mSilencedShare{ "",
                                "silence-share",
                                "Share of connections that SIGUSR1 silences",
                                false,
                                1,
                                "SHARE",
                                mLine };
  TCLAP::MultiArg<std::string> mInstances{
    "", "instance", "Entry instance to announce at", false, "IP:PORT", mLine
  };
  Value<std::size_t> mThreads{ "", "threads", "Threads", false, 1, "N", mLine };
  Value<std::uint32_t> mSlots{ "", "slots", "Slots", false, 8, "N", mLine };
  Value<std::uint32_t> mConnections{ "", "connections", "Connections", false,
                                     64, "N",           mLine };
  Value<double> mCores{
    "", "cores", "Cores of a worker", false, 0, "N", mLine
  };
  Value<std::uint64_t> mMemory{ "",    "memory", "Memory of a worker, bytes",
                                false, 0,        "N",
                                mLine };
  Value<std::uint32_t> mAccelerators{
    "", "accelerators", "Accelerators", false, 0, "N", mLine
  };
  Value<std::string> mRack{ "", "rack", "Rack", false, "", "NAME", mLine };
  Value<int> mTimeToLive{ "",    "ttl-ms", "Time to live of an announcement",
                          false, 3000,     "MS",
                          mLine };
  Value<int> mUsagePeriod{
    "", "usage-ms", "Period of usage reports; 0 for none", false, 0, "MS", mLine
  };
  Value<int> mWork{ "", "work-ms", "Work time", false, 0, "MS", mLine };
  Value<int> mStartDelay{ "",
                          "start-delay-ms",
                          "Time that work waits before it starts",
                          false,
                          0,
                          "MS",
                          mLine };
  Value<double> mWorkTimeFactor{ "",    "slow", "Factor on work times",
                                 false, 1,      "FACTOR",
                                 mLine };
  Value<double> mFail{
    "", "fail", "Share that fails", false, 0, "SHARE", mLine
  };
  Value<double> mSilent{ "",      "silent", "Share never answered", false, 0,
                         "SHARE", mLine };
  Value<double> mRefuse{ "",    "refuse", "Share refused without running",
                         false, 0,        "SHARE",
                         mLine };
  Value<double> mClose{
    "",    "close", "Share whose connection closes after the request",
    false, 0,       "SHARE",
    mLine
  };
  Value<std::uint64_t> mSeed{ "",  "seed", "Seed of the shares", false, 1,
                              "N", mLine };
  TCLAP::SwitchArg mEnforce{ "",
                             "enforce",
                             "Refuse what goes beyond slots, cores, memory",
                             mLine };
  TCLAP::SwitchArg mQueue{ "",
                           "queue",
                           "Let work beyond the slots wait",
                           mLine };
  TCLAP::SwitchArg mTaskUsage{ "",
                               "report-used",
                               "Say in the answer what a task used",
                               mLine };
  Value<int> mLeaveAfter{
    "", "leave-after-ms", "Leave after this time", false, 0, "MS", mLine
  };
  Value<std::string> mStartLog{
    "",    "start-log", "File that gets a line for each started task",
    false, "",          "FILE",
    mLine
  };
  Value<std::string> mConcurrency{ "",
                                   "concurrency-file",
                                   "File that gets the most tasks at a time",
                                   false,
                                   "",
                                   "FILE",
                                   mLine };
};

}

int
main(int aCount, char** aArguments)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aArguments[0]);
  try {
    Flags flags;
    flags.Parse(aCount, aArguments);
    if (flags.IsForwarding()) {
      return ForwardingStandIn(flags.Forwarding()).Run();
    }
    return StandIn(flags.Options()).Run();
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << "almondspoke-standin: " << exception.error() << ' '
              << exception.argId() << '\n';
    return ErrorTraitsOf(ErrorKind::Usage).mExitCode;
  } catch (const std::exception& exception) {
    std::cerr << "almondspoke-standin: " << exception.what() << '\n';
    return ErrorTraitsOf(ErrorKind::InvalidSettings).mExitCode;
  }
}
