#pragma once

#include <mutex>
#include <string>
#include <unordered_map>

#include "Base/Clock.h"
#include "Jobs/TaskSender.h"
#include "Transport/HttpClient.h"

namespace almondspoke {

/** \brief Sends tasks to workers as `POST /tasks/{attempt}`.
 *
 * Each task is sent on a new connection: if a worker closed a pooled
 * connection while a task was being written, it would be unknown whether the
 * task had started. */
class HttpTaskSender : public TaskSender
{
public:
  HttpTaskSender(const Clock& aClock, HttpClient& aClient);

  void Start(TaskAttempt aAttempt, Done aDone) override;
  void Stop(const EndpointName& aWorker,
            const std::string& aAttemptId) override;
  void Checkpoint(const EndpointName& aWorker,
                  const std::string& aAttemptId) override;
  void Throttle(const EndpointName& aWorker,
                const std::string& aAttemptId) override;

private:
  void SendControl(const std::string& aAttemptId, const char* aAction);

  const Clock& mClock;
  HttpClient& mClient;
  std::mutex mMutex;
  /** Worker addresses of the attempts in progress, by attempt id. */
  std::unordered_map<std::string, std::string> mAddresses;
};

}
