#pragma once

#include <optional>
#include <string>

#include "Jobs/JobController.h"

namespace almondspoke {

/** \brief Handles the HTTP requests to /v1/jobs and /v1/home, independently of
 * the HTTP server in use. */
class JobsHandler
{
public:
  using Done = JobController::Done;

  JobsHandler(JobController& aController, const JobSettings& aSettings);

  /** `POST /v1/jobs`.
   *
   * \param aKey value of the header Idempotency-Key, if present
   * \param aWait value of the query parameter `wait` in milliseconds, if
   *   present */
  void Post(const std::optional<std::string>& aKey,
            const std::optional<std::string>& aWait,
            const std::string& aBody,
            Done aDone);

  /** `GET /v1/jobs/{key}`.
   *
   * \param aKey the key after URL decoding */
  void Get(const std::string& aKey,
           const std::optional<std::string>& aWait,
           Done aDone);

  /** `DELETE /v1/jobs/{key}`.
   *
   * \param aKey the key after URL decoding */
  void Delete(const std::string& aKey, Done aDone);

  /** `GET /v1/home`. */
  void Home(Done aDone);

private:
  Result<std::chrono::milliseconds> ParseWait(
    const std::optional<std::string>& aWait) const;

  JobController& mController;
  const JobSettings mSettings;
};

}
