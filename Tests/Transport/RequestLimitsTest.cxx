#include <chrono>
#include <list>
#include <stdexcept>
#include <string>

#include <catch2/catch.hpp>

#include "Support/ContextThreads.h"
#include "Support/Eventually.h"
#include "Support/TestConnection.h"
#include "Transport/HttpServer.h"

using namespace almondspoke;
using almondspoke::testing::ContextThreads;
using almondspoke::testing::Eventually;
using almondspoke::testing::TestConnection;

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024UL;

/** Larger than the buffers of a loopback connection. */
constexpr std::size_t kLargeAnswerBytes = 32 * kMebibyte;

/** \brief Answers "/large" with a large body, everything else with an empty
 * one. */
class SizedAnswers : public HttpHandler
{
public:
  void Handle(HttpExchangePtr aExchange) override
  {
    HttpResponse response;
    if (aExchange->Request().mTarget == "/large") {
      response.mBody = std::string(kLargeAnswerBytes, 'x');
    }
    aExchange->Respond(std::move(response));
  }
};

/** \brief An HttpServer with the given options that runs on its own threads. */
class LimitedServer
{
public:
  explicit LimitedServer(const HttpServerOptions& aOptions)
    : mServer(mThreads.Context(), aOptions, mHandler)
  {
    if (mServer.Open().has_error()) {
      throw std::runtime_error("the server cannot listen");
    }
  }
  ~LimitedServer() { mThreads.Stop(); }
  LimitedServer(const LimitedServer&) = delete;
  LimitedServer& operator=(const LimitedServer&) = delete;

  HttpServer& Server() { return mServer; }
  std::uint16_t Port() const { return mServer.Port(); }

private:
  ContextThreads mThreads;
  SizedAnswers mHandler;
  HttpServer mServer;
};

std::string
Request(const std::string& aFields, const std::string& aBody = {})
{
  return "POST /x HTTP/1.1\r\nHost: a\r\n" + aFields + "\r\n" + aBody;
}

std::string
StatusOf(const std::string& aResponse)
{
  constexpr std::size_t kStatusBegin = 9;
  constexpr std::size_t kStatusLength = 3;
  return aResponse.size() < kStatusBegin + kStatusLength
           ? ""
           : aResponse.substr(kStatusBegin, kStatusLength);
}

struct LimitCase
{
  const char* mName;
  std::string mBytes;
  const char* mStatus;
};

/** Limits of 1,000 bytes for the header and 100 for the body. */
const std::vector<LimitCase> kLimitCases = {
  { "an announced body of the limit",
    Request("Content-Length: 100\r\n", std::string(100, 'x')),
    "200" },
  { "an announced body over the limit, not sent",
    Request("Content-Length: 101\r\n"),
    "413" },
  { "a chunked body of the limit",
    Request("Transfer-Encoding: chunked\r\n",
            "64\r\n" + std::string(100, 'x') + "\r\n0\r\n\r\n"),
    "200" },
  { "a chunked body over the limit, without an end",
    Request("Transfer-Encoding: chunked\r\n",
            "65\r\n" + std::string(101, 'x') + "\r\n"),
    "413" },
  { "a header over the limit in one field",
    Request("A: " + std::string(1000, 'v') + "\r\n"),
    "431" },
  { "a header over the limit in two fields, without an end",
    "GET / HTTP/1.1\r\nA: " + std::string(500, 'v') +
      "\r\nB: " + std::string(500, 'v') + "\r\n",
    "431" },
};

}

// Guards against limits of a manifest that the server does not apply.
TEST_CASE("Request limits: limits set later are applied")
{
  LimitedServer server{ HttpServerOptions{} };
  RequestLimits limits;
  limits.mMaxHeaderBytes = 1000;
  limits.mMaxBodyBytes = 100;
  server.Server().SetRequestLimits(limits);
  for (const LimitCase& row : kLimitCases) {
    INFO(row.mName);
    TestConnection connection(server.Port());
    connection.Send(row.mBytes);
    CHECK(StatusOf(connection.ReadResponse()) == row.mStatus);
  }
}

// Guards against requests that arrive slowly, or stop, and stay open.
TEST_CASE("Request limits: an unfinished request is closed, an idle one is not")
{
  HttpServerOptions options;
  SECTION("the header does not end")
  {
    options.mRequestLimits.mHeaderTimeout = std::chrono::milliseconds(1);
  }
  SECTION("the body does not end")
  {
    options.mRequestLimits.mRequestTimeout = std::chrono::milliseconds(1);
  }
  const bool endsHeader =
    options.mRequestLimits.mRequestTimeout < std::chrono::seconds(1);
  LimitedServer server(options);
  TestConnection idle(server.Port());
  TestConnection unfinished(server.Port());
  unfinished.Send(endsHeader ? Request("Content-Length: 2\r\n", "x")
                             : "GET / HTTP/1.1\r\n");
  CHECK(unfinished.ReadAll().empty());
  CHECK(server.Server().MemoryCounters().mRefusedForTime == 1);
  CHECK(Eventually(
    [&] { return server.Server().MemoryCounters().mHeldBytes == 0; }));
  idle.Send(Request("Content-Length: 0\r\n"));
  CHECK(StatusOf(idle.ReadResponse()) == "200");
}

// Guards against many reads that are answered while none of the answers is
// read.
TEST_CASE("Request limits: large answers to reads are bounded")
{
  HttpServerOptions options;
  options.mMaxUnfinishedBytes = 2 * kLargeAnswerBytes;
  LimitedServer server(options);
  constexpr int kConnections = 8;
  std::list<TestConnection> readers;
  for (int i = 0; i < kConnections; ++i) {
    readers.emplace_back(server.Port())
      .Send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  CHECK(Eventually([&] {
    return server.Server().MemoryCounters().mRefusedForMemory ==
           kConnections - 1;
  }));
  CHECK(server.Server().MemoryCounters().mHeldBytes <=
        options.mMaxUnfinishedBytes);
}

// Guards against clients that do not read their answers, or close in the
// middle, and keep memory.
TEST_CASE("Request limits: answers that are not read are charged until closed")
{
  HttpServerOptions options;
  options.mMaxUnfinishedBytes = kLargeAnswerBytes / 2;
  LimitedServer server(options);
  TestConnection reader(server.Port());
  reader.Send("DELETE /large HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Eventually([&] {
    return server.Server().MemoryCounters().mHeldBytes >= kLargeAnswerBytes;
  }));
  TestConnection other(server.Port());
  other.Send(Request("Content-Length: 1\r\n", "x"));
  const std::string refusal = other.ReadResponse();
  CHECK(StatusOf(refusal) == "503");
  CHECK(refusal.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(refusal.find("Retry-After: 1") != std::string::npos);
  reader.Close();
  CHECK(Eventually(
    [&] { return server.Server().MemoryCounters().mHeldBytes == 0; }));
  other.Send(Request("Content-Length: 1\r\n", "x"));
  CHECK(StatusOf(other.ReadResponse()) == "200");
}
