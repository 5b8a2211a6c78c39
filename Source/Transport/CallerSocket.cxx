#include "Transport/CallerSocket.h"

#include <array>
#include <chrono>
#include <memory>
#include <string_view>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>

#include "Transport/CallerParser.h"

namespace almondspoke::detail {

namespace {

constexpr std::chrono::seconds kLingerTimeout{ 2 };
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

thread_local std::string pendingErrorResponse;
thread_local std::shared_ptr<ConnectionState> pendingConnection;
thread_local std::shared_ptr<ArrivingRequest> pendingRequest;
thread_local std::shared_ptr<LingerCount> pendingLingering;

std::string
SerializeWithClose(const HttpResponse& aResponse)
{
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + ' ' +
                     std::string(ReasonPhrase(aResponse.mStatus)) + "\r\n";
  for (const HttpField& field : aResponse.mFields) {
    text += field.mName + ": " + field.mValue + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aResponse.mBody.size()) +
          "\r\nConnection: close\r\n\r\n" + aResponse.mBody;
  return text;
}

/** \brief Reads and discards input until the peer closes or a timeout expires.
 */
class LingeringSocket : public std::enable_shared_from_this<LingeringSocket>
{
public:
  /** \param aCount already counts this socket */
  LingeringSocket(asio::ip::tcp::socket aSocket,
                  std::shared_ptr<LingerCount> aCount)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
    , mCount(std::move(aCount))
  {
  }
  LingeringSocket(const LingeringSocket&) = delete;
  LingeringSocket& operator=(const LingeringSocket&) = delete;
  ~LingeringSocket() { mCount->Remove(); }

  void Start()
  {
    mTimer.expires_after(kLingerTimeout);
    mTimer.async_wait(
      [weak = weak_from_this()](const asio::error_code& aError) {
        const auto self = weak.lock();
        if (self && !aError) {
          asio::error_code ignored;
          self->mSocket.cancel(ignored);
        }
      });
    Read();
  }

private:
  void Read()
  {
    if (std::chrono::steady_clock::now() >= mTimer.expiry()) {
      return;
    }
    mSocket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const asio::error_code& aError) {
        if (!aError && self->Discard()) {
          self->Read();
        }
      });
  }

  // The buffer is on the stack, so that many closing connections take no
  // memory. Returns false once the peer has closed.
  bool Discard()
  {
    std::array<char, 16384> buffer;
    asio::error_code error;
    mSocket.non_blocking(true, error);
    mSocket.read_some(asio::buffer(buffer), error);
    return !error || error == asio::error::would_block;
  }

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  const std::shared_ptr<LingerCount> mCount;
};

}

bool
LingerCount::TryAdd()
{
  if (++mCount <= mMax) {
    return true;
  }
  --mCount;
  return false;
}

void
CallerSocket::SetErrorResponse(const HttpResponse& aResponse)
{
  pendingErrorResponse = SerializeWithClose(aResponse);
}

void
CallerSocket::SetConnection(std::shared_ptr<ConnectionState> aConnection,
                            std::shared_ptr<ArrivingRequest> aRequest,
                            std::shared_ptr<LingerCount> aLingering)
{
  pendingConnection = std::move(aConnection);
  pendingRequest = std::move(aRequest);
  pendingLingering = std::move(aLingering);
}

CallerSocket::~CallerSocket()
{
  if (mRequest) {
    mRequest->Detach();
  }
}

bool
CallerSocket::TakeRefusal(ArrivingRequest& aRequest)
{
  const auto refusal = aRequest.TakeRefusal();
  if (!refusal) {
    return false;
  }
  if (refusal->mError && aRequest.MayBeRefused()) {
    SetErrorResponse(ErrorResponse(*refusal->mError));
  }
  return true;
}

// The library starts the next read in the same call that parsed the header, so
// the thread-local state that this call has set belongs to this connection.
void
CallerSocket::PrepareRead()
{
  if (pendingConnection) {
    mConnection = std::move(pendingConnection);
    pendingConnection.reset();
    mRequest = std::move(pendingRequest);
    pendingRequest.reset();
    mLingering = std::move(pendingLingering);
    pendingLingering.reset();
  }
  if (CallerParser::TakeContinueWanted() && mConnection) {
    mConnection->CallWhenIdle([this] { SendContinue(); });
  }
}

// If the send buffer is full, the 100 is lost. The caller then sends its body
// after its own timeout.
void
CallerSocket::SendContinue()
{
  asio::error_code ignored;
  mSocket.non_blocking(true, ignored);
  mSocket.write_some(asio::buffer(kContinue), ignored);
}

void
CallerSocket::shutdown(asio::ip::tcp::socket::shutdown_type,
                       asio::error_code& aError)
{
  const std::string response =
    std::exchange(pendingErrorResponse, std::string());
  if (!response.empty()) {
    mSocket.non_blocking(true, aError);
    mSocket.write_some(asio::buffer(response), aError);
  }
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, aError);
}

void
CallerSocket::close()
{
  if (mConnection) {
    mConnection->CallWhenIdle(nullptr);
  }
  if (mRequest) {
    mRequest->Detach();
  }
  CallerParser::TakeContinueWanted();
  asio::error_code ignored;
  mSocket.cancel(ignored);
  if (mSocket.is_open() && mLingering && mLingering->TryAdd()) {
    std::make_shared<LingeringSocket>(std::move(mSocket), mLingering)->Start();
  }
  mSocket.close(ignored);
}

}
