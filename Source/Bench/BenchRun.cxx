#include "Bench/BenchRun.h"

#include <algorithm>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "Bench/LoadGenerator.h"
#include "Transport/CurlHttpClient.h"

namespace almondspoke::bench {

namespace {

using Microseconds = std::chrono::microseconds;

constexpr int kThreads = 2;
constexpr std::size_t kRoundTripProbes = 40;
constexpr std::chrono::milliseconds kProbeTimeout{ 2000 };
constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr std::chrono::milliseconds kProgressInterval{ 500 };

/** \brief Runs an io_context on several threads for the lifetime of the object.
 */
class ContextRunner
{
public:
  explicit ContextRunner(asio::io_context& aContext)
    : mContext(aContext)
    , mWork(aContext.get_executor())
  {
    for (int i = 0; i < kThreads; ++i) {
      mThreads.emplace_back([this] { mContext.run(); });
    }
  }
  ContextRunner(const ContextRunner&) = delete;
  ContextRunner& operator=(const ContextRunner&) = delete;
  ~ContextRunner()
  {
    mContext.stop();
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }

private:
  asio::io_context& mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::vector<std::thread> mThreads;
};

std::optional<Microseconds>
ProbeOnce(HttpClient& aClient, const Clock& aClock, const std::string& aTarget)
{
  HttpAttempt attempt;
  attempt.mAddress = aTarget;
  attempt.mMethod = "GET";
  attempt.mTarget = "/healthz";
  const Clock::Monotonic start = aClock.MonotonicNow();
  attempt.mDeadline = start + kProbeTimeout;
  auto promise = std::make_shared<std::promise<bool>>();
  std::future<bool> answered = promise->get_future();
  aClient.Start(std::move(attempt), [promise](const AttemptResult& aResult) {
    promise->set_value(aResult.mOutcome == TransferOutcome::Answered);
  });
  if (!answered.get()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Microseconds>(aClock.MonotonicNow() -
                                                  start);
}

/** Returns the median round-trip time to the targets that respond. */
Result<Microseconds>
MeasureRoundTrip(HttpClient& aClient,
                 const Clock& aClock,
                 const std::vector<std::string>& aTargets)
{
  std::vector<Microseconds> times;
  for (const std::string& target : aTargets) {
    for (std::size_t i = 0; i < kRoundTripProbes; ++i) {
      const auto time = ProbeOnce(aClient, aClock, target);
      if (!time) {
        break;
      }
      times.push_back(*time);
    }
  }
  if (times.empty()) {
    return Error(ErrorKind::EndpointUnreachable,
                 "no target answers /healthz, among them " + aTargets.front());
  }
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void
WaitForEnd(const LoadGenerator& aGenerator,
           const Clock& aClock,
           const std::function<void(const RunProgress&)>& aProgress)
{
  const Clock::Monotonic start = aClock.MonotonicNow();
  Clock::Monotonic nextProgress = start;
  while (!aGenerator.IsFinished()) {
    std::this_thread::sleep_for(kPollInterval);
    const Clock::Monotonic now = aClock.MonotonicNow();
    if (now >= nextProgress) {
      aProgress(
        { std::chrono::duration_cast<std::chrono::milliseconds>(now - start),
          aGenerator.Outstanding() });
      nextProgress = now + kProgressInterval;
    }
  }
}

}

std::uint64_t
RunResult::CompletedInRun() const
{
  std::uint64_t completed = 0;
  for (const StreamCounts& stream : mStreams) {
    completed += stream.mCompletedInRun;
  }
  return completed;
}

bool
RunResult::IsContradicted() const
{
  return mAudit && (mAudit->mFalseNotRun > 0 || mAudit->mRepeatedKeys > 0);
}

Result<RunResult>
RunExperiment(const Experiment& aExperiment,
              const std::string& aRunId,
              const std::function<void(const RunProgress&)>& aProgress)
{
  const std::string keyPrefix = aRunId + '-';
  const SystemClock clock;
  asio::io_context context(kThreads);
  CurlHttpClient client(context, HttpClientOptions{});
  StartLogAudit audit(aExperiment.mStartLogs);
  RunResult result;
  result.mExperiment = aExperiment;
  std::unique_ptr<LoadGenerator> generator;
  {
    const ContextRunner runner(context);
    BOOST_OUTCOME_TRY(measured,
                      MeasureRoundTrip(client, clock, aExperiment.mTargets));
    result.mRoundTrip =
      aExperiment.mRoundTrip ? Microseconds(*aExperiment.mRoundTrip) : measured;
    generator = std::make_unique<LoadGenerator>(
      aExperiment, context, client, clock, audit, result.mRoundTrip, keyPrefix);
    generator->Start();
    WaitForEnd(*generator, clock, aProgress);
    generator->Stop();
  }
  result.mStreams = generator->Counts();
  result.mSendLag = generator->SendLag();
  result.mFailovers = generator->Failovers();
  if (audit.HasLogs()) {
    BOOST_OUTCOME_TRY(starts, audit.Read(keyPrefix));
    result.mAudit = starts;
  }
  return result;
}

}
