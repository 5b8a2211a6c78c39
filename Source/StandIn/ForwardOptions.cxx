#include "StandIn/ForwardOptions.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include <asio/ip/address.hpp>

namespace almondspoke {

namespace {

std::optional<asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  asio::error_code error;
  const auto address =
    asio::ip::make_address_v4(std::string(aText.substr(0, colon)), error);
  const std::string_view digits = aText.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  std::uint16_t port = 0;
  const auto [parsed, portError] = std::from_chars(digits.data(), end, port);
  if (error || portError != std::errc() || parsed != end || port == 0) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

}

Result<ForwardedLink>
ParseForwardedLink(const std::string& aText)
{
  const std::string_view text(aText);
  const std::size_t equals = text.find('=');
  if (equals != std::string_view::npos) {
    const auto listen = ParseEndpoint(text.substr(0, equals));
    const auto target = ParseEndpoint(text.substr(equals + 1));
    if (listen && target) {
      return ForwardedLink{ *listen, *target };
    }
  }
  return Error(ErrorKind::Usage,
               "invalid value '" + aText +
                 "' of --forward (allowed: IP:PORT=IP:PORT)");
}

}
