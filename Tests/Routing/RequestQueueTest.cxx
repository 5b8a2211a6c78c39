#include <catch2/catch.hpp>

#include "Routing/RequestQueue.h"

using namespace almondspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 20;

/** \brief A queue with 20 slots. Started work holds its slot until Finish(). */
class QueueFixture
{
public:
  explicit QueueFixture(QueueOrder aOrder = QueueOrder::Shares,
                        QueueLimits aLimits = { 1000, 8 })
    : mQueue(aOrder, aLimits)
  {
  }

  void Rule(const KindName& aKind, KindRoutingRules aRules)
  {
    mRules.mKinds[aKind] = aRules;
    mQueue.ApplyRules(mRules);
  }

  void Push(const KindName& aKind,
            int aCount,
            UrgencyLevel aUrgency = 0,
            std::chrono::milliseconds aDeadline = 1s)
  {
    for (int i = 0; i < aCount; ++i) {
      mQueue.Push({ mQueue.IndexOf(aKind),
                    aUrgency,
                    Clock::Monotonic(aDeadline),
                    ++mLastId });
    }
  }

  /** Starts work until no more may start. Returns how many pieces started. */
  std::uint32_t StartAll()
  {
    std::uint32_t started = 0;
    while (StartOne()) {
      ++started;
    }
    return started;
  }

  std::optional<QueueKey> StartOne()
  {
    const auto next = mQueue.Next({ kSlots, kSlots - mInUse }, {});
    if (next) {
      mQueue.Start(*next, 0.1);
      ++mInUse;
    }
    return next;
  }

  void Finish(const KindName& aKind)
  {
    mQueue.Finish(mQueue.IndexOf(aKind));
    --mInUse;
  }

  std::uint32_t InUse(const KindName& aKind)
  {
    return mQueue.InUse(mQueue.IndexOf(aKind));
  }

  RoutingRules mRules;
  RequestQueue mQueue;
  std::uint32_t mInUse = 0;
  WorkId mLastId = 0;
};

}

TEST_CASE("RequestQueue: no kind exceeds its ceiling, whatever its urgency")
{
  struct Row
  {
    const char* mKind;
    UrgencyLevel mUrgency;
    double mCeiling;
    std::uint32_t mExpected;
  };
  const Row row = GENERATE(values<Row>({
    { "preview", 5, 0.4, 8 },
    { "quote", 0, 0.6, 12 },
    { "quote", 0, 1.0, 20 },
    { "quote", 0, 0.01, 1 },
  }));
  QueueFixture fixture;
  fixture.Rule(row.mKind, { 0, row.mCeiling, 1, std::nullopt, false });
  fixture.Push(row.mKind, 100, row.mUrgency);
  CAPTURE(row.mKind, row.mCeiling);
  CHECK(fixture.StartAll() == row.mExpected);
}

TEST_CASE("RequestQueue: a reserve stays free for its kind")
{
  QueueFixture fixture;
  fixture.Rule("confirmation", { 0.25, 1, 1, std::nullopt, false });
  fixture.Push("quote", 100, 0);
  CHECK(fixture.StartAll() == 15);
  fixture.Push("confirmation", 100, 7);
  CHECK(fixture.StartAll() == 5);
  CHECK(fixture.InUse("confirmation") == 5);
  fixture.Finish("quote");
  REQUIRE(fixture.StartOne());
  CHECK(fixture.InUse("quote") == 15);
}

TEST_CASE("RequestQueue: half of an unused reserve is lent to a kind slightly "
          "above its own")
{
  struct Row
  {
    double mReserve;
    double mIdleReserve;
    std::uint32_t mExpected;
    bool mHasBorrowed;
  };
  // Quotes hold 8 of the 20 slots.
  const Row row = GENERATE(values<Row>({
    { 0, 0.4, 4, false },
    { 0.2, 0.4, 6, true },
    { 0.2, 0.2, 8, false },
    { 0.1, 0.6, 3, true },
    { 0.3, 0.3, 9, true },
  }));
  QueueFixture fixture;
  fixture.Rule("confirmation", { row.mIdleReserve, 1, 1, std::nullopt, false });
  fixture.Rule("preview", { row.mReserve, 1, 1, std::nullopt, false });
  fixture.Rule("quote", { 0, 0.4, 1, std::nullopt, false });
  fixture.Push("quote", 8, 0);
  fixture.StartAll();
  fixture.Push("preview", 100, 5);
  fixture.StartAll();
  CAPTURE(row.mReserve, row.mIdleReserve);
  CHECK(fixture.InUse("preview") == row.mExpected);
  // The kind whose reserve was lent gets the remaining slots immediately, and
  // the next slot that is released.
  fixture.Push("confirmation", 100, 7);
  fixture.StartAll();
  CHECK(fixture.mInUse == kSlots);
  const std::uint32_t lender = fixture.InUse("confirmation");
  fixture.Finish("preview");
  REQUIRE(fixture.StartOne());
  CHECK(fixture.InUse("confirmation") == lender + (row.mHasBorrowed ? 1 : 0));
}

