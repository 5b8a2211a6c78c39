#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace almondspoke::testing {

/** Returns the value of the first series of a metric in the text of /metrics,
 * or nothing if there is no such series. The name is without the prefix
 * almondspoke_. */
inline std::optional<long>
MetricValue(const std::string& aText, const std::string& aName)
{
  const std::size_t series = aText.find("\nalmondspoke_" + aName + '{');
  if (series == std::string::npos) {
    return std::nullopt;
  }
  return std::stol(aText.substr(aText.find("} ", series) + 2));
}

}
