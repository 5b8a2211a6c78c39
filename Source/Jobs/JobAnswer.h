#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Base/Result.h"

namespace almondspoke {

/** \brief State of a job as reported to callers. */
enum class JobState
{
  Queued,
  Running,
  Complete,
  Failed,
  Cancelled
};

/** Returns "queued", "running", "complete", "failed" or "cancelled". */
std::string_view
NameOf(JobState aState);

/** \brief A worker's answer to one task. */
struct TaskResult
{
  /** HTTP status. */
  int mStatus = 0;
  std::string mBody;
};

/** \brief The HTTP answer to a request about a job. */
struct JobAnswer
{
  /** HTTP status. */
  int mStatus = 0;
  /** JSON. */
  std::string mBody;
};

/** Builds the answer for a job that has not ended. */
JobAnswer
PendingAnswer(const std::string& aKey, JobState aState);

/** Builds the answer for a complete job, with the results of all tasks. A
 * result that is not valid UTF-8 is returned in base64 as `bodyBase64`. */
JobAnswer
CompleteAnswer(const std::string& aKey,
               const std::vector<TaskResult>& aResults);

/** Builds the answer for a failed or cancelled job, without task results. */
JobAnswer
FailedAnswer(const std::string& aKey, const Error& aError);

/** Encodes an answer in the form that the submission group stores. */
std::string
EncodeAnswer(const JobAnswer& aAnswer);

/** Decodes a stored answer. Errors: Internal if aRecord does not start with an
 * HTTP status. */
Result<JobAnswer>
DecodeAnswer(const std::string& aRecord);

}
