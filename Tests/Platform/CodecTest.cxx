#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/JobCodec.h"
#include "platform/Json.h"
#include "platform/ManifestCodec.h"
#include "platform/WorkerCodec.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using nlohmann::json;

namespace {

json
GoodManifest()
{
  return json::parse(R"({"version":7,"routes":[
    {"name":"r1","host":"h.example","path_prefix":"/p/","timeout_ms":1500,
     "target_latency_ms":60,"priority":1,"service":"s","max_attempts":2,
     "slack_factor":1.6,"future":"ignored"}],
    "services":[{"name":"s","max_connections":32,"enforce_capacity":true}],
    "limits":{}})");
}

json
GoodJob()
{
  return json::parse(R"json({"spec":"(text)","steps":[
    {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1-3"},
    {"count":20,"cpu":2000,"after":[0],"anti_affinity":2}],
    "best_effort":true})json");
}

json
GoodReport()
{
  return json::parse(R"({"service":"s","address":"10.128.0.9:8080",
    "zone":"riga-a","version":"v1","slots":8,"state":"ready",
    "cold_remaining_ms":5,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":1},
    "labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700})");
}

HttpRequest
RequestOf(const std::string& aMethod, const std::string& aBody)
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = "/p/5c0e7a21d94b36f8?x=1";
  request.mFields = { { "Host", "h.example:80" }, { "Deadline-Ms", "1500" } };
  request.mBody = aBody;
  return request;
}

}

TEST_CASE("Platform codec: a manifest is decoded and keeps its text")
{
  const std::string text = GoodManifest().dump();
  const auto manifest = platform::DecodeManifest(text);
  REQUIRE(manifest);
  CHECK(manifest.value().mText == text);
  CHECK(manifest.value().mVersion == 7);
  const Queue& queue = manifest.value().mQueues.at(0);
  CHECK(queue.mPathPrefix == "/p/");
  CHECK(queue.mPool == "s");
  CHECK(queue.mPriority == 1);
  CHECK(queue.mSlackFactor == Approx(1.6));
  CHECK(manifest.value().mPools.at(0).mMaxConnections == 32);
  CHECK(manifest.value().mPools.at(0).mEnforcesCapacity);
}

// Guards against limits that refuse callers because a field is missing or odd.
TEST_CASE(
  "Platform codec: the limits of a manifest are read, odd ones are none")
{
  json manifest = GoodManifest();
  CallerLimits expected;
  SECTION("none") {}
  SECTION("all")
  {
    manifest["limits"] = { { "max_header_bytes", 16384 },
                           { "max_body_bytes", 262144 },
                           { "header_timeout_ms", 3000 },
                           { "idle_timeout_ms", 15000 } };
    expected = { 16384, 262144, 3000, 15000 };
  }
  SECTION("of other types")
  {
    manifest["limits"] = { { "max_header_bytes", "16384" },
                           { "max_body_bytes", -1 },
                           { "idle_timeout_ms", 15000 } };
    expected.mIdleTimeoutMs = 15000;
  }
  SECTION("a list")
  {
    manifest["limits"] = json::array({ 1 });
  }
  const auto decoded = platform::DecodeManifest(manifest.dump());
  REQUIRE(decoded);
  CHECK(decoded.value().mLimits == expected);
}

// Guards against bodies whose decoded form takes many times their memory.
TEST_CASE("Platform codec: a body of very many values or steps is refused")
{
  std::string body = R"({"spec":"x","steps":[{})";
  SECTION("values")
  {
    for (std::size_t i = 0; i < kMaxJsonValues; ++i) {
      body += ",{}";
    }
    const auto job = platform::DecodeJob(body + "]}");
    REQUIRE_FALSE(job);
    CHECK(job.error().Kind() == ErrorKind::MalformedRequest);
  }
  SECTION("steps")
  {
    constexpr std::size_t kMaxSteps = 2000;
    for (std::size_t i = 1; i < kMaxSteps; ++i) {
      body += ",{}";
    }
    CHECK(platform::DecodeJob(body + "]}"));
    const auto job = platform::DecodeJob(body + ",{}]}");
    REQUIRE_FALSE(job);
    CHECK(job.error().Kind() == ErrorKind::InvalidArgument);
  }
}

