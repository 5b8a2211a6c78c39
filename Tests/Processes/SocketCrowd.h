#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Processes/ClientCrowd.h"

namespace almondspoke::testing {

/** \brief A listening address on the loopback network. */
struct LoopbackAddress
{
  std::uint16_t mPort = 0;
  std::uint32_t mIp = INADDR_LOOPBACK;
};

/** The second loopback address. */
inline constexpr std::uint32_t kSecondLoopback = INADDR_LOOPBACK + 1;

/** Bytes that have arrived at the addresses and that no process has read. */
inline std::size_t
UnreadBytes(const std::vector<LoopbackAddress>& aAddresses)
{
  constexpr unsigned kListenState = 0x0a;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::size_t unread = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> slot >> local >> remote >> state >> queues;
    const auto ip = ntohl(
      static_cast<std::uint32_t>(std::stoul(local.substr(0, 8), nullptr, 16)));
    const auto port = std::stoul(local.substr(9), nullptr, 16);
    for (const LoopbackAddress& address : aAddresses) {
      if (ip == address.mIp && port == address.mPort &&
          std::stoul(state, nullptr, 16) != kListenState) {
        unread += std::stoul(queues.substr(9), nullptr, 16);
      }
    }
  }
  return unread;
}

/** Value of a line of /proc/PID/status in KiB, times 1024; zero if the process
 * has ended. */
inline std::size_t
StatusBytes(int aProcess, const std::string& aName)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind(aName + ":", 0) == 0) {
      return kKibibyte *
             std::stoul(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
}

/** \brief The largest memory that a process has held: its own, and what has
 * arrived for it and is not read yet. */
class HeldPeak
{
public:
  HeldPeak(int aProcess, std::vector<LoopbackAddress> aAddresses)
    : mProcess(aProcess)
    , mAddresses(std::move(aAddresses))
  {
  }

  void Sample()
  {
    mPeak =
      std::max(mPeak, StatusBytes(mProcess, "VmRSS") + UnreadBytes(mAddresses));
  }

  std::size_t Bytes() const
  {
    return std::max(mPeak, StatusBytes(mProcess, "VmHWM"));
  }

private:
  const int mProcess;
  const std::vector<LoopbackAddress> mAddresses;
  std::size_t mPeak = 0;
};

/** \brief Connections that each send the same bytes, as far as the other end
 * takes them, and read nothing. */
class SocketCrowd
{
public:
  SocketCrowd(LoopbackAddress aAddress, int aConnections, std::string aBytes)
    : mAddress(aAddress)
    , mBytes(std::move(aBytes))
    , mConnections(static_cast<std::size_t>(aConnections))
  {
    for (Connection& connection : mConnections) {
      Open(connection);
    }
  }
  SocketCrowd(const SocketCrowd&) = delete;
  SocketCrowd& operator=(const SocketCrowd&) = delete;
  ~SocketCrowd() { Close(); }

  /** Sends what the other end takes now. \return whether it took anything. */
  bool Send()
  {
    bool hasProgress = false;
    for (Connection& connection : mConnections) {
      while (connection.mSent < mBytes.size()) {
        const ssize_t sent = ::send(connection.mSocket,
                                    mBytes.data() + connection.mSent,
                                    mBytes.size() - connection.mSent,
                                    MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent <= 0) {
          break;
        }
        connection.mSent += static_cast<std::size_t>(sent);
        hasProgress = true;
      }
    }
    return hasProgress;
  }

  /** Replaces the connections that the other end has closed. */
  void Reopen()
  {
    for (Connection& connection : mConnections) {
      char byte = 0;
      const ssize_t count =
        ::recv(connection.mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      const bool isOpen =
        count > 0 || (count < 0 && (errno == EAGAIN || errno == ENOTCONN));
      if (!isOpen) {
        ::close(connection.mSocket);
        Open(connection);
      }
    }
  }

  void Close()
  {
    for (Connection& connection : mConnections) {
      ::close(connection.mSocket);
    }
    mConnections.clear();
  }

private:
  struct Connection
  {
    int mSocket = -1;
    std::size_t mSent = 0;
  };

  // Does not wait: the listen queue may be full.
  void Open(Connection& aConnection) const
  {
    aConnection.mSocket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    aConnection.mSent = 0;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(mAddress.mPort);
    address.sin_addr.s_addr = htonl(mAddress.mIp);
    static_cast<void>(::connect(aConnection.mSocket,
                                reinterpret_cast<const sockaddr*>(&address),
                                sizeof address));
  }

  const LoopbackAddress mAddress;
  const std::string mBytes;
  std::vector<Connection> mConnections;
};

/** Lets the crowds send until the other end has taken nothing for a second. */
inline void
SendAll(const std::vector<SocketCrowd*>& aCrowds, HeldPeak& aPeak)
{
  constexpr int kQuietRounds = 40;
  constexpr std::chrono::milliseconds kRound{ 25 };
  for (int quiet = 0; quiet < kQuietRounds; ++quiet) {
    for (SocketCrowd* crowd : aCrowds) {
      quiet = crowd->Send() ? 0 : quiet;
    }
    aPeak.Sample();
    std::this_thread::sleep_for(kRound);
  }
}

}
