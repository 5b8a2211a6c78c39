#pragma once

#include <chrono>

#include <asio/ip/tcp.hpp>

namespace almondspoke {

/** Sets TCP_NODELAY, keepalive and the time after which unacknowledged data
 * closes the connection. Errors are ignored, since the options only make the
 * detection of lost connections faster. */
void
ApplySocketOptions(asio::ip::tcp::socket& aSocket,
                   std::chrono::milliseconds aUserTimeout);

}
