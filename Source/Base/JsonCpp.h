#pragma once

#include <memory>
#include <string>

#include <json/json.h>

namespace almondspoke {

/** Parses JSON for the JSON-RPC library, which uses JsonCpp values. Returns
 * null if the text is not valid JSON. Files compiled as C++14 include this
 * header. */
inline Json::Value
ParseJsonCpp(const std::string& aText)
{
  Json::Value value;
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  reader->parse(aText.data(), aText.data() + aText.size(), &value, nullptr);
  return value;
}

}
