#include "Controllers/OperatorServer.h"

#include <exception>
#include <future>
#include <thread>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <glog/logging.h>

#include "Base/JsonForm.h"
#include "Controllers/OperatorApi.h"
#include "Transport/HttpServer.h"

namespace almondspoke {

namespace {

constexpr const char* kPath = "/rpc";
constexpr const char* kParseError =
  R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,)"
  R"("message":"the request is not valid JSON"}})";
constexpr std::size_t kMaxHeaderFieldBytes = 8192;
constexpr std::size_t kMaxHeaderFields = 64;
constexpr std::size_t kReceiveBufferBytes = 65536;

/** Memory of the requests, as a multiple of the largest body. */
constexpr std::size_t kBodiesInMemory = 3;

constexpr int kOk = 200;

/** \brief Passes request texts to the JSON-RPC library. */
class OperatorConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string&, void*) override { return false; }

  std::string Process(const std::string& aRequest)
  {
    const Result<void> form = CheckJsonForm(aRequest);
    if (!form) {
      LOG_EVERY_T(WARNING, 1)
        << "operator request rejected: " << form.error().Message();
      return kParseError;
    }
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

}

class OperatorServer::Implementation : private HttpHandler
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
    , mServer(mContext, ServerOptions(), *this)
  {
  }

  Result<void> Start()
  {
    const Result<void> opened = mServer.Open();
    if (!opened) {
      return Error(ErrorKind::InvalidSettings,
                   "the operators' address: " + opened.error().Message() +
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
      mServer.CloseListener();
      closed.set_value();
    });
    closed.get_future().wait();
    mWorkers.join();
    mContext.stop();
    mThread.join();
  }

  std::uint16_t Port() const { return mServer.Port(); }

private:
  HttpServerOptions ServerOptions() const
  {
    HttpServerOptions options;
    options.mAddress = mOptions.mAddress;
    options.mPort = mOptions.mPort;
    options.mMaxHeaderBytes = kMaxHeaderFieldBytes;
    options.mMaxHeaderFields = kMaxHeaderFields;
    options.mMaxBodyBytes = mOptions.mMaxBodyBytes;
    options.mMaxConnections = mOptions.mMaxConnections;
    options.mQueues.mListening = mOptions.mMaxConnections;
    options.mQueues.mClosing = mOptions.mMaxConnections;
    options.mQueues.mReceiveBufferBytes = kReceiveBufferBytes;
    options.mMaxUnfinishedBytes = kBodiesInMemory * mOptions.mMaxBodyBytes;
    return options;
  }

  void Handle(HttpExchangePtr aExchange) override
  {
    const HttpRequest& request = aExchange->Request();
    const std::string_view path = PathOf(request.mTarget);
    if (path != kPath) {
      aExchange->Respond(ErrorResponse(
        Error(ErrorKind::NotFound,
              "unknown path '" + std::string(path) + "' (allowed: /rpc)")));
      return;
    }
    if (request.mMethod != "POST") {
      aExchange->Respond(ErrorResponse(Error(
        ErrorKind::MethodNotAllowed, "method not allowed (allowed: POST)")));
      return;
    }
    // Methods may block, so they do not run on the connection thread.
    asio::post(mWorkers, [this, exchange = std::move(aExchange)] {
      exchange->Respond(
        JsonResponse(kOk, mConnector.Process(exchange->Request().mBody)));
    });
  }

  OperatorServerOptions mOptions;
  OperatorConnector mConnector;
  OperatorApi mApi;
  asio::thread_pool mWorkers;
  asio::io_context mContext;
  HttpServer mServer;
  std::thread mThread;
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
