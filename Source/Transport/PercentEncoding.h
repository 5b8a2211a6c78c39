#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace almondspoke {

/** Percent-encodes all characters except the unreserved ones (RFC 3986, 2.1),
 * so that the result can be used as a segment of a URL path. */
std::string
PercentEncode(std::string_view aText);

/** Decodes a percent-encoded text. Returns nothing if an escape is malformed.
 */
std::optional<std::string>
PercentDecode(std::string_view aText);

}
