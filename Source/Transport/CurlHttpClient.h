#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>

#include "Transport/HttpClient.h"

namespace almondspoke {

namespace detail {
class ConnectionShares;
class CurlShard;
}

/** \brief Settings of the outgoing connections. */
struct HttpClientOptions
{
  /** Number of shards if all of them use the same io_context. */
  std::size_t mShards = 4;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /** Time after which unacknowledged data closes the connection. */
  std::chrono::milliseconds mUserTimeout{ 5000 };
  /** Idle time after which the kernel sends keepalive probes. */
  std::chrono::seconds mKeepAliveIdle{ 5 };
  /** Idle time after which a pooled connection is not reused. */
  std::chrono::seconds mMaxIdle{ 30 };
  /** Maximum size of a response body. */
  std::size_t mMaxResponseBytes = 67108864;
};

/** \brief HttpClient on libcurl's multi interface, driven by Asio.
 *
 * Every shard has its own multi handle and connection pool, and runs on its own
 * strand. An attempt goes to the shard of the thread that starts it or, if that
 * thread runs no shard, to the endpoint's default shard. If this shard's share
 * of the endpoint's connections is used up, another shard takes the attempt. */
class CurlHttpClient : public HttpClient
{
public:
  /** Runs all shards on one io_context, which may be run by several threads. */
  CurlHttpClient(asio::io_context& aContext, const HttpClientOptions& aOptions);
  /** Runs one shard on each io_context, which must be run by one thread. */
  CurlHttpClient(const std::vector<asio::io_context*>& aContexts,
                 const HttpClientOptions& aOptions);
  CurlHttpClient(const CurlHttpClient&) = delete;
  CurlHttpClient& operator=(const CurlHttpClient&) = delete;
  /** The io_contexts must have stopped running. */
  ~CurlHttpClient() override;

  AttemptId Start(HttpAttempt aAttempt, Done aDone) override;
  void Cancel(AttemptId aAttempt) override;

private:
  void AddShard(asio::io_context& aContext, const HttpClientOptions& aOptions);
  std::size_t PreferredShard(const std::string& aAddress) const;

  /** Contexts of the shards; empty if they share one context. */
  std::vector<asio::io_context*> mContexts;
  std::shared_ptr<detail::ConnectionShares> mShares;
  std::atomic<std::uint64_t> mNextAttempt{ 0 };
  std::vector<std::shared_ptr<detail::CurlShard>> mShards;
};

}
