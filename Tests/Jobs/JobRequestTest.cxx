#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Base/JsonForm.h"
#include "Jobs/Base64.h"
#include "Jobs/JobsHandler.h"
#include "JobsFixture.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

std::string
WithTask(const std::string& aTask)
{
  return R"({"service":"s","tasks":[)" + aTask + "]}";
}

}

TEST_CASE("Job request: all members are parsed")
{
  const auto job = ParseJobRequest(
    R"({"service":"preview","kind":"wood","timeoutMs":1500,"urgency":"first",
        "team":"north","tasks":[{"body":"a","cores":0.5,"memoryBytes":7,
        "accelerators":2,"runTimeMs":80},{"bodyBase64":"/wA="},{}]})");
  REQUIRE(job);
  CHECK(job.value().mService == "preview");
  CHECK(job.value().mKind == "wood");
  CHECK(job.value().mUrgency == "first");
  CHECK(job.value().mTeam == "north");
  CHECK(job.value().mTimeout.count() == 1500);
  REQUIRE(job.value().mTasks.size() == 3);
  const TaskSpec& task = job.value().mTasks[0];
  CHECK(task.mBody == "a");
  CHECK(task.mRequired.mCores == 0.5);
  CHECK(task.mRequired.mMemoryBytes == 7);
  CHECK(task.mRequired.mAccelerators == 2);
  CHECK(task.mDeclaredRunTime.count() == 80);
  CHECK(job.value().mTasks[1].mBody == std::string("\xff\0", 2));
  CHECK(job.value().mTasks[2].mRequired.mCores == 1);
}

TEST_CASE("Job request: the error for invalid input names the member")
{
  struct Row
  {
    std::string mBody;
    ErrorKind mKind;
    std::string mNamed;
  };
  const auto row = GENERATE(values<Row>({
    { "", ErrorKind::MalformedRequest, "JSON" },
    { "{", ErrorKind::MalformedRequest, "JSON" },
    { "\xff\xfe", ErrorKind::MalformedRequest, "JSON" },
    { "[]", ErrorKind::InvalidArgument, "the job" },
    { "{}", ErrorKind::InvalidArgument, "service" },
    { R"({"service":7,"tasks":[{}]})", ErrorKind::InvalidArgument, "service" },
    { R"({"service":"","tasks":[{}]})", ErrorKind::InvalidArgument, "service" },
    { R"({"service":"s"})", ErrorKind::InvalidArgument, "tasks" },
    { R"({"service":"s","tasks":[]})", ErrorKind::InvalidArgument, "tasks" },
    { R"({"service":"s","tasks":{}})", ErrorKind::InvalidArgument, "tasks" },
    { R"({"service":"s","tasks":[{}],"x":1})",
      ErrorKind::InvalidArgument,
      "'x'" },
    { R"({"service":"s","tasks":[{}],"timeoutMs":0})",
      ErrorKind::InvalidArgument,
      "timeoutMs" },
    { R"({"service":"s","tasks":[{}],"timeoutMs":-5})",
      ErrorKind::InvalidArgument,
      "timeoutMs" },
    { WithTask("7"), ErrorKind::InvalidArgument, "tasks[0]" },
    { WithTask(R"({"core":1})"), ErrorKind::InvalidArgument, "'core'" },
    { WithTask(R"({"cores":0})"), ErrorKind::InvalidArgument, "cores" },
    { WithTask(R"({"cores":-1})"), ErrorKind::InvalidArgument, "cores" },
    { WithTask(R"({"cores":1e300})"), ErrorKind::InvalidArgument, "cores" },
    { WithTask(R"({"cores":"1"})"), ErrorKind::InvalidArgument, "cores" },
    { WithTask(R"({},{"memoryBytes":-1})"),
      ErrorKind::InvalidArgument,
      "tasks[1].memoryBytes" },
    { WithTask(R"({"memoryBytes":1.5})"),
      ErrorKind::InvalidArgument,
      "memoryBytes" },
    { WithTask(R"({"memoryBytes":99999999999999999999})"),
      ErrorKind::InvalidArgument,
      "memoryBytes" },
    { WithTask(R"({"accelerators":5000})"),
      ErrorKind::InvalidArgument,
      "accelerators" },
    { WithTask(R"({"runTimeMs":"soon"})"),
      ErrorKind::InvalidArgument,
      "runTimeMs" },
    { WithTask(R"({"body":7})"), ErrorKind::InvalidArgument, "body" },
    { WithTask(R"({"body":"a","bodyBase64":"YQ=="})"),
      ErrorKind::InvalidArgument,
      "body" },
    { WithTask(R"({"bodyBase64":"!!!!"})"),
      ErrorKind::InvalidArgument,
      "bodyBase64" },
  }));
  const auto job = ParseJobRequest(row.mBody);
  REQUIRE_FALSE(job);
  CHECK(job.error().Kind() == row.mKind);
  CHECK(job.error().Message().find(row.mNamed) != std::string::npos);
}

