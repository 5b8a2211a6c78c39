#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "Base/Result.h"
#include "Transport/HttpExchange.h"
#include "Transport/RequestMemory.h"

namespace almondspoke {

/** \brief Limits on the connections of a server beside those that are open. */
struct ConnectionQueues
{
  /** Length of the listen queue; zero for the system's limit. */
  std::size_t mListening = 0;
  /** Number of sockets in their lingering close; further ones are closed
   * without, so that the last answer on them may be lost. */
  std::size_t mClosing = 1024;
  /** Buffers of the kernel for each connection; zero for the system's. */
  std::size_t mReceiveBufferBytes = 0;
  std::size_t mSendBufferBytes = 0;
};

/** \brief Listening address and limits of a server. */
struct HttpServerOptions
{
  /** IP number. */
  std::string mAddress = "127.0.0.1";
  /** Zero lets the system choose. */
  std::uint16_t mPort = 0;
  /** Limit for the target and for each field's name and value, each. */
  std::size_t mMaxHeaderBytes = 32768;
  std::size_t mMaxHeaderFields = 100;
  std::size_t mMaxBodyBytes = 16777216;
  /** When nearly all are in use, those that have been quiet for the longest
   * time are closed; further ones wait in the listen queue. */
  std::size_t mMaxConnections = 4096;
  ConnectionQueues mQueues;
  /** Number of requests that one connection may have in progress. */
  std::size_t mMaxPipelinedRequests = 16;
  /** Maximum memory of unfinished requests, and of finished ones and their
   * answers until these are written. */
  std::size_t mMaxUnfinishedBytes = std::numeric_limits<std::size_t>::max();
  /** Maximum time to receive a request, and to keep an idle connection. */
  std::chrono::milliseconds mIdleTimeout{ 60000 };
  /** Limits that SetRequestLimits() may change. The limits above remain in
   * force. */
  RequestLimits mRequestLimits;
  /** Called for each request that is refused for its memory or time, on any
   * thread that runs the server; may be empty. */
  RequestRefusalObserver mOnRefusal;
  /** Maximum time to answer a request; then the connection is closed. */
  std::chrono::milliseconds mHandlingTimeout{ 3600000 };
};

/** \brief An HTTP/1.1 server on a given io_context.
 *
 * On the listener context of a ContextPool, connections are distributed over
 * the request contexts of the pool.
 *
 * Keeps connections alive and answers pipelined requests in their order.
 * Answers input that the parser rejects with an error that states the reason.
 */
class HttpServer
{
public:
  HttpServer(asio::io_context& aContext,
             HttpServerOptions aOptions,
             HttpHandler& aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Binds and listens. Returns InvalidSettings with the address on failure. */
  Result<void> Open();

  /** Stops listening; open connections are kept. */
  void CloseListener();

  /** Makes every later answer close its connection. */
  void CloseConnectionsAfterAnswer();

  /** Returns the listening port; valid after Open(). */
  std::uint16_t Port() const;

  /** Number of requests whose answers have not been written yet. */
  std::size_t OutstandingRequests() const;

  /** Number of connections that are open or in their lingering close. */
  std::size_t OpenConnections() const;

  /** Sets the limits on the requests that are received from now on. The limits
   * of HttpServerOptions remain in force. */
  void SetRequestLimits(const RequestLimits& aLimits);

  RequestMemoryCounters MemoryCounters() const;

  /** Number of quiet connections that were closed to make place for others. */
  std::uint64_t DisplacedConnections() const;

  /** Number of requests that the parser has rejected. */
  std::uint64_t RejectedRequests() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> mImplementation;
};

}
