#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "Support/ContextThreads.h"
#include "Support/EchoServer.h"
#include "Support/Eventually.h"
#include "Support/TestConnection.h"

using namespace almondspoke;
using almondspoke::testing::ContextThreads;
using almondspoke::testing::EchoServer;
using almondspoke::testing::Eventually;
using almondspoke::testing::TestConnection;

namespace {

const std::string kHost = "Host: a\r\n";
const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

struct VersionRow
{
  std::string mName;
  std::string mVersion;
  std::string mFields;
  bool mStaysOpen;
};

const std::vector<VersionRow> kVersions = {
  { "1.1", "HTTP/1.1", "Host: a\r\n", true },
  { "1.1 with an empty Host", "HTTP/1.1", "Host:\r\n", true },
  { "1.1 that closes", "HTTP/1.1", "Host: a\r\nConnection: close\r\n", false },
  { "1.0", "HTTP/1.0", "", false },
  { "1.0 kept alive", "HTTP/1.0", "Connection: keep-alive\r\n", true },
  { "later minor version", "HTTP/1.2", "Host: a\r\n", true },
};

struct ExpectRow
{
  std::string mName;
  std::string mVersion;
  std::string mFields;
  std::string mBody;
  bool mIsContinued;
};

const std::vector<ExpectRow> kExpects = {
  { "length",
    "HTTP/1.1",
    "Expect: 100-continue\r\nContent-Length: 4\r\n",
    "work",
    true },
  { "other case",
    "HTTP/1.1",
    "expect: 100-CONTINUE\r\nContent-Length: 4\r\n",
    "work",
    true },
  { "chunks",
    "HTTP/1.1",
    "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n",
    "4\r\nwork\r\n0\r\n\r\n",
    true },
  { "no body", "HTTP/1.1", "Expect: 100-continue\r\n", "", false },
  { "1.0 caller",
    "HTTP/1.0",
    "Expect: 100-continue\r\nContent-Length: 4\r\n",
    "work",
    false },
  { "other expectation",
    "HTTP/1.1",
    "Expect: x\r\nContent-Length: 4\r\n",
    "work",
    false },
  { "no expectation", "HTTP/1.1", "Content-Length: 4\r\n", "work", false },
};

/** \brief Holds requests until AnswerOldest() echoes the body of one. */
class HoldingHandler : public HttpHandler
{
public:
  void Handle(HttpExchangePtr aExchange) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mHeld.push_back(std::move(aExchange));
  }

  /** Answers the oldest request. \return false if there is none. */
  bool AnswerOldest()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mHeld.empty()) {
      return false;
    }
    HttpResponse response;
    response.mBody = mHeld.front()->Request().mBody;
    mHeld.front()->Respond(response);
    mHeld.erase(mHeld.begin());
    return true;
  }

private:
  std::mutex mMutex;
  std::vector<HttpExchangePtr> mHeld;
};

std::string
Head(const std::string& aVersion, const std::string& aFields)
{
  return "POST /x " + aVersion + "\r\n" + aFields + "\r\n";
}

}

TEST_CASE("Http versions: answered with a length, and closed as asked for")
{
  EchoServer server;
  for (const VersionRow& row : kVersions) {
    INFO(row.mName);
    TestConnection connection(server.Port());
    connection.Send(Head(row.mVersion, row.mFields + "Content-Length: 4\r\n") +
                    "work");
    const std::string answer = connection.ReadResponse();
    CHECK(answer.find("HTTP/1.1 200 OK\r\n") == 0);
    CHECK(answer.find("Content-Length: 4\r\n") != std::string::npos);
    CHECK(answer.find("chunked") == std::string::npos);
    const std::string wanted = row.mStaysOpen ? "keep-alive" : "close";
    CHECK(answer.find("Connection: " + wanted + "\r\n") != std::string::npos);
    if (row.mStaysOpen) {
      connection.Send(Head(row.mVersion, row.mFields));
      CHECK_FALSE(connection.ReadResponse().empty());
    } else {
      CHECK(connection.ReadAll().empty());
    }
  }
}

TEST_CASE("Expect: 100 is sent before the body, to those who wait for it")
{
  EchoServer server;
  for (const ExpectRow& row : kExpects) {
    INFO(row.mName);
    TestConnection connection(server.Port());
    connection.Send(Head(row.mVersion, kHost + row.mFields));
    if (row.mIsContinued) {
      // The server sends nothing else before it has received the body.
      REQUIRE(connection.ReadResponse() == kContinue);
    }
    connection.Send(row.mBody);
    const std::string answer = connection.ReadResponse();
    CHECK(answer.find("HTTP/1.1 200 OK\r\n") == 0);
    const std::string body = row.mBody.empty() ? "" : "work";
    CHECK(answer.substr(answer.find("\r\n\r\n") + 4) == body);
  }
}

TEST_CASE("Expect: a body that is too large is refused before it is sent")
{
  EchoServer server;
  TestConnection connection(server.Port());
  connection.Send(Head("HTTP/1.1",
                       kHost + "Expect: 100-continue\r\nContent-Length: " +
                         std::to_string(EchoServer::kMaxBodyBytes + 1) +
                         "\r\n"));
  CHECK(connection.ReadResponse().find("HTTP/1.1 413 ") == 0);
}

TEST_CASE("Expect: a body that came with its header needs no 100")
{
  EchoServer server;
  TestConnection connection(server.Port());
  const std::string request =
    Head("HTTP/1.1", kHost + "Expect: 100-continue\r\nContent-Length: 4\r\n") +
    "work";
  for (int i = 0; i < 3; ++i) {
    connection.Send(request);
    CHECK(connection.ReadResponse().find("HTTP/1.1 200 OK\r\n") == 0);
  }
}

TEST_CASE("Expect: the 100 waits for earlier answers of its connection")
{
  ContextThreads threads;
  HoldingHandler handler;
  HttpServer server(threads.Context(), {}, handler);
  REQUIRE(server.Open().has_value());
  TestConnection connection(server.Port());
  connection.Send(
    Head("HTTP/1.1", kHost + "Content-Length: 5\r\n") + "first" +
    Head("HTTP/1.1", kHost + "Expect: 100-continue\r\nContent-Length: 6\r\n"));
  REQUIRE(Eventually([&] { return handler.AnswerOldest(); }));
  const std::string first = connection.ReadResponse();
  CHECK(first.find("HTTP/1.1 200 OK\r\n") == 0);
  CHECK(first.substr(first.size() - 5) == "first");
  CHECK(connection.ReadResponse() == kContinue);
  connection.Send("second");
  REQUIRE(Eventually([&] { return handler.AnswerOldest(); }));
  const std::string second = connection.ReadResponse();
  CHECK(second.substr(second.size() - 6) == "second");
  threads.Stop();
}
