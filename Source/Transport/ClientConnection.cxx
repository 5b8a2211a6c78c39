#include "Transport/ClientConnection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include "Transport/AsioHttpClient.h"
#include "Transport/SocketOptions.h"

namespace almondspoke::detail {

namespace {

constexpr int kServiceUnavailable = 503;

asio::ip::tcp::endpoint
EndpointOf(const std::string& aAddress, asio::error_code& aError)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    aError = asio::error::invalid_argument;
    return {};
  }
  std::uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    aError = asio::error::invalid_argument;
    return {};
  }
  return { asio::ip::make_address(aAddress.substr(0, colon), aError), port };
}

std::string
Serialize(const HttpAttempt& aAttempt)
{
  const std::size_t bodySize = aAttempt.mBody ? aAttempt.mBody->size() : 0;
  std::string text;
  constexpr std::size_t kHeaderReserve = 256;
  text.reserve(kHeaderReserve + bodySize);
  text += aAttempt.mMethod + ' ' + aAttempt.mTarget +
          " HTTP/1.1\r\nHost: " + aAttempt.mAddress + "\r\n";
  for (const HttpField& field : aAttempt.mFields) {
    text +=
      field.mName + (field.mValue.empty() ? ":" : ": ") + field.mValue + "\r\n";
  }
  text += "Content-Length: " + std::to_string(bodySize) + "\r\n\r\n";
  if (aAttempt.mBody) {
    text += *aAttempt.mBody;
  }
  return text;
}

TransferOutcome
OutcomeOf(const HttpResponse& aResponse)
{
  const std::string* notRun = FindField(aResponse.mFields, kNotRunField);
  const bool refused = aResponse.mStatus == kServiceUnavailable &&
                       notRun != nullptr && *notRun == "true";
  return refused ? TransferOutcome::RefusedNotRun : TransferOutcome::Answered;
}

}

ClientConnection::ClientConnection(asio::io_context& aContext,
                                   AsioHttpClient& aOwner,
                                   std::string aAddress,
                                   std::size_t aMaxResponseBytes,
                                   std::chrono::milliseconds aUserTimeout)
  : mOwner(aOwner)
  , mAddress(std::move(aAddress))
  , mUserTimeout(aUserTimeout)
  , mSocket(aContext)
  , mParser(aMaxResponseBytes)
{
}

ClientConnection::SteadyTime
ClientConnection::Deadline() const
{
  return mConnected ? mAttempt.mDeadline
                    : std::min(mAttempt.mDeadline, mConnectDeadline);
}

void
ClientConnection::Begin(HttpClient::AttemptId aId,
                        HttpAttempt aAttempt,
                        HttpClient::Done aDone,
                        std::chrono::milliseconds aConnectTimeout)
{
  mId = aId;
  mAttempt = std::move(aAttempt);
  mDone = std::move(aDone);
  mRequest = Serialize(mAttempt);
  mSendStarted = false;
  mParser.Reset();
  if (mConnected) {
    Write();
    return;
  }
  mConnectDeadline = std::chrono::steady_clock::now() + aConnectTimeout;
  Connect();
}

void
ClientConnection::Connect()
{
  asio::error_code error;
  const auto endpoint = EndpointOf(mAddress, error);
  if (error) {
    asio::post(mSocket.get_executor(), [self = shared_from_this(), error] {
      self->Fail(ErrorKind::EndpointUnreachable, error.message());
    });
    return;
  }
  mSocket.async_connect(
    endpoint,
    [self = shared_from_this(), id = mId](const asio::error_code& aError) {
      if (!self->mOpen || self->mId != id) {
        return;
      }
      if (aError) {
        self->Fail(ErrorKind::EndpointUnreachable, aError.message());
        return;
      }
      self->mConnected = true;
      ApplySocketOptions(self->mSocket, self->mUserTimeout);
      self->Write();
      self->Read();
    });
}

void
ClientConnection::Write()
{
  mSendStarted = true;
  asio::async_write(mSocket,
                    asio::buffer(mRequest),
                    [self = shared_from_this(),
                     id = mId](const asio::error_code& aError, std::size_t) {
                      if (aError && self->mOpen && self->mId == id) {
                        self->Fail(ErrorKind::ConnectionLost, aError.message());
                      }
                    });
}

// Also reads while the connection is idle, in order to detect that it was
// closed.
void
ClientConnection::Read()
{
  mSocket.async_read_some(
    asio::buffer(mBuffer),
    [self = shared_from_this()](const asio::error_code& aError,
                                std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
ClientConnection::OnRead(const asio::error_code& aError, std::size_t aBytes)
{
  if (!mOpen) {
    return;
  }
  if (aError) {
    Fail(ErrorKind::ConnectionLost, aError.message());
    return;
  }
  if (!mDone) {
    // No request is pending. Later bytes could be mistaken for the response to
    // the next request, so the connection is not reused.
    Close();
    return;
  }
  switch (mParser.Take(std::string_view(mBuffer.data(), aBytes))) {
    case ResponseParser::State::Incomplete:
      Read();
      return;
    case ResponseParser::State::Failed:
      Fail(mParser.IsTooLarge() ? ErrorKind::EndpointFailed
                                : ErrorKind::ConnectionLost,
           mParser.IsTooLarge()
             ? "the response is larger than this instance accepts"
             : "the response is not valid HTTP");
      return;
    case ResponseParser::State::Complete:
      break;
  }
  AttemptResult result;
  result.mResponse = mParser.TakeResponse();
  result.mOutcome = OutcomeOf(result.mResponse);
  const bool keep = mParser.KeepsAlive() && !mAttempt.mUseNewConnection;
  if (!keep) {
    Close();
  } else {
    Read();
  }
  Finish(std::move(result));
}

void
ClientConnection::Finish(AttemptResult aResult)
{
  const HttpClient::Done done = std::exchange(mDone, nullptr);
  const HttpClient::AttemptId id = std::exchange(mId, 0);
  mIdleSince = std::chrono::steady_clock::now();
  mRequest = std::string();
  const auto self = shared_from_this();
  mOwner.OnAttemptEnded(id);
  if (mOpen) {
    mOwner.OnIdle(self);
  }
  done(std::move(aResult));
}

void
ClientConnection::Fail(ErrorKind aKind, const std::string& aWhy)
{
  const bool busy = mDone != nullptr;
  const bool sent = mSendStarted;
  Close();
  if (!busy) {
    return;
  }
  AttemptResult result;
  result.mOutcome =
    sent ? TransferOutcome::MayHaveRun : TransferOutcome::NotSent;
  result.mErrorKind = sent ? aKind : ErrorKind::EndpointUnreachable;
  result.mMessage = aWhy;
  Finish(std::move(result));
}

void
ClientConnection::Close()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  asio::error_code ignored;
  mSocket.close(ignored);
  mOwner.OnClosed(*this);
}

}
