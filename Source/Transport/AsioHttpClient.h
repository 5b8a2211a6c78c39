#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Transport/CurlHttpClient.h"
#include "Transport/HttpClient.h"

namespace almondspoke {

namespace detail {
class ClientConnection;
}

/** \brief HttpClient with its own connection pools, for an io_context that is
 * run by a single thread.
 *
 * Behaves like CurlHttpClient but needs only a fraction of its processor time
 * per attempt. Meant for instances that send thousands of short requests per
 * second. */
class AsioHttpClient : public HttpClient
{
public:
  AsioHttpClient(asio::io_context& aContext, const HttpClientOptions& aOptions);
  AsioHttpClient(const AsioHttpClient&) = delete;
  AsioHttpClient& operator=(const AsioHttpClient&) = delete;
  /** The io_context must have stopped running. */
  ~AsioHttpClient() override;

  AttemptId Start(HttpAttempt aAttempt, Done aDone) override;
  void Cancel(AttemptId aAttempt) override;

  /** Number of connections that are open or being opened. */
  std::size_t Connections() const;

private:
  friend class detail::ClientConnection;
  using ConnectionPtr = std::shared_ptr<detail::ClientConnection>;

  /** \brief The connections to one address. */
  struct Pool
  {
    std::size_t mOpen = 0;
    /** Idle connections; the most recently used one is last. */
    std::vector<ConnectionPtr> mIdle;
  };

  void Refuse(Done aDone, std::string aWhy);
  ConnectionPtr TakeIdle(const std::string& aAddress);
  void OnIdle(const ConnectionPtr& aConnection);
  void OnClosed(const detail::ClientConnection& aConnection);
  void OnAttemptEnded(AttemptId aAttempt);
  void ScheduleSweep();
  void Sweep();
  void CloseIdle(std::chrono::steady_clock::time_point aNow);

  asio::io_context& mContext;
  const HttpClientOptions mOptions;
  asio::steady_timer mTimer;
  bool mSweepScheduled = false;
  std::chrono::steady_clock::time_point mNextIdleSweep{};
  AttemptId mNextAttempt = 1;
  std::map<std::string, Pool> mPools;
  std::map<AttemptId, ConnectionPtr> mBusy;
};

}
