#include "StandIn/TaskRunner.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "Transport/HttpClient.h"

namespace almondspoke {

namespace {

constexpr std::string_view kTasksPrefix = "/tasks/";
constexpr std::string_view kWorkField = "Standin-Work-Ms";
constexpr std::string_view kOutcomeField = "Standin-Fate";
constexpr std::string_view kLeaseExpiryField = "Almondspoke-Lease-Expiry-Ms";
constexpr std::string_view kLeaseRemainingField =
  "Almondspoke-Lease-Remaining-Ms";
constexpr int kFailStatus = 500;

std::optional<std::int64_t>
ParseInteger(std::string_view aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return value;
}

std::int64_t
WallMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string_view
FieldOrQuery(const HttpRequest& aRequest,
             std::string_view aField,
             std::string_view aParameter)
{
  const std::string* field = FindField(aRequest.mFields, aField);
  return field != nullptr ? std::string_view(*field)
                          : QueryParameter(aRequest.mTarget, aParameter);
}

HttpResponse
Refusal(const std::string& aReason)
{
  HttpResponse response =
    ErrorResponse(Error(ErrorKind::EndpointRefused, aReason));
  response.mFields.push_back({ std::string(kNotRunField), "true" });
  return response;
}

// Returns true if the lease of the request has expired. An unreadable expiry
// counts as expired. \param aWaited time since the request was received
bool
IsLeaseExpired(const HttpRequest& aRequest, std::chrono::milliseconds aWaited)
{
  if (const auto* expiry = FindField(aRequest.mFields, kLeaseExpiryField)) {
    const std::optional<std::int64_t> milliseconds = ParseInteger(*expiry);
    return !milliseconds || *milliseconds <= WallMilliseconds();
  }
  if (const auto* left = FindField(aRequest.mFields, kLeaseRemainingField)) {
    const std::optional<std::int64_t> milliseconds = ParseInteger(*left);
    return !milliseconds || *milliseconds <= aWaited.count();
  }
  return false;
}

}

TaskRunner::TaskRunner(asio::io_context& aContext,
                       const StandInOptions& aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
  , mStartLog(aOptions.mStartLog)
  , mRandom(aOptions.mSeed)
{
}

std::size_t
TaskRunner::Running() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRunning.size();
}

Resources
TaskRunner::Usage() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Resources usage;
  for (const auto& [run, running] : mRunning) {
    usage.mCores += running.mCores;
    usage.mMemoryBytes += running.mMemoryBytes;
  }
  return usage;
}

void
TaskRunner::Handle(HttpExchangePtr aExchange)
{
  if (HandleControl(*aExchange)) {
    return;
  }
  const auto arrival = std::chrono::steady_clock::now();
  if (mOptions.mStartDelay.count() <= 0) {
    StartWork(aExchange, arrival);
    return;
  }
  auto timer =
    std::make_shared<asio::steady_timer>(mContext, mOptions.mStartDelay);
  timer->async_wait(
    [this, timer, exchange = std::move(aExchange), arrival](
      const asio::error_code&) { StartWork(exchange, arrival); });
}

void
TaskRunner::StartWork(const HttpExchangePtr& aExchange,
                      std::chrono::steady_clock::time_point aArrival)
{
  HttpRequest& request = aExchange->Request();
  Task task = ReadTask(request);
  task.mArrival = aArrival;
  const SimulatedOutcome outcome = ChooseOutcome(request);
  if (outcome == SimulatedOutcome::Refuse) {
    aExchange->Respond(Refusal("refused without running"));
    return;
  }
  if (!TryQueue(aExchange, task, outcome)) {
    Start(aExchange, std::move(task), outcome);
  }
}

void
TaskRunner::Start(const HttpExchangePtr& aExchange,
                  Task aTask,
                  SimulatedOutcome aOutcome)
{
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - aTask.mArrival);
  if (IsLeaseExpired(aExchange->Request(), waited)) {
    aExchange->Respond(Refusal("the lease has expired"));
    return;
  }
  if (!TryStart(aTask)) {
    aExchange->Respond(Refusal("refused without running"));
    return;
  }
  switch (aOutcome) {
    case SimulatedOutcome::Run:
      Run(aExchange, std::move(aTask));
      return;
    case SimulatedOutcome::Fail:
      aTask.mResponse = ErrorResponse(
        Error(ErrorKind::TaskFailed, "failure simulated by the stand-in"));
      aTask.mResponse.mStatus = kFailStatus;
      Run(aExchange, std::move(aTask));
      return;
    case SimulatedOutcome::Silent:
      LeaveUnanswered(aExchange);
      return;
    case SimulatedOutcome::Close:
    case SimulatedOutcome::Refuse:
      End(aTask.mRun);
      aExchange->Abort();
      return;
  }
}

