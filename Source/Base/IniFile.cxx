#include "Base/IniFile.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include <ini.h>

namespace almondspoke {

namespace {

// inih does not pass line numbers to its callbacks, so ReadLine() counts lines.
struct ParseState
{
  std::istringstream mText;
  int mLine = 0;
  IniFile mFile;
};

char*
ReadLine(char* aBuffer, int aSize, void* aState)
{
  auto& state = *static_cast<ParseState*>(aState);
  std::string line;
  if (!std::getline(state.mText, line)) {
    return nullptr;
  }
  ++state.mLine;
  line += '\n';
  const std::size_t length =
    std::min(line.size(), static_cast<std::size_t>(aSize - 1));
  std::memcpy(aBuffer, line.data(), length);
  aBuffer[length] = '\0';
  return aBuffer;
}

int
StoreEntry(void* aState,
           const char* aSection,
           const char* aKey,
           const char* aValue)
{
  auto& state = *static_cast<ParseState*>(aState);
  state.mFile.mEntries.push_back(
    { aSection, aKey, aValue == nullptr ? "" : aValue, state.mLine });
  return 1;
}

}

Result<IniFile>
ReadIniFile(const std::string& aPath)
{
  std::ifstream input(aPath, std::ios::binary);
  if (!input) {
    return Error(ErrorKind::InvalidSettings,
                 aPath + ": cannot be read: " + std::strerror(errno));
  }
  std::ostringstream text;
  text << input.rdbuf();
  return ParseIni(aPath, text.str());
}

Result<IniFile>
ParseIni(const std::string& aPath, const std::string& aText)
{
  ParseState state;
  state.mText.str(aText);
  state.mFile.mPath = aPath;
  const int firstBadLine =
    ini_parse_stream(ReadLine, &state, StoreEntry, &state);
  if (firstBadLine != 0) {
    return Error(ErrorKind::InvalidSettings,
                 aPath + ":" + std::to_string(firstBadLine) +
                   ": not a section, a comment or `key = value`");
  }
  return std::move(state.mFile);
}

}
