#include <cstddef>
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "Controllers/TextDelta.h"

using namespace almondspoke;

namespace {

struct EditCase
{
  const char* mName;
  const char* mBase;
  const char* mResult;
  std::size_t mEdits;
};

const EditCase kEditCases[] = {
  { "nothing changed", "a\nb\n", "a\nb\n", 0 },
  { "both empty", "", "", 0 },
  { "first text", "", "a\nb\n", 1 },
  { "all removed", "a\nb\n", "", 1 },
  { "line added in front", "b\nc\n", "a\nb\nc\n", 1 },
  { "line added in the middle", "a\nc\n", "a\nb\nc\n", 1 },
  { "line added at the end", "a\nb\n", "a\nb\nc\n", 1 },
  { "line removed in front", "a\nb\nc\n", "b\nc\n", 1 },
  { "line removed at the end", "a\nb\nc\n", "a\nb\n", 1 },
  { "line changed", "a\nb\nc\n", "a\nx\nc\n", 1 },
  { "two lines changed", "a\nb\nc\nd\ne\n", "x\nb\nc\nd\ny\n", 2 },
  { "line moved down", "a\nb\nc\nd\n", "b\nc\nd\na\n", 2 },
  { "one of equal lines removed", "a\nx\nx\nb\n", "a\nx\nb\n", 1 },
  { "equal lines added", "a\nb\n", "a\nx\nx\nb\n", 1 },
  { "line end at the end added", "a\nb", "a\nb\n", 1 },
  { "line end at the end removed", "a\nb\n", "a\nb", 1 },
  { "line added after one without an end", "a\nb", "a\nb\nc", 1 },
  { "only line ends", "\n\n\n", "\n", 1 },
  { "other line ends", "a\nb\n", "a\r\nb\r\n", 1 },
};

TextDelta
DeltaOf(std::vector<LineEdit> aEdits, const std::string& aResult)
{
  TextDelta delta;
  delta.mEdits = std::move(aEdits);
  delta.mResultHash = HashOf(aResult);
  delta.mResultBytes = aResult.size();
  return delta;
}

void
CheckRoundTrip(const std::string& aBase, const std::string& aResult)
{
  for (const TextDelta& delta :
       { DiffLines(aBase, aResult), DiffRange(aBase, aResult) }) {
    const Result<std::string> result = ApplyDelta(aBase, delta);
    REQUIRE(result);
    CHECK(result.value() == aResult);
    const Result<std::string> back =
      ApplyDelta(aResult, InvertDelta(aBase, delta));
    REQUIRE(back);
    CHECK(back.value() == aBase);
  }
}

}

TEST_CASE("Text delta: applying it and its inverse restores the base")
{
  for (const EditCase& each : kEditCases) {
    INFO(each.mName);
    CheckRoundTrip(each.mBase, each.mResult);
    CHECK(DiffLines(each.mBase, each.mResult).mEdits.size() == each.mEdits);
    CHECK(DiffRange(each.mBase, each.mResult).mEdits.size() <= 1);
  }
}

TEST_CASE("Text delta: random texts with few distinct lines")
{
  std::mt19937 random(7);
  const auto draw = [&random](unsigned aBelow) { return random() % aBelow; };
  const auto text = [&draw] {
    std::string lines;
    for (unsigned line = draw(12); line > 0; --line) {
      lines += std::string(1, static_cast<char>('a' + draw(6))) + "\n";
    }
    return draw(4) == 0 ? lines + "end" : lines;
  };
  for (int round = 0; round < 2000; ++round) {
    CheckRoundTrip(text(), text());
  }
}

TEST_CASE("Text delta: changing one of many lines takes the size of one line")
{
  std::string base;
  for (int line = 0; line < 2500; ++line) {
    base += "quota team-" + std::to_string(line) + " 64 slots # north crew\n";
  }
  std::string result = base;
  result.replace(result.find("team-9 64"), 9, "team-9 32");
  result.replace(result.find("team-2000 64"), 12, "team-2000 16");
  CHECK(SizeOf(DiffLines(base, result)) < 300);
  CHECK(SizeOf(DiffRange(base, result)) > 50000);
}

TEST_CASE("Text delta: edits that are not valid for the base are rejected")
{
  const std::string base = "a\nb\nc";
  const TextDelta misfits[] = {
    DeltaOf({ { 4, 0, "x\n" } }, base),
    DeltaOf({ { 3, 1, "" } }, base),
    DeltaOf({ { 0, 4, "" } }, base),
    DeltaOf({ { ~0U, ~0U, "x\n" } }, base),
    DeltaOf({ { 1, 0, "" } }, base),
    // Overlapping and out of order.
    DeltaOf({ { 0, 2, "x\n" }, { 1, 1, "y\n" } }, base),
    DeltaOf({ { 2, 1, "x" }, { 0, 1, "y\n" } }, base),
    // A line without a line break that would be joined with the next line.
    DeltaOf({ { 1, 1, "x" } }, "a\nxc"),
    DeltaOf({ { 3, 0, "x\n" } }, "a\nb\ncx\n"),
    // Valid edits whose result differs from the expected one.
    DeltaOf({ { 0, 1, "x\n" } }, base),
    DeltaOf({}, "a\nb\nd"),
  };
  for (const TextDelta& misfit : misfits) {
    const Result<std::string> result = ApplyDelta(base, misfit);
    REQUIRE_FALSE(result);
    CHECK(result.error().Kind() == ErrorKind::InvalidArgument);
  }
  TextDelta wrongSize = DeltaOf({}, base);
  ++wrongSize.mResultBytes;
  CHECK_FALSE(ApplyDelta(base, wrongSize));
}
