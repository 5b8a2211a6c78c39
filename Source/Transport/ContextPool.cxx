#include "Transport/ContextPool.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include <asio/executor_work_guard.hpp>

namespace almondspoke {

/** \brief An io_context whose handlers can be destroyed before it is. */
class ContextPool::Context : public asio::io_context
{
public:
  explicit Context(std::size_t aThreads)
    : asio::io_context(static_cast<int>(aThreads))
    , mGuard(get_executor())
  {
  }

  void DropHandlers() { shutdown(); }

private:
  asio::executor_work_guard<executor_type> mGuard;
};

/** \brief Service of a listener context that holds its pool's request contexts.
 */
class ContextPool::RequestContextService
  : public asio::execution_context::service
{
public:
  using key_type = RequestContextService;
  // The library prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit RequestContextService(asio::execution_context& aOwner,
                                 std::vector<asio::io_context*> aContexts = {})
    : asio::execution_context::service(aOwner)
    , mContexts(std::move(aContexts))
  {
  }

  static RequestContextService& Of(asio::io_context& aContext)
  {
    return asio::use_service<RequestContextService>(
      static_cast<asio::execution_context&>(aContext));
  }

  std::size_t Size() const { return mContexts.size(); }
  asio::io_context& Next() { return *mContexts[mNext++ % mContexts.size()]; }

private:
  // The library prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown() override {}

  const std::vector<asio::io_context*> mContexts;
  std::atomic<std::size_t> mNext{ 0 };
};

ContextPool::ContextPool(std::size_t aThreads)
  : mThreads(std::max<std::size_t>(1, aThreads))
  , mListener(std::make_unique<Context>(1))
  , mMain(std::make_unique<Context>(mThreads))
{
  for (std::size_t i = 0; i < mThreads; ++i) {
    mRequestContexts.push_back(std::make_unique<Context>(1));
  }
  asio::make_service<RequestContextService>(*mListener, RequestContexts());
}

// A handler of one context can own a socket or timer of another context. All
// handlers are therefore destroyed before the first context.
ContextPool::~ContextPool()
{
  mMain->DropHandlers();
  mListener->DropHandlers();
  for (const auto& context : mRequestContexts) {
    context->DropHandlers();
  }
}

asio::io_context&
ContextPool::Main()
{
  return *mMain;
}

asio::io_context&
ContextPool::Listener()
{
  return *mListener;
}

std::vector<asio::io_context*>
ContextPool::RequestContexts() const
{
  std::vector<asio::io_context*> contexts;
  for (const auto& context : mRequestContexts) {
    contexts.push_back(context.get());
  }
  return contexts;
}

void
ContextPool::Run()
{
  std::vector<std::thread> threads;
  for (const auto& context : mRequestContexts) {
    threads.emplace_back([&context] { context->run(); });
  }
  threads.emplace_back([this] { mListener->run(); });
  for (std::size_t i = 1; i < mThreads; ++i) {
    threads.emplace_back([this] { mMain->run(); });
  }
  mMain->run();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
ContextPool::Stop()
{
  mMain->stop();
  mListener->stop();
  for (const auto& context : mRequestContexts) {
    context->stop();
  }
}

asio::io_context&
ContextPool::ForConnection(asio::io_context& aContext)
{
  RequestContextService& service = RequestContextService::Of(aContext);
  return service.Size() == 0 ? aContext : service.Next();
}

std::size_t
ContextPool::ConnectionContexts(asio::io_context& aContext)
{
  return std::max<std::size_t>(1, RequestContextService::Of(aContext).Size());
}

}
