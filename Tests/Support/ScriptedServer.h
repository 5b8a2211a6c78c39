#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

namespace almondspoke::testing {

/** \brief A blocking HTTP server that gets the raw bytes of each response from
 * a function of the test, which is called with the number of the request. Uses
 * one thread per connection. */
class ScriptedServer
{
public:
  /** What the server does after it has read a complete request. */
  struct Step
  {
    std::string mAnswer;
    /** Closes the connection after the answer. */
    bool mClose = false;
  };
  using Script = std::function<Step(int aRequest)>;

  explicit ScriptedServer(Script aScript)
    : mScript(std::move(aScript))
    , mAcceptor(mContext, { asio::ip::address_v4::loopback(), 0 })
    , mThread([this] { Accept(); })
  {
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  ~ScriptedServer()
  {
    mEnding = true;
    // Connects, because closing the acceptor doesn't interrupt a blocking
    // accept.
    asio::io_context context;
    asio::ip::tcp::socket waker(context);
    asio::error_code ignored;
    waker.connect(mAcceptor.local_endpoint(), ignored);
    mThread.join();
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const auto& socket : mSockets) {
        ::shutdown(socket->native_handle(), SHUT_RDWR);
      }
    }
    for (std::thread& thread : mConnectionThreads) {
      thread.join();
    }
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  int Connections() const { return mConnections; }
  int Requests() const { return mRequests; }
  std::vector<std::string> Received() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mReceived;
  }

private:
  using SocketPtr = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept()
  {
    while (true) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(mContext);
      asio::error_code error;
      mAcceptor.accept(*socket, error);
      if (error || mEnding) {
        return;
      }
      ++mConnections;
      const std::lock_guard<std::mutex> lock(mMutex);
      mSockets.push_back(socket);
      mConnectionThreads.emplace_back([this, socket] { Serve(socket); });
    }
  }

  void Serve(const SocketPtr& aSocket)
  {
    std::string input;
    while (ReadRequest(aSocket, input)) {
      const Step step = mScript(++mRequests);
      asio::error_code ignored;
      asio::write(*aSocket, asio::buffer(step.mAnswer), ignored);
      if (step.mClose) {
        ::shutdown(aSocket->native_handle(), SHUT_RDWR);
        return;
      }
    }
  }

  bool ReadRequest(const SocketPtr& aSocket, std::string& aInput)
  {
    aInput.clear();
    std::size_t wanted = std::string::npos;
    while (aInput.size() < wanted) {
      char buffer[65536];
      asio::error_code error;
      const std::size_t count = aSocket->read_some(asio::buffer(buffer), error);
      if (error) {
        return false;
      }
      aInput.append(buffer, count);
      const std::size_t end = aInput.find("\r\n\r\n");
      if (wanted == std::string::npos && end != std::string::npos) {
        const std::size_t field = aInput.find("Content-Length: ");
        wanted = end + 4;
        if (field < end) {
          wanted += std::stoul(aInput.substr(field + 16));
        }
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mReceived.push_back(aInput);
    return true;
  }

  Script mScript;
  asio::io_context mContext;
  asio::ip::tcp::acceptor mAcceptor;
  std::atomic<bool> mEnding{ false };
  std::atomic<int> mConnections{ 0 };
  std::atomic<int> mRequests{ 0 };
  mutable std::mutex mMutex;
  std::vector<SocketPtr> mSockets;
  std::vector<std::string> mReceived;
  std::vector<std::thread> mConnectionThreads;
  std::thread mThread;
};

}
