#include <catch2/catch.hpp>

#include "Processes/ClusterInstallation.h"
#include "Processes/SubmissionInstallation.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

using Installation = SubmissionInstallation;

constexpr int kWaitMs = 60000;

const std::string kLost = "executor-lost unknown";

}

TEST_CASE("Submission: a job resubmitted during and after it runs, at other "
          "instances and data centres, starts once and has one answer")
{
  Installation installation;
  installation.AddWorker("zagreb", "1500");
  REQUIRE(installation.WaitUntilReady());
  const std::string body = Installation::JobBody(3);
  CHECK(installation.Submit(0, "zagreb:1", body).mStatus == 202);
  REQUIRE(Eventually([&] { return installation.Started() == 3; }));
  std::vector<std::future<AttemptResult>> during;
  during.reserve(3);
  for (const int instance : { 0, 1, 3 }) {
    during.push_back(
      installation.BeginSubmit(instance, "zagreb:1", body, kWaitMs));
  }
  std::vector<std::string> answers;
  answers.reserve(during.size());
  for (auto& one : during) {
    answers.push_back(one.get().mResponse.mBody);
  }
  const HttpResponse after = installation.Submit(4, "zagreb:1", body, kWaitMs);
  CHECK(after.mStatus == 200);
  CHECK(Installation::StateOf(after) == "complete");
  CHECK(after.mBody.find("task 2") != std::string::npos);
  CHECK(installation.Show(2, "zagreb:1").mBody == after.mBody);
  for (const std::string& answer : answers) {
    CHECK(answer == after.mBody);
  }
  for (const int instance : { 0, 2, 4 }) {
    CHECK(Installation::ErrorOf(installation.Submit(
            instance, "zagreb:1", Installation::JobBody(2))) ==
          "key-conflict no");
  }
  CHECK(installation.Started() == 3);
}

TEST_CASE("Submission: a keyed request starts once over instances, data "
          "centres and restarts")
{
  Installation installation;
  installation.AddWorker("zagreb", "0");
  installation.AddWorker("riga", "0");
  REQUIRE(installation.WaitUntilReady());
  for (const int instance : { 0, 1, 3 }) {
    CHECK(installation.Request(instance, "zagreb:1", "deposit").mBody ==
          "deposit");
  }
  CHECK(Installation::ErrorOf(installation.Request(
          4, "zagreb:1", "other deposit")) == "key-conflict no");
  for (int i = 0; i < Installation::kInstances; ++i) {
    installation.Kill(i);
  }
  for (int i = 0; i < Installation::kInstances; ++i) {
    installation.Start(i);
  }
  REQUIRE(installation.WaitUntilReady());
  CHECK(installation.Request(1, "zagreb:1", "deposit").mBody == "deposit");
  CHECK(installation.Started() == 1);
}

TEST_CASE("Submission: a job whose executor is killed fails with an unknown "
          "outcome for every caller, and nothing starts again")
{
  Installation installation;
  installation.AddWorker("zagreb", "500");
  REQUIRE(installation.WaitUntilReady());
  const std::string body = Installation::JobBody(2);
  installation.Submit(0, "zagreb:1", body);
  REQUIRE(Eventually([&] { return installation.Started() >= 1; }));
  installation.Kill(0);
  for (const int instance : { 1, 3, 2, 4 }) {
    HttpResponse shown;
    CHECK(Eventually([&] {
      shown = installation.Show(instance, "zagreb:1", kWaitMs);
      return Installation::ErrorOf(shown) == kLost;
    }));
    CHECK(Installation::StateOf(shown) == "failed");
    CHECK(Installation::ErrorOf(
            installation.Submit(instance, "zagreb:1", body, kWaitMs)) == kLost);
  }
  installation.Start(0);
  REQUIRE(installation.WaitUntilReady(0));
  CHECK(Installation::ErrorOf(
          installation.Submit(0, "zagreb:1", body, kWaitMs)) == kLost);
  CHECK(Installation::StateOf(
          installation.Submit(0, "zagreb:2", body, kWaitMs)) == "complete");
  CHECK(installation.MostStarts() == 1);
  CHECK(installation.Started("zagreb:1") <= 2);
}

