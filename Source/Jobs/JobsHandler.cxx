#include "Jobs/JobsHandler.h"

#include <charconv>
#include <utility>

namespace almondspoke {

namespace {

JobAnswer
ErrorAnswer(const Error& aError)
{
  return { aError.Traits().mHttpStatus, aError.ToJson() };
}

}

JobsHandler::JobsHandler(JobController& aController,
                         const JobSettings& aSettings)
  : mController(aController)
  , mSettings(aSettings)
{
}

void
JobsHandler::Post(const std::optional<std::string>& aKey,
                  const std::optional<std::string>& aWait,
                  const std::string& aBody,
                  Done aDone)
{
  const Result<std::chrono::milliseconds> wait = ParseWait(aWait);
  if (!wait) {
    aDone(ErrorAnswer(wait.error()));
    return;
  }
  mController.Submit(
    aKey.value_or(std::string()), aBody, wait.value(), std::move(aDone));
}

void
JobsHandler::Get(const std::string& aKey,
                 const std::optional<std::string>& aWait,
                 Done aDone)
{
  const Result<std::chrono::milliseconds> wait = ParseWait(aWait);
  if (!wait) {
    aDone(ErrorAnswer(wait.error()));
    return;
  }
  mController.Show(aKey, wait.value(), std::move(aDone));
}

void
JobsHandler::Delete(const std::string& aKey, Done aDone)
{
  mController.Cancel(aKey, std::move(aDone));
}

void
JobsHandler::Home(Done aDone)
{
  mController.Home(std::move(aDone));
}

Result<std::chrono::milliseconds>
JobsHandler::ParseWait(const std::optional<std::string>& aWait) const
{
  if (!aWait) {
    return std::chrono::milliseconds(0);
  }
  std::int64_t wait = 0;
  const char* last = aWait->data() + aWait->size();
  const auto [end, error] = std::from_chars(aWait->data(), last, wait);
  if (error != std::errc() || end != last || wait < 0 ||
      wait > mSettings.mMaxWait.count()) {
    constexpr std::size_t kShownBytes = 32;
    return Error(ErrorKind::InvalidArgument,
                 "wait=" + aWait->substr(0, kShownBytes) +
                   " is not valid; allowed: an integer from 0 to " +
                   std::to_string(mSettings.mMaxWait.count()) +
                   " milliseconds");
  }
  return std::chrono::milliseconds(wait);
}

}
