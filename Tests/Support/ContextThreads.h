#pragma once

#include <cstddef>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

namespace almondspoke::testing {

/** \brief An io_context and the threads that run it. Declare it before the
 * objects that use the context, and stop it before they are destroyed. */
class ContextThreads
{
public:
  explicit ContextThreads(std::size_t aThreads = 2)
    : mGuard(asio::make_work_guard(mContext))
  {
    for (std::size_t i = 0; i < aThreads; ++i) {
      mThreads.emplace_back([this] { mContext.run(); });
    }
  }
  ContextThreads(const ContextThreads&) = delete;
  ContextThreads& operator=(const ContextThreads&) = delete;
  ~ContextThreads() { Stop(); }

  asio::io_context& Context() { return mContext; }

  void Stop()
  {
    mContext.stop();
    for (std::thread& thread : mThreads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

private:
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mGuard;
  std::vector<std::thread> mThreads;
};

}