TEST_CASE("RequestQueue: kinds of equal urgency share slots by weight")
{
  QueueFixture fixture;
  fixture.Rule("quote", { 0, 1, 3, std::nullopt, false });
  fixture.Rule("preview", { 0, 1, 1, std::nullopt, false });
  fixture.Push("quote", 500, 2);
  fixture.Push("preview", 500, 2);
  std::map<KindIndex, int> started;
  for (int i = 0; i < 400; ++i) {
    const auto key = fixture.StartOne();
    REQUIRE(key);
    ++started[key->mKind];
    fixture.mQueue.Finish(key->mKind);
    --fixture.mInUse;
  }
  CHECK(started[fixture.mQueue.IndexOf("quote")] >= 295);
  CHECK(started[fixture.mQueue.IndexOf("quote")] <= 305);
}

TEST_CASE("RequestQueue: urgent work goes first without starving other work")
{
  QueueFixture fixture;
  fixture.Push("preview", 100, 5);
  fixture.Push("quote", 400, 0);
  int previews = 0;
  for (int i = 0; i < 160; ++i) {
    const auto key = fixture.StartOne();
    REQUIRE(key);
    previews += key->mUrgency == 5 ? 1 : 0;
    fixture.mQueue.Finish(key->mKind);
    --fixture.mInUse;
  }
  CHECK(previews >= 8);
  CHECK(previews <= 12);
}

TEST_CASE("RequestQueue: the length is limited per kind and in total")
{
  QueueFixture fixture(QueueOrder::Shares, { 100, 8 });
  fixture.Rule("preview", { 0, 0.4, 1, std::nullopt, false });
  const KindIndex preview = fixture.mQueue.IndexOf("preview");
  const KindIndex quote = fixture.mQueue.IndexOf("quote");
  fixture.Push("preview", 40);
  CHECK(fixture.mQueue.CheckCapacity(preview) == ErrorKind::KindCeilingReached);
  CHECK_FALSE(fixture.mQueue.CheckCapacity(quote));
  fixture.Push("quote", 60);
  CHECK(fixture.mQueue.CheckCapacity(quote) == ErrorKind::QueueFull);
  CHECK(fixture.mQueue.CheckCapacity(preview) == ErrorKind::KindCeilingReached);
}

TEST_CASE("RequestQueue: kinds beyond the maximum share one entry")
{
  QueueFixture fixture(QueueOrder::Shares, { 100, 4 });
  for (int i = 0; i < 100; ++i) {
    fixture.mQueue.IndexOf("kind" + std::to_string(i));
  }
  CHECK(fixture.mQueue.KindCount() == 4);
  CHECK(fixture.mQueue.IndexOf("kind99") == fixture.mQueue.IndexOf("kind50"));
}

TEST_CASE("RequestQueue: removed work is removed from all indexes")
{
  const QueueOrder order = GENERATE(QueueOrder::Shares, QueueOrder::Arrival);
  QueueFixture fixture(order);
  fixture.Push("quote", 1);
  const QueueKey key = *fixture.mQueue.Next({ 1, 1 }, {});
  CHECK(fixture.mQueue.Remove(key));
  CHECK_FALSE(fixture.mQueue.Remove(key));
  CHECK_FALSE(fixture.mQueue.Next({ 1, 1 }, {}));
  CHECK(fixture.mQueue.Expired(Clock::Monotonic(2s), 10).empty());
  CHECK(fixture.mQueue.Length() == 0);
}

TEST_CASE("RequestQueue: order by arrival ignores urgency and deadline")
{
  QueueFixture fixture(QueueOrder::Arrival);
  fixture.Push("preview", 1, 7, 9s);
  fixture.Push("quote", 1, 0, 1s);
  CHECK(fixture.StartOne()->mId == 1);
  CHECK(fixture.StartOne()->mId == 2);
}