// Guards against a journal of an earlier version that cannot be read.
TEST_CASE("Platform codec: a manifest stored without limits is readable")
{
  msgpack::sbuffer stored;
  msgpack::pack(stored,
                std::make_tuple(std::uint64_t{ 7 },
                                std::vector<Queue>(),
                                std::vector<Pool>(),
                                std::string("text")));
  const auto manifest =
    msgpack::unpack(stored.data(), stored.size())->as<Manifest>();
  CHECK(manifest.mVersion == 7);
  CHECK(manifest.mText == "text");
  CHECK(manifest.mLimits == CallerLimits());
}

TEST_CASE("Platform codec: an invalid manifest is refused")
{
  json manifest = GoodManifest();
  std::string text;
  SECTION("truncated text")
  {
    text = manifest.dump().substr(0, 100);
  }
  SECTION("a list instead of an object")
  {
    text = "[]";
  }
  SECTION("no version")
  {
    manifest.erase("version");
  }
  SECTION("a version of another type")
  {
    manifest["version"] = "7";
  }
  SECTION("a negative version")
  {
    manifest["version"] = -7;
  }
  SECTION("no routes")
  {
    manifest.erase("routes");
  }
  SECTION("no services")
  {
    manifest.erase("services");
  }
  SECTION("a route that is not an object")
  {
    manifest["routes"][0] = 5;
  }
  SECTION("an unknown service")
  {
    manifest["routes"][0]["service"] = "t";
  }
  SECTION("no timeout")
  {
    manifest["routes"][0].erase("timeout_ms");
  }
  SECTION("a timeout of 0")
  {
    manifest["routes"][0]["timeout_ms"] = 0;
  }
  SECTION("a timeout that is not an integer")
  {
    manifest["routes"][0]["timeout_ms"] = 1.5;
  }
  SECTION("two routes with the same host and prefix")
  {
    manifest["routes"].push_back(manifest["routes"][0]);
  }
  SECTION("a service without a name")
  {
    manifest["services"][0].erase("name");
  }
  CHECK_FALSE(platform::DecodeManifest(text.empty() ? manifest.dump() : text));
}

TEST_CASE("Platform codec: a submission is decoded into steps")
{
  const auto call = platform::DecodeCall(RequestOf("POST", GoodJob().dump()));
  REQUIRE(call);
  CHECK(call.value().mKind == JobCallKind::Submit);
  CHECK(call.value().mHost == "h.example");
  CHECK(call.value().mPath == "/p/5c0e7a21d94b36f8");
  CHECK(call.value().mWaitMs == 1500);
  const JobSubmission& job = call.value().mJob;
  CHECK(job.mBestEffort);
  REQUIRE(job.mSteps.size() == 2);
  CHECK(job.mSteps[0].mNeeds.mMilliCores == 500);
  CHECK(job.mSteps[0].mDataRack == "r1-3");
  CHECK(job.mSteps[1].mDependsOn == std::vector<std::uint32_t>{ 0 });
  CHECK(job.mSteps[1].mMaxPerWorker == 2);
  CHECK(job.mUnsupportedFeature.empty());
}

TEST_CASE("Platform codec: an unsupported feature is reported by its field")
{
  json job = GoodJob();
  std::string expected;
  SECTION("repeated jobs")
  {
    job["repeat_count"] = 3;
    expected = "repeat_count";
  }
  SECTION("gangs")
  {
    job["steps"][1]["gang"] = true;
    expected = "gang";
  }
  SECTION("long-running tasks")
  {
    job["long_running"] = true;
    expected = "long_running";
  }
  SECTION("filler tasks")
  {
    job["steps"][0]["fills"] = true;
    expected = "fills";
  }
  const auto decoded = platform::DecodeJob(job.dump());
  REQUIRE(decoded);
  CHECK(decoded.value().mUnsupportedFeature == expected);
}

TEST_CASE("Platform codec: a malformed job is refused")
{
  json job = GoodJob();
  std::string text;
  SECTION("no JSON")
  {
    text = "{\"spec\":";
  }
  SECTION("no spec")
  {
    job.erase("spec");
  }
  SECTION("a spec of another type")
  {
    job["spec"] = 5;
  }
  SECTION("a spec that is too long")
  {
    job["spec"] = std::string(4001, 'x');
  }
  SECTION("no steps")
  {
    job.erase("steps");
  }
  SECTION("steps of another type")
  {
    job["steps"] = "x";
  }
  SECTION("a step of another type")
  {
    job["steps"][0] = 1;
  }
  SECTION("after of another type")
  {
    job["steps"][1]["after"] = 0;
  }
  SECTION("an entry of after with another type")
  {
    job["steps"][1]["after"] = { "0" };
  }
  CHECK_FALSE(platform::DecodeJob(text.empty() ? job.dump() : text));
}

