#pragma once

#include <vector>

#include "Daemon/Settings.h"
#include "Membership/EndpointRegistry.h"
#include "Transport/HttpExchange.h"

namespace almondspoke {

/** Path prefix that an endpoint's name follows. */
inline constexpr std::string_view kEndpointsPrefix = "/v1/endpoints/";

/** Parses the body of an endpoint's announcement.
 * \param aAllowed networks that the endpoint's address may belong to.
 * Errors: InvalidArgument, AddressNotAllowed. */
Result<EndpointAnnouncement>
ParseAnnouncement(const EndpointName& aName,
                  const std::string& aBody,
                  const std::vector<NetworkSettings>& aAllowed);

/** Parses the body of an endpoint's resource usage report. Errors:
 * InvalidArgument. */
Result<UsageReport>
ParseUsageReport(const std::string& aBody);

/** \brief Serves PUT and DELETE of /v1/endpoints/{name}, and PUT of
 * /v1/endpoints/{name}/usage. */
class EndpointApi : public HttpHandler
{
public:
  EndpointApi(EndpointRegistry& aRegistry,
              std::vector<NetworkSettings> aAllowedNetworks);

  void Handle(HttpExchangePtr aExchange) override;

private:
  Result<void> Dispatch(const HttpRequest& aRequest);
  Result<void> Announce(const EndpointName& aName, const std::string& aBody);
  Result<void> ReportUsage(const EndpointName& aName, const std::string& aBody);
  Result<void> Leave(const EndpointName& aName, const HttpRequest& aRequest);

  EndpointRegistry& mRegistry;
  const std::vector<NetworkSettings> mAllowedNetworks;
};

}
