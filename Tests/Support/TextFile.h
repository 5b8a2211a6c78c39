#pragma once

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace almondspoke::testing {

/** Returns the content of a file; throws if it cannot be read. */
inline std::string
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw std::runtime_error("cannot read " + aPath);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}
