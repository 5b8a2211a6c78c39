#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Bench/Arrivals.h"
#include "Bench/Experiment.h"
#include "Bench/StartLogAudit.h"
#include "Bench/StreamStatistics.h"
#include "Bench/TargetPool.h"
#include "Transport/HttpClient.h"

namespace almondspoke::bench {

/** \brief Sends the requests of all streams at their intended times, without
 * waiting for earlier responses, and records how each request ends. */
class LoadGenerator
{
public:
  /** Highest number of requests in progress; arrivals above it are counted as
   * errors and not sent. */
  static constexpr std::size_t kMaxOutstanding = 20000;

  /** \param aRoundTrip part of the ideal response time
   * \param aKeyPrefix prefix of the idempotency keys, unique to the run. */
  LoadGenerator(const Experiment& aExperiment,
                asio::io_context& aContext,
                HttpClient& aClient,
                const Clock& aClock,
                StartLogAudit& aAudit,
                std::chrono::microseconds aRoundTrip,
                std::string aKeyPrefix);
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Start();

  /** True once every stream has ended and every request has finished. */
  bool IsFinished() const;

  /** Stops probing the targets; called after the run. */
  void Stop() { mTargets.Stop(); }

  std::size_t Outstanding() const { return mOutstanding; }
  std::uint64_t Failovers() const { return mFailovers; }

  /** Returns the counts of each stream, in the order of the experiment. */
  std::vector<StreamCounts> Counts() const;

  /** Returns the delays between intended and actual send times, in
   * microseconds. */
  Histogram SendLag() const;

private:
  struct Stream
  {
    Stream(const Experiment& aExperiment,
           const StreamSettings& aSettings,
           std::uint64_t aSeed,
           asio::io_context& aContext);

    const StreamSettings& mSettings;
    Arrivals mArrivals;
    Arrival mNext;
    std::uint64_t mSequence = 0;
    asio::steady_timer mTimer;
    StreamStatistics mStatistics;
  };

  /** \brief State of a request in progress. */
  struct Request
  {
    Stream* mStream = nullptr;
    Arrival mArrival;
    std::uint64_t mSequence = 0;
    std::string mTarget;
    std::size_t mAttempts = 0;
    std::atomic<HttpClient::AttemptId> mAttempt{ 0 };
    std::atomic<bool> mIsCancelled{ false };
    std::unique_ptr<asio::steady_timer> mCancelTimer;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void ScheduleNextSend(Stream& aStream);
  void SendDue(Stream& aStream);
  void StartRequest(Stream& aStream);
  void Send(const RequestPtr& aRequest);
  void ScheduleCancellation(const RequestPtr& aRequest);
  void OnAttemptResult(const RequestPtr& aRequest,
                       const AttemptResult& aResult);
  HttpAttempt AttemptOf(const Request& aRequest) const;
  RequestEnd MakeRequestEnd(const Request& aRequest,
                            const AttemptResult& aResult);
  bool HasEnded(const Stream& aStream) const;

  const Experiment& mExperiment;
  asio::io_context& mContext;
  HttpClient& mClient;
  const Clock& mClock;
  StartLogAudit& mAudit;
  const std::chrono::microseconds mRoundTrip;
  const std::string mKeyPrefix;
  TargetPool mTargets;
  Clock::Monotonic mStart;
  std::vector<std::unique_ptr<Stream>> mStreams;
  std::atomic<std::size_t> mStreamsInProgress{ 0 };
  std::atomic<std::size_t> mOutstanding{ 0 };
  std::atomic<std::uint64_t> mFailovers{ 0 };
  mutable std::mutex mLagMutex;
  Histogram mSendLag;
};

}
