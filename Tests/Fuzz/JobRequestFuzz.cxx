#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "Jobs/JobRequest.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace almondspoke;
  const std::string body(reinterpret_cast<const char*>(aData), aSize);
  const auto job = ParseJobRequest(body);
  if (!job) {
    return 0;
  }
  if (job.value().mService.empty() || job.value().mTasks.empty() ||
      job.value().mTasks.size() > kMaxTasksPerJob) {
    std::abort();
  }
  for (const TaskSpec& task : job.value().mTasks) {
    if (!(task.mRequired.mCores > 0)) {
      std::abort();
    }
  }
  return 0;
}
