#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <asio/steady_timer.hpp>
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

/** \brief Answers with the request's target and body after a random time, so
 * that answers are ready out of order. */
class LateHandler : public HttpHandler
{
public:
  explicit LateHandler(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  void Handle(HttpExchangePtr aExchange) override
  {
    constexpr int kMaxDelayMs = 15;
    int delay = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      delay = std::uniform_int_distribution<int>(0, kMaxDelayMs)(mRandom);
    }
    auto timer = std::make_shared<asio::steady_timer>(
      mContext, std::chrono::milliseconds(delay));
    timer->async_wait([timer, aExchange](const asio::error_code&) {
      HttpResponse response;
      response.mBody =
        aExchange->Request().mTarget + '|' + aExchange->Request().mBody;
      aExchange->Respond(std::move(response));
    });
  }

private:
  asio::io_context& mContext;
  std::mutex mMutex;
  std::mt19937 mRandom{ 7 };
};

std::string
RandomBytes(std::mt19937& aRandom)
{
  std::string bytes(
    std::uniform_int_distribution<std::size_t>(0, 3000)(aRandom), '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aRandom() & 0xff);
  }
  return bytes;
}

// Sends bursts of pipelined requests; returns the number of wrong answers.
int
RunCaller(std::uint16_t aPort, int aCaller)
{
  constexpr int kBursts = 12;
  std::mt19937 random(static_cast<unsigned>(aCaller));
  TestConnection connection(aPort);
  int wrong = 0;
  for (int burst = 0; burst < kBursts; ++burst) {
    const int depth = std::uniform_int_distribution<int>(1, 8)(random);
    std::string sent;
    std::vector<std::string> expected;
    for (int i = 0; i < depth; ++i) {
      std::string target = "/" + std::to_string(aCaller);
      target += '/' + std::to_string(burst);
      target += '/' + std::to_string(i);
      const std::string body = RandomBytes(random);
      sent += "POST " + target;
      sent += " HTTP/1.1\r\nHost: a\r\nContent-Length: ";
      sent += std::to_string(body.size());
      sent += "\r\n\r\n";
      sent += body;
      target += '|';
      target += body;
      expected.push_back(target);
    }
    connection.Send(sent);
    for (const std::string& body : expected) {
      const std::string answer = connection.ReadResponse();
      const std::size_t start = answer.find("\r\n\r\n");
      if (start == std::string::npos || answer.substr(start + 4) != body) {
        ++wrong;
      }
    }
  }
  return wrong;
}

/** \brief Stores the exchanges and counts the callers that disconnect. */
class KeepingHandler : public HttpHandler
{
public:
  void Handle(HttpExchangePtr aExchange) override
  {
    aExchange->OnCallerDisconnected([this] { ++mGone; });
    const std::lock_guard<std::mutex> lock(mMutex);
    mKept.push_back(std::move(aExchange));
    ++mReceived;
  }

  std::atomic<int> mGone{ 0 };
  std::atomic<int> mReceived{ 0 };
  std::mutex mMutex;
  std::vector<HttpExchangePtr> mKept;
};

}

TEST_CASE("Interleaving: every caller gets its own answers, byte for byte")
{
  constexpr int kCallers = 48;
  ContextThreads threads(4);
  LateHandler handler(threads.Context());
  HttpServer server(threads.Context(), {}, handler);
  REQUIRE(server.Open().has_value());

  std::atomic<int> wrong{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back(
      [&, caller] { wrong += RunCaller(server.Port(), caller); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(wrong == 0);
  CHECK(Eventually([&] { return server.OutstandingRequests() == 0; }));
  threads.Stop();
}

TEST_CASE("Caller gone: the observer is called and nothing stays outstanding")
{
  ContextThreads threads;
  KeepingHandler handler;
  HttpServer server(threads.Context(), {}, handler);
  REQUIRE(server.Open().has_value());
  TestConnection connection(server.Port());
  connection.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                  "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Eventually([&] { return handler.mReceived == 2; }));
  CHECK(server.OutstandingRequests() == 2);
  connection.Close();
  CHECK(Eventually([&] { return handler.mGone == 2; }));
  CHECK(Eventually([&] { return server.OutstandingRequests() == 0; }));
  handler.mKept[0]->Respond({});
  bool calledAtOnce = false;
  handler.mKept[1]->OnCallerDisconnected([&] { calledAtOnce = true; });
  CHECK(calledAtOnce);
  threads.Stop();
  handler.mKept.clear();
}

TEST_CASE("Draining: an answer does not close the connection under those of "
          "later requests")
{
  constexpr int kRequests = 5;
  for (const bool inOrder : { true, false }) {
    ContextThreads threads;
    KeepingHandler handler;
    HttpServer server(threads.Context(), {}, handler);
    REQUIRE(server.Open().has_value());
    TestConnection connection(server.Port());
    std::string sent;
    for (int i = 0; i < kRequests; ++i) {
      sent += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    connection.Send(sent);
    REQUIRE(Eventually([&] { return handler.mReceived == kRequests; }));
    server.CloseConnectionsAfterAnswer();
    for (int i = 0; i < kRequests; ++i) {
      HttpExchange& exchange = *handler.mKept[inOrder ? i : kRequests - 1 - i];
      HttpResponse response;
      response.mBody = exchange.Request().mTarget;
      exchange.Respond(response);
    }
    for (int i = 0; i < kRequests; ++i) {
      CHECK(connection.ReadResponse().find("\r\n\r\n/" + std::to_string(i)) !=
            std::string::npos);
    }
    threads.Stop();
    handler.mKept.clear();
  }
}

TEST_CASE("Draining: the only answer closes its connection")
{
  ContextThreads threads;
  LateHandler handler(threads.Context());
  HttpServer server(threads.Context(), {}, handler);
  REQUIRE(server.Open().has_value());
  server.CloseConnectionsAfterAnswer();
  TestConnection connection(server.Port());
  connection.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(connection.ReadAll().find("/x|") != std::string::npos);
  threads.Stop();
}

TEST_CASE("Connections: one beyond the limit waits until another closes")
{
  ContextThreads threads;
  LateHandler handler(threads.Context());
  HttpServerOptions options;
  options.mMaxConnections = 2;
  HttpServer server(threads.Context(), options, handler);
  REQUIRE(server.Open().has_value());
  const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  TestConnection first(server.Port());
  TestConnection second(server.Port());
  first.Send(request);
  second.Send(request);
  CHECK_FALSE(first.ReadResponse().empty());
  CHECK_FALSE(second.ReadResponse().empty());
  TestConnection third(server.Port());
  third.Send(request);
  CHECK(server.OpenConnections() == 2);
  first.Close();
  CHECK_FALSE(third.ReadResponse().empty());
  threads.Stop();
}
