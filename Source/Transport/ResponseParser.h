#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "Transport/HttpMessage.h"

namespace almondspoke::detail {

/** \brief Reads one response after the other from the bytes of a connection.
 *
 * A response whose end only the end of the connection would show is not taken
 * as complete. */
class ResponseParser
{
public:
  enum class State
  {
    Incomplete,
    Complete,
    /** No HTTP response, or one over the limit. */
    Failed
  };

  /** \param aMaxBytes limit of a response's body */
  explicit ResponseParser(std::size_t aMaxBytes);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /** Begins with the next response. */
  void Reset();
  /** Takes bytes; those after a complete response make it fail. */
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
