#include <catch2/catch.hpp>

#include "FilterFakes.h"
#include "Filters/ClassifyFilter.h"
#include "Filters/IdentifyFilter.h"
#include "Filters/SpillFilter.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;

namespace {

/** \brief Returns candidates set by the test and records the reservations. */
class FakeSpillTargets : public SpillTargets
{
public:
  void Find(const ServiceName&, Done aDone) override
  {
    ++mFindCount;
    aDone(mReports);
  }
  bool TryReserve(const ServiceName&, const InstanceName& aInstance) override
  {
    mReservations.push_back(aInstance);
    return aInstance != mFullInstance;
  }
  void ReleaseReservation(const ServiceName&,
                          const InstanceName&,
                          bool aHasCapacity) override
  {
    mReleasedWithCapacity.push_back(aHasCapacity);
  }

  int mFindCount = 0;
  InstanceName mFullInstance;
  std::vector<SpillCandidate> mReports = {
    { "riga-1", "riga", "127.0.0.1:1", 2ms, 5 },
    { "riga-2", "riga", "127.0.0.1:2", 2ms, 3 },
  };
  std::vector<InstanceName> mReservations;
  std::vector<bool> mReleasedWithCapacity;
};

/** \brief A spill filter in the data centre zagreb. */
struct SpillCase : FilterCase
{
  explicit SpillCase(HttpFields aFields = {})
    : FilterCase(std::move(aFields))
  {
    mScheduler.mHasEndpoint = false;
    mContext->mTarget = "/quote?a=1";
  }

  void Apply() { mFilter.Apply(mContext, Next()); }
  void End(TransferOutcome aOutcome, int aStatus = 200)
  {
    AttemptResult result;
    result.mOutcome = aOutcome;
    result.mErrorKind = ErrorKind::ConnectionLost;
    result.mResponse = { aStatus, {}, "answer" };
    mClient.mDone.back()(result);
  }
  const HttpAttempt& Sent() const { return mClient.mAttempts.back(); }

  FakeScheduler mScheduler;
  FakeSpillTargets mTargets;
  FakeHttpClient mClient;
  FakeDecisions mDecisions;
  SpillCounters mCounters;
  SpillFilter mFilter{
    { "zagreb", mClock, mScheduler, mTargets, mClient, mDecisions, mCounters }
  };
};

}

TEST_CASE("Spill filter: forwards only local requests without a local "
          "endpoint")
{
  SpillCase local;
  local.mScheduler.mHasEndpoint = true;
  local.Apply();
  CHECK(local.mPassed == 1);
  CHECK(local.mTargets.mFindCount == 0);

  SpillCase arrived;
  arrived.mContext->mSpillOrigin = SpillOrigin{ "riga", "r7" };
  arrived.Apply();
  CHECK(arrived.mPassed == 1);
  CHECK(arrived.mTargets.mFindCount == 0);
  REQUIRE(arrived.mDecisions.mDecisions.size() == 1);
  CHECK(arrived.mDecisions.mDecisions[0].mReason.find("'r7'") !=
        std::string::npos);

  SpillCase noRoom;
  noRoom.mTargets.mReports.clear();
  noRoom.Apply();
  CHECK(noRoom.mPassed == 1);
  CHECK(noRoom.mClient.mAttempts.empty());
  CHECK(noRoom.mCounters.mWithoutCapacity == 1);
}

TEST_CASE("Spill filter: forwards the body, the key in the spill field and "
          "the remaining time")
{
  for (const bool idempotent : { false, true }) {
    SpillCase one;
    one.mContext->mIdempotent = idempotent;
    one.mContext->mKey = "zagreb:1";
    one.mContext->mForwardFields = { { "Idempotency-Key", "zagreb:1" },
                                     { "X", "1" } };
    one.Apply();
    REQUIRE(one.mClient.mAttempts.size() == 1);
    const HttpFields& fields = one.Sent().mFields;
    CHECK(one.Sent().mAddress == "127.0.0.1:1");
    CHECK(one.Sent().mTarget == "/v1/services/booking/quote?a=1");
    CHECK(*one.Sent().mBody == "work");
    CHECK(one.Sent().mUseNewConnection == !idempotent);
    CHECK(FindField(fields, "Idempotency-Key") == nullptr);
    CHECK(*FindField(fields, "Almondspoke-Spilled-Key") == "zagreb:1");
    CHECK(*FindField(fields, "Almondspoke-Spilled-From") == "zagreb");
    CHECK(*FindField(fields, "Almondspoke-Idempotent") ==
          (idempotent ? "true" : "false"));
    CHECK(*FindField(fields, "Almondspoke-Timeout-Ms") == "9998");
    CHECK(*FindField(fields, "X") == "1");
    one.End(TransferOutcome::Answered, 418);
    CHECK(one.mExchange->mResponse->mStatus == 418);
    CHECK(one.mExchange->mResponse->mBody == "answer");
  }
}

