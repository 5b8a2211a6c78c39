#include "Transport/HttpServer.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <asio/steady_timer.hpp>
#include <glog/logging.h>
#include <restinio/all.hpp>
#include <sys/socket.h>

#include "Transport/ArrivingRequest.h"
#include "Transport/CallerParser.h"
#include "Transport/CallerSocket.h"
#include "Transport/ConnectionTable.h"
#include "Transport/ContextPool.h"
#include "Transport/QuietConnections.h"
#include "Transport/SocketOptions.h"

namespace almondspoke {

namespace {

using detail::ArrivalLimits;
using detail::ArrivingRequest;
using detail::CallerMethods;
using detail::CallerParser;
using detail::CallerSocket;
using detail::ConnectionState;
using detail::ConnectionTable;
using detail::HeldMemory;
using detail::LingerCount;
using detail::QuietConnections;
using detail::RequestMemory;

/** \brief State that is shared by all parts of one server. */
struct ServerState
{
  explicit ServerState(const HttpServerOptions& aOptions)
    : mMemory(std::make_shared<RequestMemory>(aOptions.mMaxUnfinishedBytes,
                                              aOptions.mOnRefusal))
    , mLimits(std::make_shared<ArrivalLimits>(aOptions.mRequestLimits))
    , mLingering(std::make_shared<LingerCount>(aOptions.mQueues.mClosing))
    , mQuiet(aOptions.mMaxConnections)
  {
  }

  const std::shared_ptr<RequestMemory> mMemory;
  const std::shared_ptr<ArrivalLimits> mLimits;
  const std::shared_ptr<LingerCount> mLingering;
  ConnectionTable mConnections;
  QuietConnections mQuiet;
  std::atomic<std::size_t> mOutstanding{ 0 };
  std::atomic<std::size_t> mOpen{ 0 };
  std::atomic<std::uint64_t> mRejected{ 0 };
  std::atomic<bool> mCloseAfterAnswer{ false };
};

// Converts a parser error by the error name in the HTTP library's log message.
Error
FromParserError(std::string_view aMessage)
{
  const auto mentions = [aMessage](std::string_view aName) {
    return aMessage.find(aName) != std::string_view::npos;
  };
  auto rejection = CallerParser::TakeRejection();
  if (rejection) {
    return Error(ErrorKind::MalformedRequest, std::move(*rejection));
  }
  if (mentions("HPE_CB_body") || mentions("HPE_CB_headers_complete")) {
    return Error(ErrorKind::BodyTooLarge,
                 "the request body is larger than this instance accepts");
  }
  if (mentions("HPE_HEADER_OVERFLOW") || mentions("HPE_CB_url") ||
      mentions("HPE_CB_header")) {
    return Error(ErrorKind::HeaderTooLarge,
                 "the request header is larger than this instance accepts");
  }
  const std::size_t colon = aMessage.rfind(": ");
  return Error(ErrorKind::MalformedRequest,
               "not a valid HTTP/1.1 request: " +
                 std::string(colon == std::string_view::npos
                               ? aMessage
                               : aMessage.substr(colon + 2)));
}

/** \brief Detects parser errors and sets the socket's error response.
 *
 * The HTTP library only logs a parser error before it closes the connection. */
class ServerLogger
{
public:
  explicit ServerLogger(std::shared_ptr<ServerState> aState)
    : mState(std::move(aState))
  {
  }

  // The HTTP library prescribes the names that follow.
  // NOLINTBEGIN(readability-identifier-naming)
  template<typename MessageBuilder>
  void trace(MessageBuilder&&) const noexcept
  {
  }
  template<typename MessageBuilder>
  void info(MessageBuilder&&) const noexcept
  {
  }
  template<typename MessageBuilder>
  void warn(MessageBuilder&&) const noexcept
  {
  }
  template<typename MessageBuilder>
  void error(MessageBuilder&& aBuilder) const
  {
    HandleError(aBuilder());
  }
  // NOLINTEND(readability-identifier-naming)

private:
  void HandleError(const std::string& aMessage) const
  {
    VLOG(1) << "http: " << aMessage;
    constexpr std::string_view kPrefix = "[connection:";
    constexpr std::string_view kParserError = "] parser error ";
    const std::size_t end = aMessage.find(kParserError);
    if (aMessage.compare(0, kPrefix.size(), kPrefix) != 0 ||
        end == std::string::npos) {
      return;
    }
    ++mState->mRejected;
    const std::string id =
      aMessage.substr(kPrefix.size(), end - kPrefix.size());
    const auto connection = mState->mConnections.Find(std::stoull(id));
    // The caller would mistake it for the answer to an earlier request if one
    // is still outstanding.
    if (connection && connection->Outstanding() == 0) {
      CallerSocket::SetErrorResponse(
        ErrorResponse(FromParserError(std::string_view(aMessage).substr(end))));
    }
  }

