#pragma once

#include "Jobs/JobsHandler.h"
#include "Transport/HttpExchange.h"

namespace almondspoke {

/** \brief Serves /v1/jobs, /v1/jobs/{key} and /v1/home. */
class JobsApi : public HttpHandler
{
public:
  explicit JobsApi(JobsHandler& aJobs);

  void Handle(HttpExchangePtr aExchange) override;

private:
  void HandleJobs(const HttpExchangePtr& aExchange);
  void HandleJob(const HttpExchangePtr& aExchange,
                 std::string_view aEncodedKey);
  void HandleHome(const HttpExchangePtr& aExchange);

  JobsHandler& mJobs;
};

}
