#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include <asio/io_context.hpp>

namespace almondspoke {

/** \brief The io_contexts of a process.
 *
 * Each request context is run by a single thread, so that a request can be
 * read, forwarded and answered without waking up another thread. The listener
 * context is also run by a single thread, because the HTTP library assigns
 * connection ids without a lock. The main context is run by several threads and
 * handles everything else. */
class ContextPool
{
public:
  /** \param aThreads  number of request contexts and of main context threads */
  explicit ContextPool(std::size_t aThreads);
  ContextPool(const ContextPool&) = delete;
  ContextPool& operator=(const ContextPool&) = delete;
  ~ContextPool();

  asio::io_context& Main();
  asio::io_context& Listener();
  std::vector<asio::io_context*> RequestContexts() const;

  /** Runs all contexts until Stop(). */
  void Run();
  void Stop();

  /** Returns the context for the next connection that is accepted on aContext.
   * For a listener context these are the request contexts in round-robin order,
   * for any other context it is aContext itself. */
  static asio::io_context& ForConnection(asio::io_context& aContext);

  /** Number of contexts among which ForConnection() chooses. */
  static std::size_t ConnectionContexts(asio::io_context& aContext);

private:
  class Context;
  class RequestContextService;

  const std::size_t mThreads;
  std::vector<std::unique_ptr<Context>> mRequestContexts;
  std::unique_ptr<Context> mListener;
  std::unique_ptr<Context> mMain;
};

}
