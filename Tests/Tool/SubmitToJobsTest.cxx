#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Jobs/JobsFixture.h"
#include "Jobs/JobsHandler.h"
#include "Tool/HttpClient.h"
#include "Tool/ToolFixture.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::JobInstance;
using almondspoke::testing::JobsFixture;
using almondspoke::testing::PendingReply;
using almondspoke::testing::Reply;
using almondspoke::testing::ToolFixture;

namespace {

/** \brief Passes the requests of the tool directly to the handler of an
 * instance, without a network. */
class HandlerClient : public tool::HttpClient
{
public:
  explicit HandlerClient(JobsFixture& aFixture)
    : mFixture(aFixture)
    , mHandler(aFixture.mA.mController, {})
  {
  }

  Result<tool::HttpResponse> Send(const tool::HttpRequest& aRequest) override
  {
    Reply reply = std::make_shared<PendingReply>();
    if (aRequest.mUrl == "http://127.0.0.1:1/v1/home") {
      mHandler.Home(JobInstance::StoreIn(reply));
    } else {
      mKey = aRequest.mFields.at(1).mValue;
      mHandler.Post(
        mKey, std::nullopt, aRequest.mBody, JobInstance::StoreIn(reply));
    }
    mFixture.Run(2s);
    if (!reply->mAnswer) {
      return Error(ErrorKind::OutcomeUnknown, "no answer");
    }
    return tool::HttpResponse{ reply->mAnswer->mStatus, reply->mAnswer->mBody };
  }

  std::string mKey;

private:
  JobsFixture& mFixture;
  JobsHandler mHandler;
};

}

TEST_CASE("Tool submit: a new key has the prefix that the instance returns")
{
  JobsFixture jobs;
  HandlerClient client(jobs);
  ToolFixture fixture(client);
  fixture.mEnvironment["ALMONDSPOKE_CALLERS"] = "127.0.0.1:1";
  fixture.mIn.str(R"({"service":"preview","tasks":[{"body":"x"}]})");
  CHECK(fixture.Run({ "submit", "-" }) == 0);
  CHECK(fixture.Err().empty());
  CHECK(client.mKey == "zagreb:@1-new-id");
  CHECK(fixture.Out().find("zagreb:@1-new-id  complete") != std::string::npos);
}
