#include <catch2/catch.hpp>

#include "Base/IniFile.h"

using namespace almondspoke;

TEST_CASE("IniFile: entries have their section and line number")
{
  const auto file =
    ParseIni("a.ini", "; note\n[one]\nkey = value\n\n[two]\nk=v\n");
  REQUIRE(file.has_value());
  REQUIRE(file.value().mEntries.size() == 2);
  CHECK(file.value().mEntries[0].mSection == "one");
  CHECK(file.value().mEntries[0].mValue == "value");
  CHECK(file.value().mEntries[0].mLine == 3);
  CHECK(file.value().mEntries[1].mLine == 6);
}

TEST_CASE("IniFile: the error for a malformed line names the line")
{
  const auto file = ParseIni("a.ini", "[one]\nkey = value\nno value here\n");
  REQUIRE(file.has_error());
  CHECK(file.error().Kind() == ErrorKind::InvalidSettings);
  CHECK(file.error().Message().find("a.ini:3:") == 0);
}

TEST_CASE("IniFile: the error for a missing file names the file")
{
  const auto file = ReadIniFile("/no/such/file.ini");
  REQUIRE(file.has_error());
  CHECK(file.error().Message().find("/no/such/file.ini") == 0);
}
