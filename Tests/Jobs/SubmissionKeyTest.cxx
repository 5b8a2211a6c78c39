#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Jobs/HomeDataCentres.h"
#include "Jobs/SubmissionKey.h"

using namespace almondspoke;

namespace {

const HomeDataCentres kHomes("zagreb", { "sisak", "karlovac", "zagreb" });

struct BadKey
{
  std::string mText;
  ErrorKind mKind;
};

}

TEST_CASE("Submission key: the home and the key epoch are parsed")
{
  struct Row
  {
    std::string mText;
    DataCentreName mHome;
    std::uint32_t mEpoch;
  };
  const std::vector<Row> rows = {
    { "zagreb:order-1", "zagreb", 0 },
    { "sisak:@17-order-1", "sisak", 17 },
    { "sisak:", "sisak", 0 },
    { "sisak:a:@3-b", "sisak", 0 },
  };
  for (const Row& row : rows) {
    INFO(row.mText);
    const auto key = SubmissionKey::Parse(row.mText, kHomes);
    REQUIRE(key);
    CHECK(key.value().Home() == row.mHome);
    CHECK(key.value().Epoch() == row.mEpoch);
    CHECK(key.value().Text() == row.mText);
  }
}

TEST_CASE("Submission key: an invalid key is refused")
{
  const std::vector<BadKey> rows = {
    { "", ErrorKind::KeyRequired },
    { std::string(kMaxKeyBytes + 1, 'k'), ErrorKind::KeyInvalid },
    { std::string(10'240, 'k'), ErrorKind::KeyInvalid },
    { "two words", ErrorKind::KeyInvalid },
    { std::string("nul\0byte", 8), ErrorKind::KeyInvalid },
    { "\xff\xfe", ErrorKind::KeyInvalid },
    { "zagreb:@", ErrorKind::KeyInvalid },
    { "zagreb:@17", ErrorKind::KeyInvalid },
    { "zagreb:@0-a", ErrorKind::KeyInvalid },
    { "zagreb:@-1-a", ErrorKind::KeyInvalid },
    { "zagreb:@99999999999-a", ErrorKind::KeyInvalid },
    { "zagreb:@x-a", ErrorKind::KeyInvalid },
  };
  for (const BadKey& row : rows) {
    INFO(row.mText.substr(0, 40));
    const auto key = SubmissionKey::Parse(row.mText, kHomes);
    REQUIRE_FALSE(key);
    CHECK(key.error().Kind() == row.mKind);
  }
  CHECK(SubmissionKey::Parse(std::string(kMaxKeyBytes, 'k'), kHomes));
}

TEST_CASE(
  "Submission key: a key without a home gets the same home at all instances")
{
  const HomeDataCentres other("sisak", { "zagreb", "karlovac" });
  std::map<DataCentreName, int> keysOf;
  for (int index = 0; index < 3000; ++index) {
    const std::string text = "order-" + std::to_string(index);
    const auto here = SubmissionKey::Parse(text, kHomes);
    const auto there = SubmissionKey::Parse(text, other);
    REQUIRE(here.value().Home() == there.value().Home());
    ++keysOf[here.value().Home()];
  }
  for (const DataCentreName& home : kHomes.All()) {
    CHECK(keysOf[home] > 800);
    CHECK(keysOf[home] < 1200);
  }
}

TEST_CASE("Submission key: an issued prefix can be parsed")
{
  const auto key =
    SubmissionKey::Parse(KeyPrefix("karlovac", 42) + "a", kHomes);
  REQUIRE(key);
  CHECK(key.value().Home() == "karlovac");
  CHECK(key.value().Epoch() == 42);
}