TEST_CASE("Submission: an executor that was frozen past its lease starts no "
          "task after another instance has answered")
{
  Installation installation;
  // One core, so that most tasks still wait at the executor when it is frozen.
  installation.AddWorker("zagreb", "300", "1");
  REQUIRE(installation.WaitUntilReady());
  installation.Submit(0, "zagreb:1", Installation::JobBody(10));
  REQUIRE(Eventually([&] { return installation.Started() >= 1; }));
  installation.Process(0).Signal(SIGSTOP);
  // The frozen instance may have led the group.
  REQUIRE(Eventually([&] {
    return Installation::ErrorOf(installation.Show(1, "zagreb:1", kWaitMs)) ==
           kLost;
  }));
  const long started = installation.Started();
  REQUIRE(started < 10);
  // No other instance can claim it either.
  const std::string again = Installation::JobBody(10);
  CHECK(Installation::ErrorOf(
          installation.Submit(1, "zagreb:1", again, kWaitMs)) == kLost);
  installation.Process(0).Signal(SIGCONT);
  // The instance accepts work again under a new epoch.
  REQUIRE(Eventually([&] {
    return Installation::StateOf(installation.Submit(
             0, "zagreb:2", Installation::JobBody(2), kWaitMs)) == "complete";
  }));
  CHECK(installation.Started("zagreb:1") == started);
  CHECK(Installation::ErrorOf(installation.Show(0, "zagreb:1")) == kLost);
  CHECK(Installation::ErrorOf(
          installation.Submit(0, "zagreb:1", again, kWaitMs)) == kLost);
  CHECK(installation.Started("zagreb:1") == started);
  CHECK(installation.MostStarts() == 1);
}

TEST_CASE("Submission: a job survives the loss of its group's leader")
{
  Installation installation;
  installation.AddWorker("zagreb", "2000");
  REQUIRE(installation.WaitUntilReady());
  const auto leads = [&](int aInstance) {
    return installation.Metric(aInstance, "submission_groups_led") > 0;
  };
  const int leader = leads(0) ? 0 : leads(1) ? 1 : 2;
  const int executor = (leader + 1) % 3;
  const std::string body = Installation::JobBody(3);
  installation.Submit(executor, "zagreb:1", body);
  REQUIRE(Eventually([&] { return installation.Started() == 3; }));
  installation.Kill(leader);
  CHECK(Installation::StateOf(installation.Submit(
          executor, "zagreb:1", body, kWaitMs)) == "complete");
  const int other = (leader + 2) % 3;
  CHECK(Installation::StateOf(installation.Show(other, "zagreb:1", kWaitMs)) ==
        "complete");
  REQUIRE(Eventually([&] {
    return Installation::StateOf(installation.Submit(
             other, "zagreb:2", body, kWaitMs)) == "complete";
  }));
  CHECK(installation.Started("zagreb:1") == 3);
  CHECK(installation.MostStarts() == 1);
}

