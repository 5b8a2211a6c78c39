#include "Daemon/HttpTaskSender.h"

#include <charconv>
#include <cmath>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "Transport/PercentEncoding.h"

namespace almondspoke {

namespace {

constexpr std::chrono::seconds kControlTimeout{ 2 };
constexpr std::size_t kMaxConnections = 1000;

std::string
TaskTarget(const std::string& aAttemptId)
{
  return "/tasks/" + PercentEncode(aAttemptId);
}

HttpFields
FieldsOf(const TaskAttempt& aAttempt)
{
  return { { "Content-Type", "application/json" },
           { "Almondspoke-Service", aAttempt.mService },
           { "Almondspoke-Lease-Id", aAttempt.mLeaseId },
           { "Almondspoke-Lease-Epoch", std::to_string(aAttempt.mEpoch) },
           { "Almondspoke-Lease-Remaining-Ms",
             std::to_string(aAttempt.mLeaseRemaining.count()) } };
}

TaskOutcome::Kind
KindOf(TransferOutcome aOutcome)
{
  switch (aOutcome) {
    case TransferOutcome::Answered:
      return TaskOutcome::Kind::Answered;
    case TransferOutcome::RefusedNotRun:
      return TaskOutcome::Kind::RefusedNotRun;
    case TransferOutcome::NotSent:
      return TaskOutcome::Kind::NotSent;
    case TransferOutcome::MayHaveRun:
      break;
  }
  return TaskOutcome::Kind::MayHaveRun;
}

// Returns the value of a header field as a non-negative number; no value if the
// field is absent or invalid.
template<typename T>
std::optional<T>
ParseNumberField(const HttpFields& aFields, std::string_view aName)
{
  const std::string* text = FindField(aFields, aName);
  if (text == nullptr) {
    return std::nullopt;
  }
  T value{};
  const char* end = text->data() + text->size();
  const auto [parsed, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || parsed != end || !(value >= 0)) {
    return std::nullopt;
  }
  return value;
}

// Returns the resources that, according to the worker, a task used. If only one
// of the two fields is valid, the other resource is zero, which the usage
// estimates ignore.
std::optional<Resources>
UsedResources(const HttpFields& aFields)
{
  const auto cores = ParseNumberField<double>(aFields, kUsedCoresField);
  const auto memory =
    ParseNumberField<std::uint64_t>(aFields, kUsedMemoryField);
  if (!cores && !memory) {
    return std::nullopt;
  }
  Resources used;
  used.mCores = cores && std::isfinite(*cores) ? *cores : 0;
  used.mMemoryBytes = memory.value_or(0);
  return used;
}

}

HttpTaskSender::HttpTaskSender(const Clock& aClock, HttpClient& aClient)
  : mClock(aClock)
  , mClient(aClient)
{
}

void
HttpTaskSender::Start(TaskAttempt aAttempt, Done aDone)
{
  const Clock::Monotonic start = mClock.MonotonicNow();
  HttpAttempt attempt;
  attempt.mAddress = aAttempt.mAddress;
  attempt.mTarget = TaskTarget(aAttempt.mAttemptId);
  attempt.mFields = FieldsOf(aAttempt);
  attempt.mBody =
    std::make_shared<const std::string>(std::move(aAttempt.mBody));
  attempt.mDeadline = start + aAttempt.mTimeout;
  attempt.mUseNewConnection = true;
  attempt.mMaxConnections = kMaxConnections;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mAddresses[aAttempt.mAttemptId] = aAttempt.mAddress;
  }
  mClient.Start(
    std::move(attempt),
    [this, id = std::move(aAttempt.mAttemptId), start, done = std::move(aDone)](
      AttemptResult aResult) {
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mAddresses.erase(id);
      }
      TaskOutcome outcome;
      outcome.mKind = KindOf(aResult.mOutcome);
      outcome.mStatus = aResult.mResponse.mStatus;
      outcome.mUsed = UsedResources(aResult.mResponse.mFields);
      outcome.mBody = std::move(aResult.mResponse.mBody);
      outcome.mRunTime = std::chrono::duration_cast<std::chrono::milliseconds>(
        mClock.MonotonicNow() - start);
      done(std::move(outcome));
    });
}

void
HttpTaskSender::Stop(const EndpointName& /*aWorker*/,
                     const std::string& aAttemptId)
{
  SendControl(aAttemptId, "/stop");
}

void
HttpTaskSender::Checkpoint(const EndpointName& /*aWorker*/,
                           const std::string& aAttemptId)
{
  SendControl(aAttemptId, "/checkpoint");
}

void
HttpTaskSender::Throttle(const EndpointName& /*aWorker*/,
                         const std::string& aAttemptId)
{
  SendControl(aAttemptId, "/throttle");
}

void
HttpTaskSender::SendControl(const std::string& aAttemptId, const char* aAction)
{
  HttpAttempt attempt;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mAddresses.find(aAttemptId);
    if (found == mAddresses.end()) {
      return;
    }
    attempt.mAddress = found->second;
  }
  attempt.mTarget = TaskTarget(aAttemptId) + aAction;
  attempt.mBody = std::make_shared<const std::string>();
  attempt.mDeadline = mClock.MonotonicNow() + kControlTimeout;
  attempt.mMaxConnections = kMaxConnections;
  mClient.Start(std::move(attempt), [](const AttemptResult&) {});
}

}
