#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Jobs/Resources.h"
#include "StandIn/StandInOptions.h"
#include "Transport/HttpClient.h"

namespace almondspoke {

/** \brief Registers a stand-in at the entry instances, renews the registration
 * before it expires, and removes it when the stand-in leaves. Also sends the
 * usage reports that the platform sends for a real worker. */
class Announcer
{
public:
  using UsageSource = std::function<Resources()>;

  Announcer(asio::io_context& aContext,
            HttpClient& aClient,
            const StandInOptions& aOptions,
            UsageSource aUsage);

  /** Registers and starts the periodic renewal and usage reports.
   * \param aAddress IP address and port that the stand-in listens on. */
  void Start(const std::string& aAddress);

  /** Stops the renewal and deletes the registration at all instances. */
  void Leave();

private:
  using Body = std::shared_ptr<const std::string>;

  void Renew();
  void ReportUsage();
  void Send(const std::string& aInstance,
            const std::string& aMethod,
            const std::string& aTarget,
            Body aBody);

  asio::steady_timer mTimer;
  asio::steady_timer mUsageTimer;
  HttpClient& mClient;
  const StandInOptions& mOptions;
  const UsageSource mUsage;
  const std::uint64_t mIncarnation;
  /** Body of the registration requests; null after Leave(). */
  Body mBody;
};

}