TEST_CASE("Spill filter: results of attempts without an answer")
{
  struct Row
  {
    TransferOutcome mFirst;
    bool mIdempotent;
    std::size_t mAttempts;
    TransferOutcome mSecond;
    /** nullopt if the request is passed on, to be refused by the scheduler. */
    std::optional<ErrorKind> mAnswer;
  };
  using T = TransferOutcome;
  for (const Row& row : {
         Row{ T::RefusedNotRun, false, 2, T::RefusedNotRun, {} },
         Row{ T::NotSent, false, 2, T::NotSent, {} },
         Row{ T::RefusedNotRun,
              false,
              2,
              T::MayHaveRun,
              ErrorKind::ConnectionLost },
         Row{ T::MayHaveRun, false, 1, T::NotSent, ErrorKind::ConnectionLost },
         Row{ T::MayHaveRun, true, 2, T::NotSent, ErrorKind::ConnectionLost },
       }) {
    SpillCase one;
    one.mContext->mIdempotent = row.mIdempotent;
    one.Apply();
    one.End(row.mFirst);
    REQUIRE(one.mClient.mAttempts.size() == row.mAttempts);
    if (row.mAttempts == 2) {
      CHECK(one.Sent().mAddress == "127.0.0.1:2");
      one.End(row.mSecond);
    }
    CHECK(one.AnsweredKind() == row.mAnswer);
    CHECK(one.mPassed == (row.mAnswer ? 0 : 1));
    CHECK(one.mClient.mAttempts.size() == row.mAttempts);
    CHECK(one.mTargets.mReleasedWithCapacity.size() == row.mAttempts);
    CHECK_FALSE(one.mTargets.mReleasedWithCapacity[0]);
  }
}

TEST_CASE("Spill filter: the retry budget limits second attempts")
{
  SpillCase budget;
  int second = 0;
  for (int i = 0; i < 20; ++i) {
    SpillCase one;
    budget.mFilter.Apply(one.mContext, one.Next());
    const std::size_t sent = budget.mClient.mAttempts.size();
    budget.End(TransferOutcome::RefusedNotRun);
    if (budget.mClient.mAttempts.size() > sent) {
      ++second;
      budget.End(TransferOutcome::RefusedNotRun);
    }
  }
  CHECK(second >= 1);
  CHECK(second <= 3);
}

TEST_CASE("Spill filter: nothing is sent without a valid claim, capacity and "
          "time")
{
  SpillCase leaseLost;
  const auto claim = std::make_shared<FakeClaim>();
  claim->mStartError = Error(ErrorKind::LeaseExpired, "lost");
  leaseLost.mContext->mClaim = claim;
  leaseLost.Apply();
  CHECK(leaseLost.AnsweredKind() == ErrorKind::LeaseExpired);
  CHECK(leaseLost.mTargets.mReleasedWithCapacity == std::vector<bool>{ true });

  SpillCase late;
  late.mClock.Advance(9999ms);
  late.Apply();
  CHECK(late.mPassed == 1);

  SpillCase taken;
  taken.mTargets.mFullInstance = "riga-1";
  taken.Apply();
  CHECK(taken.Sent().mAddress == "127.0.0.1:2");
  CHECK(leaseLost.mClient.mAttempts.size() + late.mClient.mAttempts.size() ==
        0);
}

TEST_CASE("Spilled request: the endpoint gets the key, and a refusal states "
          "that the work did not run")
{
  FakeRules rules;
  FilterCase one(HttpFields{ { "Almondspoke-Spilled-From", "zagreb" },
                             { "Almondspoke-Spilled-Key", "zagreb:1" },
                             { "Almondspoke-Request-Id", "r7" } });
  IdentifyFilter(rules).Apply(one.mContext, one.Next());
  ClassifyFilter(one.mClock, 10s).Apply(one.mContext, one.Next());
  REQUIRE(one.mContext->mSpillOrigin);
  CHECK(one.mContext->mSpillOrigin->mDataCentre == "zagreb");
  CHECK(one.mContext->mSpillOrigin->mRequestId == "r7");
  CHECK_FALSE(one.mContext->mKey);
  const HttpFields& fields = one.mContext->mForwardFields;
  CHECK(*FindField(fields, "Idempotency-Key") == "zagreb:1");
  CHECK(FindField(fields, "Almondspoke-Spilled-From") == nullptr);
  CHECK(FindField(fields, "Almondspoke-Spilled-Key") == nullptr);
  one.mContext->Fail(Error(ErrorKind::KindCeilingReached, "full"));
  CHECK(one.mExchange->mResponse->mStatus == 503);
  CHECK(*FindField(one.mExchange->mResponse->mFields, kNotRunField) == "true");

  FilterCase mayHaveRun(HttpFields{ { "Almondspoke-Spilled-From", "zagreb" } });
  IdentifyFilter(rules).Apply(mayHaveRun.mContext, mayHaveRun.Next());
  mayHaveRun.mContext->mMayHaveRun = true;
  mayHaveRun.mContext->Fail(Error(ErrorKind::NoEndpoint, "none"));
  CHECK(FindField(mayHaveRun.mExchange->mResponse->mFields, kNotRunField) ==
        nullptr);

  FilterCase badName(HttpFields{ { "Almondspoke-Spilled-From", "a b" } });
  IdentifyFilter(rules).Apply(badName.mContext, badName.Next());
  CHECK(badName.AnsweredKind() == ErrorKind::InvalidArgument);

  // The key of a caller that poses as an instance is still claimed.
  FilterCase keyed(HttpFields{ { "Almondspoke-Spilled-From", "zagreb" },
                               { "Almondspoke-Spilled-Key", "zagreb:1" },
                               { "Idempotency-Key", "zagreb:2" } });
  IdentifyFilter(rules).Apply(keyed.mContext, keyed.Next());
  ClassifyFilter(keyed.mClock, 10s).Apply(keyed.mContext, keyed.Next());
  CHECK(keyed.mContext->mKey == "zagreb:2");
  CHECK(*FindField(keyed.mContext->mForwardFields, "Idempotency-Key") ==
        "zagreb:2");
}
