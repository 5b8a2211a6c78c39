#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondspoke {

/** \brief Options of a stand-in, as given by its flags. */
struct StandInOptions
{
  std::string mName = "standin";
  std::string mService = "echo";
  std::string mHost = "127.0.0.1";
  /** Zero lets the operating system choose a free port. */
  std::uint16_t mPort = 0;
  /** IP:PORT to announce in place of the listening address, for a stand-in that
   * is reached through a forwarded link; empty for the listening address. */
  std::string mAnnouncedAddress;
  /** Entry instances to announce at, as IP:PORT. */
  std::vector<std::string> mInstances;
  std::size_t mThreads = 1;

  // Contents of the announcement.
  std::uint32_t mSlots = 8;
  std::uint32_t mConnections = 64;
  double mCores = 0;
  std::uint64_t mMemoryBytes = 0;
  std::uint32_t mAccelerators = 0;
  std::string mRack;
  std::chrono::milliseconds mTimeToLive{ 3000 };
  /** Period of the usage reports, which the platform sends for a real worker;
   * zero for none. */
  std::chrono::milliseconds mUsagePeriod{ 0 };

  // Processing of requests and tasks.
  std::chrono::milliseconds mWorkTime{ 0 };
  /** Time from the receipt of a request to its start. */
  std::chrono::milliseconds mStartDelay{ 0 };
  /** Factor by which every work time is multiplied; above 1 simulates a slow
   * endpoint. */
  double mWorkTimeFactor = 1;
  /** Shares of the requests, 0 to 1, that fail, get no response, are refused
   * without running, or have their connection closed after the start. */
  double mFailShare = 0;
  double mSilentShare = 0;
  double mRefuseShare = 0;
  double mCloseShare = 0;
  std::uint64_t mSeed = 1;
  /** Refuses work that would exceed the declared slots, cores or memory. */
  bool mEnforceLimits = false;
  /** Queues work beyond the declared slots in order of arrival. */
  bool mQueueBeyondSlots = false;
  /** Reports the used cores and memory in the response to a task. */
  bool mReportsTaskUsage = false;
  /** Removes the registration after this time; zero for never. Work that
   * still arrives is accepted. */
  std::chrono::milliseconds mLeaveAfter{ 0 };
  /** File to which one line is appended for each started task. */
  std::string mStartLog;
  /** File that receives the highest number of tasks running or queued at the
   * same time. */
  std::string mConcurrencyFile;
};

}
