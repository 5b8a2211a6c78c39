#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "Base/Result.h"
#include "Jobs/Resources.h"
#include "Membership/Endpoint.h"

namespace almondspoke {

/** Largest number of tasks of one job. */
constexpr std::size_t kMaxTasksPerJob = 580;

/** \brief One task of a job, as the caller declared it. */
struct TaskSpec
{
  std::string mBody;
  Resources mRequired{ 1, 0, 0 };
  /** Zero if the caller declared none. */
  std::chrono::milliseconds mDeclaredRunTime{ 0 };
};

/** \brief The parsed body of a job submission. */
struct JobRequest
{
  ServiceName mService;
  std::string mKind;
  std::string mUrgency;
  std::string mTeam;
  std::chrono::milliseconds mTimeout{ 60'000 };
  std::vector<TaskSpec> mTasks;
};

/** Parses the body of `POST /v1/jobs`. Errors: MalformedRequest if the body is
 * not valid JSON; InvalidArgument, whose message names the invalid member and
 * the values allowed for it. */
Result<JobRequest>
ParseJobRequest(const std::string& aBody);

}
