#include "Transport/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace almondspoke {

namespace {

// Longer than kPeerIdleLivenessPeriod, so that a healthy connection needs no
// probes.
constexpr int kKeepAliveIdleSeconds = 12;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void
SetTcpOption(int aSocket, int aOption, unsigned aValue)
{
  ::setsockopt(aSocket, IPPROTO_TCP, aOption, &aValue, sizeof(aValue));
}

}

void
ApplySocketOptions(asio::ip::tcp::socket& aSocket,
                   std::chrono::milliseconds aUserTimeout)
{
  asio::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  SetTcpOption(handle, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(handle, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(handle, TCP_KEEPCNT, kKeepAliveProbes);
  SetTcpOption(
    handle, TCP_USER_TIMEOUT, static_cast<unsigned>(aUserTimeout.count()));
}

void
LimitReceiveBuffers(asio::ip::tcp::acceptor& aListener, std::size_t aBytes)
{
  if (aBytes > 0) {
    asio::error_code ignored;
    aListener.set_option(
      asio::socket_base::receive_buffer_size(static_cast<int>(aBytes)),
      ignored);
  }
}

void
LimitSendBuffers(asio::ip::tcp::acceptor& aListener, std::size_t aBytes)
{
  if (aBytes > 0) {
    asio::error_code ignored;
    aListener.set_option(
      asio::socket_base::send_buffer_size(static_cast<int>(aBytes)), ignored);
  }
}

int
ListenQueueLength(std::size_t aQueue)
{
  return aQueue > 0 ? static_cast<int>(aQueue)
                    : asio::socket_base::max_listen_connections;
}

}
