#include "Support/ReservedPorts.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <mutex>
#include <numeric>
#include <random>
#include <stdexcept>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace almondspoke::testing {

namespace {

// The range lies below the system's ephemeral ports: an outgoing connection
// could otherwise take a port before the program under test listens on it. Keep
// the numbers equal to those in Utilities/reserve-ports.sh.
constexpr int kFirstPort = 10240;
constexpr int kLastPort = 32000;
constexpr int kPortsOfBlock = 64;
constexpr int kBlocks = (kLastPort - kFirstPort) / kPortsOfBlock;

bool
IsFree(int aPort)
{
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context);
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                         static_cast<std::uint16_t>(aPort));
  asio::error_code error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.bind(endpoint, error);
  return !error;
}

/** \brief Allocates ports from blocks that this process holds until it exits.
 *
 * Each block is protected by a file lock. Checking that a port is free is not
 * enough: it is also free before the program that it was reserved for starts,
 * and while that program restarts. */
class ReservedPorts
{
public:
  ReservedPorts()
    : mFolder(std::filesystem::temp_directory_path() / "almondspoke-ports")
    , mBlocks(kBlocks)
  {
    std::filesystem::create_directories(mFolder);
    std::iota(mBlocks.begin(), mBlocks.end(), 0);
    std::shuffle(
      mBlocks.begin(), mBlocks.end(), std::mt19937(std::random_device{}()));
  }

  int Next()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (;;) {
      if (mNext == mEnd) {
        TakeBlock();
      }
      const int port = mNext++;
      if (IsFree(port)) {
        return port;
      }
    }
  }

private:
  void TakeBlock()
  {
    while (!mBlocks.empty()) {
      const int first = kFirstPort + mBlocks.back() * kPortsOfBlock;
      mBlocks.pop_back();
      if (Lock(mFolder / std::to_string(first))) {
        mNext = first;
        mEnd = first + kPortsOfBlock;
        return;
      }
    }
    throw std::runtime_error("all port blocks are locked by other processes");
  }

  /** Tries to lock a file; the lock is held until this process exits. */
  static bool Lock(const std::filesystem::path& aPath)
  {
    constexpr int kMode = 0666;
    const int file = ::open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kMode);
    if (file < 0) {
      return false;
    }
    if (::flock(file, LOCK_EX | LOCK_NB) == 0) {
      return true;
    }
    ::close(file);
    return false;
  }

  const std::filesystem::path mFolder;
  std::mutex mMutex;
  std::vector<int> mBlocks;
  int mNext = 0;
  int mEnd = 0;
};

}

std::vector<int>
ReservePorts(int aCount)
{
  static ReservedPorts ports;
  std::vector<int> reserved;
  reserved.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    reserved.push_back(ports.Next());
  }
  return reserved;
}

}