void
TaskRunner::LeaveUnanswered(HttpExchangePtr aExchange)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mUnanswered.push_back(std::move(aExchange));
}

void
TaskRunner::RefuseAll()
{
  mRefuseAll = true;
  std::vector<HttpExchangePtr> unanswered;
  const std::lock_guard<std::mutex> lock(mMutex);
  unanswered.swap(mUnanswered);
}

TaskRunner::Task
TaskRunner::ReadTask(const HttpRequest& aRequest)
{
  Task task;
  task.mRun = ++mNextTask;
  const std::string_view path = PathOf(aRequest.mTarget);
  task.mIsWorkerTask = path.substr(0, kTasksPrefix.size()) == kTasksPrefix;
  const std::string* id = FindField(aRequest.mFields, "Almondspoke-Request-Id");
  if (task.mIsWorkerTask) {
    task.mAttempt = std::string(path.substr(kTasksPrefix.size()));
  } else {
    task.mAttempt =
      (id != nullptr ? *id : "direct") + '/' + std::to_string(task.mRun);
  }
  if (const auto* key = FindField(aRequest.mFields, "Idempotency-Key")) {
    task.mKey = *key;
  }
  task.mWorkTime = mOptions.mWorkTime;
  if (const auto milliseconds =
        ParseInteger(FieldOrQuery(aRequest, kWorkField, "workMs"))) {
    task.mWorkTime = std::chrono::milliseconds(*milliseconds);
  }
  if (task.mIsWorkerTask) {
    const auto body = nlohmann::json::parse(aRequest.mBody, nullptr, false);
    if (body.is_object()) {
      task.mCores = body.value("cores", 0.0);
      task.mMemoryBytes = body.value("memoryBytes", std::uint64_t(0));
    }
  }
  if (const auto* type = FindField(aRequest.mFields, "Content-Type")) {
    task.mResponse.mFields.push_back({ "Content-Type", *type });
  }
  task.mResponse.mFields.push_back({ "Standin-Name", mOptions.mName });
  if (task.mIsWorkerTask && mOptions.mReportsTaskUsage) {
    task.mResponse.mFields.push_back(
      { std::string(kUsedCoresField), std::to_string(task.mCores) });
    task.mResponse.mFields.push_back(
      { std::string(kUsedMemoryField), std::to_string(task.mMemoryBytes) });
  }
  task.mResponse.mBody = aRequest.mBody;
  return task;
}

TaskRunner::SimulatedOutcome
TaskRunner::ChooseOutcome(const HttpRequest& aRequest)
{
  const std::string_view requested =
    FieldOrQuery(aRequest, kOutcomeField, "fate");
  if (requested == "fail") {
    return SimulatedOutcome::Fail;
  }
  if (requested == "silent") {
    return SimulatedOutcome::Silent;
  }
  if (requested == "refuse" || mRefuseAll) {
    return SimulatedOutcome::Refuse;
  }
  if (requested == "close") {
    return SimulatedOutcome::Close;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto draw = [&](double aShare) {
    return aShare > 0 && uniform(mRandom) < aShare;
  };
  if (draw(mOptions.mRefuseShare)) {
    return SimulatedOutcome::Refuse;
  }
  if (draw(mOptions.mFailShare)) {
    return SimulatedOutcome::Fail;
  }
  if (draw(mOptions.mSilentShare)) {
    return SimulatedOutcome::Silent;
  }
  return draw(mOptions.mCloseShare) ? SimulatedOutcome::Close
                                    : SimulatedOutcome::Run;
}

bool
TaskRunner::HandleControl(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  std::string_view path = PathOf(request.mTarget);
  if (path == "/healthz") {
    aExchange.Respond(JsonResponse(200, R"({"alive":true})"));
    return true;
  }
  if (path.substr(0, kTasksPrefix.size()) != kTasksPrefix) {
    return false;
  }
  path.remove_prefix(kTasksPrefix.size());
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    return false;
  }
  const std::string attempt(path.substr(0, slash));
  const std::string_view action = path.substr(slash + 1);
  std::vector<std::function<void()>> stops;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [run, running] : mRunning) {
      if (running.mAttempt == attempt) {
        stops.push_back(running.mStop);
      }
    }
  }
  if (stops.empty()) {
    aExchange.Respond(ErrorResponse(
      Error(ErrorKind::NotFound, "no task '" + attempt + "' runs here")));
    return true;
  }
  if (action == "stop") {
    for (const auto& stop : stops) {
      if (stop) {
        stop();
      }
    }
  } else if (action != "checkpoint" && action != "throttle") {
    aExchange.Respond(ErrorResponse(
      Error(ErrorKind::NotFound,
            "no such action (allowed: checkpoint, throttle, stop)")));
    return true;
  }
  aExchange.Respond(JsonResponse(200, "{}"));
  return true;
}

