#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include "Support/BlockingClient.h"
#include "Support/ScriptedServer.h"
#include "Support/TestConnection.h"
#include "Transport/ConnectionShares.h"
#include "Transport/ContextPool.h"
#include "Transport/CurlHttpClient.h"
#include "Transport/HttpServer.h"

using namespace almondspoke;
using almondspoke::detail::ConnectionShares;
using almondspoke::testing::BlockingClient;
using almondspoke::testing::ScriptedServer;
using almondspoke::testing::TestConnection;

namespace {

constexpr std::size_t kContexts = 4;
constexpr std::size_t kConnections = 3 * kContexts;

/** \brief Forwards each request and records the threads that handle it. */
class ForwardingHandler : public HttpHandler
{
public:
  ForwardingHandler(CurlHttpClient& aClient, const std::string& aAddress)
    : mClient(aClient)
    , mAddress(aAddress)
  {
  }

  void Handle(HttpExchangePtr aExchange) override
  {
    const auto reader = std::this_thread::get_id();
    mClient.Start(BlockingClient::MakeAttempt(mAddress, "POST", "/task"),
                  [this, reader, aExchange](AttemptResult aResult) {
                    Note(reader);
                    aExchange->Respond(std::move(aResult.mResponse));
                  });
  }

  std::multiset<std::thread::id> Readers() const { return mReaders; }
  std::size_t ThreadSwitches() const { return mThreadSwitches; }

private:
  void Note(std::thread::id aReader)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mReaders.insert(aReader);
    mThreadSwitches += aReader == std::this_thread::get_id() ? 0 : 1;
  }

  CurlHttpClient& mClient;
  const std::string mAddress;
  std::mutex mMutex;
  std::multiset<std::thread::id> mReaders;
  std::size_t mThreadSwitches = 0;
};

/** \brief Counts the io_contexts that exist. */
class ContextCounter : public asio::execution_context::service
{
public:
  using key_type = ContextCounter;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  ContextCounter(asio::execution_context& aOwner, std::atomic<int>& aAlive)
    : asio::execution_context::service(aOwner)
    , mAlive(aAlive)
  {
    ++mAlive;
  }
  ~ContextCounter() override { --mAlive; }

private:
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown() override {}

  std::atomic<int>& mAlive;
};

}

TEST_CASE("Context pool: connections are spread evenly, and a request is read, "
          "forwarded and answered on one thread")
{
  ScriptedServer endpoint([](int) {
    return ScriptedServer::Step{
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false
    };
  });
  ContextPool pool(kContexts);
  CurlHttpClient client(pool.RequestContexts(), {});
  ForwardingHandler handler(client, endpoint.Address());
  HttpServer server(pool.Listener(), {}, handler);
  REQUIRE(server.Open().has_value());
  std::thread runner([&pool] { pool.Run(); });
  std::deque<TestConnection> connections;
  for (std::size_t i = 0; i < kConnections; ++i) {
    connections.emplace_back(server.Port());
  }
  for (TestConnection& connection : connections) {
    connection.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(connection.ReadResponse().find("HTTP/1.1 200") == 0);
  }
  pool.Stop();
  runner.join();
  const std::multiset<std::thread::id> readers = handler.Readers();
  CHECK(readers.size() == kConnections);
  for (const std::thread::id reader : readers) {
    CHECK(readers.count(reader) == kConnections / kContexts);
  }
  CHECK(handler.ThreadSwitches() == 0);
}

TEST_CASE("Context pool: all handlers are destroyed before the first "
          "context")
{
  std::atomic<int> alive{ 0 };
  std::vector<int> seen;
  {
    ContextPool pool(kContexts);
    std::vector<asio::io_context*> contexts = pool.RequestContexts();
    contexts.push_back(&pool.Listener());
    contexts.push_back(&pool.Main());
    for (asio::io_context* context : contexts) {
      asio::make_service<ContextCounter>(*context, alive);
      const std::shared_ptr<void> held(nullptr,
                                       [&](void*) { seen.push_back(alive); });
      asio::post(*context, [held] {});
    }
  }
  CHECK(seen == std::vector<int>(kContexts + 2, kContexts + 2));
}

TEST_CASE("Connection shares: the sum over all shards is the limit, and a "
          "shard's own share comes first")
{
  for (const std::size_t limit : { 0, 1, 3, 4, 7, 64 }) {
    INFO("limit " << limit);
    ConnectionShares shares(kContexts);
    std::vector<std::size_t> acquired;
    while (const auto shard = shares.Acquire("10.0.0.1:80", 2, limit)) {
      acquired.push_back(*shard);
    }
    CHECK(acquired.size() == limit);
    const std::size_t fullShare = limit / kContexts;
    for (std::size_t i = 0; i < fullShare; ++i) {
      CHECK(acquired[i] == 2);
    }
    for (std::size_t shard = 0; shard < kContexts; ++shard) {
      const auto count = std::count(acquired.begin(), acquired.end(), shard);
      CHECK(static_cast<std::size_t>(count) >= fullShare);
      CHECK(static_cast<std::size_t>(count) <= fullShare + 1);
    }
    CHECK(shares.Acquire("10.0.0.2:80", 0, 1).has_value());
    if (!acquired.empty()) {
      shares.Release("10.0.0.1:80", acquired.back());
      CHECK(shares.Acquire("10.0.0.1:80", 2, limit) == acquired.back());
    }
  }
}
