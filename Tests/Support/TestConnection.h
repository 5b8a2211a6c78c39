#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace almondspoke::testing {

/** \brief A blocking connection to a loopback port that sends and receives raw
 * bytes. A read times out after 60 s. */
class TestConnection
{
public:
  explicit TestConnection(std::uint16_t aPort)
    : mSocket(mContext)
  {
    mSocket.connect({ asio::ip::address_v4::loopback(), aPort });
    const timeval timeout{ 60, 0 };
    ::setsockopt(mSocket.native_handle(),
                 SOL_SOCKET,
                 SO_RCVTIMEO,
                 &timeout,
                 sizeof timeout);
  }

  void Send(const std::string& aBytes)
  {
    asio::error_code ignored;
    asio::write(mSocket, asio::buffer(aBytes), ignored);
  }

  /** Reads one response, whose body length is given by Content-Length. \return
   * an empty string at the end of input or on a timeout. */
  std::string ReadResponse()
  {
    while (mInput.find("\r\n\r\n") == std::string::npos) {
      if (!ReadMore()) {
        return {};
      }
    }
    const std::size_t headerEnd = mInput.find("\r\n\r\n") + 4;
    const std::string header = mInput.substr(0, headerEnd);
    const std::size_t field = header.find("Content-Length: ");
    const std::size_t length =
      field == std::string::npos ? 0 : std::stoul(header.substr(field + 16));
    while (mInput.size() < headerEnd + length) {
      if (!ReadMore()) {
        return {};
      }
    }
    std::string response = mInput.substr(0, headerEnd + length);
    mInput.erase(0, headerEnd + length);
    return response;
  }

  /** Reads until the peer closes the connection. */
  std::string ReadAll()
  {
    while (ReadMore()) {
    }
    return mInput;
  }

  void Close() { mSocket.close(); }

private:
  bool ReadMore()
  {
    char buffer[16384];
    const ssize_t count =
      ::recv(mSocket.native_handle(), buffer, sizeof buffer, 0);
    if (count <= 0) {
      return false;
    }
    mInput.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  asio::io_context mContext;
  asio::ip::tcp::socket mSocket;
  std::string mInput;
};

}