bool
TaskRunner::ExceedsLimits(const Task& aTask) const
{
  if (!mOptions.mEnforceLimits) {
    return false;
  }
  double cores = aTask.mCores;
  std::uint64_t memory = aTask.mMemoryBytes;
  for (const auto& [attempt, running] : mRunning) {
    cores += running.mCores;
    memory += running.mMemoryBytes;
  }
  if (aTask.mIsWorkerTask) {
    return cores > mOptions.mCores || memory > mOptions.mMemoryBytes;
  }
  return mRunning.size() >= mOptions.mSlots;
}

// Records the task before it starts, so that no started task is missing from
// the log.
bool
TaskRunner::TryStart(const Task& aTask)
{
  std::size_t running = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (ExceedsLimits(aTask)) {
      return false;
    }
    RunningTask entry;
    entry.mAttempt = aTask.mAttempt;
    entry.mCores = aTask.mCores;
    entry.mMemoryBytes = aTask.mMemoryBytes;
    mRunning.emplace(aTask.mRun, std::move(entry));
    running = mRunning.size();
    SaveHighestConcurrency(running + mWaiting.size());
  }
  mStartLog.Record(mOptions.mName, aTask.mAttempt, aTask.mKey);
  return true;
}

void
TaskRunner::Run(const HttpExchangePtr& aExchange, Task aTask)
{
  const auto workTime = std::chrono::duration_cast<std::chrono::microseconds>(
    aTask.mWorkTime * mOptions.mWorkTimeFactor);
  if (workTime.count() <= 0) {
    End(aTask.mRun);
    aExchange->Respond(std::move(aTask.mResponse));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(mContext, workTime);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRunning[aTask.mRun].mStop = [this, timer] {
      asio::post(mContext, [timer] { timer->cancel(); });
    };
  }
  timer->async_wait([this, timer, aExchange, task = std::move(aTask)](
                      const asio::error_code& aError) mutable {
    End(task.mRun);
    if (aError) {
      task.mResponse = ErrorResponse(
        Error(ErrorKind::CancelledAfterStart, "the task was stopped"));
    }
    aExchange->Respond(std::move(task.mResponse));
  });
}

void
TaskRunner::End(std::uint64_t aRun)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRunning.erase(aRun);
  if (!mWaiting.empty()) {
    asio::post(mContext, [this] { StartWaiting(); });
  }
}

bool
TaskRunner::TryQueue(const HttpExchangePtr& aExchange,
                     const Task& aTask,
                     SimulatedOutcome aOutcome)
{
  auto isCallerGone = std::make_shared<std::atomic<bool>>(false);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mOptions.mQueueBeyondSlots || mRunning.size() < mOptions.mSlots) {
      return false;
    }
    mWaiting.push_back({ aExchange, aTask, aOutcome, isCallerGone });
    SaveHighestConcurrency(mRunning.size() + mWaiting.size());
  }
  aExchange->OnCallerDisconnected([isCallerGone] { *isCallerGone = true; });
  return true;
}

void
TaskRunner::StartWaiting()
{
  WaitingTask next;
  do {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mWaiting.empty() || mRunning.size() >= mOptions.mSlots) {
      return;
    }
    next = std::move(mWaiting.front());
    mWaiting.pop_front();
  } while (*next.mIsCallerGone);
  Start(next.mExchange, std::move(next.mTask), next.mSimulatedOutcome);
  // The task may have been refused; its slot is then free for the next one.
  asio::post(mContext, [this] { StartWaiting(); });
}

void
TaskRunner::SaveHighestConcurrency(std::size_t aRunning)
{
  if (aRunning <= mHighestConcurrency || mOptions.mConcurrencyFile.empty()) {
    return;
  }
  mHighestConcurrency = aRunning;
  std::ofstream(mOptions.mConcurrencyFile, std::ios::trunc) << aRunning << '\n';
}

}
