#pragma once

#include <deque>
#include <string>
#include <vector>

#include "Tool/HttpClient.h"

namespace almondspoke::testing {

/** \brief Records requests and returns the responses that a test has queued. */
class FakeHttpClient : public tool::HttpClient
{
public:
  Result<tool::HttpResponse> Send(const tool::HttpRequest& aRequest) override
  {
    mRequests.push_back(aRequest);
    if (mQueuedResponses.empty()) {
      return Error(ErrorKind::PeerUnreachable, "no response queued");
    }
    Result<tool::HttpResponse> response = mQueuedResponses.front();
    mQueuedResponses.pop_front();
    return response;
  }

  /** Queues the response to a later request. */
  void QueueResponse(int aStatus, std::string aBody)
  {
    mQueuedResponses.emplace_back(
      tool::HttpResponse{ aStatus, std::move(aBody) });
  }

  std::deque<Result<tool::HttpResponse>> mQueuedResponses;
  std::vector<tool::HttpRequest> mRequests;
};

}