TEST_CASE("Job request: a job has at most 580 tasks")
{
  CHECK(ParseJobRequest(JobBody(580)));
  const auto job = ParseJobRequest(JobBody(581));
  REQUIRE_FALSE(job);
  CHECK(job.error().Message().find("580") != std::string::npos);
}

// Guards against bodies whose decoded form takes many times their memory.
TEST_CASE("Job request: a body of very many values is refused")
{
  std::string body = R"({"tasks":[0)";
  for (std::size_t i = 0; i < kMaxJsonValues; ++i) {
    body += ",0";
  }
  const Result<JobRequest> job = ParseJobRequest(body + "]}");
  REQUIRE_FALSE(job);
  CHECK(job.error().Kind() == ErrorKind::MalformedRequest);
}

TEST_CASE("Base64: decoding returns the encoded bytes")
{
  std::string bytes;
  for (int length = 0; length < 300; ++length) {
    const std::string text = EncodeBase64(bytes);
    CHECK(text.size() % 4 == 0);
    CHECK(DecodeBase64(text) == bytes);
    bytes += static_cast<char>(length * 37);
  }
  CHECK(EncodeBase64("hello") == "aGVsbG8=");
  for (const char* bad : { "a", "a===", "====", "ab=c", "YQ=", "YQ==YQ==" }) {
    INFO(bad);
    CHECK_FALSE(DecodeBase64(bad));
  }
}

TEST_CASE(
  "Jobs handler: a result that is not valid UTF-8 is returned in base64")
{
  JobsFixture fixture;
  fixture.mSender.mBehaviour = FakeTaskSender::Behaviour::Hold;
  const Reply reply = fixture.mA.Submit("zagreb:1", JobBody(1));
  fixture.mSender.End("zagreb:1#0", FakeTaskSender::Answered(200, "\xff\xfe"));
  REQUIRE(reply->mAnswer);
  CHECK(reply->Body().at("results")[0].at("bodyBase64") == "//4=");
}

TEST_CASE("Jobs handler: the key header and the wait parameter are checked")
{
  struct Row
  {
    std::optional<std::string> mKey;
    std::optional<std::string> mWait;
    std::string mError;
  };
  const auto row = GENERATE(values<Row>({
    { std::nullopt, std::nullopt, "key-required" },
    { "", std::nullopt, "key-required" },
    { std::string(10'240, 'k'), std::nullopt, "key-invalid" },
    { "zagreb:@9-a", std::nullopt, "key-invalid" },
    { "zagreb:1", "soon", "invalid-argument" },
    { "zagreb:1", "-1", "invalid-argument" },
    { "zagreb:1", "60001", "invalid-argument" },
    { "zagreb:1", "99999999999999999999", "invalid-argument" },
    { "zagreb:1", "", "invalid-argument" },
    { "zagreb:1", "60000", "" },
    { "zagreb:@1-a", std::nullopt, "" },
  }));
  JobsFixture fixture;
  JobsHandler handler(fixture.mA.mController, fixture.mA.mSettings);
  const Reply reply = std::make_shared<PendingReply>();
  handler.Post(row.mKey, row.mWait, JobBody(1), JobInstance::StoreIn(reply));
  REQUIRE(reply->mAnswer);
  if (row.mError.empty()) {
    CHECK(reply->mAnswer->mStatus < 300);
    return;
  }
  CHECK(reply->ErrorName() == row.mError);
  CHECK(fixture.mSender.mStarts.empty());
}
