// Blocking HTTP/1.1 for the stand-ins of the review: a server with one thread
// for each connection, and a client that sends one request for each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request
{
  std::string method;
  std::string target;
  std::map<std::string, std::string> fields; // names in lower case
  std::string body;
};

struct Response
{
  int status = 0; // 0: no complete response
  std::string body;
};

inline sockaddr_in
AddressOf(const std::string& address)
{
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

inline bool
SendAll(int socket, const std::string& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
      ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads one message. Returns false at the end of the connection, or when the
// deadline has passed.
inline bool
ReadMessage(int socket,
            std::string& buffer,
            std::string& firstLine,
            std::map<std::string, std::string>& fields,
            std::string& body,
            std::chrono::steady_clock::time_point deadline)
{
  const auto more = [&] {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                        deadline - std::chrono::steady_clock::now())
                        .count();
    pollfd watched{ socket, POLLIN, 0 };
    if (left <= 0 || ::poll(&watched, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char part[16384];
    const ssize_t count = ::recv(socket, part, sizeof part, 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(part, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::size_t at = buffer.find("\r\n");
  firstLine = buffer.substr(0, at);
  fields.clear();
  while (at < end) {
    const std::size_t next = buffer.find("\r\n", at + 2);
    const std::string line = buffer.substr(at + 2, next - at - 2);
    at = next;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const auto length = fields.find("content-length");
  const std::size_t size =
    length == fields.end() ? 0 : std::stoul(length->second);
  while (buffer.size() < end + 4 + size) {
    if (!more()) {
      return false;
    }
  }
  body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return true;
}

// Serves an address until it is closed. Closing ends all connections at once,
// as the end of a process does.
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;

  Server(std::string address, Handler handler)
    : mAddress(std::move(address))
    , mHandler(std::move(handler))
  {
  }
  ~Server() { Close(); }

  bool Open()
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = AddressOf(mAddress);
    if (::bind(mListener,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(mListener, 256) != 0) {
      ::close(mListener);
      mListener = -1;
      return false;
    }
    mOpen = true;
    mAcceptor = std::thread([this] { Accept(); });
    return true;
  }

  void Close()
  {
    if (!mOpen.exchange(false)) {
      return;
    }
    ::shutdown(mListener, SHUT_RDWR);
    mAcceptor.join();
    ::close(mListener);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const int connection : mConnections) {
        ::shutdown(connection, SHUT_RDWR);
      }
    }
    while (mActive > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

private:
  void Accept()
  {
    while (mOpen) {
      pollfd watched{ mListener, POLLIN, 0 };
      if (::poll(&watched, 1, 100) <= 0) {
        continue;
      }
      const int connection =
        ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        continue;
      }
      const int on = 1;
      ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mConnections.insert(connection);
      }
      ++mActive;
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }

  void Serve(int connection)
  {
    std::string buffer;
    std::string line;
    Request request;
    while (mOpen && ReadMessage(connection,
                                buffer,
                                line,
                                request.fields,
                                request.body,
                                std::chrono::steady_clock::now() +
                                  std::chrono::seconds(60))) {
      const std::size_t first = line.find(' ');
      const std::size_t last = line.rfind(' ');
      request.method = line.substr(0, first);
      request.target = line.substr(first + 1, last - first - 1);
      const Response response = mHandler(request);
      if (response.status == 0 || !mOpen) {
        break;
      }
      if (!SendAll(connection,
                   "HTTP/1.1 " + std::to_string(response.status) +
                     " X\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(response.body.size()) + "\r\n\r\n" +
                     response.body)) {
        break;
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mConnections.erase(connection);
      ::close(connection);
    }
    --mActive;
  }

  const std::string mAddress;
  const Handler mHandler;
  int mListener = -1;
  std::atomic<bool> mOpen{ false };
  std::atomic<int> mActive{ 0 };
  std::mutex mMutex;
  std::set<int> mConnections;
  std::thread mAcceptor;
};

// Sends one request on a connection of its own.
inline Response
Send(const std::string& address,
     const std::string& method,
     const std::string& target,
     const std::string& host,
     const std::string& body,
     int timeoutMs)
{
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = AddressOf(address);
  Response response;
  timeval limit{ timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> fields;
  std::string head = method + ' ' + target + " HTTP/1.1\r\nHost: " + host +
                     "\r\nDeadline-Ms: " + std::to_string(timeoutMs) +
                     "\r\nConnection: close\r\n";
  if (method != "GET") {
    head += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n";
  }
  const bool answered =
    ::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 &&
    SendAll(socket, head + "\r\n" + body) &&
    ReadMessage(socket, buffer, line, fields, response.body, deadline);
  ::close(socket);
  if (answered && line.size() > 12) {
    response.status = std::atoi(line.c_str() + 9);
  }
  return response;
}

}
