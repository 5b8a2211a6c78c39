#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Daemon/Settings.h"

namespace almondspoke {

/** Parses "250ms", "5s", "2m" or "1h". */
std::optional<std::chrono::milliseconds>
ParseDuration(std::string_view aText);

/** Parses "512B", "64KiB", "16MiB" or "1GiB". */
std::optional<std::size_t>
ParseSize(std::string_view aText);

/** Parses an unsigned decimal number. */
std::optional<std::size_t>
ParseCount(std::string_view aText);

/** Parses "127.0.0.1:8080" or "[::1]:8080"; host names are not allowed. */
std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText);

/** Parses "127.0.0.0/8". */
std::optional<NetworkSettings>
ParseNetwork(std::string_view aText);

/** True for 1 to 64 letters, digits, '.', '_' or '-'. */
bool
IsName(const std::string& aText);

/** Splits at the separator and trims each part; empty parts are kept. */
std::vector<std::string>
Split(std::string_view aText, char aSeparator);

/** Splits at runs of spaces; empty words are dropped. */
std::vector<std::string>
SplitWords(std::string_view aText);

/** Formats a duration in the largest unit that divides it evenly. */
std::string
FormatDuration(std::chrono::milliseconds aDuration);

/** Formats a size in the largest unit that divides it evenly. */
std::string
FormatSize(std::size_t aBytes);

}
