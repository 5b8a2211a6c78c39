#include <chrono>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Support/BlockingClient.h"
#include "Support/Eventually.h"
#include "Support/ScriptedServer.h"

using namespace almondspoke;
using almondspoke::testing::BlockingClient;
using almondspoke::testing::Eventually;
using almondspoke::testing::ScriptedServer;

namespace {

using Step = ScriptedServer::Step;

std::string
Answer(const std::string& aBody, const std::string& aFields = {})
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n" + aFields + "\r\n" + aBody;
}

HttpAttempt
PostTo(const ScriptedServer& aServer, std::string aBody = "work")
{
  return BlockingClient::MakeAttempt(
    aServer.Address(), "POST", "/task", std::move(aBody));
}

std::string
AllBytes(std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (std::size_t i = 0; i < aSize; ++i) {
    bytes[i] = static_cast<char>(i * 31 + i / 256);
  }
  return bytes;
}

/** \brief Behaviour of an endpoint and the expected outcome. */
struct OutcomeCase
{
  std::string mName;
  Step mStep;
  TransferOutcome mOutcome;
  ErrorKind mErrorKind;
};

const std::vector<OutcomeCase> kOutcomeCases = {
  { "answers", { Answer("ok"), false }, TransferOutcome::Answered, {} },
  { "answers with a failure",
    { "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false },
    TransferOutcome::Answered,
    {} },
  { "refuses without running",
    { "HTTP/1.1 503 Busy\r\nAlmondspoke-Not-Run: true\r\n"
      "Content-Length: 0\r\n\r\n",
      false },
    TransferOutcome::RefusedNotRun,
    {} },
  { "is busy but does not say that nothing ran",
    { "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false },
    TransferOutcome::Answered,
    {} },
  { "says not run with another status",
    { "HTTP/1.1 500 Oops\r\nAlmondspoke-Not-Run: true\r\n"
      "Content-Length: 0\r\n\r\n",
      false },
    TransferOutcome::Answered,
    {} },
  { "closes without an answer",
    { "", true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
  { "closes within the header",
    { "HTTP/1.1 200 OK\r\nConte", true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
  { "closes within the body",
    { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
  { "gives no length, so that its end cannot be told from its loss",
    { "HTTP/1.1 200 OK\r\n\r\nwhole or half", true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
  { "closes within a chunk",
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf", true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
  { "closes before the last chunk",
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
  { "answers in chunks",
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nhalf\r\n0\r\n\r\n",
      false },
    TransferOutcome::Answered,
    {} },
  { "closes within a refusal",
    { "HTTP/1.1 503 Busy\r\nAlmondspoke-Not-Run: true\r\n"
      "Content-Length: 10\r\n\r\nhalf",
      true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
  { "answers nonsense",
    { "nonsense\r\n\r\n", true },
    TransferOutcome::MayHaveRun,
    ErrorKind::ConnectionLost },
};

}

TEST_CASE("Http client: outcomes by what the endpoint does")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  for (const OutcomeCase& outcomeCase : kOutcomeCases) {
    INFO(outcomeCase.mName);
    ScriptedServer server([&](int) { return outcomeCase.mStep; });
    BlockingClient client({}, isAsio);
    const AttemptResult result = client.Call(PostTo(server));
    CHECK(NameOf(result.mOutcome) == NameOf(outcomeCase.mOutcome));
    if (outcomeCase.mOutcome == TransferOutcome::MayHaveRun) {
      CHECK(result.mErrorKind == outcomeCase.mErrorKind);
    }
    CHECK(server.Requests() == 1);
  }
}

TEST_CASE("Http client: nothing listens, so nothing was sent")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  std::string address;
  {
    ScriptedServer server([](int) { return Step{}; });
    address = server.Address();
  }
  BlockingClient client({}, isAsio);
  const AttemptResult result = client.Call(address, "POST", "/", "work");
  CHECK(result.mOutcome == TransferOutcome::NotSent);
  CHECK(result.mErrorKind == ErrorKind::EndpointUnreachable);
}

TEST_CASE("Http client: a request on a reused connection that the endpoint "
          "closes is not sent again")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  // By default, libcurl would resend the request on a new connection.
  ScriptedServer server([](int aRequest) {
    return aRequest % 2 == 1 ? Step{ Answer("ok"), false } : Step{ "", true };
  });
  BlockingClient client({}, isAsio);
  int requests = 0;
  for (const char* body : { "work", "" }) {
    INFO("body '" << body << "'");
    REQUIRE(client.Call(PostTo(server)).mOutcome == TransferOutcome::Answered);
    const AttemptResult result = client.Call(PostTo(server, body));
    CHECK(result.mOutcome == TransferOutcome::MayHaveRun);
    CHECK(result.mErrorKind == ErrorKind::ConnectionLost);
    requests += 2;
    REQUIRE(server.Requests() == requests);
  }
  // libcurl opens connections to resend the requests, but sends nothing on
  // them.
  CHECK(server.Received().size() == 4);
}

TEST_CASE("Http client: connections are kept, and a fresh one is not")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  ScriptedServer server([](int) { return Step{ Answer("ok"), false }; });
  BlockingClient client({}, isAsio);
  client.Call(PostTo(server));
  client.Call(PostTo(server));
  CHECK(server.Connections() == 1);
  HttpAttempt fresh = PostTo(server);
  fresh.mUseNewConnection = true;
  CHECK(client.Call(fresh).mOutcome == TransferOutcome::Answered);
  CHECK(server.Connections() == 2);
  client.Call(PostTo(server));
  CHECK(server.Connections() == 2);
}

// Guards against a crash: an attempt that found only connections that had been
// idle for too long used the pool that had gone with the last of them.
TEST_CASE("Http client: an attempt after the longest idle time uses a new "
          "connection, which counts")
{
  HttpClientOptions options;
  options.mMaxIdle = std::chrono::seconds(0);
  asio::io_context context;
  AsioHttpClient client(context, options);
  ScriptedServer server([](int) { return Step{ Answer("ok"), false }; });
  for (int attempt = 0; attempt < 2; ++attempt) {
    std::optional<AttemptResult> result;
    client.Start(PostTo(server),
                 [&](AttemptResult aResult) { result = std::move(aResult); });
    CHECK(client.Connections() == 1);
    context.restart();
    while (!result) {
      context.run_one();
    }
    CHECK(result->mOutcome == TransferOutcome::Answered);
  }
}

TEST_CASE("Http client: an attempt without answer ends at its deadline and "
          "its connection is not used again")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  ScriptedServer server([](int aRequest) {
    return aRequest == 1 ? Step{ "", false } : Step{ Answer("second"), false };
  });
  BlockingClient client({}, isAsio);
  HttpAttempt attempt = PostTo(server);
  attempt.mDeadline =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
  const AttemptResult result = client.Call(attempt);
  CHECK(result.mOutcome == TransferOutcome::MayHaveRun);
  CHECK(result.mErrorKind == ErrorKind::EndpointTimeout);
  CHECK(client.Call(PostTo(server)).mResponse.mBody == "second");
  CHECK(server.Connections() == 2);
}

TEST_CASE("Http client: a deadline in the past sends nothing")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  ScriptedServer server([](int) { return Step{ Answer("ok"), false }; });
  BlockingClient client({}, isAsio);
  HttpAttempt attempt = PostTo(server);
  attempt.mDeadline = std::chrono::steady_clock::now();
  CHECK(client.Call(attempt).mOutcome == TransferOutcome::NotSent);
  CHECK(server.Connections() == 0);
}

TEST_CASE("Http client: a cancelled attempt may have run")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  ScriptedServer server([](int) { return Step{ "", false }; });
  BlockingClient client({}, isAsio);
  auto pending = client.Begin(PostTo(server));
  REQUIRE(Eventually([&] { return server.Requests() == 1; }));
  client.Cancel(client.Last());
  CHECK(pending.get().mOutcome == TransferOutcome::MayHaveRun);
  client.Cancel(client.Last());
}

TEST_CASE("Http client: no more attempts than the announced connections")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  ScriptedServer server([](int) { return Step{ "", false }; });
  BlockingClient client({}, isAsio);
  HttpAttempt attempt = PostTo(server);
  attempt.mMaxConnections = 1;
  auto pending = client.Begin(attempt);
  const HttpClient::AttemptId first = client.Last();
  const AttemptResult second = client.Call(attempt);
  CHECK(second.mOutcome == TransferOutcome::NotSent);
  client.Cancel(first);
  pending.wait();
}

TEST_CASE("Http client: fields and 16 MB of any bytes pass unchanged")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  constexpr std::size_t kBodyBytes = 16777216;
  const std::string body = AllBytes(kBodyBytes);
  ScriptedServer server([&](int) {
    return Step{ Answer(body, "X-One: 1\r\nx-two:  spaced  \r\nX-One: 2\r\n"),
                 false };
  });
  BlockingClient client({}, isAsio);
  const AttemptResult result = client.Call(
    BlockingClient::MakeAttempt(server.Address(),
                                "POST",
                                "/a%20b/../c?x=%2F&y",
                                body,
                                { { "X-Empty", "" }, { "x-Case", "Kept" } }));
  REQUIRE(result.mOutcome == TransferOutcome::Answered);
  CHECK((result.mResponse.mBody == body));
  const HttpFields& fields = result.mResponse.mFields;
  REQUIRE(fields.size() == 4);
  CHECK(fields[1].mValue == "1");
  CHECK(fields[2].mName == "x-two");
  CHECK(fields[2].mValue == "spaced");
  CHECK(fields[3].mValue == "2");

  const std::string received = server.Received().front();
  const std::size_t headerEnd = received.find("\r\n\r\n");
  CHECK((received.substr(headerEnd + 4) == body));
  CHECK(received.substr(0, headerEnd) ==
        "POST /a%20b/../c?x=%2F&y HTTP/1.1\r\nHost: " + server.Address() +
          "\r\nX-Empty:\r\nx-Case: Kept\r\nContent-Length: 16777216");
}

TEST_CASE("Http client: an informational response is not the answer")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  ScriptedServer server([](int) {
    return Step{ "HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n" + Answer("ok"),
                 false };
  });
  BlockingClient client({}, isAsio);
  const AttemptResult result = client.Call(PostTo(server));
  CHECK(result.mResponse.mStatus == 200);
  CHECK(FindField(result.mResponse.mFields, "X-Early") == nullptr);
}

TEST_CASE("Http client: an answer beyond the limit is given up")
{
  const bool isAsio = GENERATE(false, true);
  INFO((isAsio ? "own client" : "libcurl"));
  HttpClientOptions options;
  options.mMaxResponseBytes = 1000;
  ScriptedServer server([](int) {
    return Step{ Answer(std::string(5000, 'x')), false };
  });
  BlockingClient client(options, isAsio);
  const AttemptResult result = client.Call(PostTo(server));
  CHECK(result.mOutcome == TransferOutcome::MayHaveRun);
  CHECK(result.mErrorKind == ErrorKind::EndpointFailed);
}