  std::shared_ptr<ServerState> mState;
};

/** \brief Updates the connection table when connections open or close. */
class ConnectionListener
{
public:
  explicit ConnectionListener(std::shared_ptr<ServerState> aState)
    : mState(std::move(aState))
  {
  }

  // The HTTP library prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(
    const restinio::connection_state::notice_t& aNotice) noexcept
  {
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    const auto cause = aNotice.cause();
    if (restinio::holds_alternative<accepted_t>(cause)) {
      const auto connection = mState->mConnections.Add(aNotice.connection_id());
      const auto request = std::make_shared<ArrivingRequest>(
        mState->mMemory, connection, mState->mLimits);
      CallerSocket::SetConnection(connection, request, mState->mLingering);
      ++mState->mOpen;
      const auto now = std::chrono::steady_clock::now();
      mState->mQuiet.Add(aNotice.connection_id(), request, now);
      mState->mQuiet.MakePlaces(now);
    } else if (restinio::holds_alternative<closed_t>(cause)) {
      const auto connection =
        mState->mConnections.Remove(aNotice.connection_id());
      mState->mQuiet.Remove(aNotice.connection_id());
      if (connection) {
        --mState->mOpen;
        mState->mOutstanding -= connection->Close();
      }
    }
  }

private:
  std::shared_ptr<ServerState> mState;
};

struct ServerTraits
  : restinio::traits_t<restinio::asio_timer_manager_t,
                       ServerLogger,
                       restinio::default_request_handler_t,
                       restinio::default_strand_t,
                       CallerSocket>
{
  using connection_state_listener_t = ConnectionListener;
  using http_methods_mapper_t = CallerMethods;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;
using ResponseBuilder =
  restinio::response_builder_t<restinio::restinio_controlled_output_t>;

HttpRequest
TakeRequest(const restinio::request_t& aRequest)
{
  HttpRequest request;
  request.mMethod = aRequest.header().method().c_str();
  request.mTarget = aRequest.header().request_target();
  aRequest.header().for_each_field([&request](const auto& aField) {
    request.mFields.push_back({ aField.name(), aField.value() });
  });
  request.mBody = aRequest.body();
  return request;
}

/** \brief One request received by the HTTP library. */
class ServerExchange
  : public HttpExchange
  , public std::enable_shared_from_this<ServerExchange>
{
public:
  ServerExchange(std::shared_ptr<ServerState> aState,
                 std::shared_ptr<ConnectionState> aConnection,
                 const restinio::request_handle_t& aRequest,
                 std::size_t aHeldBytes)
    : mState(std::move(aState))
    , mHeld(mState->mMemory, aHeldBytes)
    , mConnection(std::move(aConnection))
    , mRequest(TakeRequest(*aRequest))
    , mIsRead(mRequest.mMethod == "GET" || mRequest.mMethod == "HEAD")
    , mConnectionId(aRequest->connection_id())
    , mRequestId(aRequest->request_id())
    , mHandle(restinio::impl::access_req_connection(*aRequest))
    , mBuilder(aRequest->create_response())
  {
  }
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  // An unanswered request would keep its connection open forever.
  ~ServerExchange() override
  {
    if (!mAnswered) {
      Respond(ErrorResponse(Error(
        ErrorKind::Internal, "the request was dropped without an answer")));
    }
  }

  HttpRequest& Request() override { return mRequest; }

  void Respond(HttpResponse aResponse) override
  {
    if (mAnswered.exchange(true)) {
      return;
    }
    MarkAnswered();
    ChargeAnswer(aResponse);
    const auto held =
      std::make_shared<HeldMemory>(mState->mMemory, aResponse.mBody.size());
    ResponseBuilder& builder = *mBuilder;
    builder.header().status_line(restinio::http_status_line_t{
      restinio::http_status_code_t{
        static_cast<std::uint16_t>(aResponse.mStatus) },
      std::string(ReasonPhrase(aResponse.mStatus)) });
    for (HttpField& field : aResponse.mFields) {
      builder.header().add_field(std::move(field.mName),
                                 std::move(field.mValue));
    }
    const bool wantsClose =
      mState->mCloseAfterAnswer || !builder.header().should_keep_alive();
    if (mConnection->TryMarkLastAnswer(wantsClose)) {
      builder.header().should_keep_alive(false);
    }
    builder.set_body(std::move(aResponse.mBody));
    builder.done([state = mState, connection = mConnection, held](
                   const asio::error_code&) {
      if (connection->EndRequest()) {
        --state->mOutstanding;
      }
    });
  }

  void Abort() override
  {
    if (mAnswered.exchange(true)) {
      return;
    }
    MarkAnswered();
    // An empty final response makes the HTTP library close the connection.
    mHandle->write_response_parts(
      mRequestId,
      restinio::response_output_flags_t{
        restinio::response_parts_attr_t::final_parts,
        restinio::response_connection_attr_t::connection_close },
      restinio::write_group_t{ restinio::writable_items_container_t{} });
  }

  void OnCallerDisconnected(std::function<void()> aObserver) override
  {
    if (!mAnswered) {
      mConnection->AddObserver(mRequestId, std::move(aObserver));
    }
  }

private:
  void MarkAnswered()
  {
    mConnection->RemoveObserver(mRequestId);
    mConnection->MarkAnswered();
    mState->mQuiet.EndRequest(mConnectionId, std::chrono::steady_clock::now());
  }

  // The large answer of a read is dropped if there is no memory for it: nothing
  // has run, and many reads may be answered before the first answer is written.
  void ChargeAnswer(HttpResponse& aResponse)
  {
    const bool isDroppable =
      mIsRead && aResponse.mBody.size() > RequestMemory::kSmallRequestBytes;
    if (isDroppable) {
      if (mState->mMemory->Acquire(aResponse.mBody.size())) {
        return;
      }
      aResponse = ErrorResponse(RequestMemory::ExhaustedError());
    }
    mState->mMemory->Hold(aResponse.mBody.size());
  }

  std::shared_ptr<ServerState> mState;
  const HeldMemory mHeld;
  std::shared_ptr<ConnectionState> mConnection;
  HttpRequest mRequest;
  const bool mIsRead;
  const std::uint64_t mConnectionId;
  std::uint64_t mRequestId;
  restinio::impl::connection_handle_t mHandle;
  std::optional<ResponseBuilder> mBuilder;
  std::atomic<bool> mAnswered{ false };
};

}

/** \brief Owns the HTTP library's server. */
class HttpServer::Implementation
{
public:
  Implementation(asio::io_context& aContext,
                 HttpServerOptions aOptions,
                 HttpHandler& aHandler)
    : mOptions(std::move(aOptions))
    , mHandler(aHandler)
    , mState(std::make_shared<ServerState>(mOptions))
    , mConcurrentAccepts(ContextPool::ConnectionContexts(aContext))
    , mServer(restinio::external_io_context(aContext),
              [this](auto& aSettings) { Configure(aSettings); })
    , mExpiryTimer(aContext)
  {
  }

