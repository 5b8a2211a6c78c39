#pragma once

#include <cstddef>
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

  /** \name Parser callbacks that count the memory of the ArrivingRequest that
   * the current thread parses. */
  /**@{*/
  static int OnMessageBegin(http_parser* aParser);
  static int OnUrl(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnField(http_parser* aParser,
                     const char* aText,
                     std::size_t aSize);
  static int OnValue(http_parser* aParser,
                     const char* aText,
                     std::size_t aSize);
  static int OnBody(http_parser* aParser, const char* aText, std::size_t aSize);
  /**@}*/

  /** Parser callback for the start of a chunk. The library's own keeps a record
   * of each chunk, which takes many times the memory of a chunk of one byte. */
  static int OnChunkHeader(http_parser* aParser);

  /** Returns and clears the reason why the last header was rejected, including
   * what is allowed. */
  static std::optional<std::string> TakeRejection();

  /** Returns and clears whether the caller waits for a 100 response before it
   * sends its body. */
  static bool TakeContinueWanted();
};

}

namespace restinio::impl {

/** The library's default parser settings with the callbacks of CallerParser. */
template<>
inline http_parser_settings
create_parser_settings<almondspoke::detail::CallerMethods>() noexcept
{
  http_parser_settings settings =
    create_parser_settings<default_http_methods_t>();
  settings.on_headers_complete =
    &almondspoke::detail::CallerParser::OnHeadersComplete;
  settings.on_message_begin =
    &almondspoke::detail::CallerParser::OnMessageBegin;
  settings.on_url = &almondspoke::detail::CallerParser::OnUrl;
  settings.on_header_field = &almondspoke::detail::CallerParser::OnField;
  settings.on_header_value = &almondspoke::detail::CallerParser::OnValue;
  settings.on_body = &almondspoke::detail::CallerParser::OnBody;
  settings.on_chunk_header = &almondspoke::detail::CallerParser::OnChunkHeader;
  return settings;
}

}
