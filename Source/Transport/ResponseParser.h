#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "Transport/HttpMessage.h"

namespace almondspoke::detail {

/** \brief Parses the successive responses of a connection.
 *
 * A response that is delimited only by the end of the connection is not treated
 * as complete. */
class ResponseParser
{
public:
  enum class State
  {
    Incomplete,
    Complete,
    /** The response is not valid HTTP or exceeds the size limit. */
    Failed
  };

  /** \param aMaxBytes limit of a response's body */
  explicit ResponseParser(std::size_t aMaxBytes);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /** Prepares for the next response. */
  void Reset();
  /** Parses more bytes. Bytes after a complete response are an error. */
  State Take(std::string_view aBytes);

  /** The response, once it is complete. */
  HttpResponse TakeResponse() { return std::move(mResponse); }
  /** Whether the connection may carry another request. */
  bool KeepsAlive() const { return mKeepsAlive; }
  bool IsTooLarge() const { return mTooLarge; }

private:
  static int OnBegin(http_parser* aParser);
  static int OnField(http_parser* aParser,
                     const char* aData,
                     std::size_t aSize);
  static int OnValue(http_parser* aParser,
                     const char* aData,
                     std::size_t aSize);
  static int OnHeaders(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aData, std::size_t aSize);
  static int OnComplete(http_parser* aParser);
  static const http_parser_settings& Callbacks();

  const std::size_t mMaxBytes;
  http_parser mParser{};
  HttpResponse mResponse;
  bool mInValue = true;
  bool mComplete = false;
  bool mKeepsAlive = false;
  bool mTooLarge = false;
};

}