  Result<void> Open()
  {
    try {
      mServer.open_sync();
      // The library listens with the system's limit.
      ::listen(mListener, ListenQueueLength(mOptions.mQueues.mListening));
    } catch (const std::exception& exception) {
      return Error(ErrorKind::InvalidSettings,
                   "cannot listen on " + mOptions.mAddress + ':' +
                     std::to_string(mOptions.mPort) + ": " + exception.what());
    }
    ScheduleExpiry();
    return Success();
  }

  void Close() { mServer.close_sync(); }
  void StopExpiry() { mIsStopped = true; }

  std::uint16_t Port() const { return mPort; }
  ServerState& State() { return *mState; }

private:
  template<typename Settings>
  void Configure(Settings& aSettings)
  {
    aSettings.address(mOptions.mAddress)
      .port(mOptions.mPort)
      .logger(mState)
      .connection_state_listener(std::make_shared<ConnectionListener>(mState))
      .max_parallel_connections(mOptions.mMaxConnections)
      .max_pipelined_requests(mOptions.mMaxPipelinedRequests)
      .read_next_http_message_timelimit(mOptions.mIdleTimeout)
      .write_http_response_timelimit(mOptions.mIdleTimeout)
      .handle_request_timeout(mOptions.mHandlingTimeout)
      .buffer_size(kReadBufferBytes)
      .concurrent_accepts_count(mConcurrentAccepts)
      .acceptor_options_setter([](auto& aOptions) {
        aOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      })
      .socket_options_setter([](auto& aOptions) {
        aOptions.set_option(asio::ip::tcp::no_delay(true));
      })
      .incoming_http_msg_limits(
        restinio::incoming_http_msg_limits_t{}
          .max_url_size(mOptions.mMaxHeaderBytes)
          .max_field_name_size(mOptions.mMaxHeaderBytes)
          .max_field_value_size(mOptions.mMaxHeaderBytes)
          .max_field_count(mOptions.mMaxHeaderFields)
          .max_body_size(mOptions.mMaxBodyBytes))
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
        mPort = aAcceptor.local_endpoint().port();
        mListener = aAcceptor.native_handle();
        LimitReceiveBuffers(aAcceptor, mOptions.mQueues.mReceiveBufferBytes);
        LimitSendBuffers(aAcceptor, mOptions.mQueues.mSendBufferBytes);
      })
      .request_handler([this](const restinio::request_handle_t& aRequest) {
        return Receive(aRequest);
      });
  }

  restinio::request_handling_status_t Receive(
    const restinio::request_handle_t& aRequest)
  {
    // The body has arrived completely, so a pending 100 is no longer needed.
    CallerParser::TakeContinueWanted();
    const auto connection =
      mState->mConnections.Find(aRequest->connection_id());
    if (!connection || !connection->BeginRequest()) {
      return restinio::request_rejected();
    }
    ++mState->mOutstanding;
    mState->mQuiet.BeginRequest(aRequest->connection_id());
    ArrivingRequest* arriving = ArrivingRequest::Current();
    const std::size_t bytes = RequestMemory::InProgressBytes(
      arriving != nullptr ? arriving->Finish() : 0);
    const bool hasRoom = mState->mMemory->Acquire(bytes);
    const auto exchange = std::make_shared<ServerExchange>(
      mState, connection, aRequest, hasRoom ? bytes : 0);
    if (hasRoom) {
      mHandler.Handle(exchange);
    } else {
      exchange->Respond(ErrorResponse(RequestMemory::ExhaustedError()));
    }
    return restinio::request_accepted();
  }

  void ScheduleExpiry()
  {
    constexpr std::chrono::milliseconds kExpiryInterval{ 200 };
    mExpiryTimer.expires_after(kExpiryInterval);
    mExpiryTimer.async_wait([this](const asio::error_code& aError) {
      if (aError || mIsStopped) {
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      mState->mMemory->RefuseExpired(now);
      mState->mQuiet.MakePlaces(now);
      ScheduleExpiry();
    });
  }

  static constexpr std::size_t kReadBufferBytes = 8192;

  HttpServerOptions mOptions;
  HttpHandler& mHandler;
  std::shared_ptr<ServerState> mState;
  /** Number of concurrent accepts. There is one for each context that runs
   * connections, since a socket is bound to its context before it is accepted.
   * They complete in round-robin order. */
  const std::size_t mConcurrentAccepts;
  std::uint16_t mPort = 0;
  int mListener = -1;
  Server mServer;
  asio::steady_timer mExpiryTimer;
  std::atomic<bool> mIsStopped{ false };
};

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpServerOptions aOptions,
                       HttpHandler& aHandler)
  : mImplementation(
      std::make_shared<Implementation>(aContext, std::move(aOptions), aHandler))
{
}

