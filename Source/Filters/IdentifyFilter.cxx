#include "Filters/IdentifyFilter.h"

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include "Base/EnumNames.h"
#include "Filters/RequestFields.h"

namespace almondspoke {

namespace {

Result<void>
ReadTarget(RequestContext& aContext)
{
  const HttpRequest& request = aContext.Request();
  if (request.mMethod != "POST") {
    return Error(ErrorKind::MethodNotAllowed,
                 "method '" + request.mMethod +
                   "' is not allowed for a service (allowed: POST)");
  }
  std::string_view rest(request.mTarget);
  rest.remove_prefix(kServicesPrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  const std::string_view service = rest.substr(0, end);
  if (!IsName(service)) {
    return InvalidName("service", service);
  }
  aContext.mService = std::string(service);
  rest.remove_prefix(service.size());
  aContext.mTarget = rest.empty() || rest.front() != '/'
                       ? '/' + std::string(rest)
                       : std::string(rest);
  return Success();
}

Result<void>
ReadName(const HttpFields& aFields, std::string_view aField, std::string& aName)
{
  const std::string* value = FindField(aFields, aField);
  if (value == nullptr) {
    return Success();
  }
  if (!IsName(*value)) {
    return InvalidName(aField, *value);
  }
  aName = *value;
  return Success();
}

Result<void>
ReadKey(RequestContext& aContext)
{
  const std::string* key =
    FindField(aContext.Request().mFields, kIdempotencyKeyField);
  if (key == nullptr) {
    return Success();
  }
  if (!IsKey(*key)) {
    return Error(ErrorKind::KeyInvalid,
                 "the idempotency key is not allowed (allowed: 1 to " +
                   std::to_string(kMaxKeyBytes) +
                   " printable ASCII characters without spaces)");
  }
  aContext.mKey = *key;
  return Success();
}

Result<void>
ReadSpillOrigin(RequestContext& aContext)
{
  const HttpFields& fields = aContext.Request().mFields;
  if (FindField(fields, kSpilledFromField) == nullptr) {
    return Success();
  }
  SpillOrigin origin;
  BOOST_OUTCOME_TRYV(ReadName(fields, kSpilledFromField, origin.mDataCentre));
  const std::string* id = FindField(fields, kRequestIdField);
  if (id != nullptr && IsName(*id)) {
    origin.mRequestId = *id;
  }
  aContext.mSpillOrigin = std::move(origin);
  return Success();
}

Result<void>
ReadIdempotent(RequestContext& aContext)
{
  const std::string* value =
    FindField(aContext.Request().mFields, kIdempotentField);
  if (value == nullptr) {
    return Success();
  }
  if (*value != "true" && *value != "false") {
    return InvalidValue(kIdempotentField, *value, "true, false");
  }
  aContext.mDeclaredIdempotent = *value == "true";
  return Success();
}

Result<void>
ReadUrgency(RequestContext& aContext)
{
  const std::string* value =
    FindField(aContext.Request().mFields, kUrgencyField);
  if (value == nullptr) {
    return Success();
  }
  const std::optional<UrgencyLevel> urgency =
    ValueOf(kUrgencyLevelNames, std::string_view(*value));
  if (!urgency) {
    return InvalidValue(
      kUrgencyField, *value, AllowedNames(kUrgencyLevelNames));
  }
  aContext.mDeclaredUrgency = urgency;
  return Success();
}

Result<void>
ReadTimeout(RequestContext& aContext)
{
  const std::string* value =
    FindField(aContext.Request().mFields, kTimeoutField);
  if (value == nullptr) {
    return Success();
  }
  std::int64_t milliseconds = 0;
  const char* end = value->data() + value->size();
  const auto [parsed, error] =
    std::from_chars(value->data(), end, milliseconds);
  if (error != std::errc() || parsed != end || milliseconds < 1 ||
      milliseconds > kMaxTimeout.count()) {
    return InvalidValue(kTimeoutField,
                        *value,
                        "1 to " + std::to_string(kMaxTimeout.count()) +
                          " milliseconds");
  }
  aContext.mDeclaredTimeout = std::chrono::milliseconds(milliseconds);
  return Success();
}

Result<void>
ReadRequest(RequestContext& aContext)
{
  const HttpFields& fields = aContext.Request().mFields;
  BOOST_OUTCOME_TRYV(ReadSpillOrigin(aContext));
  BOOST_OUTCOME_TRYV(ReadTarget(aContext));
  aContext.mKind = aContext.mService;
  BOOST_OUTCOME_TRYV(ReadName(fields, kKindField, aContext.mKind));
  BOOST_OUTCOME_TRYV(ReadName(fields, kTeamField, aContext.mTeam));
  BOOST_OUTCOME_TRYV(ReadKey(aContext));
  BOOST_OUTCOME_TRYV(ReadIdempotent(aContext));
  BOOST_OUTCOME_TRYV(ReadUrgency(aContext));
  return ReadTimeout(aContext);
}

bool
IsIdempotent(const RequestPolicy& aPolicy, const std::optional<bool>& aDeclared)
{
  switch (aPolicy.mRepeat) {
    case RepeatRule::Never:
      return false;
    case RepeatRule::Allowed:
      return aDeclared.value_or(true);
    case RepeatRule::ByCaller:
      return aDeclared.value_or(false);
  }
  return false;
}

}

IdentifyFilter::IdentifyFilter(const RequestRules& aRules)
  : mRules(aRules)
{
}

void
IdentifyFilter::Apply(RequestContextPtr aContext, Next aNext)
{
  const Result<void> read = ReadRequest(*aContext);
  if (read.has_error()) {
    aContext->Fail(read.error());
    return;
  }
  aContext->mPolicy = mRules.PolicyOf(aContext->mKind);
  aContext->mRulesVersion = aContext->mPolicy.mRulesVersion;
  aContext->mIdempotent =
    IsIdempotent(aContext->mPolicy, aContext->mDeclaredIdempotent);
  aContext->WatchCallerConnection();
  aNext(std::move(aContext));
}

}
