#include "Controllers/OperatorServer.h"

#include <exception>
#include <future>
#include <thread>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <glog/logging.h>
#include <restinio/all.hpp>

#include "Controllers/OperatorApi.h"

namespace almondspoke {

namespace {

constexpr const char* kPath = "/rpc";
constexpr const char* kParseError =
  R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,)"
  R"("message":"the request is not valid JSON"}})";
constexpr std::size_t kMaxTargetBytes = 1024;
constexpr std::size_t kMaxHeaderFieldBytes = 8192;
constexpr std::size_t kMaxHeaderFields = 64;

struct ServerTraits : public restinio::default_traits_t
{
  // The name is required by the library.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;

/** \brief Passes request texts to the JSON-RPC library. */
class OperatorConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string&, void*) override { return false; }

  std::string Process(const std::string& aRequest)
  {
    std::string response;
    try {
      GetHandler()->HandleRequest(aRequest, response);
    } catch (const std::exception& error) {
      LOG(WARNING) << "operator request rejected: " << error.what();
      return kParseError;
    }
    return response;
  }
};

restinio::request_handling_status_t
Respond(const restinio::request_handle_t& aRequest,
        restinio::http_status_line_t aStatus,
        std::string aBody)
{
  return aRequest->create_response(std::move(aStatus))
    .append_header(restinio::http_field::content_type, "application/json")
    .set_body(std::move(aBody))
    .done();
}

restinio::request_handling_status_t
Refuse(const restinio::request_handle_t& aRequest,
       restinio::http_status_line_t aStatus,
       ErrorKind aKind,
       std::string aMessage)
{
  return Respond(
    aRequest, std::move(aStatus), Error(aKind, std::move(aMessage)).ToJson());
}

}

class OperatorServer::Implementation
{
public:
  Implementation(OperatorServerOptions aOptions,
                 RulesService& aRules,
                 VotersService& aVoters,
                 const InstanceView& aInstances,
                 const EndpointView& aEndpoints,
                 const DecisionLog& aDecisions)
    : mOptions(std::move(aOptions))
    , mApi(mConnector, aRules, aVoters, aInstances, aEndpoints, aDecisions)
    , mWorkers(mOptions.mThreads)
  {
  }

  Result<void> Start()
  {
    // The acceptor is opened before any thread runs, because the library's own
    // runner has a race between its start and reporting an address in use.
    try {
      mServer = std::make_unique<Server>(
        restinio::external_io_context(mContext), Settings());
      mServer->open_sync();
    } catch (const std::exception& error) {
      mServer.reset();
      return Error(ErrorKind::InvalidSettings,
                   "cannot listen on the operators' address " +
                     mOptions.mAddress + ":" + std::to_string(mOptions.mPort) +
                     ": " + error.what() +
                     " (allowed: an IP address of this machine and a free "
                     "port)");
    }
    mThread = std::thread([this] { mContext.run(); });
    return Success();
  }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    std::promise<void> closed;
    asio::post(mContext, [this, &closed] {
      mServer->close_sync();
      closed.set_value();
    });
    closed.get_future().wait();
    mWorkers.join();
    mContext.stop();
    mThread.join();
  }

  std::uint16_t Port() const { return mPort; }

private:
  restinio::server_settings_t<ServerTraits> Settings()
  {
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(mOptions.mAddress)
      .port(mOptions.mPort)
      .max_parallel_connections(mOptions.mMaxConnections)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                  .max_url_size(kMaxTargetBytes)
                                  .max_field_name_size(kMaxHeaderFieldBytes)
                                  .max_field_value_size(kMaxHeaderFieldBytes)
                                  .max_field_count(kMaxHeaderFields)
                                  .max_body_size(mOptions.mMaxBodyBytes))
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
        mPort = aAcceptor.local_endpoint().port();
      })
      .request_handler([this](const restinio::request_handle_t& aRequest) {
        return Handle(aRequest);
      });
    return settings;
  }

  restinio::request_handling_status_t Handle(
    const restinio::request_handle_t& aRequest)
  {
    const auto path = aRequest->header().path();
    if (path != kPath) {
      return Refuse(aRequest,
                    restinio::status_not_found(),
                    ErrorKind::NotFound,
                    "unknown path '" + std::string(path) + "' (allowed: /rpc)");
    }
    if (aRequest->header().method() != restinio::http_method_post()) {
      return Refuse(aRequest,
                    restinio::status_method_not_allowed(),
                    ErrorKind::MethodNotAllowed,
                    "method not allowed (allowed: POST)");
    }
    // Methods may block, so they do not run on the connection thread.
    asio::post(mWorkers, [this, aRequest] {
      Respond(
        aRequest, restinio::status_ok(), mConnector.Process(aRequest->body()));
    });
    return restinio::request_accepted();
  }

  OperatorServerOptions mOptions;
  OperatorConnector mConnector;
  OperatorApi mApi;
  asio::thread_pool mWorkers;
  asio::io_context mContext;
  std::unique_ptr<Server> mServer;
  std::thread mThread;
  std::uint16_t mPort = 0;
};

OperatorServer::OperatorServer(OperatorServerOptions aOptions,
                               RulesService& aRules,
                               VotersService& aVoters,
                               const InstanceView& aInstances,
                               const EndpointView& aEndpoints,
                               const DecisionLog& aDecisions)
  : mImplementation(std::make_unique<Implementation>(std::move(aOptions),
                                                     aRules,
                                                     aVoters,
                                                     aInstances,
                                                     aEndpoints,
                                                     aDecisions))
{
}

OperatorServer::~OperatorServer()
{
  Stop();
}

Result<void>
OperatorServer::Start()
{
  return mImplementation->Start();
}

void
OperatorServer::Stop()
{
  mImplementation->Stop();
}

std::uint16_t
OperatorServer::Port() const
{
  return mImplementation->Port();
}

}
