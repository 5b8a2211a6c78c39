#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Dispatch/LatencyHistogram.h"
#include "Dispatch/LeaderFinder.h"
#include "Dispatch/Services.h"
#include "Transport/PeerRpc.h"

namespace almondspoke::dispatch {

/** \brief Event counts of a Gateway since its start. */
struct GatewayCounters
{
  std::uint64_t mCalls = 0;
  /** Times that a call was sent again after a leader may have acted on it. */
  std::uint64_t mResent = 0;
  /** Calls refused because no leader could be reached. */
  std::uint64_t mWithoutLeader = 0;
  /** Calls that ended with an unknown outcome. */
  std::uint64_t mUnknown = 0;
  /** Times that a call was sent to a local leader. */
  std::uint64_t mLocal = 0;
  /** Times that the leader was not known any more. */
  std::uint64_t mLeaderLost = 0;
};

/** \brief Forwards callers' calls to the leader and returns its replies.
 *
 * If the leader of a call fails, the call is sent to the next leader together
 * with the number of earlier leaders that may have acted on it. A call that
 * reached no leader is refused as not run. A call that may have reached a
 * leader is never reported as not run. While only a local leader (see
 * LocalLeadership.h) can be reached, it gets the calls that were not sent to an
 * elected leader before. Not thread-safe; all callbacks run on one thread. */
class Gateway : public JobService
{
public:
  using TimePoint = Clock::Monotonic;

  Gateway(const Clock& aClock,
          PeerRpc& aRpc,
          LeaderFinder& aFinder,
          EventLog& aLog);

  void Call(JobCall aCall, Done aDone) override;
  void OnCallerLeft(const CallerLeft& aLeft) override;
  bool IsReady() const override;

  /** Sends the calls that wait for a leader and gives up those whose time is
   * over. */
  void Tick();

  /** Gives up all open calls; each gets a reply. */
  void GiveUpAll();

  /** Number of calls without a reply so far. */
  std::size_t OpenCalls() const { return mCalls.size(); }
  const GatewayCounters& Counters() const { return mCounters; }
  const LatencyHistogram& Latencies() const { return mLatencies; }

private:
  struct OpenCall
  {
    JobCall mCall;
    Done mDone;
    TimePoint mArrivedAt{};
    TimePoint mDeadline{};
    /** Leader that the call was sent to; empty while it waits for one. */
    InstanceName mSentTo;
    /** True if mSentTo is a local leader. */
    bool mSentToLocalLeader = false;
    /** Number of the latest attempt. Of the answers to earlier attempts only a
     * final result counts. */
    std::uint32_t mAttempt = 0;
  };

  /** Instance that a call can be sent to now. After an attempt that may have
   * reached a leader, only an elected leader. */
  std::optional<InstanceName> TargetOf(const OpenCall& aCall) const;
  void Send(std::uint64_t aId, OpenCall& aCall);
  void FinishAsUnknown(std::uint64_t aId, const char* aReason);
  void RememberUnresolved(const OpenCall& aCall);
  void ShareUnresolved();
  void OnAnswer(std::uint64_t aId,
                std::uint32_t aAttempt,
                Result<std::string> aAnswer);
  void HandleEarlierAnswer(std::uint64_t aId,
                           const Result<std::string>& aAnswer);
  void Finish(std::uint64_t aId, const JobReply& aReply);
  void GiveUp(std::uint64_t aId, const OpenCall& aCall);
  bool ShouldGiveUp(const OpenCall& aCall, TimePoint aNow) const;

  const Clock& mClock;
  PeerRpc& mRpc;
  LeaderFinder& mFinder;
  EventLog& mLog;
  std::map<std::uint64_t, OpenCall> mCalls;
  /** Submissions (CallKeyOf) that were given up while an elected leader may
   * still act on them, each with the time until which it may. */
  std::map<std::string, TimePoint> mUnresolvedUntil;
  /** Highest manifest version in the answers so far. */
  std::uint64_t mManifestVersion = 0;
  std::uint64_t mNextCallId = 1;
  bool mWasLeaderKnown = false;
  std::minstd_rand mRandomEngine;
  GatewayCounters mCounters;
  LatencyHistogram mLatencies;
};

}
