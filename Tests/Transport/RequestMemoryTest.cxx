#include <chrono>
#include <list>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "Transport/RequestMemory.h"

using namespace almondspoke;
using almondspoke::detail::RequestMemory;

namespace {

constexpr std::size_t kBlock = RequestMemory::kBlockBytes;
/** An eighth of it, 8 blocks, is for small requests only. */
constexpr std::size_t kMaxBytes = 64 * kBlock;
constexpr std::size_t kSmallBlocks = RequestMemory::kSmallRequestBytes / kBlock;
constexpr RequestMemory::Time kStart{};
constexpr std::chrono::seconds kTimeout{ 10 };

/** \brief Records whether and how it was refused. */
class FakeRequest : public RequestMemory::Request
{
public:
  bool MayBeRefused() const override { return mMayBeRefused; }
  void Refuse(std::optional<Error> aError) override
  {
    mIsRefused = true;
    mError = std::move(aError);
  }

  bool mMayBeRefused = true;
  bool mIsRefused = false;
  std::optional<Error> mError;
};

/** \brief One request of a case: its size, and whether its connection has an
 * answer outstanding. */
struct RequestRow
{
  std::size_t mBlocks = 0;
  bool mHasOutstanding = false;
};

struct ExhaustionCase
{
  const char* mName;
  std::vector<RequestRow> mRequests;
  std::size_t mFinishedBlocks;
  /** Index of the request that must be refused; negative for none. */
  int mRefused;
};

const std::vector<ExhaustionCase> kExhaustionCases = {
  { "the account is full to its limit", { { 28 }, { 28 } }, 0, -1 },
  { "a large one grows past the limit", { { 28 }, { 29 } }, 0, 1 },
  { "a smaller one comes last", { { 40 }, { 20 } }, 0, 0 },
  { "the largest of several is refused", { { 10 }, { 30 }, { 17 } }, 0, 1 },
  { "of equal ones the one that asks is refused", { { 29 }, { 29 } }, 0, 1 },
  { "a small one uses the reserve",
    { { 28 }, { 28 }, { kSmallBlocks } },
    0,
    -1 },
  { "a large one may not", { { 28 }, { 27 }, { kSmallBlocks + 1 } }, 0, 0 },
  { "one behind an unanswered request is kept",
    { { 40, true }, { 10 }, { 9 } },
    0,
    1 },
  { "finished ones are kept", { { 9 }, { 10 } }, 44, 1 },
};

}

// Guards against an account that exceeds its limit, or that refuses a request
// while a larger one holds the memory.
TEST_CASE("Request memory: the largest unfinished request is refused")
{
  for (const ExhaustionCase& row : kExhaustionCases) {
    INFO(row.mName);
    RequestMemory memory(kMaxBytes);
    REQUIRE(memory.Acquire(row.mFinishedBlocks * kBlock));
    std::list<FakeRequest> requests;
    int refused = -1;
    for (const RequestRow& request : row.mRequests) {
      requests.emplace_back().mMayBeRefused = !request.mHasOutstanding;
      memory.Update(
        requests.back(), request.mBlocks * kBlock, kStart + kTimeout);
    }
    int index = 0;
    for (FakeRequest& request : requests) {
      if (request.mIsRefused) {
        CHECK(refused < 0);
        refused = index;
        REQUIRE(request.mError);
        CHECK(request.mError->Traits().mHttpStatus == 503);
        CHECK(request.mError->Traits().mRan == Ran::No);
        CHECK(request.mError->RetryAfter());
      }
      ++index;
    }
    CHECK(refused == row.mRefused);
    CHECK(memory.Counters().mRefusedForMemory == (row.mRefused < 0 ? 0U : 1U));
    for (FakeRequest& request : requests) {
      memory.Remove(request);
    }
    CHECK(memory.Counters().mHeldBytes == row.mFinishedBlocks * kBlock);
  }
}

// Guards against answers that clients do not read and that let in ever more
// requests.
TEST_CASE(
  "Request memory: answers that are not read leave no room for requests")
{
  RequestMemory memory(kMaxBytes);
  memory.Hold(2 * kMaxBytes);
  CHECK_FALSE(memory.Acquire(1));
  memory.Release(2 * kMaxBytes);
  CHECK(memory.Acquire(1));
}

// Guards against a request that never ends and keeps its memory.
TEST_CASE("Request memory: a request past its deadline is closed")
{
  std::vector<RequestRefusal> refusals;
  RequestMemory memory(kMaxBytes, [&](const RequestRefusal& aRefusal) {
    refusals.push_back(aRefusal);
  });
  FakeRequest late;
  FakeRequest inTime;
  FakeRequest behind;
  behind.mMayBeRefused = false;
  memory.Update(late, kBlock, kStart + kTimeout);
  memory.Update(inTime, kBlock, kStart + 2 * kTimeout);
  memory.Update(behind, kBlock, kStart + kTimeout);
  memory.RefuseExpired(kStart + kTimeout);
  CHECK(late.mIsRefused);
  CHECK_FALSE(late.mError);
  CHECK_FALSE(inTime.mIsRefused);
  CHECK_FALSE(behind.mIsRefused);
  REQUIRE(refusals.size() == 1);
  CHECK(refusals.front().mLimit == RequestLimit::Time);
  behind.mMayBeRefused = true;
  memory.RefuseExpired(kStart + kTimeout + kTimeout / 2);
  CHECK(behind.mIsRefused);
  for (FakeRequest* request : { &late, &inTime, &behind }) {
    memory.Remove(*request);
  }
  CHECK(memory.Counters().mHeldBytes == 0);
}
