#include "Jobs/JobRequest.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Base/JsonForm.h"
#include "Jobs/Base64.h"

namespace almondspoke {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr double kMaxCores = 4096;
constexpr std::uint64_t kMaxMemoryBytes = 1ULL << 50U;
constexpr std::uint64_t kMaxAccelerators = 1024;
constexpr std::uint64_t kMaxDurationMs = 24ULL * 3600 * 1000;

constexpr std::array<std::string_view, 6> kJobMembers = {
  "service", "kind", "tasks", "timeoutMs", "urgency", "team"
};
constexpr std::array<std::string_view, 6> kTaskMembers = {
  "body", "bodyBase64", "cores", "memoryBytes", "accelerators", "runTimeMs"
};

Error
InvalidMember(const std::string& aMember, const std::string& aAllowed)
{
  return Error(ErrorKind::InvalidArgument,
               aMember + " is not valid; allowed: " + aAllowed);
}

template<std::size_t Size>
std::optional<Error>
CheckMembers(const Json& aObject,
             const std::string& aPath,
             const std::array<std::string_view, Size>& aAllowed)
{
  std::string names;
  for (const std::string_view name : aAllowed) {
    names += names.empty() ? "" : ", ";
    names += name;
  }
  if (!aObject.is_object()) {
    return InvalidMember(aPath, "an object with " + names);
  }
  for (const auto& [name, value] : aObject.items()) {
    if (std::find(aAllowed.begin(), aAllowed.end(), name) == aAllowed.end()) {
      return InvalidMember(
        aPath + " member '" + name.substr(0, kMaxNameBytes) + "'", names);
    }
  }
  return std::nullopt;
}

bool
IsNameCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

std::optional<Error>
ReadName(const Json& aJob,
         const char* aMember,
         bool aRequired,
         std::string& aName)
{
  const auto found = aJob.find(aMember);
  const std::string allowed =
    "1 to " + std::to_string(kMaxNameBytes) + " printable characters";
  if (found == aJob.end()) {
    return aRequired ? std::optional<Error>(InvalidMember(aMember, allowed))
                     : std::nullopt;
  }
  if (!found->is_string()) {
    return InvalidMember(aMember, allowed);
  }
  const auto& text = found->get_ref<const std::string&>();
  if (text.empty() || text.size() > kMaxNameBytes ||
      !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    return InvalidMember(aMember, allowed);
  }
  aName = text;
  return std::nullopt;
}

// Reads an optional integer member from aMinimum to aMaximum. Leaves aValue
// unchanged if the member is absent.
std::optional<Error>
ReadInteger(const Json& aObject,
            const std::string& aPath,
            const char* aMember,
            std::uint64_t aMinimum,
            std::uint64_t aMaximum,
            std::uint64_t& aValue)
{
  const auto found = aObject.find(aMember);
  if (found == aObject.end()) {
    return std::nullopt;
  }
  if (!found->is_number_unsigned() || found->get<std::uint64_t>() < aMinimum ||
      found->get<std::uint64_t>() > aMaximum) {
    return InvalidMember(aPath + aMember,
                         "an integer from " + std::to_string(aMinimum) +
                           " to " + std::to_string(aMaximum));
  }
  aValue = found->get<std::uint64_t>();
  return std::nullopt;
}

std::optional<Error>
ReadCores(const Json& aObject, const std::string& aPath, double& aCores)
{
  const auto found = aObject.find("cores");
  if (found == aObject.end()) {
    return std::nullopt;
  }
  if (!found->is_number() || !(found->get<double>() > 0) ||
      found->get<double>() > kMaxCores) {
    return InvalidMember(aPath + "cores", "a number above 0, at most 4096");
  }
  aCores = found->get<double>();
  return std::nullopt;
}

std::optional<Error>
ReadBody(const Json& aTask, const std::string& aPath, std::string& aBody)
{
  const auto plain = aTask.find("body");
  const auto encoded = aTask.find("bodyBase64");
  if (plain != aTask.end() && encoded != aTask.end()) {
    return InvalidMember(aPath + "body", "either body or bodyBase64");
  }
  if (plain != aTask.end()) {
    if (!plain->is_string()) {
      return InvalidMember(aPath + "body", "a string");
    }
    aBody = plain->get<std::string>();
    return std::nullopt;
  }
  if (encoded == aTask.end()) {
    return std::nullopt;
  }
  std::optional<std::string> bytes;
  if (encoded->is_string()) {
    bytes = DecodeBase64(encoded->get_ref<const std::string&>());
  }
  if (!bytes) {
    return InvalidMember(aPath + "bodyBase64", "a base64 string with padding");
  }
  aBody = std::move(*bytes);
  return std::nullopt;
}

Result<TaskSpec>
ParseTask(const Json& aTask, std::size_t aIndex)
{
  const std::string name = "tasks[" + std::to_string(aIndex) + "]";
  const std::string where = name + ".";
  if (auto error = CheckMembers(aTask, name, kTaskMembers)) {
    return *error;
  }
  TaskSpec task;
  std::uint64_t accelerators = 0;
  std::uint64_t runTime = 0;
  if (auto error = ReadBody(aTask, where, task.mBody)) {
    return *error;
  }
  if (auto error = ReadCores(aTask, where, task.mRequired.mCores)) {
    return *error;
  }
  if (auto error = ReadInteger(aTask,
                               where,
                               "memoryBytes",
                               0,
                               kMaxMemoryBytes,
                               task.mRequired.mMemoryBytes)) {
    return *error;
  }
  if (auto error = ReadInteger(
        aTask, where, "accelerators", 0, kMaxAccelerators, accelerators)) {
    return *error;
  }
  if (auto error =
        ReadInteger(aTask, where, "runTimeMs", 1, kMaxDurationMs, runTime)) {
    return *error;
  }
  task.mRequired.mAccelerators = static_cast<std::uint32_t>(accelerators);
  task.mDeclaredRunTime = std::chrono::milliseconds(runTime);
  return task;
}

}

