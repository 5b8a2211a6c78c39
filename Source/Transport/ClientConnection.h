#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "Transport/HttpClient.h"
#include "Transport/ResponseParser.h"

namespace almondspoke {
class AsioHttpClient;
}

namespace almondspoke::detail {

/** \brief One connection of an AsioHttpClient; carries one attempt at a time.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  ClientConnection(asio::io_context& aContext,
                   AsioHttpClient& aOwner,
                   std::string aAddress,
                   std::size_t aMaxResponseBytes,
                   std::chrono::milliseconds aUserTimeout);

  /** Sends an attempt; connects first if necessary. */
  void Begin(HttpClient::AttemptId aId,
             HttpAttempt aAttempt,
             HttpClient::Done aDone,
             std::chrono::milliseconds aConnectTimeout);
  /** Ends the attempt with an error. The outcome is MayHaveRun if a byte of the
   * request may have been sent, else NotSent. */
  void Fail(ErrorKind aKind, const std::string& aWhy);
  void Close();

  const std::string& Address() const { return mAddress; }
  HttpClient::AttemptId Attempt() const { return mId; }
  bool IsOpen() const { return mOpen; }
  /** Deadline of the attempt or, while connecting, of the connect if earlier.
   */
  SteadyTime Deadline() const;
  SteadyTime IdleSince() const { return mIdleSince; }

private:
  void Connect();
  void Write();
  void Read();
  void OnRead(const asio::error_code& aError, std::size_t aBytes);
  void Finish(AttemptResult aResult);

  static constexpr std::size_t kReadBytes = 8192;

  AsioHttpClient& mOwner;
  const std::string mAddress;
  const std::chrono::milliseconds mUserTimeout;
  asio::ip::tcp::socket mSocket;
  ResponseParser mParser;
  std::array<char, kReadBytes> mBuffer{};
  std::string mRequest;
  HttpClient::AttemptId mId = 0;
  HttpAttempt mAttempt;
  HttpClient::Done mDone;
  SteadyTime mConnectDeadline{};
  SteadyTime mIdleSince{};
  bool mOpen = true;
  bool mConnected = false;
  bool mSendStarted = false;
};

}
