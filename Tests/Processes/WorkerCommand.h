#pragma once

#include <string>
#include <vector>

namespace almondspoke::testing {

/** Returns the command line of a stand-in that is a worker of the service
 * "work". The caller adds an --instance flag for each instance at which the
 * worker announces itself. */
inline std::vector<std::string>
WorkerCommand(const std::string& aName,
              const std::string& aWorkMs,
              const std::string& aStartLog,
              const std::string& aCores = "8")
{
  return { ALMONDSPOKE_STANDIN_PATH,
           "--name",
           aName,
           "--service",
           "work",
           "--cores",
           aCores,
           "--memory",
           "1000000",
           "--work-ms",
           aWorkMs,
           "--start-log",
           aStartLog };
}

}
