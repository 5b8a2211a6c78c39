#pragma once

#include <optional>
#include <string>

#include <restinio/all.hpp>

namespace almondspoke::detail {

/** \brief Server trait that makes the HTTP library use CallerParser. */
struct CallerMethods : restinio::default_http_methods_t
{};

/** \brief Checks of a request's header that the HTTP library does not do
 * itself.
 *
 * The results are thread-local and belong to the header that the current thread
 * parsed last. */
class CallerParser
{
public:
  /** Parser callback for the end of a header. */
  static int OnHeadersComplete(http_parser* aParser);

  /** Returns and clears the reason why the last header was rejected, including
   * what is allowed. */
  static std::optional<std::string> TakeRejection();

  /** Returns and clears whether the caller waits for a 100 response before it
   * sends its body. */
  static bool TakeContinueWanted();
};

}

namespace restinio::impl {

/** The library's default parser settings with the callback of CallerParser. */
template<>
inline http_parser_settings
create_parser_settings<almondspoke::detail::CallerMethods>() noexcept
{
  http_parser_settings settings =
    create_parser_settings<default_http_methods_t>();
  settings.on_headers_complete =
    &almondspoke::detail::CallerParser::OnHeadersComplete;
  return settings;
}

}
