#pragma once

#include <chrono>
#include <cstddef>

#include <asio/ip/tcp.hpp>

namespace almondspoke {

/** Sets TCP_NODELAY, keepalive and the time after which unacknowledged data
 * closes the connection. Errors are ignored, since the options only make the
 * detection of lost connections faster. */
void
ApplySocketOptions(asio::ip::tcp::socket& aSocket,
                   std::chrono::milliseconds aUserTimeout);

/** Limits what the kernel holds unread of each connection that the listener
 * will accept to about twice the size. Must be called before listen(). Zero
 * leaves the system's limit. */
void
LimitReceiveBuffers(asio::ip::tcp::acceptor& aListener, std::size_t aBytes);

/** The same for what it holds unsent, so that answers that nobody reads soon
 * wait in the process, which knows of them. */
void
LimitSendBuffers(asio::ip::tcp::acceptor& aListener, std::size_t aBytes);

/** Length to listen with.
 * \param aQueue zero for the system's limit */
int
ListenQueueLength(std::size_t aQueue);

}
