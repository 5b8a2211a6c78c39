#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "Processes/DispatchProcesses.h"
#include "Processes/SocketCrowd.h"
#include "Transport/PeerFrameCodec.h"

namespace almondspoke::testing {

inline std::string
Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  text.reserve(aText.size() * aTimes);
  for (std::size_t i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

inline std::string
PostStart(const std::string& aTarget)
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n";
}

inline std::string
UnfinishedPost(const std::string& aTarget, std::size_t aBodyBytes)
{
  return PostStart(aTarget) + "Transfer-Encoding: chunked\r\n\r\n" +
         ChunkedBody(aBodyBytes - 1, aBodyBytes);
}

/** A frame that is announced with the largest length and not completed. */
inline std::string
UnfinishedFrame(std::size_t aBytes)
{
  return std::string("\x04\x00\x00\x00", 4) + std::string(aBytes, 'x');
}

inline std::string
HelloOf(const std::string& aName)
{
  PeerHello hello;
  hello.mIdentity = { aName, "zagreb", 1 };
  hello.mAcceptsAnswers = true;
  return EncodePeerHello(hello);
}

inline constexpr std::size_t
BytesOf(std::size_t aMegabytes)
{
  return aMegabytes * kMebibyte;
}

inline std::vector<LoopbackAddress>
GatewayAddresses(const DispatchProcesses& aProcesses)
{
  return { { aProcesses.CallersPort() },
           { aProcesses.ReadinessPort() },
           { aProcesses.GatewayMetricsPort() },
           { aProcesses.PeerPort(), kSecondLoopback } };
}

inline std::vector<LoopbackAddress>
CoordinatorAddresses(const DispatchProcesses& aProcesses)
{
  return { { aProcesses.ControlPort() },
           { aProcesses.CoordinatorMetricsPort() },
           { aProcesses.PeerPort() } };
}

inline void
CheckHeld(ChildProcess& aProcess, const HeldPeak& aPeak, std::size_t aMegabytes)
{
  REQUIRE(aProcess.IsRunning());
  CHECK(aPeak.Bytes() <= BytesOf(aMegabytes));
}

/** Sends for a limited time: some crowds are served without end. */
inline void
SendFor(SocketCrowd& aCrowd, HeldPeak& aPeak)
{
  constexpr int kRounds = 60;
  constexpr std::chrono::milliseconds kRound{ 25 };
  for (int i = 0; i < kRounds; ++i) {
    aCrowd.Send();
    aPeak.Sample();
    std::this_thread::sleep_for(kRound);
  }
}

}
