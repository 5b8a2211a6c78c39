#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include "Transport/ArrivingRequest.h"
#include "Transport/ConnectionTable.h"
#include "Transport/ContextPool.h"
#include "Transport/HttpMessage.h"

namespace restinio::impl {
class tls_socket_t;
}

namespace almondspoke::detail {

/** \brief Number of the sockets of a server in their lingering close.
 * Thread-safe. */
class LingerCount
{
public:
  explicit LingerCount(std::size_t aMax)
    : mMax(aMax)
  {
  }

  /** Returns false if the maximum is reached. */
  bool TryAdd();
  void Remove() { --mCount; }
  std::size_t Value() const { return mCount; }

private:
  const std::size_t mMax;
  std::atomic<std::size_t> mCount{ 0 };
};

/** \brief The server side socket of a caller's connection, with a lingering
 * close.
 *
 * The HTTP library closes the connection if its parser rejects the input.
 * Before that, this socket writes the response that was set by
 * SetErrorResponse(). After its last write it keeps reading for a limited time,
 * because closing a socket with unread input resets the connection, which can
 * destroy responses that are still in transit.
 *
 * After each read, the memory of the request that is being received is charged
 * to the account of the server. If the request is refused, the next read fails,
 * so that the library closes the connection.
 *
 * When the library starts to read the body of a caller that waits for a 100
 * response, this socket sends the 100 after all earlier answers. */
class CallerSocket
{
public:
  using executor_type = asio::ip::tcp::socket::executor_type;
  using lowest_layer_type = asio::ip::tcp::socket;

  /** Creates the socket on the context that ContextPool::ForConnection()
   * returns.
   */
  explicit CallerSocket(asio::io_context& aContext)
    : mSocket(ContextPool::ForConnection(aContext))
  {
  }
  CallerSocket(CallerSocket&&) = default;
  CallerSocket& operator=(CallerSocket&&) = delete;
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;
  ~CallerSocket();

  /** Sets the response that is written to the connection that the current
   * thread closes next. */
  static void SetErrorResponse(const HttpResponse& aResponse);

  /** Sets the state of the next new connection that the current thread reads
   * from. */
  static void SetConnection(std::shared_ptr<ConnectionState> aConnection,
                            std::shared_ptr<ArrivingRequest> aRequest,
                            std::shared_ptr<LingerCount> aLingering);

  // The HTTP library prescribes the names that follow.
  // NOLINTBEGIN(readability-identifier-naming)
  auto& lowest_layer() { return mSocket; }
  const auto& lowest_layer() const { return mSocket; }
  auto get_executor() { return mSocket.get_executor(); }
  auto remote_endpoint() const { return mSocket.remote_endpoint(); }
  bool is_open() const { return mSocket.is_open(); }

  template<typename... Arguments>
  void cancel(Arguments&&... aArguments)
  {
    mSocket.cancel(std::forward<Arguments>(aArguments)...);
  }

  template<typename Buffers, typename Handler>
  auto async_read_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    PrepareRead();
    const auto executor =
      asio::get_associated_executor(aHandler, mSocket.get_executor());
    AttachRequest(executor);
    return mSocket.async_read_some(
      aBuffers,
      asio::bind_executor(
        executor,
        [request = mRequest, handler = std::forward<Handler>(aHandler)](
          asio::error_code aError, std::size_t aSize) mutable {
          if (!request) {
            handler(aError, aSize);
            return;
          }
          const ArrivingRequest::Scope scope(*request);
          // What was read may be a whole request, which must be answered.
          if (TakeRefusal(*request) ||
              (aError && request->TakeDisplacement())) {
            aError = asio::error::no_buffer_space;
          }
          handler(aError, aSize);
          request->Settle();
          if (!aError) {
            request->ContinueDisplacement();
          }
        }));
  }

  /** After a write, the library may parse requests that it has read before. */
  template<typename Buffers, typename Handler>
  auto async_write_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    return mSocket.async_write_some(
      aBuffers,
      asio::bind_executor(
        asio::get_associated_executor(aHandler, mSocket.get_executor()),
        [request = mRequest, handler = std::forward<Handler>(aHandler)](
          asio::error_code aError, std::size_t aSize) mutable {
          if (!request) {
            handler(aError, aSize);
            return;
          }
          const ArrivingRequest::Scope scope(*request);
          // The library ignores a write that was cancelled.
          if (aError == asio::error::operation_aborted &&
              request->TakeDisplacement()) {
            aError = asio::error::no_buffer_space;
          }
          handler(aError, aSize);
          request->Settle();
        }));
  }

  void shutdown(asio::ip::tcp::socket::shutdown_type aWhat,
                asio::error_code& aError);
  void close();
  // NOLINTEND(readability-identifier-naming)

private:
  void PrepareRead();

  template<typename Executor>
  void AttachRequest(const Executor& aExecutor)
  {
    if (!mRequest || mRequest->IsAttached()) {
      return;
    }
    mRequest->Attach(
      [aExecutor](ArrivingRequest::Task aTask) {
        asio::post(aExecutor, std::move(aTask));
      },
      [this] {
        asio::error_code ignored;
        mSocket.cancel(ignored);
      });
  }

  /** Returns whether the request is refused; sets the answer, if any. */
  static bool TakeRefusal(ArrivingRequest& aRequest);

  void SendContinue();

  asio::ip::tcp::socket mSocket;
  std::shared_ptr<ConnectionState> mConnection;
  std::shared_ptr<ArrivingRequest> mRequest;
  std::shared_ptr<LingerCount> mLingering;
};

// Functions that the HTTP library requires for a socket type. It finds them by
// argument-dependent lookup.
// NOLINTBEGIN(readability-identifier-naming)
template<typename Connection, typename StartRead, typename Failed>
void
prepare_connection_and_start_read(CallerSocket&,
                                  Connection&,
                                  StartRead aStartRead,
                                  Failed)
{
  aStartRead();
}

inline restinio::impl::tls_socket_t*
make_tls_socket_pointer_for_state_listener(CallerSocket&) noexcept
{
  return nullptr;
}
// NOLINTEND(readability-identifier-naming)

}
