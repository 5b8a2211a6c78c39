#include <optional>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "Daemon/HttpTaskSender.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;

namespace {

/** \brief Answers each attempt immediately with the configured response. */
class AnsweringClient : public HttpClient
{
public:
  AttemptId Start(HttpAttempt /*aAttempt*/, Done aDone) override
  {
    AttemptResult result;
    result.mOutcome = TransferOutcome::Answered;
    result.mResponse = mResponse;
    aDone(std::move(result));
    return 1;
  }

  void Cancel(AttemptId /*aAttempt*/) override {}

  HttpResponse mResponse;
};

}

TEST_CASE("Task sender: parses the resource usage that a worker reports")
{
  struct Row
  {
    const char* mCores;
    const char* mMemory;
    std::optional<Resources> mUsed;
  };
  const auto row = GENERATE(values<Row>({
    { nullptr, nullptr, std::nullopt },
    { "2.5", "4096", Resources{ 2.5, 4096, 0 } },
    { "2.5", nullptr, Resources{ 2.5, 0, 0 } },
    { nullptr, "4096", Resources{ 0, 4096, 0 } },
    { "0", "0", Resources{ 0, 0, 0 } },
    { "-1", "-1", std::nullopt },
    { "nan", "1e9", std::nullopt },
    { "inf", "1", Resources{ 0, 1, 0 } },
    { "1 core", "18446744073709551616", std::nullopt },
    { "", "", std::nullopt },
  }));
  const ManualClock clock;
  AnsweringClient client;
  if (row.mCores != nullptr) {
    client.mResponse.mFields.push_back(
      { "Almondspoke-Used-Cores", row.mCores });
  }
  if (row.mMemory != nullptr) {
    client.mResponse.mFields.push_back(
      { "almondspoke-used-memory-bytes", row.mMemory });
  }
  HttpTaskSender sender(clock, client);
  std::optional<TaskOutcome> outcome;
  sender.Start({}, [&](const TaskOutcome& aOutcome) { outcome = aOutcome; });
  REQUIRE(outcome);
  CAPTURE(row.mCores, row.mMemory);
  REQUIRE(outcome->mUsed.has_value() == row.mUsed.has_value());
  if (row.mUsed) {
    CHECK(outcome->mUsed->mCores == row.mUsed->mCores);
    CHECK(outcome->mUsed->mMemoryBytes == row.mUsed->mMemoryBytes);
  }
}
