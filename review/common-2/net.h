// Blocking HTTP/1.1 on loopback addresses, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Steady = std::chrono::steady_clock;

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::map<std::string, std::string> mFields;
  std::string mBody;
};

/** Status 0: no answer, or no whole one. */
struct Answer
{
  int mStatus = 0;
  std::string mBody;
};

inline sockaddr_in
SocketAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  ::inet_pton(
    AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr.s_addr);
  return address;
}

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline bool
WaitReadable(int aSocket, Steady::time_point aUntil)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aUntil - Steady::now());
  if (left.count() <= 0) {
    return false;
  }
  pollfd watched{ aSocket, POLLIN, 0 };
  return ::poll(&watched, 1, static_cast<int>(left.count())) == 1;
}

/** Reads one message; aBuffer keeps what follows it. */
inline bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aFields,
            std::string& aBody,
            Steady::time_point aUntil)
{
  const auto readMore = [&] {
    char bytes[16384];
    if (!WaitReadable(aSocket, aUntil)) {
      return false;
    }
    const ssize_t count = ::recv(aSocket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!readMore()) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  std::size_t line = head.find("\r\n");
  aFirstLine = head.substr(0, line);
  aFields.clear();
  while (line + 2 < head.size()) {
    const std::size_t next = head.find("\r\n", line + 2);
    const std::string field = head.substr(line + 2, next - line - 2);
    const std::size_t colon = field.find(':');
    std::string name = field.substr(0, colon);
    for (char& character : name) {
      character = static_cast<char>(std::tolower(character));
    }
    std::size_t value = colon + 1;
    while (value < field.size() && field[value] == ' ') {
      ++value;
    }
    aFields[name] = field.substr(value);
    line = next;
  }
  const std::size_t length = aFields.count("content-length") != 0
                               ? std::stoul(aFields["content-length"])
                               : 0;
  while (aBuffer.size() < length) {
    if (!readMore()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return true;
}

inline Answer
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aFields,
     const std::string& aBody,
     int aTimeoutMs)
{
  Answer answer;
  const auto until = Steady::now() + std::chrono::milliseconds(aTimeoutMs);
  const int client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(aAddress);
  std::string text = aMethod + ' ' + aTarget + " HTTP/1.1\r\n" + aFields;
  if (aFields.find("Host:") == std::string::npos) {
    text += "Host: " + aAddress + "\r\n";
  }
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  const bool sent = ::connect(client,
                              reinterpret_cast<const sockaddr*>(&address),
                              sizeof address) == 0 &&
                    SendAll(client, text);
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> fields;
  if (sent && ReadMessage(client, buffer, line, fields, answer.mBody, until) &&
      line.size() > 11) {
    answer.mStatus = std::stoi(line.substr(9, 3));
  }
  ::close(client);
  return answer;
}

/** A server with a thread for each connection. Stop() resets all of them, as
 * the end of a process does. */
class Server
{
public:
  using Handler = std::function<Answer(const Request&)>;

  Server(const std::string& aAddress, Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = SocketAddress(aAddress);
    mIsOpen = ::bind(mListener,
                     reinterpret_cast<const sockaddr*>(&address),
                     sizeof address) == 0 &&
              ::listen(mListener, 256) == 0;
    mThread = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool IsOpen() const { return mIsOpen; }

  void Stop()
  {
    if (mStopped.exchange(true)) {
      return;
    }
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const int open : mOpen) {
        ::shutdown(open, SHUT_RDWR);
      }
    }
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }

private:
  void Accept()
  {
    while (!mStopped) {
      const int client = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        if (mStopped) {
          return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      const int on = 1;
      ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard<std::mutex> lock(mMutex);
      mOpen.insert(client);
      mThreads.emplace_back([this, client] { Serve(client); });
    }
  }

  void Serve(int aClient)
  {
    std::string buffer;
    std::string line;
    Request request;
    while (!mStopped && ReadMessage(aClient,
                                    buffer,
                                    line,
                                    request.mFields,
                                    request.mBody,
                                    Steady::now() + std::chrono::hours(1))) {
      const std::size_t space = line.find(' ');
      request.mMethod = line.substr(0, space);
      request.mTarget = line.substr(space + 1, line.rfind(' ') - space - 1);
      const Answer answer = mHandler(request);
      if (mStopped || answer.mStatus == 0) {
        break;
      }
      const bool sent = SendAll(
        aClient,
        "HTTP/1.1 " + std::to_string(answer.mStatus) +
          " X\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(answer.mBody.size()) + "\r\n\r\n" + answer.mBody);
      if (!sent) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mOpen.erase(aClient);
    ::close(aClient);
  }

  Handler mHandler;
  int mListener = -1;
  bool mIsOpen = false;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
  std::mutex mMutex;
  std::set<int> mOpen;
  std::vector<std::thread> mThreads;
};

}
