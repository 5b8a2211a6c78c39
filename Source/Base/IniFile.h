#pragma once

#include <string>
#include <vector>

#include "Base/Result.h"

namespace almondspoke {

/** \brief One `key = value` entry of an INI file with its line number. */
struct IniEntry
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

/** \brief The entries of an INI file, in the order of the file. */
struct IniFile
{
  std::string mPath;
  std::vector<IniEntry> mEntries;
};

/** Reads and parses an INI file. Errors are InvalidSettings; a syntax error
 * names the file and the line. */
Result<IniFile>
ReadIniFile(const std::string& aPath);

/** Parses INI text. aPath is stored in the result and used in error messages.
 */
Result<IniFile>
ParseIni(const std::string& aPath, const std::string& aText);

}
