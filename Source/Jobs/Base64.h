#pragma once

#include <optional>
#include <string>

namespace almondspoke {

/** Encodes bytes as base64 with padding. */
std::string
EncodeBase64(const std::string& aBytes);

/** Decodes base64 with padding. Returns nothing if the text is malformed. */
std::optional<std::string>
DecodeBase64(const std::string& aText);

}
