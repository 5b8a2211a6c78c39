#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <curl/curl.h>

#include "Transport/ConnectionShares.h"
#include "Transport/CurlHttpClient.h"

namespace almondspoke::detail {

class CurlTransfer;

/** \brief One libcurl multi handle and its connections; runs on one strand. */
class CurlShard : public std::enable_shared_from_this<CurlShard>
{
public:
  CurlShard(asio::io_context& aContext,
            std::size_t aIndex,
            std::shared_ptr<ConnectionShares> aShares,
            const HttpClientOptions& aOptions);
  CurlShard(const CurlShard&) = delete;
  CurlShard& operator=(const CurlShard&) = delete;
  ~CurlShard();

  /** Starts an attempt for which a connection was acquired from this shard's
   * share. */
  void Start(HttpClient::AttemptId aId,
             HttpAttempt aAttempt,
             HttpClient::Done aDone);
  /** Ends an attempt for which no connection is available. */
  void Refuse(HttpClient::Done aDone);
  void Cancel(HttpClient::AttemptId aId);

private:
  /** \brief A libcurl socket and the state of its asynchronous waits. */
  struct WatchedSocket
  {
    explicit WatchedSocket(asio::ip::tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }

    asio::ip::tcp::socket mSocket;
    bool mWantsRead = false;
    bool mWantsWrite = false;
    bool mIsReadPending = false;
    bool mIsWritePending = false;
  };
  using WatchedSocketPtr = std::shared_ptr<WatchedSocket>;

  void StartOnStrand(HttpClient::AttemptId aId,
                     HttpAttempt aAttempt,
                     HttpClient::Done aDone);
  void CancelOnStrand(HttpClient::AttemptId aId);
  void RunSocketAction(curl_socket_t aSocket, int aEvents);
  void CollectFinished();
  void Finish(CURL* aEasy, CURLcode aCode);
  void ArmTimer();
  void OnTimerExpired();
  void Watch(const WatchedSocketPtr& aSocket);
  void WaitRead(const WatchedSocketPtr& aSocket);
  void WaitWrite(const WatchedSocketPtr& aSocket);
  bool IsCurrent(const WatchedSocketPtr& aSocket, curl_socket_t aHandle) const;
  curl_socket_t OpenSocket(const curl_sockaddr& aAddress);

  static int OnSocket(CURL* aEasy,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aShard,
                      void* aEntry);
  static int OnTimer(CURLM* aMulti, long aMilliseconds, void* aShard);
  static curl_socket_t OnOpenSocket(void* aShard,
                                    curlsocktype aPurpose,
                                    curl_sockaddr* aAddress);
  static int OnCloseSocket(void* aShard, curl_socket_t aSocket);

  asio::io_context& mContext;
  const std::size_t mIndex;
  const std::shared_ptr<ConnectionShares> mShares;
  asio::strand<asio::io_context::executor_type> mStrand;
  asio::steady_timer mTimer;
  /** Time at which libcurl's timeout has to be handled. */
  std::optional<asio::steady_timer::time_point> mTimerDue;
  /** Time at which mTimer expires, if it is armed. */
  std::optional<asio::steady_timer::time_point> mTimerArmedFor;
  /** True while StartOnStrand() adds a transfer to the multi handle. */
  bool mIsStarting = false;
  HttpClientOptions mOptions;
  CURLM* mMulti;
  std::unordered_map<curl_socket_t, WatchedSocketPtr> mSockets;
  std::unordered_map<HttpClient::AttemptId, std::unique_ptr<CurlTransfer>>
    mTransfers;
  /** Easy handles that are reused, since creating one is expensive. */
  std::vector<CURL*> mIdleHandles;
};

}