TEST_CASE(
  "Submission: a data centre that is cut off accepts keys of its own home "
  "and refuses others, naming their home")
{
  Installation installation;
  installation.AddWorker("zagreb", "0");
  installation.AddWorker("riga", "0");
  REQUIRE(installation.WaitUntilReady());
  const std::string body = Installation::JobBody(2);
  installation.SetCut(true);
  REQUIRE(Eventually([&] {
    return installation.Metric(0, "executor_leases") == 1 &&
           installation.Metric(3, "executor_leases") == 1;
  }));
  struct Row
  {
    int mInstance;
    std::string mOwn;
    std::string mOther;
  };
  for (const Row& row :
       { Row{ 0, "zagreb", "riga" }, Row{ 3, "riga", "zagreb" } }) {
    INFO("instance " << row.mInstance);
    CHECK(Installation::StateOf(installation.Submit(
            row.mInstance, row.mOwn + ":1", body, kWaitMs)) == "complete");
    const std::string key = row.mOther + ":2";
    HttpResponse refused;
    CHECK(Eventually([&] {
      refused = installation.Submit(row.mInstance, key, body, kWaitMs);
      return Installation::ErrorOf(refused) == "key-state-unknown unknown";
    }));
    CHECK(refused.mBody.find("at its home " + row.mOther) != std::string::npos);
    CHECK(Installation::ErrorOf(installation.Show(row.mInstance, key)) ==
          "key-state-unknown unknown");
    CHECK(Installation::ErrorOf(installation.Request(
            row.mInstance, key, "deposit")) == "key-state-unknown unknown");
    CHECK(installation.Started(key) == 0);
  }
  installation.SetCut(false);
  REQUIRE(installation.WaitUntilReady());
  for (const Row& row :
       { Row{ 0, "zagreb", "riga" }, Row{ 3, "riga", "zagreb" } }) {
    CHECK(Installation::StateOf(installation.Submit(
            row.mInstance, row.mOther + ":2", body, kWaitMs)) == "complete");
    CHECK(Installation::StateOf(installation.Show(
            row.mInstance, row.mOther + ":1", kWaitMs)) == "complete");
  }
  CHECK(installation.MostStarts() == 1);
}

TEST_CASE(
  "Submission: many concurrent cancellations end every job once and free "
  "the workers")
{
  constexpr int kJobs = 20;
  Installation installation;
  installation.AddWorker("zagreb", "60000", "4");
  REQUIRE(installation.WaitUntilReady());
  const std::string body = Installation::JobBody(3);
  const auto key = [](int aJob) { return "zagreb:" + std::to_string(aJob); };
  for (int i = 0; i < kJobs; ++i) {
    CHECK(installation.Submit(i % 3, key(i), body).mStatus == 202);
  }
  REQUIRE(Eventually([&] { return installation.Started() >= 4; }));
  for (int i = 0; i < kJobs; ++i) {
    const HttpResponse cancelled = installation.Cancel((i + 1) % 5, key(i));
    INFO(cancelled.mBody);
    CHECK(Installation::StateOf(cancelled) == "cancelled");
    const bool none = Installation::ErrorOf(cancelled) == "cancelled no";
    const bool some =
      Installation::ErrorOf(cancelled) == "cancelled-after-start unknown";
    CHECK((none || some));
    CHECK((some || installation.Started(key(i)) == 0));
  }
  for (int i = 0; i < 3; ++i) {
    CHECK(Eventually([&] {
      return installation.Metric(i, "jobs") == 0 &&
             installation.Metric(i, "job_slots_taken") == 0;
    }));
  }
  CHECK(installation.MostStarts() == 1);
}

TEST_CASE("Submission: an instance that drains finishes its job and records "
          "the answer")
{
  Installation installation;
  installation.AddWorker("zagreb", "1000", "1");
  REQUIRE(installation.WaitUntilReady());
  const std::string body = Installation::JobBody(4);
  installation.Submit(0, "zagreb:1", body);
  REQUIRE(Eventually([&] { return installation.Started() >= 1; }));
  installation.Process(0).Signal(SIGTERM);
  CHECK(installation.Process(0).Wait() == 0);
  CHECK(installation.Started() == 4);
  // The drained instance may have led the group until just now.
  CHECK(Eventually([&] {
    return Installation::StateOf(installation.Submit(1, "zagreb:1", body)) ==
           "complete";
  }));
  CHECK(installation.Started() == 4);
}

TEST_CASE("Submission: a group is led from its own data centre, not by the "
          "witness that founded it")
{
  ClusterInstallation cluster(
    { { "a-1", "a" }, { "b-1", "b" }, { "b-2", "b" } },
    "submissions-a = a-1\nsubmissions-b = a-1, b-1, b-2\n");
  REQUIRE(cluster.WaitUntilReady());
  const auto led = [&](int aNode) {
    return cluster.Metric(aNode, "submission_groups_led").value_or(-1);
  };
  CHECK(Eventually([&] { return led(0) == 1 && led(1) + led(2) == 1; }));
}
