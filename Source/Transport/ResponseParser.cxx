#include "Transport/ResponseParser.h"

namespace almondspoke::detail {

namespace {

constexpr unsigned kSuccess = 200;

ResponseParser&
OwnerOf(http_parser* aParser)
{
  return *static_cast<ResponseParser*>(aParser->data);
}

}

ResponseParser::ResponseParser(std::size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
{
  Reset();
}

void
ResponseParser::Reset()
{
  http_parser_init(&mParser, HTTP_RESPONSE);
  mParser.data = this;
  mResponse = {};
  mInValue = true;
  mComplete = false;
  mKeepsAlive = false;
  mTooLarge = false;
}

const http_parser_settings&
ResponseParser::Callbacks()
{
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = &ResponseParser::OnBegin;
    callbacks.on_header_field = &ResponseParser::OnField;
    callbacks.on_header_value = &ResponseParser::OnValue;
    callbacks.on_headers_complete = &ResponseParser::OnHeaders;
    callbacks.on_body = &ResponseParser::OnBody;
    callbacks.on_message_complete = &ResponseParser::OnComplete;
    return callbacks;
  }();
  return settings;
}

ResponseParser::State
ResponseParser::Take(std::string_view aBytes)
{
  if (mComplete) {
    return State::Failed;
  }
  const std::size_t taken =
    http_parser_execute(&mParser, &Callbacks(), aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&mParser);
  const bool paused = error == HPE_PAUSED;
  if (mTooLarge || (error != HPE_OK && !paused)) {
    return State::Failed;
  }
  if (!mComplete) {
    return State::Incomplete;
  }
  // When paused, the parser stops before the last byte of the message.
  return taken + 1 >= aBytes.size() ? State::Complete : State::Failed;
}

int
ResponseParser::OnBegin(http_parser* aParser)
{
  OwnerOf(aParser).mResponse = {};
  return 0;
}

int
ResponseParser::OnField(http_parser* aParser,
                        const char* aData,
                        std::size_t aSize)
{
  ResponseParser& self = OwnerOf(aParser);
  if (self.mInValue) {
    self.mResponse.mFields.emplace_back();
    self.mInValue = false;
  }
  self.mResponse.mFields.back().mName.append(aData, aSize);
  return 0;
}

int
ResponseParser::OnValue(http_parser* aParser,
                        const char* aData,
                        std::size_t aSize)
{
  ResponseParser& self = OwnerOf(aParser);
  self.mInValue = true;
  self.mResponse.mFields.back().mValue.append(aData, aSize);
  return 0;
}

int
ResponseParser::OnHeaders(http_parser* aParser)
{
  ResponseParser& self = OwnerOf(aParser);
  self.mResponse.mStatus = static_cast<int>(aParser->status_code);
  self.mInValue = true;
  for (HttpField& field : self.mResponse.mFields) {
    field.mValue.erase(field.mValue.find_last_not_of(" \t") + 1);
  }
  return 0;
}

int
ResponseParser::OnBody(http_parser* aParser,
                       const char* aData,
                       std::size_t aSize)
{
  ResponseParser& self = OwnerOf(aParser);
  if (self.mResponse.mBody.size() + aSize > self.mMaxBytes) {
    self.mTooLarge = true;
    return 1;
  }
  self.mResponse.mBody.append(aData, aSize);
  return 0;
}

int
ResponseParser::OnComplete(http_parser* aParser)
{
  ResponseParser& self = OwnerOf(aParser);
  if (aParser->status_code < kSuccess) {
    // Informational response; the final one follows.
    return 0;
  }
  self.mComplete = true;
  self.mKeepsAlive = http_should_keep_alive(aParser) != 0;
  http_parser_pause(aParser, 1);
  return 0;
}

}
