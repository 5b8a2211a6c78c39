#include "Daemon/EndpointApi.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "Base/JsonForm.h"
#include "Daemon/SettingValues.h"
#include "Filters/RequestFields.h"

namespace almondspoke {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxSlots = 100000;
constexpr std::uint64_t kMaxConnections = 1000000;
constexpr double kMaxCores = 65536;
constexpr std::uint64_t kMaxMemoryBytes = 1ULL << 50;
constexpr std::uint64_t kMaxAccelerators = 65536;
constexpr std::uint64_t kMinTimeToLiveMs = 100;
constexpr std::uint64_t kMaxTimeToLiveMs = 600000;
constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

/** \brief Reads and validates the members of one JSON object. Its errors name
 * the invalid member and the allowed values. */
class JsonObjectReader
{
public:
  explicit JsonObjectReader(const std::string& aBody)
    : mObject(CheckJsonForm(aBody) ? Json::parse(aBody, nullptr, false)
                                   : Json(Json::value_t::discarded))
  {
  }

  Result<void> CheckMembers(std::initializer_list<std::string_view> aAllowed)
  {
    if (!mObject.is_object()) {
      return Error(ErrorKind::InvalidArgument, "the body is not a JSON object");
    }
    std::string names;
    for (const std::string_view name : aAllowed) {
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    for (const auto& [name, value] : mObject.items()) {
      if (std::find(aAllowed.begin(), aAllowed.end(), name) == aAllowed.end()) {
        return InvalidValue("member", name, names);
      }
    }
    return Success();
  }

  Result<std::string> Name(const char* aName, bool aRequired) const
  {
    const auto found = mObject.find(aName);
    if (found == mObject.end() && !aRequired) {
      return std::string();
    }
    if (found == mObject.end()) {
      return Missing(aName);
    }
    if (!found->is_string() || !IsName(found->get_ref<const std::string&>())) {
      return InvalidName(aName, ToText(*found));
    }
    return found->get<std::string>();
  }

  Result<std::string> Text(const char* aName) const
  {
    const auto found = mObject.find(aName);
    if (found == mObject.end()) {
      return Missing(aName);
    }
    if (!found->is_string()) {
      return InvalidValue(aName, ToText(*found), "a string");
    }
    return found->get<std::string>();
  }

  Result<std::uint64_t> Integer(const char* aName,
                                std::uint64_t aMin,
                                std::uint64_t aMax,
                                std::uint64_t aDefault) const
  {
    const auto found = mObject.find(aName);
    if (found == mObject.end()) {
      return aDefault;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < aMin ||
        found->get<std::uint64_t>() > aMax) {
      return InvalidValue(aName,
                          ToText(*found),
                          std::to_string(aMin) + " to " + std::to_string(aMax));
    }
    return found->get<std::uint64_t>();
  }

  Result<double> Number(const char* aName, double aMax) const
  {
    const auto found = mObject.find(aName);
    if (found == mObject.end()) {
      return 0.0;
    }
    const double value =
      found->is_number() ? found->get<double>() : std::nan("");
    if (!(value >= 0 && value <= aMax)) {
      return InvalidValue(aName, ToText(*found), "a non-negative number");
    }
    return value;
  }

private:
  static Error Missing(const char* aName)
  {
    return Error(ErrorKind::InvalidArgument,
                 "member '" + std::string(aName) + "' is missing");
  }

  static std::string ToText(const Json& aValue)
  {
    return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  Json mObject;
};

Result<std::string>
CheckAddress(const std::string& aAddress,
             const std::vector<NetworkSettings>& aAllowed)
{
  const std::optional<SocketAddress> address = ParseSocketAddress(aAddress);
  if (!address || address->mPort == 0) {
    return InvalidValue(
      "address", aAddress, "IP address and port, e.g. 127.0.0.1:8080");
  }
  const bool allowed = std::any_of(
    aAllowed.begin(), aAllowed.end(), [&address](const NetworkSettings& aOne) {
      return aOne.Contains(address->mHost);
    });
  if (!allowed) {
    std::string networks;
    for (const NetworkSettings& network : aAllowed) {
      networks += (networks.empty() ? "" : ", ") + network.mPrefix + '/' +
                  std::to_string(network.mPrefixLength);
    }
    return Error(ErrorKind::AddressNotAllowed,
                 "address '" + aAddress +
                   "' is outside the allowed networks (allowed: " + networks +
                   ')');
  }
  return address->ToString();
}

}

Result<EndpointAnnouncement>
ParseAnnouncement(const EndpointName& aName,
                  const std::string& aBody,
                  const std::vector<NetworkSettings>& aAllowed)
{
  JsonObjectReader reader(aBody);
  BOOST_OUTCOME_TRYV(reader.CheckMembers({ "service",
                                           "address",
                                           "slots",
                                           "connections",
                                           "cores",
                                           "memoryBytes",
                                           "accelerators",
                                           "rack",
                                           "ttlMs",
                                           "incarnation" }));
  EndpointAnnouncement announcement;
  announcement.mName = aName;
  BOOST_OUTCOME_TRY(service, reader.Name("service", true));
  BOOST_OUTCOME_TRY(text, reader.Text("address"));
  BOOST_OUTCOME_TRY(address, CheckAddress(text, aAllowed));
  BOOST_OUTCOME_TRY(slots, reader.Integer("slots", 1, kMaxSlots, 1));
  BOOST_OUTCOME_TRY(connections,
                    reader.Integer("connections", 1, kMaxConnections, slots));
  BOOST_OUTCOME_TRY(cores, reader.Number("cores", kMaxCores));
  BOOST_OUTCOME_TRY(memoryBytes,
                    reader.Integer("memoryBytes", 0, kMaxMemoryBytes, 0));
  BOOST_OUTCOME_TRY(accelerators,
                    reader.Integer("accelerators", 0, kMaxAccelerators, 0));
  BOOST_OUTCOME_TRY(rack, reader.Name("rack", false));
  BOOST_OUTCOME_TRY(
    timeToLive,
    reader.Integer("ttlMs", kMinTimeToLiveMs, kMaxTimeToLiveMs, 3000));
  BOOST_OUTCOME_TRY(incarnation,
                    reader.Integer("incarnation", 0, kMaxInteger, 0));
  announcement.mService = std::move(service);
  announcement.mAddress = std::move(address);
  announcement.mCores = cores;
  announcement.mMemoryBytes = memoryBytes;
  announcement.mRack = std::move(rack);
  announcement.mIncarnation = incarnation;
  announcement.mSlots = static_cast<std::uint32_t>(slots);
  announcement.mConnections = static_cast<std::uint32_t>(connections);
  announcement.mAccelerators = static_cast<std::uint32_t>(accelerators);
  announcement.mTimeToLive = std::chrono::milliseconds(timeToLive);
  return announcement;
}

Result<UsageReport>
ParseUsageReport(const std::string& aBody)
{
  JsonObjectReader reader(aBody);
  BOOST_OUTCOME_TRYV(reader.CheckMembers(
    { "coresUsed", "memoryUsedBytes", "acceleratorsUsed", "measuredAtMs" }));
  UsageReport report;
  BOOST_OUTCOME_TRY(coresUsed, reader.Number("coresUsed", kMaxCores));
  BOOST_OUTCOME_TRY(memoryUsedBytes,
                    reader.Integer("memoryUsedBytes", 0, kMaxMemoryBytes, 0));
  BOOST_OUTCOME_TRY(accelerators,
                    reader.Integer("acceleratorsUsed", 0, kMaxAccelerators, 0));
  BOOST_OUTCOME_TRY(measuredAt,
                    reader.Integer("measuredAtMs", 0, kMaxInteger, 0));
  report.mCoresUsed = coresUsed;
  report.mMemoryUsedBytes = memoryUsedBytes;
  report.mAcceleratorsUsed = static_cast<std::uint32_t>(accelerators);
  report.mMeasuredAtMilliseconds = static_cast<std::int64_t>(measuredAt);
  return report;
}

EndpointApi::EndpointApi(EndpointRegistry& aRegistry,
                         std::vector<NetworkSettings> aAllowedNetworks)
  : mRegistry(aRegistry)
  , mAllowedNetworks(std::move(aAllowedNetworks))
{
}

void
EndpointApi::Handle(HttpExchangePtr aExchange)
{
  const Result<void> result = Dispatch(aExchange->Request());
  aExchange->Respond(result.has_error() ? ErrorResponse(result.error())
                                        : JsonResponse(200, "{}"));
}

Result<void>
EndpointApi::Dispatch(const HttpRequest& aRequest)
{
  constexpr std::string_view kUsageSuffix = "/usage";
  std::string_view name = PathOf(aRequest.mTarget);
  name.remove_prefix(kEndpointsPrefix.size());
  const bool isUsage =
    name.size() > kUsageSuffix.size() &&
    name.substr(name.size() - kUsageSuffix.size()) == kUsageSuffix;
  if (isUsage) {
    name.remove_suffix(kUsageSuffix.size());
  }
  if (!IsName(name)) {
    return InvalidName("endpoint", name);
  }
  const EndpointName endpoint(name);
  if (aRequest.mMethod == "PUT" && isUsage) {
    return ReportUsage(endpoint, aRequest.mBody);
  }
  if (aRequest.mMethod == "PUT") {
    return Announce(endpoint, aRequest.mBody);
  }
  if (aRequest.mMethod == "DELETE" && !isUsage) {
    return Leave(endpoint, aRequest);
  }
  return Error(ErrorKind::MethodNotAllowed,
               "method '" + aRequest.mMethod +
                 "' is not allowed for an endpoint (allowed: PUT, DELETE)");
}

Result<void>
EndpointApi::Announce(const EndpointName& aName, const std::string& aBody)
{
  BOOST_OUTCOME_TRY(announcement,
                    ParseAnnouncement(aName, aBody, mAllowedNetworks));
  return mRegistry.Announce(announcement);
}

Result<void>
EndpointApi::ReportUsage(const EndpointName& aName, const std::string& aBody)
{
  BOOST_OUTCOME_TRY(report, ParseUsageReport(aBody));
  return mRegistry.ReportUsage(aName, report);
}

Result<void>
EndpointApi::Leave(const EndpointName& aName, const HttpRequest& aRequest)
{
  const std::string_view text = QueryParameter(aRequest.mTarget, "incarnation");
  if (text.empty()) {
    return mRegistry.Leave(aName, 0);
  }
  const std::optional<std::size_t> incarnation = ParseCount(text);
  if (!incarnation) {
    return InvalidValue("incarnation", text, "a whole number");
  }
  return mRegistry.Leave(aName, *incarnation);
}

}