TEST_CASE("Platform codec: GET, DELETE and POST are the only methods")
{
  CHECK(platform::DecodeCall(RequestOf("GET", "")).value().mKind ==
        JobCallKind::Query);
  CHECK(platform::DecodeCall(RequestOf("DELETE", "")).value().mKind ==
        JobCallKind::Cancel);
  CHECK_FALSE(platform::DecodeCall(RequestOf("PUT", "")));
}

TEST_CASE("Platform codec: each kind of reply maps to an HTTP status")
{
  struct Row
  {
    JobReplyKind mKind;
    int mStatus;
  };
  for (const Row& row : { Row{ JobReplyKind::Accepted, 200 },
                          Row{ JobReplyKind::State, 200 },
                          Row{ JobReplyKind::Count, 200 },
                          Row{ JobReplyKind::UnknownQueue, 404 },
                          Row{ JobReplyKind::UnknownJob, 410 },
                          Row{ JobReplyKind::Malformed, 400 },
                          Row{ JobReplyKind::Refused, 429 },
                          Row{ JobReplyKind::Unavailable, 503 },
                          Row{ JobReplyKind::Unknown, 504 } }) {
    INFO(NameOf(row.mKind));
    JobReply reply;
    reply.mKind = row.mKind;
    CHECK(platform::EncodeReply(reply).mStatus == row.mStatus);
  }
  JobReply refused;
  refused.mKind = JobReplyKind::Refused;
  refused.mRetryAfterMs = 1200;
  const HttpResponse response = platform::EncodeReply(refused);
  REQUIRE(FindField(response.mFields, "Retry-After") != nullptr);
  CHECK(*FindField(response.mFields, "Retry-After") == "2");
  JobReply state;
  state.mKind = JobReplyKind::State;
  state.mState = JobState::Running;
  CHECK(platform::EncodeReply(state).mBody == R"({"state":"running"})");
}

TEST_CASE("Platform codec: an incomplete worker report is refused")
{
  json report = GoodReport();
  const auto good = platform::DecodeReport("i-1", report.dump());
  REQUIRE(good);
  CHECK(good.value().mBoot == WorkerBoot{ "i-1", 1700 });
  CHECK(good.value().mCapacity.mMilliCores == 16000);
  CHECK(good.value().mLabels == std::vector<std::string>{ "a", "r1-3" });
  CHECK(good.value().mClockMs == 482113);
  CHECK_FALSE(good.value().mDraining);
  std::string text;
  SECTION("no JSON")
  {
    text = "\xff\xfe";
  }
  SECTION("no service")
  {
    report.erase("service");
  }
  SECTION("an address of another type")
  {
    report["address"] = 5;
  }
  SECTION("an unknown state")
  {
    report["state"] = "resting";
  }
  SECTION("no sequence")
  {
    report.erase("sequence");
  }
  SECTION("a sequence of another type")
  {
    report["sequence"] = "4";
  }
  SECTION("no capacity")
  {
    report.erase("capacity");
  }
  CHECK_FALSE(
    platform::DecodeReport("i-1", text.empty() ? report.dump() : text));
}

