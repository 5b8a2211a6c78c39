#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "Transport/HttpExchange.h"

namespace almondspoke::testing {

/** \brief An HttpExchange that records the response and can simulate that the
 * caller closes its connection. */
class FakeExchange : public HttpExchange
{
public:
  explicit FakeExchange(HttpRequest aRequest)
    : mRequest(std::move(aRequest))
  {
  }

  HttpRequest& Request() override { return mRequest; }
  void Respond(HttpResponse aResponse) override
  {
    if (!mResponse) {
      mResponse = std::move(aResponse);
    }
  }
  void Abort() override { mAborted = true; }
  void OnCallerDisconnected(std::function<void()> aObserver) override
  {
    mObserver = std::move(aObserver);
  }

  void LeaveAsCaller()
  {
    if (mObserver) {
      mObserver();
    }
  }

  HttpRequest mRequest;
  std::optional<HttpResponse> mResponse;
  bool mAborted = false;
  std::function<void()> mObserver;
};

}