Result<JobRequest>
ParseJobRequest(const std::string& aBody)
{
  BOOST_OUTCOME_TRYV(CheckJsonForm(aBody));
  const Json body = Json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    return Error(ErrorKind::MalformedRequest, "the body is not valid JSON");
  }
  if (auto error = CheckMembers(body, "the job", kJobMembers)) {
    return *error;
  }
  JobRequest job;
  if (auto error = ReadName(body, "service", true, job.mService)) {
    return *error;
  }
  job.mKind = job.mService;
  if (auto error = ReadName(body, "kind", false, job.mKind)) {
    return *error;
  }
  if (auto error = ReadName(body, "urgency", false, job.mUrgency)) {
    return *error;
  }
  if (auto error = ReadName(body, "team", false, job.mTeam)) {
    return *error;
  }
  auto timeout = static_cast<std::uint64_t>(job.mTimeout.count());
  if (auto error =
        ReadInteger(body, "", "timeoutMs", 1, kMaxDurationMs, timeout)) {
    return *error;
  }
  job.mTimeout = std::chrono::milliseconds(timeout);
  const auto tasks = body.find("tasks");
  if (tasks == body.end() || !tasks->is_array() || tasks->empty() ||
      tasks->size() > kMaxTasksPerJob) {
    return InvalidMember("tasks",
                         "an array of 1 to " + std::to_string(kMaxTasksPerJob) +
                           " tasks");
  }
  job.mTasks.reserve(tasks->size());
  for (const Json& task : *tasks) {
    Result<TaskSpec> parsed = ParseTask(task, job.mTasks.size());
    if (!parsed) {
      return parsed.error();
    }
    job.mTasks.push_back(std::move(parsed.value()));
  }
  return job;
}

}
