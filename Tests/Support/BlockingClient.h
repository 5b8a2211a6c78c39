#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "Support/ContextThreads.h"
#include "Transport/AsioHttpClient.h"
#include "Transport/CurlHttpClient.h"

namespace almondspoke::testing {

/** \brief Blocking wrapper around one of the asynchronous HTTP clients of the
 * program under test. */
class BlockingClient
{
public:
  explicit BlockingClient(HttpClientOptions aOptions = {}, bool aIsAsio = false)
  {
    if (aIsAsio) {
      mAsio.emplace();
      mClient = std::make_unique<AsioHttpClient>(mAsio->Context(), aOptions);
      return;
    }
    mThreads.emplace();
    mClient = std::make_unique<CurlHttpClient>(mThreads->Context(), aOptions);
  }
  ~BlockingClient()
  {
    if (mThreads) {
      mThreads->Stop();
    }
    if (mAsio) {
      mAsio->Stop();
    }
  }
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  HttpClient& Client() { return *mClient; }

  std::future<AttemptResult> Begin(HttpAttempt aAttempt)
  {
    auto promise = std::make_shared<std::promise<AttemptResult>>();
    OnClientThread([&] {
      mLast =
        mClient->Start(std::move(aAttempt), [promise](AttemptResult aResult) {
          promise->set_value(std::move(aResult));
        });
    });
    return promise->get_future();
  }

  AttemptResult Call(HttpAttempt aAttempt)
  {
    return Begin(std::move(aAttempt)).get();
  }

  AttemptResult Call(const std::string& aAddress,
                     const std::string& aMethod,
                     const std::string& aTarget,
                     std::string aBody = {},
                     HttpFields aFields = {})
  {
    return Call(MakeAttempt(
      aAddress, aMethod, aTarget, std::move(aBody), std::move(aFields)));
  }

  static HttpAttempt MakeAttempt(const std::string& aAddress,
                                 const std::string& aMethod,
                                 const std::string& aTarget,
                                 std::string aBody = {},
                                 HttpFields aFields = {})
  {
    HttpAttempt attempt;
    attempt.mAddress = aAddress;
    attempt.mMethod = aMethod;
    attempt.mTarget = aTarget;
    attempt.mFields = std::move(aFields);
    attempt.mBody = std::make_shared<const std::string>(std::move(aBody));
    attempt.mDeadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
    attempt.mMaxConnections = 1000;
    return attempt;
  }

  HttpClient::AttemptId Last() const { return mLast; }

  void Cancel(HttpClient::AttemptId aAttempt)
  {
    OnClientThread([&] { mClient->Cancel(aAttempt); });
  }

private:
  /** \brief An io_context that a single thread runs. */
  class OneThread
  {
  public:
    OneThread()
      : mWork(asio::make_work_guard(mContext))
      , mThread([this] { mContext.run(); })
    {
    }
    asio::io_context& Context() { return mContext; }
    void Stop()
    {
      mContext.stop();
      mThread.join();
    }

  private:
    asio::io_context mContext;
    asio::executor_work_guard<asio::io_context::executor_type> mWork;
    std::thread mThread;
  };

  // AsioHttpClient may be called on the thread of its io_context only.
  void OnClientThread(const std::function<void()>& aWhat)
  {
    if (!mAsio) {
      aWhat();
      return;
    }
    std::promise<void> called;
    asio::post(mAsio->Context(), [&] {
      aWhat();
      called.set_value();
    });
    called.get_future().wait();
  }

  std::optional<ContextThreads> mThreads;
  std::optional<OneThread> mAsio;
  std::unique_ptr<HttpClient> mClient;
  std::atomic<HttpClient::AttemptId> mLast{ 0 };
};

}