TEST_CASE("Platform codec: task ids are encoded and decoded")
{
  const TaskId task{ "5c0e7a21d94b36f8", 0, 1, 17 };
  CHECK(platform::EncodeTaskId(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(platform::DecodeTaskId("5c0e7a21d94b36f8.0.1.17") == task);
  for (const char* text : { "",
                            "x",
                            "a.1.2",
                            "a.1.2.",
                            "a.1.2.x",
                            ".1.2.3",
                            "a.1.-2.3",
                            "a.1.2.99999999999" }) {
    INFO(text);
    CHECK_FALSE(platform::DecodeTaskId(text));
  }
}

TEST_CASE("Platform codec: orders are encoded with all their fields")
{
  StartOrder start;
  start.mTarget.mFence = 7;
  start.mRun = { { "j", 0, 1, 2 }, 3 };
  start.mPayload = "a \"quoted\"\ntext";
  start.mLeaseEnd = 486000;
  json body = json::parse(platform::EncodeStart(start));
  CHECK(body == json({ { "task", "j.0.1.2" },
                       { "run", 3 },
                       { "spec", start.mPayload },
                       { "deadline_ms", 486000 },
                       { "fencing_token", 7 } }));
  start.mCheckpoint = "0bb8";
  CHECK(json::parse(platform::EncodeStart(start))["checkpoint"] == "0bb8");
  HoldOrder hold;
  hold.mTarget.mFence = 7;
  hold.mAcknowledgedEnds = 57;
  CHECK(json::parse(platform::EncodeHold(hold)) ==
        json({ { "fencing_token", 7 }, { "ack_cursor", 57 } }));
  hold.mLeaseEnd = 486000;
  hold.mMaxWait = std::chrono::milliseconds(300);
  body = json::parse(platform::EncodeHold(hold));
  CHECK(body["deadline_ms"] == 486000);
  CHECK(body["wait_ms"] == 300);
  StopOrder stop;
  stop.mTarget.mFence = 7;
  stop.mRun = start.mRun;
  CHECK(json::parse(platform::EncodeStop(stop)) ==
        json({ { "task", "j.0.1.2" }, { "run", 3 }, { "fencing_token", 7 } }));
}

TEST_CASE("Platform codec: answers to orders map to outcomes")
{
  struct Row
  {
    int mStatus;
    const char* mBody;
    OrderOutcome mOutcome;
  };
  for (const Row& row :
       { Row{ 200, R"({"clock_ms":5})", OrderOutcome::Done },
         Row{ 409, R"({"reason":"fence"})", OrderOutcome::Fenced },
         Row{ 409, R"({"reason":"old"})", OrderOutcome::Superseded },
         Row{ 409, R"({"reason":"late"})", OrderOutcome::LeaseExpired },
         Row{ 409, R"({"reason":"room"})", OrderOutcome::NoRoom },
         Row{ 409, R"({"reason":"new"})", OrderOutcome::Failed },
         Row{ 409, "", OrderOutcome::Failed },
         Row{ 421, "", OrderOutcome::OtherBoot },
         Row{ 429, "", OrderOutcome::Unhealthy },
         Row{ 503, "", OrderOutcome::Unhealthy },
         Row{ 500, "", OrderOutcome::Failed } }) {
    INFO(row.mStatus << row.mBody);
    CHECK(platform::DecodeOrderAnswer(row.mStatus, row.mBody).mOutcome ==
          row.mOutcome);
  }
}

TEST_CASE("Platform codec: malformed rows in the lists of runs are ignored")
{
  const auto lists = platform::DecodeHoldAnswer(200, R"({"clock_ms":482113,
    "born":17,"running":[["j.0.1.17",2,"cp",41,3],["j.0.1"],5,["j.0.1.2","x"]],
    "finished":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",1,"resting",""],
    [60,"j.0.1.7",1,"failed","cp"]]})");
  CHECK(lists.mOutcome == OrderOutcome::Done);
  CHECK(lists.mStartTimeMs == 17);
  REQUIRE(lists.mRunning.size() == 1);
  CHECK(lists.mRunning[0].mPercent == 41);
  CHECK(lists.mRunning[0].mCheckpoint == "cp");
  REQUIRE(lists.mEnded.size() == 2);
  CHECK(lists.mEnded[1].mEnd == RunEnd::Failed);
  // An answer without lists must not be taken for one with empty lists, which
  // would mean that the worker has no runs.
  for (const char* body :
       { "", "{}", R"({"running":[]})", R"({"running":1,"finished":2})" }) {
    INFO(body);
    CHECK(platform::DecodeHoldAnswer(200, body).mOutcome ==
          OrderOutcome::Failed);
  }
}

TEST_CASE(
  "Worker codec: a list of as many ends as a worker lists at a time may "
  "go on")
{
  const auto listOf = [](int aEnds) {
    std::string rows;
    for (int i = 1; i <= aEnds; ++i) {
      rows += (i > 1 ? "," : "") + std::string("[") + std::to_string(i) +
              R"(,"5c0e7a21d94b36f8.0.0.)" + std::to_string(i) +
              R"(",1,"done",""])";
    }
    return platform::DecodeHoldAnswer(
      200, R"({"clock_ms":1,"running":[],"finished":[)" + rows + "]}");
  };
  CHECK(listOf(0).mIsEndListComplete);
  CHECK(listOf(499).mIsEndListComplete);
  CHECK_FALSE(listOf(500).mIsEndListComplete);
  CHECK(listOf(500).mEnded.size() == 500);
}
