#pragma once

#include <functional>
#include <memory>

#include "Transport/HttpMessage.h"

namespace almondspoke {

/** \brief One request of a caller and the means to answer it; thread-safe. */
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual HttpRequest& Request() = 0;

  /** Answers the request. Only the first call has an effect. */
  virtual void Respond(HttpResponse aResponse) = 0;

  /** Closes the connection instead of answering. */
  virtual void Abort() = 0;

  /** Registers the observer that is called if the caller's connection closes
   * before the request is answered, or immediately if it is already closed.
   * Only one observer is supported. */
  virtual void OnCallerDisconnected(std::function<void()> aObserver) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/** \brief Receives the requests of a server; called on any worker thread. */
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  virtual void Handle(HttpExchangePtr aExchange) = 0;
};

}
