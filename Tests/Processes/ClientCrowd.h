#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <list>
#include <sstream>
#include <string>
#include <vector>

#include "Support/TestConnection.h"

namespace almondspoke::testing {

inline constexpr std::size_t kKibibyte = 1024;
inline constexpr std::size_t kMebibyte = 1024 * kKibibyte;

/** Number of connections of each crowd. */
inline constexpr int kCrowdSize = 60;

/** Descriptors that a process may have open in these tests: two crowds, one of
 * which may still be closing, and those of the process itself. */
inline constexpr std::size_t kMaxOpenDescriptors = 2 * kCrowdSize + 64;

/** \brief Bytes that one client of a crowd sends before it falls silent. */
struct ClientBehaviour
{
  std::string mName;
  std::string mBytes;
  /** Number of parts in which the bytes are sent, in turn with the other
   * clients of the crowd. */
  int mParts = 1;
};

inline std::string
ChunkedBody(std::size_t aBytes, std::size_t aChunkBytes)
{
  std::ostringstream text;
  for (std::size_t sent = 0; sent < aBytes; sent += aChunkBytes) {
    const std::size_t length = std::min(aChunkBytes, aBytes - sent);
    text << std::hex << length << "\r\n" << std::string(length, 'x') << "\r\n";
  }
  return text.str();
}

inline std::string
EndlessHeader()
{
  constexpr int kFields = 80;
  constexpr std::size_t kValueBytes = 700;
  std::string header;
  for (int i = 0; i < kFields; ++i) {
    header +=
      "X-" + std::to_string(i) + ": " + std::string(kValueBytes, 'v') + "\r\n";
  }
  return header;
}

/** \param aTarget target of requests that the process accepts with a body
 * \param aMaxBodyBytes largest body that the process accepts */
inline std::vector<ClientBehaviour>
ClientBehaviours(const std::string& aTarget, std::size_t aMaxBodyBytes)
{
  constexpr std::size_t kChunk = 65536;
  constexpr std::size_t kOneByteChunks = 262144;
  constexpr int kManyParts = 40;
  const std::string start =
    "POST " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  const auto announced = [&start](std::size_t aBytes) {
    return start + "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
  };
  return {
    { "announces a body far over the limit",
      announced(100 * aMaxBodyBytes) + std::string(kChunk, 'x') },
    { "sends a body far over the limit",
      chunked + ChunkedBody(3 * aMaxBodyBytes, kChunk) },
    { "stops before the end of large chunks",
      chunked + ChunkedBody(aMaxBodyBytes - 1, kChunk) },
    { "stops before the end of chunks of one byte",
      chunked + ChunkedBody(kOneByteChunks, 1) },
    { "stops before the end of an announced body",
      announced(aMaxBodyBytes) + std::string(aMaxBodyBytes - 1, 'x') },
    { "never ends its header", start + EndlessHeader() },
    { "sends a byte at a time",
      start.substr(0, static_cast<std::size_t>(kManyParts)),
      kManyParts },
  };
}

/** \brief Connections that behave in the same way and stay open. */
class ClientCrowd
{
public:
  ClientCrowd(std::uint16_t aPort, const ClientBehaviour& aBehaviour)
  {
    for (int i = 0; i < kCrowdSize; ++i) {
      mConnections.emplace_back(aPort);
    }
    const std::size_t part =
      aBehaviour.mBytes.size() / static_cast<std::size_t>(aBehaviour.mParts);
    for (int i = 0; i < aBehaviour.mParts; ++i) {
      for (TestConnection& connection : mConnections) {
        connection.Send(
          aBehaviour.mBytes.substr(static_cast<std::size_t>(i) * part, part));
      }
    }
  }

private:
  std::list<TestConnection> mConnections;
};

/** Largest resident memory of a process so far, in KiB; zero if it has ended.
 */
inline std::size_t
PeakMemoryKib(int aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
}

inline std::size_t
OpenDescriptors(int aProcess)
{
  const std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(aProcess) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

}
