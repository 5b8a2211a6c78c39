#include "Jobs/JobAnswer.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "Base/EnumNames.h"
#include "Jobs/Base64.h"

namespace almondspoke {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

constexpr std::array<EnumName<JobState>, 5> kStateNames = { {
  { JobState::Queued, "queued" },
  { JobState::Running, "running" },
  { JobState::Complete, "complete" },
  { JobState::Failed, "failed" },
  { JobState::Cancelled, "cancelled" },
} };

// Separates the HTTP status from the body in a stored answer.
constexpr char kStatusSeparator = '\n';

Json
ResultJson(const TaskResult& aResult)
{
  Json result;
  result["status"] = aResult.mStatus;
  result["body"] = aResult.mBody;
  try {
    result.dump();
    return result;
  } catch (const Json::type_error&) {
    // The body is not valid UTF-8, so it cannot be a JSON string.
    result.erase("body");
    result["bodyBase64"] = EncodeBase64(aResult.mBody);
    return result;
  }
}

}

std::string_view
NameOf(JobState aState)
{
  return NameOf(kStateNames, aState);
}

JobAnswer
PendingAnswer(const std::string& aKey, JobState aState)
{
  Json body;
  body["key"] = aKey;
  body["state"] = NameOf(aState);
  return { kHttpAccepted, body.dump() };
}

JobAnswer
CompleteAnswer(const std::string& aKey, const std::vector<TaskResult>& aResults)
{
  Json body;
  body["key"] = aKey;
  body["state"] = NameOf(JobState::Complete);
  body["results"] = Json::array();
  for (const TaskResult& result : aResults) {
    body["results"].push_back(ResultJson(result));
  }
  return { kHttpOk, body.dump() };
}

JobAnswer
FailedAnswer(const std::string& aKey, const Error& aError)
{
  const bool cancelled = aError.Kind() == ErrorKind::CancelledBeforeStart ||
                         aError.Kind() == ErrorKind::CancelledAfterStart;
  Json body;
  body["key"] = aKey;
  body["state"] = NameOf(cancelled ? JobState::Cancelled : JobState::Failed);
  body["error"] = Json::parse(aError.ToJson())["error"];
  return { aError.Traits().mHttpStatus, body.dump() };
}

std::string
EncodeAnswer(const JobAnswer& aAnswer)
{
  return std::to_string(aAnswer.mStatus) + kStatusSeparator + aAnswer.mBody;
}

Result<JobAnswer>
DecodeAnswer(const std::string& aRecord)
{
  JobAnswer answer;
  const char* last = aRecord.data() + aRecord.size();
  const auto [end, error] =
    std::from_chars(aRecord.data(), last, answer.mStatus);
  if (error != std::errc() || end == last || *end != kStatusSeparator) {
    return Error(ErrorKind::Internal,
                 "the recorded answer does not start with an HTTP status");
  }
  answer.mBody.assign(end + 1, last);
  return answer;
}

}
