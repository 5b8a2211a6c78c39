#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "Filters/FilterFakes.h"
#include "Filters/IdentifyFilter.h"
#include "Filters/RequestFields.h"
#include "Support/FakeExchange.h"

// The input is a target, a header value and a body, each on its own line.
// Checks that a request is either passed on or answered, and passed on only
// with a valid service name.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace almondspoke;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const std::size_t first = text.find('\n');
  const std::string value =
    first == std::string::npos ? std::string() : text.substr(first + 1);
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = std::string(kServicesPrefix) + text.substr(0, first);
  request.mFields = { { "Idempotency-Key", value },
                      { "Almondspoke-Timeout-Ms", value },
                      { "Connection", value },
                      { "Almondspoke-Kind", value } };
  if (value.empty()) {
    request.mFields.clear();
  }
  static_cast<void>(QueryParameter(request.mTarget, "a"));
  RemoveHopByHopFields(request.mFields);
  auto exchange = std::make_shared<testing::FakeExchange>(std::move(request));
  auto context = std::make_shared<RequestContext>(
    exchange, "r1", Clock::Monotonic(std::chrono::hours(1)));
  bool passed = false;
  const testing::FakeRules rules;
  IdentifyFilter(rules).Apply(context, [&](const RequestContextPtr& aContext) {
    passed = IsName(aContext->mService) && aContext->mTarget[0] == '/';
  });
  if (passed == exchange->mResponse.has_value()) {
    __builtin_trap();
  }
  return 0;
}