// Connections are owned by handlers of their io_context, which outlives this
// object, and they unregister at the library's server when they are destroyed.
// The library's server is therefore never destroyed.
HttpServer::~HttpServer()
{
  // Allocated on the heap, so that it is not destroyed at exit either.
  static auto& kept =
    *std::make_unique<std::vector<std::shared_ptr<Implementation>>>().release();
  static std::mutex mutex;
  mImplementation->Close();
  mImplementation->StopExpiry();
  const std::lock_guard<std::mutex> lock(mutex);
  kept.push_back(std::move(mImplementation));
}

Result<void>
HttpServer::Open()
{
  return mImplementation->Open();
}

void
HttpServer::CloseListener()
{
  mImplementation->Close();
}

void
HttpServer::CloseConnectionsAfterAnswer()
{
  mImplementation->State().mCloseAfterAnswer = true;
}

std::uint16_t
HttpServer::Port() const
{
  return mImplementation->Port();
}

std::size_t
HttpServer::OutstandingRequests() const
{
  return mImplementation->State().mOutstanding;
}

std::size_t
HttpServer::OpenConnections() const
{
  return mImplementation->State().mOpen +
         mImplementation->State().mLingering->Value();
}

void
HttpServer::SetRequestLimits(const RequestLimits& aLimits)
{
  mImplementation->State().mLimits->Set(aLimits);
}

RequestMemoryCounters
HttpServer::MemoryCounters() const
{
  return mImplementation->State().mMemory->Counters();
}

std::uint64_t
HttpServer::DisplacedConnections() const
{
  return mImplementation->State().mQuiet.Displaced();
}

std::uint64_t
HttpServer::RejectedRequests() const
{
  return mImplementation->State().mRejected;
}

}
