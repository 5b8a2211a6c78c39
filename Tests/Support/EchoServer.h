#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>

#include "Support/ContextThreads.h"
#include "Transport/HttpServer.h"

namespace almondspoke::testing {

/** \brief Responds to every request with the body of the request. */
class EchoHandler : public HttpHandler
{
public:
  void Handle(HttpExchangePtr aExchange) override
  {
    HttpResponse response;
    response.mBody = aExchange->Request().mBody;
    aExchange->Respond(response);
  }
};

/** \brief An HttpServer with small size limits that runs EchoHandler on its own
 * threads. */
class EchoServer
{
public:
  static constexpr std::size_t kMaxHeaderBytes = 4096;
  static constexpr std::size_t kMaxBodyBytes = 65536;

  EchoServer()
  {
    if (mServer.Open().has_error()) {
      throw std::runtime_error("the echo server cannot listen");
    }
  }
  ~EchoServer() { mThreads.Stop(); }

  HttpServer& Server() { return mServer; }
  std::uint16_t Port() const { return mServer.Port(); }

private:
  static HttpServerOptions Options()
  {
    HttpServerOptions options;
    options.mMaxHeaderBytes = kMaxHeaderBytes;
    options.mMaxBodyBytes = kMaxBodyBytes;
    return options;
  }

  ContextThreads mThreads;
  EchoHandler mHandler;
  HttpServer mServer{ mThreads.Context(), Options(), mHandler };
};

}
