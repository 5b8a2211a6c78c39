#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "Base/Error.h"

using namespace almondspoke;

TEST_CASE("Error table: kinds are in enumeration order and have unique names")
{
  std::set<std::string> names;
  int index = 0;
  for (const ErrorTraits& traits : AllErrorTraits()) {
    CHECK(static_cast<int>(traits.mKind) == index++);
    CHECK(names.insert(std::string(traits.mName)).second);
    CHECK(ErrorKindOf(traits.mName) == traits.mKind);
    CHECK(traits.mHttpStatus >= 400);
    CHECK(traits.mHttpStatus < 600);
    CHECK(traits.mExitCode >= 1);
    CHECK(traits.mExitCode <= 6);
  }
  CHECK(index == static_cast<int>(ErrorKind::Internal) + 1);
}

TEST_CASE("Error table: the traits of all kinds match the expected file")
{
  std::ostringstream actual;
  for (const ErrorTraits& traits : AllErrorTraits()) {
    actual << traits.mName << ' ' << traits.mHttpStatus << ' '
           << NameOf(traits.mRan) << ' ' << traits.mExitCode << '\n';
  }
  std::ifstream file("ErrorTable.expected");
  std::ostringstream expected;
  expected << file.rdbuf();
  CHECK(actual.str() == expected.str());
}

TEST_CASE("Error: ErrorFromJson restores the error written by ToJson")
{
  for (const ErrorTraits& traits : AllErrorTraits()) {
    const Error error(
      traits.mKind, "a \"quoted\" text", std::chrono::seconds(2));
    const auto parsed = ErrorFromJson(error.ToJson());
    REQUIRE(parsed);
    CHECK(parsed->Kind() == traits.mKind);
    CHECK(parsed->Message() == error.Message());
    CHECK(parsed->RetryAfter() == error.RetryAfter());
  }
  CHECK_FALSE(ErrorFromJson("{}"));
  CHECK_FALSE(ErrorFromJson("{\"error\":{\"kind\":\"no such kind\"}}"));
  CHECK_FALSE(ErrorFromJson("not json"));
}

TEST_CASE("Error: a message with invalid UTF-8 still yields a JSON body")
{
  const Error error(ErrorKind::InvalidArgument, "\xff\xfe");
  CHECK(ErrorFromJson(error.ToJson()));
}
