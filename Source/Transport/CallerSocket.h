#pragma once

#include <memory>
#include <string>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "Transport/ConnectionTable.h"
#include "Transport/ContextPool.h"

namespace restinio::impl {
class tls_socket_t;
}

namespace almondspoke::detail {

/** \brief The server side socket of a caller's connection, with a lingering
 * close.
 *
 * The HTTP library closes the connection if its parser rejects the input.
 * Before that, this socket writes the response that was set by
 * SetErrorResponse(). After its last write it keeps reading for a limited time,
 * because closing a socket with unread input resets the connection, which can
 * destroy responses that are still in transit.
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

  /** Sets the response that is written to the connection that the current
   * thread closes next. */
  static void SetErrorResponse(std::string aAnswer);

  /** Sets the state of the next new connection that the current thread reads
   * from. */
  static void SetConnection(std::shared_ptr<ConnectionState> aConnection);

  /** Number of sockets in their lingering close. */
  static std::size_t LingeringCount();

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

  template<typename... Arguments>
  auto async_read_some(Arguments&&... aArguments)
  {
    PrepareRead();
    return mSocket.async_read_some(std::forward<Arguments>(aArguments)...);
  }

  template<typename... Arguments>
  auto async_write_some(Arguments&&... aArguments)
  {
    return mSocket.async_write_some(std::forward<Arguments>(aArguments)...);
  }

  void shutdown(asio::ip::tcp::socket::shutdown_type aWhat,
                asio::error_code& aError);
  void close();
  // NOLINTEND(readability-identifier-naming)

private:
  void PrepareRead();
  void SendContinue();

  asio::ip::tcp::socket mSocket;
  std::shared_ptr<ConnectionState> mConnection;
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
